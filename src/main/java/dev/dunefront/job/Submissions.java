package dev.dunefront.job;

import dev.dunefront.claim.Claims;
import dev.dunefront.config.Settings;
import dev.dunefront.fleet.Catalog;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.net.HttpServer.Answer;
import dev.dunefront.net.Timers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.Store;
import dev.dunefront.store.Store.Outcome;
import dev.dunefront.store.Store.Urgency;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import dev.dunefront.wire.Size;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Takes submissions: what is malformed or can never run is refused, the rest is written first. */
final class Submissions {
  private static final System.Logger LOG = System.getLogger(Submissions.class.getName());

  private final Settings settings;
  private final Membership membership;
  private final JobTable jobs;
  private final Claims claims;
  private final Catalog catalog;
  private final Store store;
  private final Timers timers;

  /** Submissions that are being written. */
  private final Map<String, Acceptance> accepting = new HashMap<>();

  Submissions(
      Settings settings,
      Membership membership,
      JobTable jobs,
      Claims claims,
      Catalog catalog,
      Store store,
      Timers timers) {
    this.settings = settings;
    this.membership = membership;
    this.jobs = jobs;
    this.claims = claims;
    this.catalog = catalog;
    this.store = store;
    this.timers = timers;
  }

  void submit(byte[] body, Answer answer) {
    JobSpec spec;
    try {
      spec = JobSpec.submitted(Doc.decode(body));
    } catch (BadMessage e) {
      LOG.log(Level.INFO, "a submission is malformed: {0}", e.getMessage());
      answer.send(400, Answers.error(e.getMessage()));
      return;
    }
    if (jobs.finalStatus(spec.id()) != null) {
      answer.send(200, Answers.status(claims, spec.id(), jobs.finalStatus(spec.id()), null));
      return;
    }
    if (store.down() || membership.self() == null) {
      Answers.again(answer);
      return;
    }
    String reason = neverRuns(spec);
    if (jobs.get(spec.id()) != null || reason != null) {
      // A known job is never refused, whatever would be said of it today.
      repeated(spec, reason, answer);
    } else if (!catalog.known()) {
      Answers.again(answer);
    } else {
      accept(spec, answer);
    }
  }

  private void accept(JobSpec spec, Answer answer) {
    String claim = claims.admitsAtOnce(spec) ? membership.self() : null;
    JobRecord record =
        new JobRecord(spec, timers.timeOfDayMs(), claim, claim == null ? 0 : 1, Status.OPEN, 0);
    String mark = store.newMark();
    Acceptance under = new Acceptance(answer);
    accepting.putIfAbsent(spec.id(), under);
    store.tryTxn(
        new Txn()
            .when(JobRecord.key(spec.id()), 0)
            .when(JobRecord.finalKey(spec.id()), 0)
            .put(JobRecord.key(spec.id()), record.write(mark)),
        Urgency.USER,
        done -> {
          if (done.ok()) {
            LOG.log(
                Level.INFO,
                "accepted {0}: {1} tasks of {2} for {3}",
                spec.id(),
                spec.tasks(),
                spec.jobClass(),
                spec.team());
            jobs.wrote(spec.id(), record, mark, done.revision());
          }
          accepting.remove(spec.id(), under);
          if (under.answered) {
            return;
          }
          if (done.ok() || done.outcome() == Outcome.CONFLICT) {
            // Known, though not by this write, or over before it was ever shown here.
            repeated(spec, null, answer);
          } else {
            Answers.again(answer);
          }
        });
  }

  /** A submission whose record is being written. */
  private static final class Acceptance {
    final Answer answer;
    boolean answered;

    Acceptance(Answer answer) {
      this.answer = answer;
    }
  }

  /**
   * The replica shows the record of a submission that is still being written: it is accepted, by
   * this write or another. Its answer may be lost, and its user would wait for that, be told to
   * come back, and have the job wait as well until its claim is found.
   */
  void shown(String id, JobTable.Entry entry) {
    Acceptance under = accepting.remove(id);
    if (under == null) {
      return;
    }
    under.answered = true;
    JobRecord record = entry.record();
    if (record.heldBy(membership.self()) && record.term() == 1) {
      claims.adopt(id, true);
    }
    under.answer.send(201, Answers.status(claims, id, jobs.shown(id).status(), entry));
  }

  /** Answers a submission of a job that is, or may be, known; 422 with the reason if it is not. */
  private void repeated(JobSpec spec, String reason, Answer answer) {
    jobs.read(
        spec.id(),
        Urgency.USER,
        found -> {
          if (found.outcome() == Outcome.OK) {
            answer.send(200, Answers.status(claims, spec.id(), found.status(), null));
          } else if (found.outcome() == Outcome.MISSING && reason != null) {
            answer.send(422, Answers.error(reason));
          } else {
            Answers.again(answer);
          }
        });
  }

  /** Why a job can never run, or null. */
  private String neverRuns(JobSpec spec) {
    Optional<Settings.Team> team = settings.team(spec.team());
    if (team.isEmpty()) {
      return "owner is not a known team";
    }
    if (!catalog.known()) {
      return null;
    }
    Size size = spec.size();
    boolean fits = false;
    for (MachineType t : catalog.types()) {
      boolean allowed = spec.types() == null || spec.types().contains(t.name());
      boolean there = spec.zone() == null || t.zones().isEmpty() || t.zones().contains(spec.zone());
      fits |= allowed && there && size.fits(t.size());
    }
    if (!fits) {
      return "a task fits no allowed machine type";
    }
    double times = spec.service() ? spec.tasks() : 1;
    if (team.get().cpusMax() > 0 && spec.cpus() * times > team.get().cpusMax() + 1e-9
        || team.get().gpusMax() > 0 && spec.gpus() * times > team.get().gpusMax() + 1e-9) {
      return "the job needs more than the team's limit";
    }
    return null;
  }
}
