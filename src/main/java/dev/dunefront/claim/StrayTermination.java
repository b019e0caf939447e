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
 * Stops attempts that a machine shows and no record names ({@link Strays}) until a current view
 * shows them gone, and has those cleared that have exited.
 */
final class StrayTermination {
  private static final System.Logger LOG = System.getLogger(StrayTermination.class.getName());

  /** A stop is sent again after so long, in seconds. */
  private static final double STOP_RETRY_S = 1.5;

  private final ControllerContext context;

  StrayTermination(ControllerContext context) {
    this.context = context;
  }

  /** What is not recorded must not run, and is not kept once it has exited. */
  void stopUnrecorded(Claim c, List<TaskStatus> unrecorded, MachineTable.Entry seen) {
    MachineView view = seen.view();
    if (unrecorded.isEmpty() && c.strays.isEmpty()) {
      return;
    }
    Set<Integer> alive = new HashSet<>();
    for (TaskStatus task : unrecorded) {
      if (task.exited()) {
        clear(c, task, seen);
      } else if (!view.leaseExpired()) {
        alive.add(task.number());
        if (c.strays.add(view.host(), task.number(), task.attempt(), view.session())) {
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
    if ((view.tokenAcknowledged() || view.leaseExpired()) && isCurrent(view)) {
      remove(c, view.host(), number -> !alive.contains(number));
    }
    stop(c, seen);
  }

  /**
   * Whether no other hold of the machine is on record than the one under which the view is told.
   */
  private boolean isCurrent(MachineView view) {
    HoldTable.Hold hold = context.holds().holdOf(view.host(), view.zone());
    return hold != null && hold.revision() == view.holdRevision();
  }

  private void clear(Claim c, TaskStatus task, MachineTable.Entry seen) {
    String host = seen.view().host();
    long term = c.record.term();
    context
        .peers()
        .send(
            seen.holder(),
            new Message.ClearTask(host, term, c.id(), task.number(), task.attempt()));
  }

  private void remove(Claim c, String host, IntPredicate gone) {
    int forgotten = c.strays.remove(host, gone);
    if (forgotten > 0) {
      context.safety().straysResolved(forgotten);
      LOG.log(
          Level.INFO, "{0} of {1} on {2} that no record names are gone", forgotten, c.id(), host);
    }
  }

  /** Stops what is not recorded on a machine, unless that was asked for just now. */
  private void stop(Claim c, MachineTable.Entry seen) {
    String host = seen.view().host();
    for (Strays.Stray stray : c.strays.onHost(host).values()) {
      if (context.now() - stray.stoppedAt > STOP_RETRY_S) {
        stray.stoppedAt = context.now();
        long term = c.record.term();
        context
            .peers()
            .send(
                seen.holder(),
                new Message.StopTask(host, term, c.id(), stray.number, stray.attempt, 0));
      }
    }
  }

  /** The claim is given up or over: these attempts no longer count here. */
  void claimEnded(Claim c) {
    context.safety().straysResolved(c.strays.count());
  }

  /** The machine is gone with all that was on it. */
  void machineDeleted(Claim c, String host) {
    remove(c, host, number -> true);
  }
}
