package dev.dunefront.claim;

import dev.dunefront.book.HoldTable;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Message.MachineView;
import dev.dunefront.peer.Message.TaskStatus;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * Stops stray attempts ({@link Strays}), which a machine reports but no record lists, until a
 * current view confirms that they are gone, and clears those that have exited.
 */
final class StrayTermination {
  private static final System.Logger LOG = System.getLogger(StrayTermination.class.getName());

  /** Interval at which stop requests are repeated. */
  private static final double STOP_RETRY_S = 1.5;

  private final ControllerContext context;

  StrayTermination(ControllerContext context) {
    this.context = context;
  }

  /** Stops the unrecorded attempts in a view and clears those that have exited. */
  void stopUnrecorded(Claim claim, List<TaskStatus> unrecorded, MachineTable.Entry machine) {
    MachineView view = machine.view();
    if (unrecorded.isEmpty() && claim.strays.isEmpty()) {
      return;
    }
    Set<Integer> alive = new HashSet<>();
    for (TaskStatus task : unrecorded) {
      if (task.exited()) {
        clear(claim, task, machine);
      } else if (!view.leaseExpired()) {
        alive.add(task.number());
        if (claim.strays.add(view.host(), task.number(), task.attempt(), view.session())) {
          context.safety().straySeen();
          LOG.log(
              Level.INFO,
              "stopping stray attempt on {0}: task {1}/{2}, attempt {3}, session {4}"
                  + " is not recorded",
              view.host(),
              claim.id(),
              task.number(),
              task.attempt(),
              view.session());
        }
      }
    }
    if ((view.tokenAcknowledged() || view.leaseExpired()) && isCurrent(view)) {
      remove(claim, view.host(), number -> !alive.contains(number));
    }
    stop(claim, machine);
  }

  /** Whether the view was sent under the machine's present hold, as far as known here. */
  private boolean isCurrent(MachineView view) {
    HoldTable.Hold hold = context.holdTable().holdOf(view.host(), view.zone());
    return hold != null && hold.revision() == view.holdRevision();
  }

  private void clear(Claim claim, TaskStatus task, MachineTable.Entry machine) {
    String host = machine.view().host();
    long term = claim.record.term();
    context
        .peers()
        .send(
            machine.holder(),
            new Message.ClearTask(host, term, claim.id(), task.number(), task.attempt()));
  }

  private void remove(Claim claim, String host, IntPredicate gone) {
    int removed = claim.strays.remove(host, gone);
    if (removed > 0) {
      context.safety().straysResolved(removed);
      LOG.log(
          Level.INFO, "{0} stray attempts of job {1} on {2} are gone", removed, claim.id(), host);
    }
  }

  /** Sends stop requests for the stray attempts on a machine, unless sent recently. */
  private void stop(Claim claim, MachineTable.Entry machine) {
    String host = machine.view().host();
    for (Strays.Stray stray : claim.strays.onHost(host).values()) {
      if (context.now() - stray.stopSentAt > STOP_RETRY_S) {
        stray.stopSentAt = context.now();
        long term = claim.record.term();
        context
            .peers()
            .send(
                machine.holder(),
                new Message.StopTask(host, term, claim.id(), stray.number, stray.attempt, 0));
      }
    }
  }

  /** Removes the strays of a released claim from the metrics. */
  void claimEnded(Claim claim) {
    context.safety().straysResolved(claim.strays.count());
  }

  /** Removes all strays on a machine that has been deleted. */
  void machineDeleted(Claim claim, String host) {
    remove(claim, host, number -> true);
  }
}
