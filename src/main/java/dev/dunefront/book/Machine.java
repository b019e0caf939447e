package dev.dunefront.book;

import dev.dunefront.evidence.FailureScore;
import dev.dunefront.evidence.Responsiveness;
import dev.dunefront.evidence.WorkerBoot;
import dev.dunefront.peer.Message.ExitReason;
import dev.dunefront.peer.Message.MachineView;
import dev.dunefront.peer.Message.TaskState;
import dev.dunefront.peer.Message.TaskStatus;
import dev.dunefront.wire.MachineType;
import dev.dunefront.wire.Report;
import dev.dunefront.wire.Resources;
import dev.dunefront.wire.TaskId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A machine that this controller holds: what its worker has reported, and the commands and offers
 * that are outstanding. Times are seconds of the monotonic clock unless stated otherwise.
 */
final class Machine {
  /**
   * A start that the worker has not confirmed yet. {@code sentUnderToken} is the token under which
   * the command was sent, 0 if it has not been sent.
   */
  static final class PendingStart {
    final long attempt;
    long sentUnderToken;

    PendingStart(long attempt) {
      this.attempt = attempt;
    }
  }

  /** An offer that is neither taken, declined nor expired. */
  record OutstandingOffer(String node, String job, Resources size, double expiresAt) {
    OutstandingOffer expiresAt(double newExpiry) {
      return new OutstandingOffer(node, job, size, newExpiry);
    }
  }

  /**
   * A stop or clear of an attempt, which is sent repeatedly until the worker's report shows its
   * effect.
   */
  static final class RepeatedCommand {
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    final long attempt;
    final double graceS;

    /** When it was requested; used for clears only. */
    final double requestedAt;

    double lastSentAt = NEVER;

    RepeatedCommand(long attempt, double graceS, double requestedAt) {
      this.attempt = attempt;
      this.graceS = graceS;
      this.requestedAt = requestedAt;
    }

    boolean sent() {
      return lastSentAt != NEVER;
    }
  }

  final String host;
  String endpoint;
  final String typeName;
  final String zone;
  final boolean spot;

  /** The first token of the hold, by which controllers tell holds of the machine apart. */
  long token;

  long holdRevision;

  /** The present boot of its worker: the tokens given to it and the reports received from it. */
  WorkerBoot boot;

  /** Number of the worker's session; 0 until the worker has confirmed it. */
  long session;

  double lastContactAt;

  /**
   * When its session was first seen, in a report, in a response or in a message of another
   * controller, or when the worker first reported a token of this hold, if that was later.
   */
  double sessionStartedAt;

  /** Whether messages to it arrive. */
  Responsiveness responsiveness = Responsiveness.INITIAL;

  /** A status request is in progress. */
  boolean statusCheckPending;

  /** When a report of it was last answered. */
  double lastAnsweredAt = Double.NEGATIVE_INFINITY;

  /** Remaining time until the provider reclaims it, as last reported; null without a notice. */
  Double reclaimNoticeS;

  /** When that was reported. */
  double reclaimNoticeAt;

  /** When it was last checked for pending work. */
  double lastCheckedAt;

  /** The worker has reported under a token of the current hold, in its present boot. */
  boolean tokenAcknowledged;

  /**
   * The worker has reported under a token of this hold, so no other controller can renew its lease.
   */
  boolean holdAcknowledged;

  /** The lease of its session has expired. */
  boolean leaseExpired;

  /**
   * Until when a start without a valid response may have reached the worker; negative infinity if
   * there is none. The machine may have restarted unnoticed before that.
   */
  double unansweredStartUntil = Double.NEGATIVE_INFINITY;

  /** It is unknown whether a start that was sent has been or will be carried out. */
  boolean commandOutcomeUnknown;

  /** A write that raises its token is in progress. */
  boolean raisingToken;

  /** A request with commands is in progress. */
  boolean commandsInFlight;

  /** Until when it is closed because it is to be returned to the provider; 0 if it is not. */
  double retiringUntil;

  /**
   * Wall-clock time in milliseconds since when it has had no task while tasks may be placed on it;
   * 0 while that is not the case.
   */
  private long idleSinceMs;

  /** The controller to which its next report is redirected, or null. */
  String redirectTo;

  /** It is held without a write, as its record or the roster already named this controller. */
  boolean resumed;

  final Map<TaskId, Report.Task> tasks = new LinkedHashMap<>();
  final Map<TaskId, PendingStart> pendingStarts = new LinkedHashMap<>();
  final Map<TaskId, Double> startedAt = new HashMap<>();
  final Map<TaskId, RepeatedCommand> pendingStops = new HashMap<>();
  final Map<TaskId, RepeatedCommand> pendingClears = new HashMap<>();

  /** The highest denied attempt of each task; a start of that or an earlier one is refused. */
  final Map<TaskId, Long> deniedAttempts = new HashMap<>();

  final Map<Long, OutstandingOffer> offers = new HashMap<>();

  /** Evidence from failed tasks that it is faulty, collected since a task last completed on it. */
  FailureScore failureScore = FailureScore.NONE;

  final Set<String> cachedImages = new LinkedHashSet<>();
  final WantBook book = new WantBook();
  boolean quarantined;

  /** Its state has changed since the last view that was published. */
  boolean viewChanged = true;

  /** Its view is scheduled to be published. */
  boolean publishScheduled;

  /** Its most recent view, without tasks; null before the first. */
  MachineView latestView;

  /** When that view was built. */
  double latestViewAt;

  /** The view that was last sent to each controller. */
  final Map<String, MachineView> lastViewByNode = new HashMap<>();

  Machine(Report r, WorkerBoot boot, long token, long holdRevision, double now) {
    this.host = r.host();
    this.endpoint = r.endpoint();
    this.typeName = r.type();
    this.zone = r.zone();
    this.spot = r.spot();
    this.boot = boot;
    this.token = token;
    this.holdRevision = holdRevision;
    this.lastContactAt = now;
  }

  /** Whether the worker, when it sent this, had a token of this hold that only its boot has. */
  boolean isAcknowledgedBy(Report r) {
    return r.token() >= Math.max(token, boot.firstToken());
  }

  /**
   * Whether a report or response confirms the boot in a lower session than the one that is
   * published. That can only be a boot that followed the one whose session it is, since a session
   * never falls within a boot.
   */
  boolean publishedSessionIsOfEarlierBoot(Report r) {
    return !boot.confirmed() && !boot.mayBeOfAnotherBoot(r) && r.session() < session;
  }

  /** Whether tasks may be placed on it. */
  boolean schedulable() {
    return tokenAcknowledged
        && !leaseExpired
        && !quarantined
        && !commandOutcomeUnknown
        && !raisingToken
        && responsiveness.trusted()
        && reclaimNoticeS == null
        && retiringUntil == 0;
  }

  /**
   * The latest time at which the lease of its session can have been renewed, as far as this
   * controller knows.
   */
  double leaseRenewedAt() {
    return Math.max(lastContactAt, sessionStartedAt);
  }

  /**
   * The time at which the lease of its session has certainly expired, in any boot that may carry
   * out a start sent to it. If the machine restarted unnoticed after its last report, a start that
   * got no response may wait in the boot that followed, which began later. It is carried out if
   * that boot is in a session of the same number, which ends at the latest that many lease
   * durations after the start could still reach it.
   *
   * @param leaseS an upper bound of the worker's lease duration on this controller's clock
   */
  double leaseOverAt(double leaseS) {
    double ownLeaseOverAt = leaseRenewedAt() + leaseS;
    return lastContactAt >= unansweredStartUntil
        ? ownLeaseOverAt
        : Math.max(ownLeaseOverAt, unansweredStartUntil + Math.max(1, session) * leaseS);
  }

  /** Whether it is closed because it is to be returned to the provider. */
  boolean retiring(double now) {
    return now < retiringUntil;
  }

  /** Wall-clock time in milliseconds since when it has been idle; 0 while it is not. */
  long idleSince(long nowMs) {
    if (!unfinishedTasks().isEmpty() || !schedulable() && retiringUntil == 0) {
      idleSinceMs = 0;
    } else if (idleSinceMs == 0) {
      idleSinceMs = nowMs;
    }
    return idleSinceMs;
  }

  /**
   * Free room on a machine of this type. None if the type is null or the size of any task on it is
   * unknown.
   */
  Resources freeRoom(MachineType type, java.util.function.Function<String, Resources> sizes) {
    if (type == null) {
      return Resources.NONE;
    }
    Resources free = type.resources();
    for (TaskId id : unfinishedTasks()) {
      Resources size = sizes.apply(id.job());
      if (size == null) {
        return Resources.NONE;
      }
      free = free.minus(size);
    }
    for (OutstandingOffer offer : offers.values()) {
      free = free.minus(offer.size());
    }
    return free;
  }

  /**
   * Requests the stop of an attempt with a grace period for its checkpoint, in seconds. A shorter
   * grace period replaces a longer one.
   */
  void requestStop(TaskId id, long attempt, double graceS) {
    RepeatedCommand current = pendingStops.get(id);
    if (current == null || current.attempt != attempt || current.graceS > graceS) {
      pendingStops.put(id, new RepeatedCommand(attempt, graceS, lastContactAt));
    }
  }

  /**
   * Whether commands, starts or offers are outstanding that a change of the holder would disturb.
   */
  boolean startsInProgress() {
    return commandsInFlight || !pendingStarts.isEmpty() || !offers.isEmpty();
  }

  /** Whether a task of the job is on the machine or about to start. */
  boolean hasTaskOf(String job) {
    for (TaskId id : tasks.keySet()) {
      if (id.job().equals(job)) {
        return true;
      }
    }
    for (TaskId id : pendingStarts.keySet()) {
      if (id.job().equals(job)) {
        return true;
      }
    }
    return false;
  }

  /** Tasks that occupy room on the machine or are about to start. */
  List<TaskId> unfinishedTasks() {
    List<TaskId> all = new ArrayList<>();
    for (Report.Task t : tasks.values()) {
      if (!t.exited()) {
        all.add(t.id());
      }
    }
    for (TaskId id : pendingStarts.keySet()) {
      if (!tasks.containsKey(id) || tasks.get(id).exited()) {
        all.add(id);
      }
    }
    return all;
  }

  /** The states of its tasks and pending starts, as sent to their claimants. */
  List<TaskStatus> taskStates() {
    List<TaskStatus> all = new ArrayList<>();
    for (Report.Task t : tasks.values()) {
      TaskState state =
          switch (t.state()) {
            case "fetching" -> TaskState.FETCHING;
            case "saving" -> TaskState.SAVING;
            case "exited" -> TaskState.EXITED;
            default -> TaskState.RUNNING;
          };
      ExitReason exitReason =
          switch (t.exitReason()) {
            case "" -> ExitReason.NONE;
            case "done" -> ExitReason.DONE;
            case "error" -> ExitReason.FAILED;
            case "stopped" -> ExitReason.STOPPED;
            default -> ExitReason.REFUSED;
          };
      all.add(new TaskStatus(t.id().job(), t.id().number(), t.attempt(), state, exitReason));
    }
    pendingStarts.forEach(
        (id, start) -> {
          Report.Task t = tasks.get(id);
          if (t == null || t.attempt() != start.attempt) {
            all.add(
                new TaskStatus(
                    id.job(), id.number(), start.attempt, TaskState.PENDING, ExitReason.NONE));
          }
        });
    return all;
  }
}
