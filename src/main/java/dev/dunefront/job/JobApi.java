package dev.dunefront.job;

import dev.dunefront.claim.Claims;
import dev.dunefront.config.Settings;
import dev.dunefront.fleet.MachineCatalog;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.HttpServer.Responder;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.ReadBarrier;
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
 * The users' requests. Nothing is said before it is written, and what may still change is proven
 * anew for every answer: what changes it is based on a read, what only asks on a proof that is
 * shared ({@link ReadBarrier}). What cannot be served is refused at once.
 */
public final class JobApi {
  private static final System.Logger LOG = System.getLogger(JobApi.class.getName());
  private static final int MAX_CANCEL_TRIES = 5;

  /** How long the proof that a cancelled job's tasks are gone mostly takes at the most. */
  private static final double CANCEL_WAIT_S = 0.5;

  private final JobTable jobs;
  private final Claims claims;
  private final StateStore store;
  private final Peers peers;
  private final Timers timers;
  private final DecisionLock decisionLock;

  /** Questions about jobs that are not in the replica cost a read each; so many at a time. */
  private static final int MAX_CONCURRENT_READS = 32;

  private final ReadBarrier proofs;
  private final Submissions submissions;
  private int readsInFlight;

  /**
   * Live jobs whose cancellation had no answer: if it shows in the record, the others are to be
   * told. Whatever becomes of it, each is forgotten when its live record is gone.
   */
  private final Set<String> unannouncedCancellations = new HashSet<>();

  /** Who waits for the end of a cancelled job. */
  private final Map<String, List<Responder>> cancelWaiters = new HashMap<>();

  public JobApi(
      Settings settings,
      Membership membership,
      JobTable jobs,
      Claims claims,
      MachineCatalog catalog,
      StateStore store,
      ReadBarrier proofs,
      Peers peers,
      Timers timers,
      DecisionLock decisionLock) {
    this.jobs = jobs;
    this.claims = claims;
    this.store = store;
    this.peers = peers;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.proofs = proofs;
    this.submissions = new Submissions(settings, membership, jobs, claims, catalog, store, timers);
    jobs.addListener((id, before, entry) -> onJobChanged(id, entry));
  }

  public void submit(byte[] body, Responder answer) {
    submissions.submit(body, answer);
  }

  // ---- poll ----

  public void poll(String id, Responder answer) {
    if (!JobSpec.isValidId(id)) {
      answer.send(404, JobResponses.errorBody("no such job"));
      return;
    }
    Status known = jobs.finalStatus(id);
    if (known != null) {
      answer.send(200, JobResponses.statusBody(claims, id, known, jobs.get(id)));
      return;
    }
    if (store.unavailable()) {
      JobResponses.sendRetryLater(answer);
      return;
    }
    proofs.whenCurrent(
        proven -> {
          if (!proven) {
            JobResponses.sendRetryLater(answer);
            return;
          }
          JobTable.LookupResult live = jobs.lookUpLocally(id);
          if (live != null) {
            respondToPoll(id, live, answer);
          } else if (readsInFlight >= MAX_CONCURRENT_READS) {
            JobResponses.sendRetryLater(answer);
          } else {
            // Over and forgotten here, or never submitted.
            readsInFlight++;
            jobs.readFinalStatus(
                id,
                RequestPriority.USER,
                found -> {
                  readsInFlight--;
                  respondToPoll(id, found, answer);
                });
          }
        });
  }

  private void respondToPoll(String id, JobTable.LookupResult found, Responder answer) {
    switch (found.outcome()) {
      case OK ->
          answer.send(200, JobResponses.statusBody(claims, id, found.status(), found.entry()));
      case NOT_FOUND -> answer.send(404, JobResponses.errorBody("no such job"));
      default -> JobResponses.sendRetryLater(answer);
    }
  }

  // ---- cancel ----

  /**
   * A job is called cancelled once all its tasks are proven gone, not when that is recorded: a
   * holder in a zone that is cut off hears of nothing and keeps its workers' leases alive, perhaps
   * beyond the time within which users have been promised that nothing runs. Mostly the proof takes
   * a fraction of a second; where it takes longer the user is told to come back.
   */
  public void cancel(String id, Responder answer) {
    if (!JobSpec.isValidId(id)) {
      answer.send(404, JobResponses.errorBody("no such job"));
      return;
    }
    cancel(id, answer, MAX_CANCEL_TRIES);
  }

  private void cancel(String id, Responder answer, int tries) {
    Status known = jobs.finalStatus(id);
    if (known != null) {
      answer.send(200, JobResponses.statusBody(claims, id, known, jobs.get(id)));
      return;
    }
    if (store.unavailable() || tries == 0) {
      JobResponses.sendRetryLater(answer);
      return;
    }
    jobs.readCurrent(
        id,
        RequestPriority.USER,
        found -> {
          if (found.outcome() == Outcome.NOT_FOUND) {
            answer.send(404, JobResponses.errorBody("no such job"));
          } else if (found.outcome() != Outcome.OK) {
            JobResponses.sendRetryLater(answer);
          } else if (found.status() != Status.OPEN) {
            // A job that is done stays done, also while its last chunks are still being removed.
            answer.send(200, JobResponses.statusBody(claims, id, found.status(), found.entry()));
          } else if (found.entry().record().status() == Status.CANCELLED) {
            // Its writer may never have heard that it was written, and have told nobody.
            broadcastCancellation(id);
            awaitFinalStatus(id, answer);
          } else {
            recordCancellation(found.entry(), answer, tries);
          }
        });
  }

  /** Records that the job is to end. Of one that was never claimed no task can be anywhere. */
  private void recordCancellation(JobTable.Entry entry, Responder answer, int tries) {
    JobRecord old = entry.record();
    String id = old.spec().id();
    boolean untouched = old.term() == 0;
    JobRecord next = old.withStatus(Status.CANCELLED);
    String mark = store.newWriteId();
    Txn txn = new Txn().requireRevision(JobRecord.key(id), entry.revision());
    if (untouched) {
      txn.put(JobRecord.finalKey(id), JobRecord.finalToDocument(Status.CANCELLED, mark))
          .remove(JobRecord.key(id));
    } else {
      txn.put(JobRecord.key(id), next.toDocument(mark));
    }
    store.tryTxn(
        txn,
        RequestPriority.USER,
        done -> {
          if (done.ok()) {
            LOG.log(Level.INFO, "cancelling {0}", id);
            if (untouched) {
              jobs.applyOwnFinalWrite(id, Status.CANCELLED, done.revision());
            } else {
              jobs.applyOwnWrite(id, next, mark, done.revision());
              broadcastCancellation(id);
            }
            awaitFinalStatus(id, answer);
          } else if (done.outcome() == Outcome.CONFLICT) {
            cancel(id, answer, tries - 1);
          } else {
            if (done.outcome() == Outcome.UNKNOWN) {
              // It may have been carried out, now or earlier, or yet be.
              unannouncedCancellations.add(id);
              onJobChanged(id, jobs.get(id));
            }
            JobResponses.sendRetryLater(answer);
          }
        });
  }

  /** Whoever the state service refuses hears of it in this way alone. */
  private void broadcastCancellation(String id) {
    unannouncedCancellations.remove(id);
    peers.broadcast(new Message.JobCancelled(id));
  }

  /** A live record has changed; something of ours may show that has no answer. */
  private void onJobChanged(String id, JobTable.Entry entry) {
    if (entry != null) {
      submissions.onRecordReplicated(id, entry);
    }
    if (unannouncedCancellations.contains(id)) {
      if (entry == null) {
        unannouncedCancellations.remove(id);
      } else if (entry.record().status() == Status.CANCELLED) {
        broadcastCancellation(id);
      }
    }
    completeCancelWaiters(id);
  }

  private void awaitFinalStatus(String id, Responder answer) {
    Status known = jobs.finalStatus(id);
    if (known != null) {
      answer.send(200, JobResponses.statusBody(claims, id, known, null));
      return;
    }
    cancelWaiters.computeIfAbsent(id, k -> new ArrayList<>()).add(answer);
    timers.after(
        CANCEL_WAIT_S,
        () ->
            decisionLock.run(
                () -> {
                  List<Responder> waiting = cancelWaiters.get(id);
                  if (waiting != null && waiting.remove(answer)) {
                    JobResponses.sendRetryLater(answer);
                    cancelWaiters.remove(id, List.of());
                  }
                }));
  }

  private void completeCancelWaiters(String id) {
    Status known = jobs.finalStatus(id);
    if (known != null) {
      List<Responder> waiting = cancelWaiters.remove(id);
      if (waiting != null) {
        waiting.forEach(a -> a.send(200, JobResponses.statusBody(claims, id, known, null)));
      }
    }
  }
}
