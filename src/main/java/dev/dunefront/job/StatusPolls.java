package dev.dunefront.job;

import dev.dunefront.evidence.AnswerRefusal;
import dev.dunefront.net.HttpServer.Responder;
import dev.dunefront.store.ReadBarrier;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.StateStore.RequestPriority;
import dev.dunefront.wire.JobSpec;

/**
 * Serves polls. A status that can still change is confirmed by a read of all changes that begins
 * after the poll has arrived and that all waiting polls share ({@link ReadBarrier}).
 */
final class StatusPolls {
  /** Concurrent reads for polls of jobs that the replica does not show; each poll costs a read. */
  private static final int MAX_CONCURRENT_READS = 32;

  private final JobTable jobs;
  private final JobResponses responses;
  private final StateStore store;
  private final ReadBarrier readBarrier;
  private int readsInFlight;

  StatusPolls(JobTable jobs, JobResponses responses, StateStore store, ReadBarrier readBarrier) {
    this.jobs = jobs;
    this.responses = responses;
    this.store = store;
    this.readBarrier = readBarrier;
  }

  void poll(String id, Responder responder) {
    if (!JobSpec.isValidId(id)) {
      responses.sendNotFound(responder);
      return;
    }
    ConfirmedStatus known = jobs.confirmedFinalStatus(id);
    if (known != null) {
      responses.sendStatus(responder, id, known);
      return;
    }
    if (store.unavailable()) {
      responses.sendRetryLater(responder, AnswerRefusal.STATE_UNAVAILABLE);
      return;
    }
    readBarrier.whenCurrent(
        confirmation -> {
          if (confirmation.isEmpty()) {
            responses.sendRetryLater(responder, AnswerRefusal.READ_BARRIER_FAILED);
            return;
          }
          JobTable.LookupResult live = jobs.lookUp(id, confirmation.get());
          if (live != null) {
            responses.sendStatus(responder, id, live.status());
          } else {
            readFinalStatus(id, responder);
          }
        });
  }

  /** The job has ended and its status was evicted here, or it was never submitted. */
  private void readFinalStatus(String id, Responder responder) {
    if (readsInFlight >= MAX_CONCURRENT_READS) {
      responses.sendRetryLater(responder, AnswerRefusal.TOO_MANY_READS);
      return;
    }
    readsInFlight++;
    jobs.readFinalStatus(
        id,
        RequestPriority.USER,
        found -> {
          readsInFlight--;
          switch (found.outcome()) {
            case OK -> responses.sendStatus(responder, id, found.status());
            case NOT_FOUND -> responses.sendNotFound(responder);
            default -> responses.sendRetryLater(responder, AnswerRefusal.READ_FAILED);
          }
        });
  }
}
