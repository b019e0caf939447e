package dev.dunefront.job;

import dev.dunefront.evidence.AnswerRefusal;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.HttpServer.Responder;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.StateStore.Outcome;
import dev.dunefront.store.StateStore.RequestPriority;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.JobSpec;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Serves requests to cancel jobs. A cancellation is recorded on the condition that the job's record
 * is still the one that was read, and confirmed once the job's final status is recorded.
 */
final class CancelRequests {
  private static final System.Logger LOG = System.getLogger(CancelRequests.class.getName());

  /** Attempts to write a cancellation when the record changes concurrently. */
  private static final int MAX_CANCEL_TRIES = 5;

  /**
   * How long a cancel request waits for the job's final status. Proving that all tasks have ended
   * usually takes less.
   */
  private static final double CANCEL_WAIT_S = 0.5;

  private final JobTable jobs;
  private final JobResponses responses;
  private final StateStore store;
  private final Peers peers;
  private final Timers timers;
  private final DecisionLock decisionLock;

  /**
   * Live jobs whose cancellation was written with an unknown outcome. If the replica shows the
   * record as cancelled, the cancellation is broadcast. An entry is removed when it is broadcast or
   * when the live record is gone.
   */
  private final Set<String> unannouncedCancellations = new HashSet<>();

  /** Open cancel requests that wait for a job's final status, by job id. */
  private final Map<String, List<Responder>> cancelWaiters = new HashMap<>();

  CancelRequests(
      JobTable jobs,
      JobResponses responses,
      StateStore store,
      Peers peers,
      Timers timers,
      DecisionLock decisionLock) {
    this.jobs = jobs;
    this.responses = responses;
    this.store = store;
    this.peers = peers;
    this.timers = timers;
    this.decisionLock = decisionLock;
  }

  /**
   * Cancels a job. The response is "cancelled" only once all tasks are proven to have ended, not
   * when the request is recorded: the holder of a machine in a partitioned zone does not learn of
   * the cancellation and keeps renewing its workers' leases, possibly for longer than the time
   * within which users are promised that nothing runs. The proof usually takes a fraction of a
   * second; if it takes longer, the user gets a 503 and retries.
   */
  void cancel(String id, Responder responder) {
    if (!JobSpec.isValidId(id)) {
      responses.sendNotFound(responder);
      return;
    }
    cancel(id, responder, MAX_CANCEL_TRIES);
  }

  private void cancel(String id, Responder responder, int triesLeft) {
    ConfirmedStatus known = jobs.confirmedFinalStatus(id);
    if (known != null) {
      responses.sendStatus(responder, id, known);
      return;
    }
    if (store.unavailable()) {
      responses.sendRetryLater(responder, AnswerRefusal.STATE_UNAVAILABLE);
      return;
    }
    if (triesLeft == 0) {
      responses.sendRetryLater(responder, AnswerRefusal.RECORD_CHANGING);
      return;
    }
    jobs.readCurrent(
        id,
        RequestPriority.USER,
        found -> {
          if (found.outcome() == Outcome.NOT_FOUND) {
            responses.sendNotFound(responder);
          } else if (found.outcome() != Outcome.OK) {
            responses.sendRetryLater(responder, AnswerRefusal.READ_FAILED);
          } else if (found.status().status() != Status.OPEN) {
            // A job that is done stays done while the last chunks of its task records are removed.
            responses.sendStatus(responder, id, found.status());
          } else if (found.entry().record().status() == Status.CANCELLED) {
            // The writer may not have received a response to its write and not have broadcast it.
            broadcastCancellation(id);
            awaitFinalStatus(id, responder);
          } else {
            recordCancellation(found.entry(), responder, triesLeft);
          }
        });
  }

  /**
   * Records the cancellation. A job that was never claimed cannot have tasks on any machine, so its
   * final record is written immediately.
   */
  private void recordCancellation(JobTable.Entry entry, Responder responder, int triesLeft) {
    JobRecord oldRecord = entry.record();
    String id = oldRecord.spec().id();
    boolean neverClaimed = oldRecord.term() == 0;
    JobRecord newRecord = oldRecord.withStatus(Status.CANCELLED);
    String writeId = store.newWriteId();
    Txn txn = new Txn().requireRevision(JobRecord.key(id), entry.revision());
    if (neverClaimed) {
      txn.put(JobRecord.finalKey(id), JobRecord.finalToDocument(Status.CANCELLED, writeId))
          .remove(JobRecord.key(id));
    } else {
      txn.put(JobRecord.key(id), newRecord.toDocument(writeId));
    }
    store.tryTxn(
        txn,
        RequestPriority.USER,
        result -> {
          if (result.ok()) {
            LOG.log(
                Level.INFO,
                "cancelling job {0}, {1}, written at revision {2}",
                id,
                neverClaimed ? "never claimed" : "claimed in term " + oldRecord.term(),
                result.revision());
            if (neverClaimed) {
              jobs.applyOwnFinalWrite(id, Status.CANCELLED, result.revision());
            } else {
              jobs.applyOwnWrite(id, newRecord, writeId, result.revision());
              broadcastCancellation(id);
            }
            awaitFinalStatus(id, responder);
          } else if (result.outcome() == Outcome.CONFLICT) {
            cancel(id, responder, triesLeft - 1);
          } else {
            if (result.outcome() == Outcome.UNKNOWN) {
              // The transaction may have been applied already, or may still be applied.
              unannouncedCancellations.add(id);
              onJobChanged(id, jobs.get(id));
            }
            responses.sendRetryLater(responder, AnswerRefusal.WRITE_FAILED);
          }
        });
  }

  /**
   * Broadcasts a recorded cancellation to all peers. Controllers that the state service refuses
   * learn of it only in this way.
   */
  private void broadcastCancellation(String id) {
    unannouncedCancellations.remove(id);
    peers.broadcast(new Message.JobCancelled(id));
  }

  /**
   * Called when a live record changes. The change may show a cancellation of this controller whose
   * write has had no response.
   *
   * @param entry the new record, or null if the live record is gone
   */
  void onJobChanged(String id, JobTable.Entry entry) {
    if (unannouncedCancellations.contains(id)) {
      if (entry == null) {
        unannouncedCancellations.remove(id);
      } else if (entry.record().status() == Status.CANCELLED) {
        broadcastCancellation(id);
      }
    }
    completeCancelWaiters(id);
  }

  /** Responds when the final status is known, or with a 503 after {@link #CANCEL_WAIT_S}. */
  private void awaitFinalStatus(String id, Responder responder) {
    ConfirmedStatus known = jobs.confirmedFinalStatus(id);
    if (known != null) {
      responses.sendStatus(responder, id, known);
      return;
    }
    cancelWaiters.computeIfAbsent(id, k -> new ArrayList<>()).add(responder);
    timers.after(
        CANCEL_WAIT_S,
        () ->
            decisionLock.run(
                () -> {
                  List<Responder> waiting = cancelWaiters.get(id);
                  if (waiting != null && waiting.remove(responder)) {
                    responses.sendRetryLater(responder, AnswerRefusal.CANCELLATION_PENDING);
                    cancelWaiters.remove(id, List.of());
                  }
                }));
  }

  private void completeCancelWaiters(String id) {
    ConfirmedStatus known = jobs.confirmedFinalStatus(id);
    if (known != null) {
      List<Responder> waiting = cancelWaiters.remove(id);
      if (waiting != null) {
        waiting.forEach(responder -> responses.sendStatus(responder, id, known));
      }
    }
  }
}
