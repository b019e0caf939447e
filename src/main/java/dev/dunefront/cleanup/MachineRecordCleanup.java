package dev.dunefront.cleanup;

import dev.dunefront.book.HoldTable;
import dev.dunefront.claim.ControllerContext;
import dev.dunefront.duty.Duty;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.Txn;
import java.lang.System.Logger.Level;
import java.util.List;

/**
 * Forgets machines whose deletion the cloud has confirmed a while ago, for the controller that has
 * this duty. Nothing but the records themselves says how far it has come, so whoever has the duty
 * next goes on from there.
 *
 * <p>A record that says that a machine is gone proves its tasks gone, and keeps late reports of the
 * machine from being believed. Packets are held for minutes at most, and every job with a task on
 * the machine hears of its end as soon as the job has a claimant; after {@code burial_s} neither is
 * to be expected. Should one come all the same it costs time and breaks no rule: the machine is
 * held once more, found silent, and proven gone once more.
 */
public final class MachineRecordCleanup {
  private static final System.Logger LOG = System.getLogger(MachineRecordCleanup.class.getName());

  /** How often some records are removed. */
  private static final double INTERVAL_S = 2;

  /** The part of the state service's changes that this may take. */
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

  /** Called several times a second. */
  public void tick() {
    long mine = context.duties().term(Duty.CLEANUP);
    double now = context.timers().now();
    if (mine != term) {
      term = mine;
      termStartedAt = now;
      writeInProgress = false;
    }
    if (mine == 0 || writeInProgress || now < nextRunAt || context.store().unavailable()) {
      return;
    }
    nextRunAt = now + INTERVAL_S;
    if (context.store().writeDelayS() > 0) {
      return;
    }
    long nowMs = context.timers().wallClockMs();
    double keepMs = context.tunables().burialS() * 1000;
    boolean watched = now - termStartedAt > context.tunables().burialS();
    List<HoldTable.Hold> old =
        context.holds().deletedMachines().stream()
            // A record of an earlier version has no time: it is old once it was seen for so long.
            .filter(
                h -> h.machineDeletedAtMs() > 0 ? nowMs - h.machineDeletedAtMs() > keepMs : watched)
            .limit(maxPerTransaction)
            .toList();
    if (!old.isEmpty()) {
      remove(old, mine);
    }
  }

  private void remove(List<HoldTable.Hold> old, long inTerm) {
    Txn txn = context.duties().guard(Duty.CLEANUP, inTerm, new Txn());
    for (HoldTable.Hold h : old) {
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
                removedCount += old.size();
                LOG.log(Level.DEBUG, "forgets {0} machines that are gone", old.size());
                old.forEach(
                    h -> context.replica().apply(HoldTable.key(h.host()), null, done.revision()));
              }
            });
  }

  /** How many records this controller has removed. */
  public int removedCount() {
    return removedCount;
  }
}
