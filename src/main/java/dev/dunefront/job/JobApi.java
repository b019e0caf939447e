package dev.dunefront.job;

import dev.dunefront.claim.Claims;
import dev.dunefront.config.Settings;
import dev.dunefront.fleet.Catalog;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.HttpServer.Answer;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.Proofs;
import dev.dunefront.store.Store;
import dev.dunefront.store.Store.Outcome;
import dev.dunefront.store.Store.Urgency;
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
 * Serves the users' requests to submit, poll and cancel jobs. A change is confirmed only after it
 * is written to the state service. A status that can still change is checked against the state
 * service for every response: submit and cancel read the job's keys or write them conditionally,
 * polls share one read of all changes ({@link Proofs}). A request that cannot be served is refused
 * immediately with a 503.
 */
public final class JobApi {
  private static final System.Logger LOG = System.getLogger(JobApi.class.getName());

  /** Attempts to write a cancellation when the record changes concurrently. */
  private static final int TRIES = 5;

  /**
   * How long a cancel request waits for the job's final status. Proving that all tasks have ended
   * usually takes less.
   */
  private static final double END_S = 0.5;

  private final JobTable jobs;
  private final Claims claims;
  private final Store store;
  private final Peers peers;
  private final Timers timers;
  private final DecisionLock decisionLock;

  /** Concurrent reads for polls of jobs that the replica does not show; each poll costs a read. */
  private static final int MOST_READ = 32;

  private final Proofs proofs;
  private final Submissions submissions;
  private int reading;

  /**
   * Live jobs whose cancellation was written with an unknown outcome. If the replica shows the
   * record as cancelled, the cancellation is broadcast. An entry is removed when it is broadcast or
   * when the live record is gone.
   */
  private final Set<String> toTell = new HashSet<>();

  /** Open cancel requests that wait for a job's final status, by job id. */
  private final Map<String, List<Answer>> ends = new HashMap<>();

  public JobApi(
      Settings settings,
      Membership membership,
      JobTable jobs,
      Claims claims,
      Catalog catalog,
      Store store,
      Proofs proofs,
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
    jobs.listen((id, before, entry) -> changed(id, entry));
  }

  public void submit(byte[] body, Answer answer) {
    submissions.submit(body, answer);
  }

  // ---- poll ----

  public void poll(String id, Answer answer) {
    if (!JobSpec.isId(id)) {
      answer.send(404, Answers.error("no such job"));
      return;
    }
    Status known = jobs.finalStatus(id);
    if (known != null) {
      answer.send(200, Answers.status(claims, id, known, jobs.get(id)));
      return;
    }
    if (store.down()) {
      Answers.again(answer);
      return;
    }
    proofs.await(
        proven -> {
          if (!proven) {
            Answers.again(answer);
            return;
          }
          JobTable.Found live = jobs.shown(id);
          if (live != null) {
            polled(id, live, answer);
          } else if (reading >= MOST_READ) {
            Answers.again(answer);
          } else {
            // The job has ended and its status was evicted here, or it was never submitted.
            reading++;
            jobs.readEnded(
                id,
                Urgency.USER,
                found -> {
                  reading--;
                  polled(id, found, answer);
                });
          }
        });
  }

  private void polled(String id, JobTable.Found found, Answer answer) {
    switch (found.outcome()) {
      case OK -> answer.send(200, Answers.status(claims, id, found.status(), found.entry()));
      case MISSING -> answer.send(404, Answers.error("no such job"));
      default -> Answers.again(answer);
    }
  }

  // ---- cancel ----

  /**
   * Cancels a job. The response is "cancelled" only once all tasks are proven to have ended, not
   * when the request is recorded: the holder of a machine in a partitioned zone does not learn of
   * the cancellation and keeps renewing its workers' leases, possibly for longer than the time
   * within which users are promised that nothing runs. The proof usually takes a fraction of a
   * second; if it takes longer, the user gets a 503 and retries.
   */
  public void cancel(String id, Answer answer) {
    if (!JobSpec.isId(id)) {
      answer.send(404, Answers.error("no such job"));
      return;
    }
    cancel(id, answer, TRIES);
  }

  private void cancel(String id, Answer answer, int triesLeft) {
    Status known = jobs.finalStatus(id);
    if (known != null) {
      answer.send(200, Answers.status(claims, id, known, jobs.get(id)));
      return;
    }
    if (store.down() || triesLeft == 0) {
      Answers.again(answer);
      return;
    }
    jobs.read(
        id,
        Urgency.USER,
        found -> {
          if (found.outcome() == Outcome.MISSING) {
            answer.send(404, Answers.error("no such job"));
          } else if (found.outcome() != Outcome.OK) {
            Answers.again(answer);
          } else if (found.status() != Status.OPEN) {
            // A job that is done stays done while the last chunks of its task records are removed.
            answer.send(200, Answers.status(claims, id, found.status(), found.entry()));
          } else if (found.entry().record().status() == Status.CANCELLED) {
            // The writer may not have received a response to its write and not have broadcast it.
            tellCancelled(id);
            awaitEnd(id, answer);
          } else {
            record(found.entry(), answer, triesLeft);
          }
        });
  }

  /**
   * Records the cancellation. A job that was never claimed cannot have tasks on any machine, so its
   * final record is written immediately.
   */
  private void record(JobTable.Entry entry, Answer answer, int triesLeft) {
    JobRecord old = entry.record();
    String id = old.spec().id();
    boolean neverClaimed = old.term() == 0;
    JobRecord next = old.with(Status.CANCELLED);
    String mark = store.newMark();
    Txn txn = new Txn().when(JobRecord.key(id), entry.stamp());
    if (neverClaimed) {
      txn.put(JobRecord.finalKey(id), JobRecord.writeFinal(Status.CANCELLED, mark))
          .remove(JobRecord.key(id));
    } else {
      txn.put(JobRecord.key(id), next.write(mark));
    }
    store.tryTxn(
        txn,
        Urgency.USER,
        done -> {
          if (done.ok()) {
            LOG.log(Level.INFO, "cancelling job {0}", id);
            if (neverClaimed) {
              jobs.finished(id, Status.CANCELLED, done.revision());
            } else {
              jobs.wrote(id, next, mark, done.revision());
              tellCancelled(id);
            }
            awaitEnd(id, answer);
          } else if (done.outcome() == Outcome.CONFLICT) {
            cancel(id, answer, triesLeft - 1);
          } else {
            if (done.outcome() == Outcome.UNCLEAR) {
              // The transaction may have been applied already, or may still be applied.
              toTell.add(id);
              changed(id, jobs.get(id));
            }
            Answers.again(answer);
          }
        });
  }

  /**
   * Broadcasts a recorded cancellation to all peers. Controllers that the state service refuses
   * learn of it only in this way.
   */
  private void tellCancelled(String id) {
    toTell.remove(id);
    peers.broadcast(new Message.Cancelled(id));
  }

  /**
   * Called when a live record changes. The change may show a submission or a cancellation of this
   * controller whose write has had no response.
   *
   * @param entry the new record, or null if the live record is gone
   */
  private void changed(String id, JobTable.Entry entry) {
    if (entry != null) {
      submissions.shown(id, entry);
    }
    if (toTell.contains(id)) {
      if (entry == null) {
        toTell.remove(id);
      } else if (entry.record().status() == Status.CANCELLED) {
        tellCancelled(id);
      }
    }
    ended(id);
  }

  /** Responds when the final status is known, or with a 503 after {@link #END_S}. */
  private void awaitEnd(String id, Answer answer) {
    Status known = jobs.finalStatus(id);
    if (known != null) {
      answer.send(200, Answers.status(claims, id, known, null));
      return;
    }
    ends.computeIfAbsent(id, k -> new ArrayList<>()).add(answer);
    timers.after(
        END_S,
        () ->
            decisionLock.run(
                () -> {
                  List<Answer> waiting = ends.get(id);
                  if (waiting != null && waiting.remove(answer)) {
                    Answers.again(answer);
                    ends.remove(id, List.of());
                  }
                }));
  }

  private void ended(String id) {
    Status known = jobs.finalStatus(id);
    if (known != null) {
      List<Answer> waiting = ends.remove(id);
      if (waiting != null) {
        waiting.forEach(a -> a.send(200, Answers.status(claims, id, known, null)));
      }
    }
  }
}
