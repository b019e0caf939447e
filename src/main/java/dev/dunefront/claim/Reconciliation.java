package dev.dunefront.claim;

import dev.dunefront.book.HoldTable;
import dev.dunefront.claim.Claim.LiveAttempt;
import dev.dunefront.evidence.EndProof;
import dev.dunefront.evidence.EndProof.Basis;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Message.MachineView;
import dev.dunefront.peer.Message.TaskStatus;
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
  private static final double PROBE_RETRY_S = 1.5;

  private final ControllerContext context;
  private final MachineTable machineTable;
  private final ClaimWriter claimWriter;
  private final AttemptTermination attemptTermination;
  private final StrayTermination strayTermination;
  private final UnclaimedJobHosts unclaimedJobHosts = new UnclaimedJobHosts();

  Reconciliation(
      ControllerContext context, MachineTable room, ClaimWriter recorder, AttemptTermination ends) {
    this.context = context;
    this.machineTable = room;
    this.claimWriter = recorder;
    this.attemptTermination = ends;
    this.strayTermination = new StrayTermination(context);
  }

  /** A holder has told of a machine: every job with tasks there is compared with what it says. */
  void viewReceived(MachineTable.Entry seen, Map<String, Claim> claims) {
    MachineView v = seen.view();
    Set<Claim> concerned = new LinkedHashSet<>();
    for (TaskStatus t : v.tasks()) {
      Claim c = claims.get(t.job());
      if (c != null) {
        concerned.add(c);
      } else {
        unclaimedJobHosts.add(t.job(), v.host(), context.now());
      }
    }
    for (Claim c : claims.values()) {
      if (!c.liveAttemptsOn(v.host()).isEmpty()
          || !c.strays.isEmpty() && !c.strays.onHost(v.host()).isEmpty()) {
        concerned.add(c);
      }
    }
    for (Claim c : concerned) {
      compare(c, seen);
    }
  }

  /** A claim begins: it has yet to read which machines have shown its tasks. */
  void claimStarted(Claim c) {
    c.hostsToCompare.addAll(unclaimedJobHosts.take(c.id()));
  }

  /** A claim is given up or over; whoever takes the job is shown what no record names. */
  void claimEnded(Claim c) {
    strayTermination.claimEnded(c);
  }

  /** Called several times a second. */
  void tick() {
    unclaimedJobHosts.expire(context.now());
  }

  /** Compares what is recorded of a job on a machine with what the machine's holder says. */
  void compare(Claim c, MachineTable.Entry seen) {
    if (seen == null) {
      return;
    }
    if (c.loading) {
      c.hostsToCompare.add(seen.view().host());
      return;
    }
    c.hostsToCompare.remove(seen.view().host());
    Map<Integer, LiveAttempt> placed = c.liveAttemptsOn(seen.view().host());
    Map<Integer, TaskStatus> shown = new HashMap<>();
    List<TaskStatus> unrecorded = new ArrayList<>();
    for (TaskStatus task : seen.view().tasks()) {
      if (task.job().equals(c.id())) {
        LiveAttempt live = placed.get(task.number());
        if (live != null && live.placement.attempt() == task.attempt()) {
          shown.put(task.number(), task);
        } else {
          unrecorded.add(task);
        }
      }
    }
    placed.forEach(
        (number, live) -> {
          if (!live.ended) {
            compare(c, number, live, shown.get(number), seen);
          }
        });
    strayTermination.stopUnrecorded(c, unrecorded, seen);
    if (!c.unrecordedEnds.isEmpty()) {
      claimWriter.flush(c);
    }
  }

  /** Compares one placed task; {@code shown} is null if the view does not show its attempt. */
  private void compare(
      Claim c, int number, LiveAttempt live, TaskStatus shown, MachineTable.Entry seen) {
    MachineView view = seen.view();
    live.reported = shown != null;
    Basis basis = Basis.of(seen.holder(), view, context.now() - seen.receivedAt());
    EndProof proof = EndProof.find(live.placement.toAttempt(), shown, view, basis);
    if (proof != null) {
      attemptTermination.recordEnd(c, number, live, proof);
    } else if (shown != null) {
      updateState(c, number, live, shown, view.host());
    } else if (view.tokenAcknowledged() && context.now() - live.probedAt > PROBE_RETRY_S) {
      live.probedAt = context.now();
      long attempt = live.placement.attempt();
      context
          .peers()
          .send(
              seen.holder(),
              new Message.AttemptQuery(view.host(), c.record.term(), c.id(), number, attempt));
    }
  }

  private void updateState(Claim c, int number, LiveAttempt live, TaskStatus shown, String host) {
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
  void attemptDenied(String holder, Message.AttemptAbsent absent, Claim c, LiveAttempt live) {
    Basis basis =
        new Basis(holder, absent.token(), live.placement.session(), absent.holdRevision(), 0);
    attemptTermination.recordEnd(c, absent.number(), live, EndProof.denied(basis));
    claimWriter.flush(c);
  }

  /** Looks again where the last view did not show a placed task, or showed one too many. */
  void recheckMissing(Claim c) {
    for (LiveAttempt l : c.liveAttempts.values()) {
      if (!l.reported && !l.ended) {
        c.hostsToCompare.add(l.placement.host());
      }
    }
    c.hostsToCompare.addAll(c.strays.hosts());
    comparePending(c);
  }

  /** Compares what has not been compared yet. */
  void comparePending(Claim c) {
    if (c.hostsToCompare.isEmpty() || c.loading) {
      return;
    }
    List<String> hosts = List.copyOf(c.hostsToCompare);
    c.hostsToCompare.clear();
    for (String host : hosts) {
      HoldTable.Hold hold = context.holds().recordOf(host);
      if (hold != null && hold.machineDeleted()) {
        endAttemptsOn(c, host);
      } else {
        compare(c, machineTable.get(host));
      }
    }
  }

  /** The cloud has confirmed the machine's end. */
  void endAttemptsOn(Claim c, String host) {
    strayTermination.machineDeleted(c, host);
    c.liveAttemptsOn(host)
        .forEach(
            (number, l) -> {
              if (!l.ended) {
                attemptTermination.recordEnd(c, number, l, EndProof.machineDeleted());
              }
            });
    claimWriter.flush(c);
  }
}
