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
 * Stops attempts that a machine shows and no record names ({@link Strays}) until a current view
 * shows them gone, and has those cleared that have exited.
 */
final class StrayControl {
  private static final System.Logger LOG = System.getLogger(StrayControl.class.getName());

  /** A stop is sent again after so long, in seconds. */
  private static final double REPEAT_S = 1.5;

  private final ControllerContext context;

  StrayControl(ControllerContext context) {
    this.context = context;
  }

  /** What is not recorded must not run, and is not kept once it has exited. */
  void reject(Claim c, List<TaskState> unrecorded, Room.Seen seen) {
    View view = seen.view();
    if (unrecorded.isEmpty() && c.strays.isEmpty()) {
      return;
    }
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
      forget(c, view.host(), number -> !alive.contains(number));
    }
    stop(c, seen);
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

  private void forget(Claim c, String host, IntPredicate gone) {
    int forgotten = c.strays.forget(host, gone);
    if (forgotten > 0) {
      context.safety().straysGone(forgotten);
      LOG.log(
          Level.INFO, "{0} of {1} on {2} that no record names are gone", forgotten, c.id(), host);
    }
  }

  /** Stops what is not recorded on a machine, unless that was asked for just now. */
  private void stop(Claim c, Room.Seen seen) {
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

  /** The claim is given up or over: these attempts no longer count here. */
  void ended(Claim c) {
    context.safety().straysGone(c.strays.count());
  }

  /** The machine is gone with all that was on it. */
  void machineGone(Claim c, String host) {
    forget(c, host, number -> true);
  }
}
