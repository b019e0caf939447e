package dev.dunefront.claim;

import dev.dunefront.book.Holds;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Message.TaskState;
import dev.dunefront.peer.Message.View;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * Stops stray attempts ({@link Strays}), which a machine reports but no record lists, until a
 * current view confirms that they are gone, and clears those that have exited.
 */
final class StrayControl {
  private static final System.Logger LOG = System.getLogger(StrayControl.class.getName());

  /** Interval at which stop requests are repeated. */
  private static final double REPEAT_S = 1.5;

  private final ControllerContext context;

  StrayControl(ControllerContext context) {
    this.context = context;
  }

  /** Stops the unrecorded attempts in a view and clears those that have exited. */
  void reject(Claim claim, List<TaskState> unrecorded, Room.Seen machine) {
    View view = machine.view();
    if (unrecorded.isEmpty() && claim.strays.isEmpty()) {
      return;
    }
    Set<Integer> alive = new HashSet<>();
    for (TaskState task : unrecorded) {
      if (task.exited()) {
        clear(claim, task, machine);
      } else if (!view.lost()) {
        alive.add(task.number());
        if (claim.strays.shown(view.host(), task.number(), task.attempt(), view.session())) {
          context.safety().straySeen();
          LOG.log(
              Level.INFO,
              "stopping stray attempt on {0}: task {1}/{2}, attempt {3}, session {4} is not recorded",
              view.host(),
              claim.id(),
              task.number(),
              task.attempt(),
              view.session());
        }
      }
    }
    if ((view.settled() || view.lost()) && isCurrent(view)) {
      forget(claim, view.host(), number -> !alive.contains(number));
    }
    stop(claim, machine);
  }

  /** Whether the view was sent under the machine's present hold, as far as known here. */
  private boolean isCurrent(View view) {
    Holds.Hold hold = context.holds().of(view.host(), view.zone());
    return hold != null && hold.stamp() == view.holdStamp();
  }

  private void clear(Claim claim, TaskState task, Room.Seen machine) {
    String host = machine.view().host();
    long term = claim.record.term();
    context
        .peers()
        .send(
            machine.holder(),
            new Message.Clear(host, term, claim.id(), task.number(), task.attempt()));
  }

  private void forget(Claim claim, String host, IntPredicate gone) {
    int forgotten = claim.strays.forget(host, gone);
    if (forgotten > 0) {
      context.safety().straysGone(forgotten);
      LOG.log(
          Level.INFO, "{0} stray attempts of job {1} on {2} are gone", forgotten, claim.id(), host);
    }
  }

  /** Sends stop requests for the stray attempts on a machine, unless sent recently. */
  private void stop(Claim claim, Room.Seen machine) {
    String host = machine.view().host();
    for (Strays.Stray stray : claim.strays.on(host).values()) {
      if (context.now() - stray.stoppedAt > REPEAT_S) {
        stray.stoppedAt = context.now();
        long term = claim.record.term();
        context
            .peers()
            .send(
                machine.holder(),
                new Message.Stop(host, term, claim.id(), stray.number, stray.attempt, 0));
      }
    }
  }

  /** Removes the strays of a released claim from the metrics. */
  void ended(Claim claim) {
    context.safety().straysGone(claim.strays.count());
  }

  /** Removes all strays on a machine that has been deleted. */
  void machineGone(Claim claim, String host) {
    forget(claim, host, number -> true);
  }
}
