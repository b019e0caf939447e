package dev.dunefront.cleanup;

import dev.dunefront.book.Holds;
import dev.dunefront.claim.ControllerContext;
import dev.dunefront.duty.Duty;
import dev.dunefront.store.Store;
import dev.dunefront.store.Txn;
import java.lang.System.Logger.Level;
import java.util.List;

/**
 * Removes the records of machines whose deletion the cloud confirmed some time ago, while this
 * controller holds the clean-up duty. The records themselves are the only state, so the next holder
 * of the duty continues from them.
 *
 * <p>The record of a deleted machine proves that its task attempts are over and invalidates late
 * reports from the machine. Packets are delayed by minutes at most, and every job with a task on
 * the machine processes the deletion as soon as a controller has claimed the job; after {@code
 * burial_s} neither is to be expected. A later report costs time but violates no invariant: the
 * machine is held again, found silent, and its deletion is confirmed again.
 */
public final class Cleanup {
  private static final System.Logger LOG = System.getLogger(Cleanup.class.getName());

  /** Interval between removals. */
  private static final double EVERY_S = 2;

  /** Fraction of the state service's write budget that removals may use. */
  private static final double BUDGET_PART = 0.03;

  private final ControllerContext context;
  private final int most;
  private double next;
  private long term;
  private double since;
  private boolean writing;
  private int removed;

  public Cleanup(ControllerContext context) {
    this.context = context;
    double changes = context.settings().stateLimits().writeRps() * BUDGET_PART * EVERY_S;
    this.most = Math.max(1, Math.min(context.settings().stateLimits().txnOps(), (int) changes));
  }

  /** Runs several times a second. */
  public void tick() {
    long heldTerm = context.duties().term(Duty.CLEANUP);
    double now = context.timers().now();
    if (heldTerm != term) {
      term = heldTerm;
      since = now;
      writing = false;
    }
    if (heldTerm == 0 || writing || now < next || context.store().down()) {
      return;
    }
    next = now + EVERY_S;
    if (context.store().writeDelayS() > 0) {
      return;
    }
    long nowMs = context.timers().timeOfDayMs();
    double keepMs = context.tunables().burialS() * 1000;
    boolean heldLongEnough = now - since > context.tunables().burialS();
    List<Holds.Hold> expired =
        context.holds().dead().stream()
            // A record of an earlier version has no time; it expires after this controller has held
            // the duty for the retention time.
            .filter(h -> h.deadAtMs() > 0 ? nowMs - h.deadAtMs() > keepMs : heldLongEnough)
            .limit(most)
            .toList();
    if (!expired.isEmpty()) {
      remove(expired, heldTerm);
    }
  }

  private void remove(List<Holds.Hold> expired, long inTerm) {
    Txn txn = context.duties().guard(Duty.CLEANUP, inTerm, new Txn());
    for (Holds.Hold h : expired) {
      txn.when(Holds.key(h.host()), h.stamp()).remove(Holds.key(h.host()));
    }
    writing = true;
    context
        .store()
        .tryTxn(
            txn,
            Store.Urgency.BACKGROUND,
            done -> {
              if (term != inTerm) {
                return;
              }
              writing = false;
              if (done.ok()) {
                removed += expired.size();
                LOG.log(Level.DEBUG, "removed the records of {0} deleted machines", expired.size());
                expired.forEach(
                    h -> context.replica().apply(Holds.key(h.host()), null, done.revision()));
              }
            });
  }

  /** How many records this controller has removed. */
  public int removed() {
    return removed;
  }
}
