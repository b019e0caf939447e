package dev.dunefront.book;

import dev.dunefront.evidence.FailureScore;
import dev.dunefront.evidence.ReportSequence;
import dev.dunefront.evidence.Responsiveness;
import dev.dunefront.peer.Message.ExitReason;
import dev.dunefront.peer.Message.MachineView;
import dev.dunefront.peer.Message.State;
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

/** A machine that this controller holds. */
final class Machine {
  /** A start under way; {@code sentUnder} is the token it went out with, 0 if it has not yet. */
  static final class PendingStart {
    final long attempt;
    long sentUnderToken;

    PendingStart(long attempt) {
      this.attempt = attempt;
    }
  }

  record OutstandingOffer(String node, String job, Resources size, double expiresAt) {
    OutstandingOffer expiresAt(double later) {
      return new OutstandingOffer(node, job, size, later);
    }
  }

  /** An attempt to be stopped or cleared, repeated until the worker's report shows it. */
  static final class RepeatedCommand {
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    final long attempt;
    final double graceS;

    /** When it was wished for; matters for clears alone. */
    final double requestedAt;

    double lastSentAt = NEVER;

    RepeatedCommand(long attempt, double graceS, double since) {
      this.attempt = attempt;
      this.graceS = graceS;
      this.requestedAt = since;
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
  long token;
  long holdRevision;
  long session;
  double lastContactAt;

  /**
   * When its session was first seen, be it by a report, an answer or another controller's word, or
   * when the worker first showed a token of this hold, if that was later.
   */
  double sessionStartedAt;

  /** What its worker has said so far, by which copies of old reports are told from news. */
  ReportSequence reportSequence = ReportSequence.NONE;

  /** Whether what is said to it arrives. */
  Responsiveness responsiveness = Responsiveness.INITIAL;

  /** It has been asked what it is at, and the answer is not here yet. */
  boolean statusCheckPending;

  /** When a report of it was last answered. */
  double lastAnsweredAt = Double.NEGATIVE_INFINITY;

  Double reclaimNoticeS;
  double reclaimNoticeAt;
  double lastCheckedAt;
  boolean tokenAcknowledged;

  /** The worker has reported under a token of this hold: nobody else can renew its lease. */
  boolean holdAcknowledged;

  boolean leaseExpired;
  boolean commandOutcomeUnknown;
  boolean raisingToken;
  boolean commandsInFlight;

  /** Until when it is closed because it is to be returned; 0 if it is not. */
  double retiringUntil;

  /** Time of day since when nothing has run on it while it was open; 0 while that is not so. */
  private long idleSinceMs;

  /** The controller to which its next report is sent, or null. */
  String redirectTo;

  /** Orders of an earlier incarnation may still be on their way to the worker. */
  boolean resumed;

  final Map<TaskId, Report.Task> tasks = new LinkedHashMap<>();
  final Map<TaskId, PendingStart> pendingStarts = new LinkedHashMap<>();
  final Map<TaskId, Double> startedAt = new HashMap<>();
  final Map<TaskId, RepeatedCommand> pendingStops = new HashMap<>();
  final Map<TaskId, RepeatedCommand> pendingClears = new HashMap<>();
  final Map<TaskId, Long> deniedAttempts = new HashMap<>();
  final Map<Long, OutstandingOffer> offers = new HashMap<>();

  /** Jobs that have failed on it since anything was done there. */
  FailureScore failureScore = FailureScore.NONE;

  final Set<String> cachedImages = new LinkedHashSet<>();
  final WantBook book = new WantBook();
  boolean quarantined;

  /** What others know of it has changed. */
  boolean viewChanged = true;

  /** It is about to be told to the others. */
  boolean publishScheduled;

  /** What was last to be told of it, without tasks; null before that. */
  MachineView latestView;

  /** When that was. */
  double latestViewAt;

  /** What each controller was last told of it. */
  final Map<String, MachineView> lastViewByNode = new HashMap<>();

  Machine(Report r, long token, long holdStamp, double now) {
    this.host = r.host();
    this.endpoint = r.endpoint();
    this.typeName = r.type();
    this.zone = r.zone();
    this.spot = r.spot();
    this.token = token;
    this.holdRevision = holdStamp;
    this.lastContactAt = now;
  }

  boolean open() {
    return tokenAcknowledged
        && !leaseExpired
        && !quarantined
        && !commandOutcomeUnknown
        && !raisingToken
        && responsiveness.trusted()
        && reclaimNoticeS == null
        && retiringUntil == 0;
  }

  /** When the lease of its session can have been renewed last, as far as is known here. */
  double leaseRenewedAt() {
    return Math.max(lastContactAt, sessionStartedAt);
  }

  /** Whether it is closed because it is to be returned. */
  boolean retiring(double now) {
    return now < retiringUntil;
  }

  /** Since when it idles, in milliseconds of the day's time; 0 while it does not. */
  long idleSince(long nowMs) {
    if (!unfinishedTasks().isEmpty() || !open() && retiringUntil == 0) {
      idleSinceMs = 0;
    } else if (idleSinceMs == 0) {
      idleSinceMs = nowMs;
    }
    return idleSinceMs;
  }

  /** Room left on a machine of the type, or none while any task's size is unknown. */
  Resources freeRoom(MachineType type, java.util.function.Function<String, Resources> sizes) {
    if (type == null) {
      return Resources.NONE;
    }
    Resources free = type.resources();
    for (TaskId id : unfinishedTasks()) {
      Resources s = sizes.apply(id.job());
      if (s == null) {
        return Resources.NONE;
      }
      free = free.minus(s);
    }
    for (OutstandingOffer o : offers.values()) {
      free = free.minus(o.size());
    }
    return free;
  }

  /** An attempt is to be stopped, with so much time to save; a shorter time replaces a longer. */
  void requestStop(TaskId id, long attempt, double graceS) {
    RepeatedCommand old = pendingStops.get(id);
    if (old == null || old.attempt != attempt || old.graceS > graceS) {
      pendingStops.put(id, new RepeatedCommand(attempt, graceS, lastContactAt));
    }
  }

  /** Whether starts are under way that a change of hands would disturb. */
  boolean startsInProgress() {
    return commandsInFlight || !pendingStarts.isEmpty() || !offers.isEmpty();
  }

  /** Whether a task of the job is here or about to be. */
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

  /** Tasks that take room or are about to. */
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

  List<TaskStatus> taskStates() {
    List<TaskStatus> all = new ArrayList<>();
    for (Report.Task t : tasks.values()) {
      State state =
          switch (t.state()) {
            case "fetching" -> State.FETCHING;
            case "saving" -> State.SAVING;
            case "exited" -> State.EXITED;
            default -> State.RUNNING;
          };
      ExitReason why =
          switch (t.exitReason()) {
            case "" -> ExitReason.NONE;
            case "done" -> ExitReason.DONE;
            case "error" -> ExitReason.FAILED;
            case "stopped" -> ExitReason.STOPPED;
            default -> ExitReason.REFUSED;
          };
      all.add(new TaskStatus(t.id().job(), t.id().number(), t.attempt(), state, why));
    }
    pendingStarts.forEach(
        (id, p) -> {
          Report.Task t = tasks.get(id);
          if (t == null || t.attempt() != p.attempt) {
            all.add(
                new TaskStatus(id.job(), id.number(), p.attempt, State.PENDING, ExitReason.NONE));
          }
        });
    return all;
  }
}
