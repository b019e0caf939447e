package dev.dunefront.claim;

import dev.dunefront.book.Holds;
import dev.dunefront.claim.Claim.End;
import dev.dunefront.claim.Claim.Ended;
import dev.dunefront.claim.Claim.Live;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Message.TaskState;
import dev.dunefront.peer.Message.View;
import dev.dunefront.peer.Message.Why;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Compares what is recorded with what holders say, and finds out how attempts ended: by their exit,
 * or by a proof that they are gone.
 */
final class Reconciliation {
  private static final System.Logger LOG = System.getLogger(Reconciliation.class.getName());
  private static final double REPEAT_S = 1.5;
  private static final double AVOID_S = 15;

  private final ControllerContext context;
  private final Room room;
  private final Urgencies urgencies;
  private final Recorder recorder;
  private final Turnover turnover;

  Reconciliation(
      ControllerContext context,
      Room room,
      Urgencies urgencies,
      Recorder recorder,
      Turnover turnover) {
    this.turnover = turnover;
    this.context = context;
    this.room = room;
    this.urgencies = urgencies;
    this.recorder = recorder;
  }

  /** A holder has told of a machine: every job with tasks there is compared with its word. */
  void heard(Room.Seen seen, Map<String, Claim> claims) {
    View v = seen.view();
    Set<Claim> concerned = new LinkedHashSet<>();
    for (TaskState t : v.tasks()) {
      Claim c = claims.get(t.job());
      if (c != null) {
        concerned.add(c);
      }
    }
    for (Claim c : claims.values()) {
      if (!c.liveOn(v.host()).isEmpty()) {
        concerned.add(c);
      }
    }
    for (Claim c : concerned) {
      compare(c, seen);
    }
  }

  void compare(Claim c, Room.Seen seen) {
    if (c.loading || seen == null) {
      return;
    }
    View v = seen.view();
    double now = context.now();
    Map<Integer, TaskState> current = new HashMap<>();
    List<TaskState> strays = new ArrayList<>();
    Map<Integer, Live> live = c.liveOn(v.host());
    for (TaskState t : v.tasks()) {
      if (t.job().equals(c.id())) {
        Live l = live.get(t.number());
        if (l != null && l.placement.attempt() == t.attempt()) {
          current.put(t.number(), t);
        } else {
          strays.add(t);
        }
      }
    }
    for (var e : live.entrySet()) {
      Live l = e.getValue();
      int number = e.getKey();
      if (l.ending) {
        continue;
      }
      TaskState t = current.get(number);
      l.shown = t != null;
      if (v.tenure() > l.placement.tenure()) {
        end(c, number, l, End.GONE, Ended.UNCONDITIONAL);
      } else if (t != null && t.exited()) {
        end(c, number, l, endOf(t.why()), Ended.UNCONDITIONAL);
      } else if (v.lost()) {
        // The last report still shows the task, but its lease is surely over.
        end(c, number, l, End.GONE, v.holdStamp());
      } else if (t != null) {
        if (l.state != t.state()) {
          LOG.log(Level.DEBUG, "{0}/{1} is {2} on {3}", c.id(), number, t.state(), v.host());
        }
        if (t.state() == Message.State.RUNNING
            && (l.state == Message.State.PENDING || l.state == Message.State.FETCHING)) {
          l.runningSince = now;
        }
        l.state = t.state();
      } else if (v.settled() && now - l.probedAt > REPEAT_S) {
        l.probedAt = now;
        context
            .peers()
            .send(
                seen.holder(),
                new Message.Probe(
                    v.host(), c.record.term(), c.id(), number, l.placement.attempt()));
      }
    }
    if (!c.flying) {
      for (TaskState t : strays) {
        // Not recorded, so it must not run.
        context
            .peers()
            .send(
                seen.holder(),
                t.exited()
                    ? new Message.Clear(v.host(), c.record.term(), c.id(), t.number(), t.attempt())
                    : new Message.Stop(
                        v.host(), c.record.term(), c.id(), t.number(), t.attempt(), 0));
      }
    }
    if (!c.ends.isEmpty()) {
      recorder.flush(c);
    }
  }

  /** Looks again where the last word did not show a placed task. */
  void lookAgain(Claim c) {
    Set<String> unshown = null;
    for (Live l : c.live.values()) {
      if (!l.shown && !l.ending) {
        if (unshown == null) {
          unshown = new HashSet<>();
        }
        unshown.add(l.placement.host());
      }
    }
    if (unshown != null) {
      for (String host : unshown) {
        Holds.Hold hold = context.holds().get(host);
        if (hold != null && hold.dead()) {
          endAllOn(c, host);
        } else {
          compare(c, room.get(host));
        }
      }
    }
  }

  /** The cloud has confirmed the machine's end. */
  void endAllOn(Claim c, String host) {
    c.liveOn(host)
        .forEach(
            (number, l) -> {
              if (!l.ending) {
                end(c, number, l, End.GONE, Ended.UNCONDITIONAL);
              }
            });
    recorder.flush(c);
  }

  private static End endOf(Why why) {
    return switch (why) {
      case DONE -> End.DONE;
      case FAILED -> End.FAILED;
      case REFUSED -> End.REFUSED;
      default -> End.STOPPED;
    };
  }

  void end(Claim c, int number, Live l, End end, long holdStamp) {
    l.ending = true;
    LOG.log(Level.DEBUG, "{0}/{1} is over on {2}: {3}", c.id(), number, l.placement.host(), end);
    c.ends.add(new Ended(number, l.placement, end, holdStamp));
    double now = context.now();
    String host = l.placement.host();
    if (end == End.DONE) {
      ran(c, now);
      turnover.ended(host, c.size, now);
      if (l.runningSince > 0) {
        urgencies.ran(c.spec, now - l.runningSince);
      }
    }
    if (end == End.FAILED) {
      failed(c, number, host, now);
    } else if (end == End.REFUSED) {
      c.avoid.put(host, now + 3);
    }
  }

  private void blame(Claim c, String host, int weight) {
    Room.Seen s = room.get(host);
    if (s != null) {
      context.peers().send(s.holder(), new Message.Blame(host, c.id(), weight));
    }
  }

  /**
   * A task of a job has been done: what failed of it before speaks against the machines that it
   * failed on, and it need not wait for its next try any longer.
   */
  private void ran(Claim c, double now) {
    if (c.runs()) {
      return;
    }
    c.ran = true;
    if (!c.failedOn.isEmpty()) {
      c.notBefore = Math.min(c.notBefore, now);
      c.failedOn.keySet().forEach(h -> blame(c, h, Message.Blame.PROVEN));
    }
  }

  private void failed(Claim c, int number, String host, double now) {
    c.failures++;
    Double before = c.failedOn.putIfAbsent(host, now);
    boolean first = before == null;
    c.avoid.put(host, now + 4 * AVOID_S);
    if (first && c.runs()) {
      blame(c, host, Message.Blame.PROVEN);
    } else if (first && !c.suspect()) {
      blame(c, host, Message.Blame.UNPROVEN);
    } else if (!c.suspect() && now - before >= 4 * AVOID_S) {
      // Tried again on the one machine that there is: that says as much as once among others.
      blame(c, host, Message.Blame.PROVEN);
    } else if (first) {
      c.failedOn.keySet().forEach(h -> blame(c, h, Message.Blame.WITHDRAWN));
    }
    if (c.suspect()) {
      // Fails everywhere: it is tried again ever more rarely, one task at a time.
      c.notBefore = now + Math.min(60, Math.pow(2, Math.min(6, c.failures)));
    }
    LOG.log(Level.INFO, "{0}/{1} failed on {2}", c.id(), number, host);
  }
}
