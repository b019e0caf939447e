package dev.dunefront.store;

import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Loops;
import dev.dunefront.net.Timers;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;

/**
 * Detects that this process was paused while its clock continued, from the monotonic time between
 * two decisions: its timers fire several times a second. During a pause other controllers may have
 * taken over its claims and machines, and afterwards overdue timers and messages arrive all at
 * once. The controller therefore first checks whether its lease is still valid and which changes it
 * has missed. Until this is known it makes no offers, sends no orders, declares nothing as lost,
 * rents and returns no machines, and briefly delays its responses to workers.
 *
 * <p>If the state service does not respond, the controller resumes after a timeout. Every placement
 * and every proof is conditional on the record of the hold, so no false state can be written; in an
 * outage no other controller can have taken anything over, and workers need responses.
 */
public final class Standstill {
  private static final System.Logger LOG = System.getLogger(Standstill.class.getName());

  /** Timeout of the state service's responses after a pause. */
  private static final double WAIT_S = 1.5;

  private final Replica replica;
  private final Membership membership;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Loops loops;
  private final double gapS;
  private final List<Runnable> waiting = new ArrayList<>();
  private final List<Runnable> listeners = new ArrayList<>();
  private double turnedAt;
  private long wakings;
  private int unknown;
  private boolean current = true;

  /**
   * {@code gapS} is the length of a pause during which this controller's lease may have expired.
   */
  public Standstill(
      Replica replica,
      Membership membership,
      Timers timers,
      DecisionLock decisionLock,
      Loops loops,
      double gapS) {
    this.replica = replica;
    this.membership = membership;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.loops = loops;
    this.gapS = gapS;
    this.turnedAt = timers.now();
    decisionLock.onEntering(this::turned);
  }

  /** Adds a listener that runs whenever the local state is current again after a pause. */
  public void listen(Runnable listener) {
    listeners.add(listener);
  }

  /**
   * Whether the local state is current; false after a pause until it has been refreshed or the
   * refresh has timed out.
   */
  public boolean current() {
    return current;
  }

  /** Runs the action once the local state is current, which may be at once. */
  public void whenCurrent(Runnable action) {
    if (current) {
      action.run();
    } else {
      waiting.add(action);
    }
  }

  /** Runs before each decision. */
  private void turned() {
    double now = timers.now();
    double gap = now - turnedAt;
    turnedAt = now;
    if (gap < gapS) {
      return;
    }
    loops.stoodStill(now);
    if (!replica.ready()) {
      return;
    }
    LOG.log(Level.INFO, "process was paused for {0} s; refreshing the lease and the state", gap);
    long pause = ++wakings;
    current = false;
    unknown = 2;
    replica.catchUp(() -> known(pause));
    membership.verify(() -> known(pause));
    timers.after(WAIT_S, () -> decisionLock.run(() -> wake(pause)));
  }

  private void known(long pause) {
    if (pause == wakings && --unknown == 0) {
      wake(pause);
    }
  }

  private void wake(long pause) {
    if (pause != wakings || current) {
      return;
    }
    current = true;
    listeners.forEach(Runnable::run);
    List<Runnable> actions = List.copyOf(waiting);
    waiting.clear();
    actions.forEach(Runnable::run);
  }
}
