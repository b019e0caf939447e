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
 * Compares the records with the views sent by holders and determines how attempts ended: by their
 * exit, or by a proof that they can no longer run.
 */
final class Reconciliation {
  private static final System.Logger LOG = System.getLogger(Reconciliation.class.getName());

  /** Interval between queries for an attempt that is missing from its holder's views. */
  private static final double QUERY_RETRY_S = 1.5;

  private final ControllerContext context;
  private final MachineTable machineTable;
  private final ClaimWriter claimWriter;
  private final AttemptTermination attemptTermination;
  private final StrayTermination strayTermination;
  private final UnclaimedJobHosts unclaimedJobHosts = new UnclaimedJobHosts();

  Reconciliation(
      ControllerContext context,
      MachineTable machineTable,
      ClaimWriter claimWriter,
      AttemptTermination attemptTermination) {
    this.context = context;
    this.machineTable = machineTable;
    this.claimWriter = claimWriter;
    this.attemptTermination = attemptTermination;
    this.strayTermination = new StrayTermination(context);
  }

  /** Compares a new view of a machine with every claimed job that has tasks there. */
  void viewReceived(MachineTable.Entry machine, Map<String, Claim> claims) {
    MachineView view = machine.view();
    Set<Claim> affected = new LinkedHashSet<>();
    for (TaskStatus task : view.tasks()) {
      Claim claim = claims.get(task.job());
      if (claim != null) {
        affected.add(claim);
      } else {
        unclaimedJobHosts.add(task.job(), view.host(), context.now());
      }
    }
    for (Claim claim : claims.values()) {
      if (!claim.liveAttemptsOn(view.host()).isEmpty()
          || !claim.strays.isEmpty() && !claim.strays.onHost(view.host()).isEmpty()) {
        affected.add(claim);
      }
    }
    for (Claim claim : affected) {
      compare(claim, machine);
    }
  }

  /** Marks the machines that showed tasks of a newly claimed job for comparison. */
  void claimStarted(Claim claim) {
    claim.hostsToCompare.addAll(unclaimedJobHosts.take(claim.id()));
  }

  /** Stops tracking the strays of a released claim; the next claimant sees them in its views. */
  void claimEnded(Claim claim) {
    strayTermination.claimEnded(claim);
  }

  /** Runs periodic work; called several times per second. */
  void tick() {
    unclaimedJobHosts.expire(context.now());
  }

  /**
   * Compares the recorded attempts of a job on a machine with the machine's latest view.
   *
   * @param machine null if no view of the machine is known
   */
  void compare(Claim claim, MachineTable.Entry machine) {
    if (machine == null) {
      return;
    }
    if (claim.loading) {
      claim.hostsToCompare.add(machine.view().host());
      return;
    }
    claim.hostsToCompare.remove(machine.view().host());
    Map<Integer, LiveAttempt> placed = claim.liveAttemptsOn(machine.view().host());
    Map<Integer, TaskStatus> reported = new HashMap<>();
    List<TaskStatus> unrecorded = new ArrayList<>();
    for (TaskStatus task : machine.view().tasks()) {
      if (task.job().equals(claim.id())) {
        LiveAttempt live = placed.get(task.number());
        if (live != null && live.placement.attempt() == task.attempt()) {
          reported.put(task.number(), task);
        } else {
          unrecorded.add(task);
        }
      }
    }
    placed.forEach(
        (number, live) -> {
          if (!live.ended) {
            compare(claim, number, live, reported.get(number), machine);
          }
        });
    strayTermination.stopUnrecorded(claim, unrecorded, machine);
    if (!claim.unrecordedEnds.isEmpty()) {
      claimWriter.flush(claim);
    }
  }

  /**
   * Compares one placed task with the view.
   *
   * @param reported the attempt's state; null if the view does not include it
   */
  private void compare(
      Claim claim, int number, LiveAttempt live, TaskStatus reported, MachineTable.Entry machine) {
    MachineView view = machine.view();
    live.reported = reported != null;
    Basis basis = Basis.of(machine.holder(), view, context.now() - machine.receivedAt());
    EndProof proof = EndProof.find(live.placement.toAttempt(), reported, view, basis);
    if (proof != null) {
      attemptTermination.recordEnd(claim, number, live, proof);
    } else if (reported != null) {
      updateState(claim, number, live, reported, view.host());
    } else if (view.tokenAcknowledged() && context.now() - live.queriedAt > QUERY_RETRY_S) {
      live.queriedAt = context.now();
      long attempt = live.placement.attempt();
      context
          .peers()
          .send(
              machine.holder(),
              new Message.AttemptQuery(
                  view.host(), claim.record.term(), claim.id(), number, attempt));
    }
  }

  /** Updates the state of a live attempt from the view. */
  private void updateState(
      Claim claim, int number, LiveAttempt live, TaskStatus reported, String host) {
    if (live.state != reported.state()) {
      LOG.log(
          Level.DEBUG, "task {0}/{1} is {2} on {3}", claim.id(), number, reported.state(), host);
    }
    if (reported.state() == Message.TaskState.RUNNING
        && (live.state == Message.TaskState.PENDING || live.state == Message.TaskState.FETCHING)) {
      live.runningSince = context.now();
    }
    live.state = reported.state();
  }

  /** Ends a placed attempt that its holder does not have and will never start. */
  void attemptDenied(String holder, Message.AttemptAbsent absent, Claim claim, LiveAttempt live) {
    Basis basis =
        new Basis(holder, absent.token(), live.placement.session(), absent.holdRevision(), 0);
    attemptTermination.recordEnd(claim, absent.number(), live, EndProof.denied(basis));
    claimWriter.flush(claim);
  }

  /** Rechecks machines whose latest view lacked a placed attempt or showed a stray one. */
  void recheckMissing(Claim claim) {
    for (LiveAttempt attempt : claim.liveAttempts.values()) {
      if (!attempt.reported && !attempt.ended) {
        claim.hostsToCompare.add(attempt.placement.host());
      }
    }
    claim.hostsToCompare.addAll(claim.strays.hosts());
    comparePending(claim);
  }

  /** Compares the machines that are marked for comparison. */
  void comparePending(Claim claim) {
    if (claim.hostsToCompare.isEmpty() || claim.loading) {
      return;
    }
    List<String> hosts = List.copyOf(claim.hostsToCompare);
    claim.hostsToCompare.clear();
    for (String host : hosts) {
      HoldTable.Hold hold = context.holdTable().recordOf(host);
      if (hold != null && hold.machineDeleted()) {
        endAttemptsOn(claim, host);
      } else {
        compare(claim, machineTable.get(host));
      }
    }
  }

  /** Ends all attempts on a machine whose deletion the cloud has confirmed. */
  void endAttemptsOn(Claim claim, String host) {
    strayTermination.machineDeleted(claim, host);
    claim
        .liveAttemptsOn(host)
        .forEach(
            (number, attempt) -> {
              if (!attempt.ended) {
                attemptTermination.recordEnd(claim, number, attempt, EndProof.machineDeleted());
              }
            });
    claimWriter.flush(claim);
  }
}
