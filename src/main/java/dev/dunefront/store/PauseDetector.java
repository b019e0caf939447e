package dev.dunefront.store;

import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.LoopWatchdog;
import dev.dunefront.net.Timers;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;

/**
 * Detects that this process was paused while its clock continued, from the monotonic time between
 * two decisions: its timers fire several times a second. During a pause other controllers may have
 * taken over its claims and machines, and afterwards overdue timers and messages arrive all at
 * once. The controller therefore first checks whether its lease is still valid and which changes it
 * has missed. Until this is known it makes no offers, sends no commands, declares nothing as lost,
 * rents and returns no machines, and briefly delays its responses to workers.
 *
 * <p>If the state service does not respond, the controller resumes after a timeout. Every placement
 * and every proof is conditional on the record of the hold, so no false state can be written; in an
 * outage no other controller can have taken anything over, and workers need responses.
 */
public final class PauseDetector {
  private static final System.Logger LOG = System.getLogger(PauseDetector.class.getName());

  /** Timeout of the state service's responses after a pause. */
  private static final double REFRESH_TIMEOUT_S = 1.5;

  private final Replica replica;
  private final Membership membership;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final LoopWatchdog loopWatchdog;
  private final double pauseThresholdS;
  private final List<Runnable> pendingActions = new ArrayList<>();
  private final List<Runnable> listeners = new ArrayList<>();
  private double lastDecisionAt;
  private long pauseCount;
  private int pendingRefreshes;
  private boolean current = true;

  /**
   * {@code pauseThresholdS} is the length of a pause during which this controller's lease may have
   * expired.
   */
  public PauseDetector(
      Replica replica,
      Membership membership,
      Timers timers,
      DecisionLock decisionLock,
      LoopWatchdog loopWatchdog,
      double pauseThresholdS) {
    this.replica = replica;
    this.membership = membership;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.loopWatchdog = loopWatchdog;
    this.pauseThresholdS = pauseThresholdS;
    this.lastDecisionAt = timers.now();
    decisionLock.beforeEachDecision(this::detectPause);
  }

  /** Adds a listener that runs whenever the local state is current again after a pause. */
  public void addResumeListener(Runnable listener) {
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
      pendingActions.add(action);
    }
  }

  /** Runs before each decision. */
  private void detectPause() {
    double now = timers.now();
    double gapS = now - lastDecisionAt;
    lastDecisionAt = now;
    if (gapS < pauseThresholdS) {
      return;
    }
    loopWatchdog.resetAfterPause(now);
    if (!replica.ready()) {
      return;
    }
    LOG.log(Level.INFO, "process was paused for {0} s; refreshing the lease and the state", gapS);
    long pause = ++pauseCount;
    current = false;
    pendingRefreshes = 2;
    replica.catchUp(() -> refreshCompleted(pause));
    membership.verifyLease(() -> refreshCompleted(pause));
    timers.after(REFRESH_TIMEOUT_S, () -> decisionLock.run(() -> resume(pause)));
  }

  private void refreshCompleted(long pause) {
    if (pause == pauseCount && --pendingRefreshes == 0) {
      resume(pause);
    }
  }

  private void resume(long pause) {
    if (pause != pauseCount || current) {
      return;
    }
    current = true;
    listeners.forEach(Runnable::run);
    List<Runnable> actions = List.copyOf(pendingActions);
    pendingActions.clear();
    actions.forEach(Runnable::run);
  }
}
