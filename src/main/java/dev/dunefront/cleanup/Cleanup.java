package dev.dunefront.cleanup;

import dev.dunefront.book.Holds;
import dev.dunefront.claim.ControllerContext;
import dev.dunefront.duty.Duty;
import dev.dunefront.store.Store;
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
public final class Cleanup {
  private static final System.Logger LOG = System.getLogger(Cleanup.class.getName());

  /** How often some records are removed. */
  private static final double EVERY_S = 2;

  /** The part of the state service's changes that this may take. */
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

  /** Called several times a second. */
  public void tick() {
    long mine = context.duties().term(Duty.CLEANUP);
    double now = context.timers().now();
    if (mine != term) {
      term = mine;
      since = now;
      writing = false;
    }
    if (mine == 0 || writing || now < next || context.store().down()) {
      return;
    }
    next = now + EVERY_S;
    if (context.store().writeDelayS() > 0) {
      return;
    }
    long nowMs = context.timers().timeOfDayMs();
    double keepMs = context.tunables().burialS() * 1000;
    boolean watched = now - since > context.tunables().burialS();
    List<Holds.Hold> old =
        context.holds().dead().stream()
            // A record of an earlier version has no time: it is old once it was seen for so long.
            .filter(h -> h.deadAtMs() > 0 ? nowMs - h.deadAtMs() > keepMs : watched)
            .limit(most)
            .toList();
    if (!old.isEmpty()) {
      remove(old, mine);
    }
  }

  private void remove(List<Holds.Hold> old, long inTerm) {
    Txn txn = context.duties().guard(Duty.CLEANUP, inTerm, new Txn());
    for (Holds.Hold h : old) {
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
                removed += old.size();
                LOG.log(Level.DEBUG, "forgets {0} machines that are gone", old.size());
                old.forEach(
                    h -> context.replica().apply(Holds.key(h.host()), null, done.revision()));
              }
            });
  }

  /** How many records this controller has removed. */
  public int removed() {
    return removed;
  }
}
