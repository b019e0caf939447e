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

/** A machine that this controller holds. */
final class Machine {
  /** A start under way; {@code sentUnder} is the token it went out with, 0 if it has not yet. */
  static final class Pending {
    final long attempt;
    long sentUnder;

    Pending(long attempt) {
      this.attempt = attempt;
    }
  }

  record Offered(String node, String job, Size size, double until) {
    Offered until(double later) {
      return new Offered(node, job, size, later);
    }
  }

  /** An attempt to be stopped or cleared, repeated until the worker's report shows it. */
  static final class Wish {
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    final long attempt;
    final double graceS;

    /** When it was wished for; matters for clears alone. */
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
   * When its session was first seen, be it by a report, an answer or another controller's word, or
   * when the worker first showed a token of this hold, if that was later.
   */
  double begun;

  /** What its worker has said so far, by which copies of old reports are told from news. */
  Freshness fresh = Freshness.NONE;

  /** Whether what is said to it arrives. */
  Responsiveness responsiveness = Responsiveness.GOOD;

  /** It has been asked what it is at, and the answer is not here yet. */
  boolean questioned;

  /** When a report of it was last answered. */
  double answered = Double.NEGATIVE_INFINITY;

  Double noticeS;
  double noticeAt;
  double looked;
  boolean settled;

  /** The worker has reported under a token of this hold: nobody else can renew its lease. */
  boolean ours;

  boolean lost;
  boolean doubt;
  boolean raising;
  boolean ordering;

  /** Until when it is closed because it is to be returned; 0 if it is not. */
  double retiringUntil;

  /** Time of day since when nothing has run on it while it was open; 0 while that is not so. */
  private long idleSinceMs;

  /** The controller to which its next report is sent, or null. */
  String sendTo;

  /** Orders of an earlier incarnation may still be on their way to the worker. */
  boolean resumed;

  final Map<TaskId, Report.Task> tasks = new LinkedHashMap<>();
  final Map<TaskId, Pending> pending = new LinkedHashMap<>();
  final Map<TaskId, Double> startedAt = new HashMap<>();
  final Map<TaskId, Wish> stops = new HashMap<>();
  final Map<TaskId, Wish> clears = new HashMap<>();
  final Map<TaskId, Long> fence = new HashMap<>();
  final Map<Long, Offered> offers = new HashMap<>();

  /** Jobs that have failed on it since anything was done there. */
  Blame blame = Blame.NONE;

  final Set<String> images = new LinkedHashSet<>();
  final WantBook book = new WantBook();
  boolean quarantined;

  /** What others know of it has changed. */
  boolean dirty = true;

  /** It is about to be told to the others. */
  boolean telling;

  /** What was last to be told of it, without tasks; null before that. */
  View latest;

  /** When that was. */
  double latestAt;

  /** What each controller was last told of it. */
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

  /** When the lease of its session can have been renewed last, as far as is known here. */
  double renewed() {
    return Math.max(heard, begun);
  }

  /** Whether it is closed because it is to be returned. */
  boolean retiring(double now) {
    return now < retiringUntil;
  }

  /** Since when it idles, in milliseconds of the day's time; 0 while it does not. */
  long idleSince(long nowMs) {
    if (!unfinished().isEmpty() || !open() && retiringUntil == 0) {
      idleSinceMs = 0;
    } else if (idleSinceMs == 0) {
      idleSinceMs = nowMs;
    }
    return idleSinceMs;
  }

  /** Room left on a machine of the type, or none while any task's size is unknown. */
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

  /** An attempt is to be stopped, with so much time to save; a shorter time replaces a longer. */
  void stop(TaskId id, long attempt, double graceS) {
    Wish old = stops.get(id);
    if (old == null || old.attempt != attempt || old.graceS > graceS) {
      stops.put(id, new Wish(attempt, graceS, heard));
    }
  }

  /** Whether starts are under way that a change of hands would disturb. */
  boolean busy() {
    return ordering || !pending.isEmpty() || !offers.isEmpty();
  }

  /** Whether a task of the job is here or about to be. */
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

  /** Tasks that take room or are about to. */
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
