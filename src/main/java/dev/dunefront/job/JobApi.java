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
 * The users' requests. Nothing is said before it is written, and what may still change is proven
 * anew for every answer: what changes it is based on a read, what only asks on a proof that is
 * shared ({@link Proofs}). What cannot be served is refused at once.
 */
public final class JobApi {
  private static final System.Logger LOG = System.getLogger(JobApi.class.getName());
  private static final int TRIES = 5;

  /** How long the proof that a cancelled job's tasks are gone mostly takes at the most. */
  private static final double END_S = 0.5;

  private final JobTable jobs;
  private final Claims claims;
  private final Store store;
  private final Peers peers;
  private final Timers timers;
  private final DecisionLock decisionLock;

  /** Questions about jobs that are not in the replica cost a read each; so many at a time. */
  private static final int MOST_READ = 32;

  private final Proofs proofs;
  private final Submissions submissions;
  private int reading;

  /**
   * Live jobs whose cancellation had no answer: if it shows in the record, the others are to be
   * told. Whatever becomes of it, each is forgotten when its live record is gone.
   */
  private final Set<String> toTell = new HashSet<>();

  /** Who waits for the end of a cancelled job. */
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
            // Over and forgotten here, or never submitted.
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
   * A job is called cancelled once all its tasks are proven gone, not when that is recorded: a
   * holder in a zone that is cut off hears of nothing and keeps its workers' leases alive, perhaps
   * beyond the time within which users have been promised that nothing runs. Mostly the proof takes
   * a fraction of a second; where it takes longer the user is told to come back.
   */
  public void cancel(String id, Answer answer) {
    if (!JobSpec.isId(id)) {
      answer.send(404, Answers.error("no such job"));
      return;
    }
    cancel(id, answer, TRIES);
  }

  private void cancel(String id, Answer answer, int tries) {
    Status known = jobs.finalStatus(id);
    if (known != null) {
      answer.send(200, Answers.status(claims, id, known, jobs.get(id)));
      return;
    }
    if (store.down() || tries == 0) {
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
            // A job that is done stays done, also while its last chunks are still being removed.
            answer.send(200, Answers.status(claims, id, found.status(), found.entry()));
          } else if (found.entry().record().status() == Status.CANCELLED) {
            // Its writer may never have heard that it was written, and have told nobody.
            tellCancelled(id);
            awaitEnd(id, answer);
          } else {
            record(found.entry(), answer, tries);
          }
        });
  }

  /** Records that the job is to end. Of one that was never claimed no task can be anywhere. */
  private void record(JobTable.Entry entry, Answer answer, int tries) {
    JobRecord old = entry.record();
    String id = old.spec().id();
    boolean untouched = old.term() == 0;
    JobRecord next = old.with(Status.CANCELLED);
    String mark = store.newMark();
    Txn txn = new Txn().when(JobRecord.key(id), entry.stamp());
    if (untouched) {
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
            LOG.log(Level.INFO, "cancelling {0}", id);
            if (untouched) {
              jobs.finished(id, Status.CANCELLED, done.revision());
            } else {
              jobs.wrote(id, next, mark, done.revision());
              tellCancelled(id);
            }
            awaitEnd(id, answer);
          } else if (done.outcome() == Outcome.CONFLICT) {
            cancel(id, answer, tries - 1);
          } else {
            if (done.outcome() == Outcome.UNCLEAR) {
              // It may have been carried out, now or earlier, or yet be.
              toTell.add(id);
              changed(id, jobs.get(id));
            }
            Answers.again(answer);
          }
        });
  }

  /** Whoever the state service refuses hears of it in this way alone. */
  private void tellCancelled(String id) {
    toTell.remove(id);
    peers.broadcast(new Message.Cancelled(id));
  }

  /** A live record has changed; something of ours may show that has no answer. */
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
