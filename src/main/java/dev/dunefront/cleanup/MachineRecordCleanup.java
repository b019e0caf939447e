package dev.dunefront.cleanup;

import dev.dunefront.book.HoldTable;
import dev.dunefront.claim.ControllerContext;
import dev.dunefront.duty.Duty;
import dev.dunefront.store.StateStore;
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
public final class MachineRecordCleanup {
  private static final System.Logger LOG = System.getLogger(MachineRecordCleanup.class.getName());

  /** Interval between removals. */
  private static final double INTERVAL_S = 2;

  /** Fraction of the state service's write budget that removals may use. */
  private static final double WRITE_BUDGET_FRACTION = 0.03;

  private final ControllerContext context;
  private final int maxPerTransaction;
  private double nextRunAt;
  private long term;
  private double termStartedAt;
  private boolean writeInProgress;
  private int removedCount;

  public MachineRecordCleanup(ControllerContext context) {
    this.context = context;
    double changes =
        context.settings().stateLimits().writeRps() * WRITE_BUDGET_FRACTION * INTERVAL_S;
    this.maxPerTransaction =
        Math.max(1, Math.min(context.settings().stateLimits().txnOps(), (int) changes));
  }

  /** Runs several times a second. */
  public void tick() {
    long heldTerm = context.duties().term(Duty.CLEANUP);
    double now = context.timers().now();
    if (heldTerm != term) {
      term = heldTerm;
      termStartedAt = now;
      writeInProgress = false;
    }
    if (heldTerm == 0 || writeInProgress || now < nextRunAt || context.store().unavailable()) {
      return;
    }
    nextRunAt = now + INTERVAL_S;
    if (context.store().writeDelayS() > 0) {
      return;
    }
    long nowMs = context.timers().wallClockMs();
    double keepMs = context.tunables().burialS() * 1000;
    boolean heldLongEnough = now - termStartedAt > context.tunables().burialS();
    List<HoldTable.Hold> expired =
        context.holdTable().deletedMachines().stream()
            // A record of an earlier version has no time; it expires after this controller has held
            // the duty for the retention time.
            .filter(
                h ->
                    h.machineDeletedAtMs() > 0
                        ? nowMs - h.machineDeletedAtMs() > keepMs
                        : heldLongEnough)
            .limit(maxPerTransaction)
            .toList();
    if (!expired.isEmpty()) {
      remove(expired, heldTerm);
    }
  }

  private void remove(List<HoldTable.Hold> expired, long inTerm) {
    Txn txn = context.duties().guard(Duty.CLEANUP, inTerm, new Txn());
    for (HoldTable.Hold h : expired) {
      txn.requireRevision(HoldTable.key(h.host()), h.revision()).remove(HoldTable.key(h.host()));
    }
    writeInProgress = true;
    context
        .store()
        .tryTxn(
            txn,
            StateStore.RequestPriority.BACKGROUND,
            done -> {
              if (term != inTerm) {
                return;
              }
              writeInProgress = false;
              if (done.ok()) {
                removedCount += expired.size();
                LOG.log(Level.DEBUG, "removed the records of {0} deleted machines", expired.size());
                expired.forEach(
                    h -> context.replica().apply(HoldTable.key(h.host()), null, done.revision()));
              }
            });
  }

  /** How many records this controller has removed. */
  public int removedCount() {
    return removedCount;
  }
}
