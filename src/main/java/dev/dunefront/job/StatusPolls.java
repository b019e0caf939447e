package dev.dunefront.job;

import dev.dunefront.claim.Claims;
import dev.dunefront.job.JobRecord.Status;
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
  private final Claims claims;
  private final StateStore store;
  private final ReadBarrier readBarrier;
  private int readsInFlight;

  StatusPolls(JobTable jobs, Claims claims, StateStore store, ReadBarrier readBarrier) {
    this.jobs = jobs;
    this.claims = claims;
    this.store = store;
    this.readBarrier = readBarrier;
  }

  void poll(String id, Responder responder) {
    if (!JobSpec.isValidId(id)) {
      responder.send(404, JobResponses.errorBody("no such job"));
      return;
    }
    Status known = jobs.finalStatus(id);
    if (known != null) {
      responder.send(200, JobResponses.statusBody(claims, id, known, jobs.get(id)));
      return;
    }
    if (store.unavailable()) {
      JobResponses.sendRetryLater(responder);
      return;
    }
    readBarrier.whenCurrent(
        current -> {
          if (!current) {
            JobResponses.sendRetryLater(responder);
            return;
          }
          JobTable.LookupResult live = jobs.lookUpLocally(id);
          if (live != null) {
            respondToPoll(id, live, responder);
          } else if (readsInFlight >= MAX_CONCURRENT_READS) {
            JobResponses.sendRetryLater(responder);
          } else {
            // The job has ended and its status was evicted here, or it was never submitted.
            readsInFlight++;
            jobs.readFinalStatus(
                id,
                RequestPriority.USER,
                found -> {
                  readsInFlight--;
                  respondToPoll(id, found, responder);
                });
          }
        });
  }

  private void respondToPoll(String id, JobTable.LookupResult found, Responder responder) {
    switch (found.outcome()) {
      case OK ->
          responder.send(200, JobResponses.statusBody(claims, id, found.status(), found.entry()));
      case NOT_FOUND -> responder.send(404, JobResponses.errorBody("no such job"));
      default -> JobResponses.sendRetryLater(responder);
    }
  }
}
