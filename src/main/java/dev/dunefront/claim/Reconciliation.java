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
 * Compares the records with the views sent by holders and determines how attempts ended: by their
 * exit, or by a proof that they can no longer run.
 */
final class Reconciliation {
  private static final System.Logger LOG = System.getLogger(Reconciliation.class.getName());

  /** Interval between probes for an attempt that is missing from its holder's views. */
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

  /** Compares a new view of a machine with every claimed job that has tasks there. */
  void heard(Room.Seen machine, Map<String, Claim> claims) {
    View view = machine.view();
    Set<Claim> affected = new LinkedHashSet<>();
    for (TaskState task : view.tasks()) {
      Claim claim = claims.get(task.job());
      if (claim != null) {
        affected.add(claim);
      } else {
        unclaimed.shown(task.job(), view.host(), context.now());
      }
    }
    for (Claim claim : claims.values()) {
      if (!claim.liveOn(view.host()).isEmpty()
          || !claim.strays.isEmpty() && !claim.strays.on(view.host()).isEmpty()) {
        affected.add(claim);
      }
    }
    for (Claim claim : affected) {
      compare(claim, machine);
    }
  }

  /** Marks the machines that showed tasks of a newly claimed job for comparison. */
  void began(Claim claim) {
    claim.unread.addAll(unclaimed.take(claim.id()));
  }

  /** Stops tracking the strays of a released claim; the next claim owner sees them in its views. */
  void ended(Claim claim) {
    strays.ended(claim);
  }

  /** Runs periodic work; called several times per second. */
  void tick() {
    unclaimed.tidy(context.now());
  }

  /**
   * Compares the recorded attempts of a job on a machine with the machine's latest view.
   *
   * @param machine null if no view of the machine is known
   */
  void compare(Claim claim, Room.Seen machine) {
    if (machine == null) {
      return;
    }
    if (claim.loading) {
      claim.unread.add(machine.view().host());
      return;
    }
    claim.unread.remove(machine.view().host());
    Map<Integer, Live> placed = claim.liveOn(machine.view().host());
    Map<Integer, TaskState> reported = new HashMap<>();
    List<TaskState> unrecorded = new ArrayList<>();
    for (TaskState task : machine.view().tasks()) {
      if (task.job().equals(claim.id())) {
        Live live = placed.get(task.number());
        if (live != null && live.placement.attempt() == task.attempt()) {
          reported.put(task.number(), task);
        } else {
          unrecorded.add(task);
        }
      }
    }
    placed.forEach(
        (number, live) -> {
          if (!live.ending) {
            compare(claim, number, live, reported.get(number), machine);
          }
        });
    strays.reject(claim, unrecorded, machine);
    if (!claim.ends.isEmpty()) {
      recorder.flush(claim);
    }
  }

  /**
   * Compares one placed task with the view.
   *
   * @param reported the attempt's state; null if the view does not include it
   */
  private void compare(Claim claim, int number, Live live, TaskState reported, Room.Seen machine) {
    View view = machine.view();
    live.shown = reported != null;
    Basis basis = Basis.of(machine.holder(), view, context.now() - machine.at());
    EndProof proof = EndProof.find(live.placement.asAttempt(), reported, view, basis);
    if (proof != null) {
      ends.end(claim, number, live, proof);
    } else if (reported != null) {
      progressed(claim, number, live, reported, view.host());
    } else if (view.settled() && context.now() - live.probedAt > REPEAT_S) {
      live.probedAt = context.now();
      long attempt = live.placement.attempt();
      context
          .peers()
          .send(
              machine.holder(),
              new Message.Probe(view.host(), claim.record.term(), claim.id(), number, attempt));
    }
  }

  /** Updates the state of a live attempt from the view. */
  private void progressed(Claim claim, int number, Live live, TaskState reported, String host) {
    if (live.state != reported.state()) {
      LOG.log(
          Level.DEBUG, "task {0}/{1} is {2} on {3}", claim.id(), number, reported.state(), host);
    }
    if (reported.state() == Message.State.RUNNING
        && (live.state == Message.State.PENDING || live.state == Message.State.FETCHING)) {
      live.runningSince = context.now();
    }
    live.state = reported.state();
  }

  /** Ends a placed attempt that its holder does not have and will never start. */
  void denied(String holder, Message.Absent absent, Claim claim, Live live) {
    Basis basis =
        new Basis(holder, absent.token(), live.placement.session(), absent.holdStamp(), 0);
    ends.end(claim, absent.number(), live, EndProof.denied(basis));
    recorder.flush(claim);
  }

  /** Rechecks machines whose latest view lacked a placed attempt or showed a stray one. */
  void lookAgain(Claim claim) {
    for (Live attempt : claim.live.values()) {
      if (!attempt.shown && !attempt.ending) {
        claim.unread.add(attempt.placement.host());
      }
    }
    claim.unread.addAll(claim.strays.hosts());
    readAgain(claim);
  }

  /** Compares the machines that are marked for comparison. */
  void readAgain(Claim claim) {
    if (claim.unread.isEmpty() || claim.loading) {
      return;
    }
    List<String> hosts = List.copyOf(claim.unread);
    claim.unread.clear();
    for (String host : hosts) {
      Holds.Hold hold = context.holds().get(host);
      if (hold != null && hold.dead()) {
        endAllOn(claim, host);
      } else {
        compare(claim, room.get(host));
      }
    }
  }

  /** Ends all attempts on a machine whose deletion the cloud has confirmed. */
  void endAllOn(Claim claim, String host) {
    strays.machineGone(claim, host);
    claim
        .liveOn(host)
        .forEach(
            (number, attempt) -> {
              if (!attempt.ending) {
                ends.end(claim, number, attempt, EndProof.machineDeleted());
              }
            });
    recorder.flush(claim);
  }
}
