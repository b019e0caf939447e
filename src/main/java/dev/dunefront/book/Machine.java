package dev.dunefront.book;

import dev.dunefront.evidence.Blame;
import dev.dunefront.evidence.Freshness;
import dev.dunefront.evidence.Responsiveness;
import dev.dunefront.peer.Message.State;
import dev.dunefront.peer.Message.TaskState;
import dev.dunefront.peer.Message.View;
import dev.dunefront.peer.Message.Why;
import dev.dunefront.wire.MachineType;
import dev.dunefront.wire.Report;
import dev.dunefront.wire.Size;
import dev.dunefront.wire.TaskId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A machine that this controller holds: what its worker has reported, and the orders and offers
 * that are outstanding. Times are seconds of the monotonic clock unless stated otherwise.
 */
final class Machine {
  /**
   * A start that the worker has not confirmed yet. {@code sentUnder} is the token under which the
   * order was sent, 0 if it has not been sent.
   */
  static final class Pending {
    final long attempt;
    long sentUnder;

    Pending(long attempt) {
      this.attempt = attempt;
    }
  }

  /** An offer that is neither taken, declined nor expired. */
  record Offered(String node, String job, Size size, double until) {
    Offered until(double later) {
      return new Offered(node, job, size, later);
    }
  }

  /**
   * A stop or clear of an attempt, which is sent repeatedly until the worker's report shows its
   * effect.
   */
  static final class Wish {
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    final long attempt;
    final double graceS;

    /** When it was requested; used for clears only. */
    final double since;

    double sentAt = NEVER;

    Wish(long attempt, double graceS, double since) {
      this.attempt = attempt;
      this.graceS = graceS;
      this.since = since;
    }

    boolean sent() {
      return sentAt != NEVER;
    }
  }

  final String host;
  String endpoint;
  final String typeName;
  final String zone;
  final boolean spot;
  long token;
  long holdStamp;
  long session;
  double heard;

  /**
   * When its session was first seen, in a report, in a response or in a message of another
   * controller, or when the worker first reported a token of this hold, if that was later.
   */
  double begun;

  /** The sequence of reports and responses received so far, which identifies stale reports. */
  Freshness fresh = Freshness.NONE;

  /** Whether messages to it arrive. */
  Responsiveness responsiveness = Responsiveness.GOOD;

  /** A status request is in progress. */
  boolean questioned;

  /** When a report of it was last answered. */
  double answered = Double.NEGATIVE_INFINITY;

  /** Remaining time until the provider reclaims it, as last reported; null without a notice. */
  Double noticeS;

  /** When that was reported. */
  double noticeAt;

  /** When it was last checked for pending work. */
  double looked;

  /** The worker has reported under the current token. */
  boolean settled;

  /**
   * The worker has reported under a token of this hold, so no other controller can renew its lease.
   */
  boolean ours;

  /** The lease of its session has expired. */
  boolean lost;

  /** It is unknown whether a start that was sent has been or will be carried out. */
  boolean doubt;

  /** A write that raises its token is in progress. */
  boolean raising;

  /** A request with orders is in progress. */
  boolean ordering;

  /** Until when it is closed because it is to be returned to the provider; 0 if it is not. */
  double retiringUntil;

  /**
   * Wall-clock time in milliseconds since when it has been open without a task; 0 while that is not
   * the case.
   */
  private long idleSinceMs;

  /** The controller to which its next report is redirected, or null. */
  String sendTo;

  /** Orders of an earlier incarnation of this controller may still be in transit to the worker. */
  boolean resumed;

  final Map<TaskId, Report.Task> tasks = new LinkedHashMap<>();
  final Map<TaskId, Pending> pending = new LinkedHashMap<>();
  final Map<TaskId, Double> startedAt = new HashMap<>();
  final Map<TaskId, Wish> stops = new HashMap<>();
  final Map<TaskId, Wish> clears = new HashMap<>();

  /** The highest denied attempt of each task; a start of that or an earlier one is refused. */
  final Map<TaskId, Long> fence = new HashMap<>();

  final Map<Long, Offered> offers = new HashMap<>();

  /** Evidence from failed tasks that it is faulty, collected since a task last completed on it. */
  Blame blame = Blame.NONE;

  final Set<String> images = new LinkedHashSet<>();
  final WantBook book = new WantBook();
  boolean quarantined;

  /** Its state has changed since the last view that was published. */
  boolean dirty = true;

  /** Its view is scheduled to be published. */
  boolean telling;

  /** Its most recent view, without tasks; null before the first. */
  View latest;

  /** When that view was built. */
  double latestAt;

  /** The view that was last sent to each controller. */
  final Map<String, View> toldTo = new HashMap<>();

  Machine(Report r, long token, long holdStamp, double now) {
    this.host = r.host();
    this.endpoint = r.endpoint();
    this.typeName = r.type();
    this.zone = r.zone();
    this.spot = r.spot();
    this.token = token;
    this.holdStamp = holdStamp;
    this.heard = now;
  }

  /** Whether tasks may be placed on it. */
  boolean open() {
    return settled
        && !lost
        && !quarantined
        && !doubt
        && !raising
        && responsiveness.trusted()
        && noticeS == null
        && retiringUntil == 0;
  }

  /**
   * The latest time at which the lease of its session can have been renewed, as far as this
   * controller knows.
   */
  double renewed() {
    return Math.max(heard, begun);
  }

  /** Whether it is closed because it is to be returned to the provider. */
  boolean retiring(double now) {
    return now < retiringUntil;
  }

  /** Wall-clock time in milliseconds since when it has been idle; 0 while it is not. */
  long idleSince(long nowMs) {
    if (!unfinished().isEmpty() || !open() && retiringUntil == 0) {
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
  Size free(MachineType type, java.util.function.Function<String, Size> sizes) {
    if (type == null) {
      return Size.NONE;
    }
    Size free = type.size();
    for (TaskId id : unfinished()) {
      Size s = sizes.apply(id.job());
      if (s == null) {
        return Size.NONE;
      }
      free = free.minus(s);
    }
    for (Offered o : offers.values()) {
      free = free.minus(o.size());
    }
    return free;
  }

  /**
   * Requests the stop of an attempt with a grace period for its checkpoint, in seconds. A shorter
   * grace period replaces a longer one.
   */
  void stop(TaskId id, long attempt, double graceS) {
    Wish old = stops.get(id);
    if (old == null || old.attempt != attempt || old.graceS > graceS) {
      stops.put(id, new Wish(attempt, graceS, heard));
    }
  }

  /** Whether orders, starts or offers are outstanding that a change of the holder would disturb. */
  boolean busy() {
    return ordering || !pending.isEmpty() || !offers.isEmpty();
  }

  /** Whether a task of the job is on the machine or about to start. */
  boolean has(String job) {
    for (TaskId id : tasks.keySet()) {
      if (id.job().equals(job)) {
        return true;
      }
    }
    for (TaskId id : pending.keySet()) {
      if (id.job().equals(job)) {
        return true;
      }
    }
    return false;
  }

  /** Tasks that occupy room on the machine or are about to start. */
  List<TaskId> unfinished() {
    List<TaskId> all = new ArrayList<>();
    for (Report.Task t : tasks.values()) {
      if (!t.exited()) {
        all.add(t.id());
      }
    }
    for (TaskId id : pending.keySet()) {
      if (!tasks.containsKey(id) || tasks.get(id).exited()) {
        all.add(id);
      }
    }
    return all;
  }

  /** The states of its tasks and pending starts, as sent to their claimants. */
  List<TaskState> states() {
    List<TaskState> all = new ArrayList<>();
    for (Report.Task t : tasks.values()) {
      State state =
          switch (t.state()) {
            case "fetching" -> State.FETCHING;
            case "saving" -> State.SAVING;
            case "exited" -> State.EXITED;
            default -> State.RUNNING;
          };
      Why why =
          switch (t.why()) {
            case "" -> Why.NONE;
            case "done" -> Why.DONE;
            case "error" -> Why.FAILED;
            case "stopped" -> Why.STOPPED;
            default -> Why.REFUSED;
          };
      all.add(new TaskState(t.id().job(), t.id().number(), t.attempt(), state, why));
    }
    pending.forEach(
        (id, p) -> {
          Report.Task t = tasks.get(id);
          if (t == null || t.attempt() != p.attempt) {
            all.add(new TaskState(id.job(), id.number(), p.attempt, State.PENDING, Why.NONE));
          }
        });
    return all;
  }
}
