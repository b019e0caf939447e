package dev.dunefront.claim;

import dev.dunefront.book.Holds;
import dev.dunefront.claim.Claim.End;
import dev.dunefront.claim.Claim.Ended;
import dev.dunefront.claim.Claim.Live;
import dev.dunefront.evidence.EndProof;
import dev.dunefront.evidence.EndProof.Basis;
import dev.dunefront.evidence.Invariant;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Message.TaskState;
import dev.dunefront.peer.Message.View;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;

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
  private final UnclaimedViews unclaimed = new UnclaimedViews();

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

  /** A holder has told of a machine: every job with tasks there is compared with what it says. */
  void heard(Room.Seen seen, Map<String, Claim> claims) {
    View v = seen.view();
    Set<Claim> concerned = new LinkedHashSet<>();
    for (TaskState t : v.tasks()) {
      Claim c = claims.get(t.job());
      if (c != null) {
        concerned.add(c);
      } else {
        unclaimed.shown(t.job(), v.host(), context.now());
      }
    }
    for (Claim c : claims.values()) {
      if (!c.liveOn(v.host()).isEmpty() || !c.strays.on(v.host()).isEmpty()) {
        concerned.add(c);
      }
    }
    for (Claim c : concerned) {
      compare(c, seen);
    }
  }

  /** A claim begins: it has yet to read which machines have shown its tasks. */
  void began(Claim c) {
    c.unread.addAll(unclaimed.take(c.id()));
  }

  /** Called several times a second. */
  void tick() {
    unclaimed.tidy(context.now());
  }

  /** Compares what is recorded of a job on a machine with what the machine's holder says. */
  void compare(Claim c, Room.Seen seen) {
    if (seen == null) {
      return;
    }
    if (c.loading) {
      c.unread.add(seen.view().host());
      return;
    }
    c.unread.remove(seen.view().host());
    Map<Integer, Live> placed = c.liveOn(seen.view().host());
    Map<Integer, TaskState> shown = new HashMap<>();
    List<TaskState> unrecorded = new ArrayList<>();
    for (TaskState task : seen.view().tasks()) {
      if (task.job().equals(c.id())) {
        Live live = placed.get(task.number());
        if (live != null && live.placement.attempt() == task.attempt()) {
          shown.put(task.number(), task);
        } else {
          unrecorded.add(task);
        }
      }
    }
    placed.forEach(
        (number, live) -> {
          if (!live.ending) {
            compare(c, number, live, shown.get(number), seen);
          }
        });
    reject(c, unrecorded, seen);
    if (!c.ends.isEmpty()) {
      recorder.flush(c);
    }
  }

  /** Compares one placed task; {@code shown} is null if the view does not show its attempt. */
  private void compare(Claim c, int number, Live live, TaskState shown, Room.Seen seen) {
    View view = seen.view();
    live.shown = shown != null;
    Basis basis = Basis.of(seen.holder(), view, context.now() - seen.at());
    EndProof proof = EndProof.find(live.placement.asAttempt(), shown, view, basis);
    if (proof != null) {
      end(c, number, live, proof);
    } else if (shown != null) {
      progressed(c, number, live, shown, view.host());
    } else if (view.settled() && context.now() - live.probedAt > REPEAT_S) {
      live.probedAt = context.now();
      long attempt = live.placement.attempt();
      context
          .peers()
          .send(
              seen.holder(),
              new Message.Probe(view.host(), c.record.term(), c.id(), number, attempt));
    }
  }

  private void progressed(Claim c, int number, Live live, TaskState shown, String host) {
    if (live.state != shown.state()) {
      LOG.log(Level.DEBUG, "{0}/{1} is {2} on {3}", c.id(), number, shown.state(), host);
    }
    if (shown.state() == Message.State.RUNNING
        && (live.state == Message.State.PENDING || live.state == Message.State.FETCHING)) {
      live.runningSince = context.now();
    }
    live.state = shown.state();
  }

  /** What is not recorded must not run, and is not kept once it has exited. */
  private void reject(Claim c, List<TaskState> unrecorded, Room.Seen seen) {
    View view = seen.view();
    Set<Integer> alive = new HashSet<>();
    for (TaskState task : unrecorded) {
      if (task.exited()) {
        clear(c, task, seen);
      } else if (!view.lost()) {
        alive.add(task.number());
        if (c.strays.shown(view.host(), task.number(), task.attempt(), view.session())) {
          context.safety().straySeen();
          LOG.log(
              Level.INFO,
              "{0} shows {1}/{2}, attempt {3} of session {4}, which no record names: stopped",
              view.host(),
              c.id(),
              task.number(),
              task.attempt(),
              view.session());
        }
      }
    }
    if ((view.settled() || view.lost()) && isCurrent(view)) {
      forgetStrays(c, view.host(), number -> !alive.contains(number));
    }
    stopStrays(c, seen);
  }

  /**
   * Whether no other hold of the machine is on record than the one under which the view is told.
   */
  private boolean isCurrent(View view) {
    Holds.Hold hold = context.holds().of(view.host(), view.zone());
    return hold != null && hold.stamp() == view.holdStamp();
  }

  private void clear(Claim c, TaskState task, Room.Seen seen) {
    String host = seen.view().host();
    long term = c.record.term();
    context
        .peers()
        .send(seen.holder(), new Message.Clear(host, term, c.id(), task.number(), task.attempt()));
  }

  private void forgetStrays(Claim c, String host, IntPredicate gone) {
    int forgotten = c.strays.forget(host, gone);
    if (forgotten > 0) {
      context.safety().straysGone(forgotten);
      LOG.log(
          Level.INFO, "{0} of {1} on {2} that no record names are gone", forgotten, c.id(), host);
    }
  }

  /** Stops what is not recorded on a machine, unless that was asked for just now. */
  private void stopStrays(Claim c, Room.Seen seen) {
    String host = seen.view().host();
    for (Strays.Stray stray : c.strays.on(host).values()) {
      if (context.now() - stray.stoppedAt > REPEAT_S) {
        stray.stoppedAt = context.now();
        long term = c.record.term();
        context
            .peers()
            .send(
                seen.holder(),
                new Message.Stop(host, term, c.id(), stray.number, stray.attempt, 0));
      }
    }
  }

  /** The claim is given up or over; whoever takes it is shown what no record names. */
  void forget(Claim c) {
    context.safety().straysGone(c.strays.count());
  }

  /** A holder denies a placed attempt. */
  void denied(String holder, Message.Absent absent, Claim c, Live live) {
    Basis basis =
        new Basis(holder, absent.token(), live.placement.session(), absent.holdStamp(), 0);
    end(c, absent.number(), live, EndProof.denied(basis));
    recorder.flush(c);
  }

  /** Looks again where the last view did not show a placed task, or showed one too many. */
  void lookAgain(Claim c) {
    for (Live l : c.live.values()) {
      if (!l.shown && !l.ending) {
        c.unread.add(l.placement.host());
      }
    }
    c.unread.addAll(c.strays.hosts());
    readAgain(c);
  }

  /** Compares what has not been compared yet. */
  void readAgain(Claim c) {
    if (c.unread.isEmpty() || c.loading) {
      return;
    }
    List<String> hosts = List.copyOf(c.unread);
    c.unread.clear();
    for (String host : hosts) {
      Holds.Hold hold = context.holds().get(host);
      if (hold != null && hold.dead()) {
        endAllOn(c, host);
      } else {
        compare(c, room.get(host));
      }
    }
  }

  /** The cloud has confirmed the machine's end. */
  void endAllOn(Claim c, String host) {
    forgetStrays(c, host, number -> true);
    c.liveOn(host)
        .forEach(
            (number, l) -> {
              if (!l.ending) {
                end(c, number, l, EndProof.machineDeleted());
              }
            });
    recorder.flush(c);
  }

  private static End endOf(EndProof proof) {
    if (proof.kind() != EndProof.Kind.EXITED) {
      return End.GONE;
    }
    return switch (proof.why()) {
      case DONE -> End.DONE;
      case FAILED -> End.FAILED;
      case REFUSED -> End.REFUSED;
      default -> End.STOPPED;
    };
  }

  /** The only way in which a placed attempt ends. */
  private void end(Claim c, int number, Live l, EndProof proof) {
    if (!proof.concerns(l.placement.asAttempt())) {
      context
          .safety()
          .violated(
              Invariant.PROOF_OF_ANOTHER_SESSION,
              c.id() + "/" + number + ", " + l.placement + ", by " + proof);
      return;
    }
    End end = endOf(proof);
    l.ending = true;
    context.safety().ended(proof);
    LOG.log(
        Level.DEBUG,
        "{0}/{1} is over on {2}: {3}, attempt {4} of session {5} by {6}",
        c.id(),
        number,
        l.placement.host(),
        end,
        l.placement.attempt(),
        l.placement.session(),
        proof);
    c.ends.add(new Ended(number, l.placement, end, proof));
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
