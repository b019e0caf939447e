package dev.dunefront.job;

import dev.dunefront.claim.Claims;
import dev.dunefront.config.Settings;
import dev.dunefront.evidence.AnswerRefusal;
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

/**
 * Accepts submissions. A malformed job, or one that can never run, is rejected; any other is
 * recorded in the state service before the user gets a response.
 */
final class Submissions {
  private static final System.Logger LOG = System.getLogger(Submissions.class.getName());

  private final Settings settings;
  private final Membership membership;
  private final JobTable jobs;
  private final Claims claims;
  private final JobResponses responses;
  private final MachineCatalog catalog;
  private final StateStore store;
  private final Timers timers;

  /** Submissions whose record is being written, by job id. */
  private final Map<String, PendingSubmission> pendingSubmissions = new HashMap<>();

  Submissions(
      Settings settings,
      Membership membership,
      JobTable jobs,
      Claims claims,
      JobResponses responses,
      MachineCatalog catalog,
      StateStore store,
      Timers timers) {
    this.settings = settings;
    this.membership = membership;
    this.jobs = jobs;
    this.claims = claims;
    this.responses = responses;
    this.catalog = catalog;
    this.store = store;
    this.timers = timers;
  }

  void submit(byte[] body, Responder responder) {
    JobSpec spec;
    try {
      spec = JobSpec.fromSubmission(Document.decode(body));
    } catch (MalformedMessageException e) {
      LOG.log(Level.INFO, "rejected a malformed submission: {0}", e.getMessage());
      responses.sendError(responder, 400, e.getMessage());
      return;
    }
    ConfirmedStatus known = jobs.confirmedFinalStatus(spec.id());
    if (known != null) {
      responses.sendStatus(responder, spec.id(), known);
      return;
    }
    if (store.unavailable()) {
      responses.sendRetryLater(responder, AnswerRefusal.STATE_UNAVAILABLE);
      return;
    }
    if (membership.ownIncarnation() == null) {
      responses.sendRetryLater(responder, AnswerRefusal.NOT_REGISTERED);
      return;
    }
    String reason = rejectionReason(spec);
    if (jobs.get(spec.id()) != null || reason != null) {
      // A job that was accepted before is never rejected, even if it would be rejected now.
      respondWithCurrentStatus(spec, reason, responder);
    } else if (!catalog.isLoaded()) {
      responses.sendRetryLater(responder, AnswerRefusal.CATALOG_UNKNOWN);
    } else {
      accept(spec, responder);
    }
  }

  private void accept(JobSpec spec, Responder responder) {
    String claimant = claims.admitsAtOnce(spec) ? membership.ownIncarnation() : null;
    JobRecord record =
        new JobRecord(
            spec, timers.wallClockMs(), claimant, claimant == null ? 0 : 1, Status.OPEN, 0);
    String writeId = store.newWriteId();
    PendingSubmission pending = new PendingSubmission(spec, writeId, responder, timers.now());
    pendingSubmissions.putIfAbsent(spec.id(), pending);
    store.tryTxn(
        new Txn()
            .requireRevision(JobRecord.key(spec.id()), 0)
            .requireRevision(JobRecord.finalKey(spec.id()), 0)
            .put(JobRecord.key(spec.id()), record.toDocument(writeId)),
        RequestPriority.USER,
        result -> {
          if (result.ok()) {
            LOG.log(
                Level.INFO,
                "accepted job {0}: {1} tasks of class {2} for team {3}",
                spec.id(),
                spec.tasks(),
                spec.jobClass(),
                spec.team());
            jobs.applyOwnWrite(spec.id(), record, writeId, result.revision());
          }
          pendingSubmissions.remove(spec.id(), pending);
          if (!pending.handled) {
            writeCompleted(pending, result);
          }
        });
  }

  private void writeCompleted(PendingSubmission pending, StateStore.WriteResult result) {
    if (result.ok()) {
      respondAccepted(pending, result.revision());
    } else if (result.outcome() == Outcome.CONFLICT) {
      // Another write has recorded the job, or it ended before the replica showed it.
      respondWithCurrentStatus(pending.spec, null, pending.responder);
    } else {
      responses.sendRetryLater(pending.responder, AnswerRefusal.WRITE_FAILED);
    }
  }

  private void respondAccepted(PendingSubmission pending, long revision) {
    responses.sendAccepted(
        pending.responder,
        pending.spec.id(),
        ConfirmedStatus.ofOwnWrite(revision, pending.requestedAt));
  }

  /** A submission whose record is being written. */
  private static final class PendingSubmission {
    final JobSpec spec;
    final String writeId;
    final Responder responder;

    /** When the write was requested, in seconds. */
    final double requestedAt;

    /** Whether the response has been sent or a read for it has been started. */
    boolean handled;

    PendingSubmission(JobSpec spec, String writeId, Responder responder, double requestedAt) {
      this.spec = spec;
      this.writeId = writeId;
      this.responder = responder;
      this.requestedAt = requestedAt;
    }
  }

  /**
   * Responds to a submission as soon as the replica shows the job's record, even if the response to
   * the write is late or lost; without this the user would wait and get a 503, and the job would
   * wait until its claim is discovered. A record stored by another write proves only that the job
   * was accepted at some time: it may have ended since, so its status is read.
   */
  void onRecordReplicated(String id, JobTable.Entry entry) {
    PendingSubmission pending = pendingSubmissions.remove(id);
    if (pending == null) {
      return;
    }
    pending.handled = true;
    JobRecord record = entry.record();
    if (record.isClaimedBy(membership.ownIncarnation()) && record.term() == 1) {
      claims.adopt(id, true);
    }
    if (entry.writeId().equals(pending.writeId)) {
      respondAccepted(pending, entry.revision());
    } else {
      respondWithCurrentStatus(pending.spec, null, pending.responder);
    }
  }

  /**
   * Responds with the current status of a job that is or may be recorded already.
   *
   * @param reason why a job that is not recorded is rejected with a 422; if null, the user gets a
   *     503 instead
   */
  private void respondWithCurrentStatus(JobSpec spec, String reason, Responder responder) {
    jobs.readCurrent(
        spec.id(),
        RequestPriority.USER,
        found -> {
          if (found.outcome() == Outcome.OK) {
            responses.sendStatus(responder, spec.id(), found.status());
          } else if (found.outcome() == Outcome.NOT_FOUND && reason != null) {
            responses.sendError(responder, 422, reason);
          } else {
            responses.sendRetryLater(responder, AnswerRefusal.READ_FAILED);
          }
        });
  }

  /** Why the job can never run, or null if it can or if the catalog is not known yet. */
  private String rejectionReason(JobSpec spec) {
    Optional<Settings.Team> team = settings.team(spec.team());
    if (team.isEmpty()) {
      return "owner is not a known team";
    }
    int maxBytes = store.txnLimits().maxValueBytes();
    int recordBytes = new JobRecord(spec, timers.wallClockMs(), null, 0, Status.OPEN, 0).maxBytes();
    if (recordBytes > maxBytes) {
      return "the job is too large to be stored: its record may need "
          + recordBytes
          + " bytes as JSON, and "
          + maxBytes
          + " are the most";
    }
    if (!catalog.isLoaded()) {
      return null;
    }
    Resources taskResources = spec.taskResources();
    boolean fits = false;
    for (MachineType t : catalog.types()) {
      boolean allowed = spec.machineTypes() == null || spec.machineTypes().contains(t.name());
      boolean inZone =
          spec.zone() == null || t.zones().isEmpty() || t.zones().contains(spec.zone());
      fits |= allowed && inZone && taskResources.fitsIn(t.resources());
    }
    if (!fits) {
      return "a task fits no allowed machine type";
    }
    // All tasks of a service run at once; the tasks of a batch job may run one after another.
    double concurrentTasks = spec.service() ? spec.tasks() : 1;
    if (team.get().cpusMax() > 0 && spec.cpus() * concurrentTasks > team.get().cpusMax() + 1e-9
        || team.get().gpusMax() > 0
            && spec.gpus() * concurrentTasks > team.get().gpusMax() + 1e-9) {
      return "the job needs more than the team's limit";
    }
    return null;
  }
}
