package dev.dunefront.job;

import dev.dunefront.claim.Claims;
import dev.dunefront.config.Settings;
import dev.dunefront.fleet.MachineCatalog;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.net.HttpServer.Responder;
import dev.dunefront.net.Timers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.StateStore.Outcome;
import dev.dunefront.store.StateStore.RequestPriority;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import dev.dunefront.wire.MalformedMessageException;
import dev.dunefront.wire.Resources;
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
  private final MachineCatalog catalog;
  private final StateStore store;
  private final Timers timers;

  /** Submissions that are being written. */
  private final Map<String, PendingSubmission> pendingSubmissions = new HashMap<>();

  Submissions(
      Settings settings,
      Membership membership,
      JobTable jobs,
      Claims claims,
      MachineCatalog catalog,
      StateStore store,
      Timers timers) {
    this.settings = settings;
    this.membership = membership;
    this.jobs = jobs;
    this.claims = claims;
    this.catalog = catalog;
    this.store = store;
    this.timers = timers;
  }

  void submit(byte[] body, Responder answer) {
    JobSpec spec;
    try {
      spec = JobSpec.fromSubmission(Document.decode(body));
    } catch (MalformedMessageException e) {
      LOG.log(Level.INFO, "a submission is malformed: {0}", e.getMessage());
      answer.send(400, JobResponses.errorBody(e.getMessage()));
      return;
    }
    if (jobs.finalStatus(spec.id()) != null) {
      answer.send(
          200, JobResponses.statusBody(claims, spec.id(), jobs.finalStatus(spec.id()), null));
      return;
    }
    if (store.unavailable() || membership.ownIncarnation() == null) {
      JobResponses.sendRetryLater(answer);
      return;
    }
    String reason = rejectionReason(spec);
    if (jobs.get(spec.id()) != null || reason != null) {
      // A known job is never refused, whatever would be said of it today.
      respondWithCurrentStatus(spec, reason, answer);
    } else if (!catalog.isLoaded()) {
      JobResponses.sendRetryLater(answer);
    } else {
      accept(spec, answer);
    }
  }

  private void accept(JobSpec spec, Responder answer) {
    String claim = claims.admitsAtOnce(spec) ? membership.ownIncarnation() : null;
    JobRecord record =
        new JobRecord(spec, timers.wallClockMs(), claim, claim == null ? 0 : 1, Status.OPEN, 0);
    String mark = store.newWriteId();
    PendingSubmission under = new PendingSubmission(answer);
    pendingSubmissions.putIfAbsent(spec.id(), under);
    store.tryTxn(
        new Txn()
            .requireRevision(JobRecord.key(spec.id()), 0)
            .requireRevision(JobRecord.finalKey(spec.id()), 0)
            .put(JobRecord.key(spec.id()), record.toDocument(mark)),
        RequestPriority.USER,
        done -> {
          if (done.ok()) {
            LOG.log(
                Level.INFO,
                "accepted {0}: {1} tasks of {2} for {3}",
                spec.id(),
                spec.tasks(),
                spec.jobClass(),
                spec.team());
            jobs.applyOwnWrite(spec.id(), record, mark, done.revision());
          }
          pendingSubmissions.remove(spec.id(), under);
          if (under.answered) {
            return;
          }
          if (done.ok() || done.outcome() == Outcome.CONFLICT) {
            // Known, though not by this write, or over before it was ever shown here.
            respondWithCurrentStatus(spec, null, answer);
          } else {
            JobResponses.sendRetryLater(answer);
          }
        });
  }

  /** A submission whose record is being written. */
  private static final class PendingSubmission {
    final Responder answer;
    boolean answered;

    PendingSubmission(Responder answer) {
      this.answer = answer;
    }
  }

  /**
   * The replica shows the record of a submission that is still being written: it is accepted, by
   * this write or another. Its answer may be lost, and its user would wait for that, be told to
   * come back, and have the job wait as well until its claim is found.
   */
  void onRecordReplicated(String id, JobTable.Entry entry) {
    PendingSubmission under = pendingSubmissions.remove(id);
    if (under == null) {
      return;
    }
    under.answered = true;
    JobRecord record = entry.record();
    if (record.isClaimedBy(membership.ownIncarnation()) && record.term() == 1) {
      claims.adopt(id, true);
    }
    under.answer.send(
        201, JobResponses.statusBody(claims, id, jobs.lookUpLocally(id).status(), entry));
  }

  /** Answers a submission of a job that is, or may be, known; 422 with the reason if it is not. */
  private void respondWithCurrentStatus(JobSpec spec, String reason, Responder answer) {
    jobs.readCurrent(
        spec.id(),
        RequestPriority.USER,
        found -> {
          if (found.outcome() == Outcome.OK) {
            answer.send(200, JobResponses.statusBody(claims, spec.id(), found.status(), null));
          } else if (found.outcome() == Outcome.NOT_FOUND && reason != null) {
            answer.send(422, JobResponses.errorBody(reason));
          } else {
            JobResponses.sendRetryLater(answer);
          }
        });
  }

  /** Why a job can never run, or null. */
  private String rejectionReason(JobSpec spec) {
    Optional<Settings.Team> team = settings.team(spec.team());
    if (team.isEmpty()) {
      return "owner is not a known team";
    }
    if (!catalog.isLoaded()) {
      return null;
    }
    Resources size = spec.taskResources();
    boolean fits = false;
    for (MachineType t : catalog.types()) {
      boolean allowed = spec.machineTypes() == null || spec.machineTypes().contains(t.name());
      boolean there = spec.zone() == null || t.zones().isEmpty() || t.zones().contains(spec.zone());
      fits |= allowed && there && size.fitsIn(t.resources());
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
