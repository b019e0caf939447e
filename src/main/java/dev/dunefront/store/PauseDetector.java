package dev.dunefront.store;

import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.LoopWatchdog;
import dev.dunefront.net.Timers;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;

/**
 * Notices that this controller has stood still while its clock ran on: by the steady clock between
 * two decisions, for its timers come several times a second. Meanwhile others may have taken its
 * claims and machines, and what is due or has arrived since comes all at once. So it first asks
 * whether its lease still lives and what has changed, and until it knows it deals no room, sends no
 * orders, calls nothing gone, rents and returns nothing and lets workers wait a moment for their
 * answers.
 *
 * <p>Where the state service does not answer it goes on after a while as before: every placement
 * and every proof is conditional on the record of the hold, so nothing untrue can be written; in an
 * outage nobody can have taken anything, and workers need answers.
 */
public final class PauseDetector {
  private static final System.Logger LOG = System.getLogger(PauseDetector.class.getName());

  /** How long is waited for the state service's word. */
  private static final double REFRESH_TIMEOUT_S = 1.5;

  private final Replica replica;
  private final Membership membership;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final LoopWatchdog loopWatchdog;
  private final double pauseThresholdS;
  private final List<Runnable> waiting = new ArrayList<>();
  private final List<Runnable> listeners = new ArrayList<>();
  private double lastDecisionAt;
  private long pauseCount;
  private int pendingRefreshes;
  private boolean current = true;

  /** A gap of {@code gapS} is one in which this controller's lease may have run out. */
  public PauseDetector(
      Replica replica,
      Membership membership,
      Timers timers,
      DecisionLock decisionLock,
      LoopWatchdog loops,
      double gapS) {
    this.replica = replica;
    this.membership = membership;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.loopWatchdog = loops;
    this.pauseThresholdS = gapS;
    this.lastDecisionAt = timers.now();
    decisionLock.beforeEachDecision(this::detectPause);
  }

  /** Hears whenever this controller knows again what holds. */
  public void addResumeListener(Runnable woken) {
    listeners.add(woken);
  }

  /** Whether what this controller believes was not overtaken while it stood still. */
  public boolean current() {
    return current;
  }

  /** Runs the action when this controller is current, which may be now. */
  public void whenCurrent(Runnable action) {
    if (current) {
      action.run();
    } else {
      waiting.add(action);
    }
  }

  /** A decision is about to be made. */
  private void detectPause() {
    double now = timers.now();
    double gap = now - lastDecisionAt;
    lastDecisionAt = now;
    if (gap < pauseThresholdS) {
      return;
    }
    loopWatchdog.resetAfterPause(now);
    if (!replica.ready()) {
      return;
    }
    LOG.log(Level.INFO, "stood still for {0} s; asks what has changed", gap);
    long waking = ++pauseCount;
    current = false;
    pendingRefreshes = 2;
    replica.catchUp(() -> refreshCompleted(waking));
    membership.verifyLease(() -> refreshCompleted(waking));
    timers.after(REFRESH_TIMEOUT_S, () -> decisionLock.run(() -> resume(waking)));
  }

  private void refreshCompleted(long waking) {
    if (waking == pauseCount && --pendingRefreshes == 0) {
      resume(waking);
    }
  }

  private void resume(long waking) {
    if (waking != pauseCount || current) {
      return;
    }
    current = true;
    listeners.forEach(Runnable::run);
    List<Runnable> all = List.copyOf(waiting);
    waiting.clear();
    all.forEach(Runnable::run);
  }
}
