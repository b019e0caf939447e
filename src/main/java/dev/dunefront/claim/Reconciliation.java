package dev.dunefront.claim;

import dev.dunefront.book.Holds;
import dev.dunefront.claim.Claim.Live;
import dev.dunefront.evidence.EndProof;
import dev.dunefront.evidence.EndProof.Basis;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Message.TaskState;
import dev.dunefront.peer.Message.View;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
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

  /** A holder is asked again for an attempt that it does not show after so long, in seconds. */
  private static final double REPEAT_S = 1.5;

  private final ControllerContext context;
  private final Room room;
  private final Recorder recorder;
  private final AttemptEnds ends;
  private final StrayControl strays;
  private final UnclaimedViews unclaimed = new UnclaimedViews();

  Reconciliation(ControllerContext context, Room room, Recorder recorder, AttemptEnds ends) {
    this.context = context;
    this.room = room;
    this.recorder = recorder;
    this.ends = ends;
    this.strays = new StrayControl(context);
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
      if (!c.liveOn(v.host()).isEmpty()
          || !c.strays.isEmpty() && !c.strays.on(v.host()).isEmpty()) {
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

  /** A claim is given up or over; whoever takes the job is shown what no record names. */
  void ended(Claim c) {
    strays.ended(c);
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
    strays.reject(c, unrecorded, seen);
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
      ends.end(c, number, live, proof);
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

  /** A holder denies a placed attempt. */
  void denied(String holder, Message.Absent absent, Claim c, Live live) {
    Basis basis =
        new Basis(holder, absent.token(), live.placement.session(), absent.holdStamp(), 0);
    ends.end(c, absent.number(), live, EndProof.denied(basis));
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
    strays.machineGone(c, host);
    c.liveOn(host)
        .forEach(
            (number, l) -> {
              if (!l.ending) {
                ends.end(c, number, l, EndProof.machineDeleted());
              }
            });
    recorder.flush(c);
  }
}
