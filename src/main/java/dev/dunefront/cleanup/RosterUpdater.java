package dev.dunefront.cleanup;

import dev.dunefront.book.HoldTable;
import dev.dunefront.book.Roster;
import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
import dev.dunefront.duty.Duty;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.Txn;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Maintains the roster of controllers while this controller holds the clean-up duty: adds
 * controllers that have joined and removes those that have left permanently. It makes one change at
 * a time, so that at most one controller's share of the machines moves at once.
 */
public final class RosterUpdater {
  private static final System.Logger LOG = System.getLogger(RosterUpdater.class.getName());

  /** A controller that has been live for longer than this is added to the roster. */
  private static final double JOIN_DELAY_S = 10;

  /** A controller that is not in the settings is removed after not being live for this long. */
  private static final double LEAVE_DELAY_S = 60;

  /** Pause after a change; machines reach their new holders within one or two reports. */
  private static final double CHANGE_INTERVAL_S = 15;

  private final ControllerContext context;

  /** Time since when each controller has been live without interruption. */
  private final Map<String, Double> liveSince = new HashMap<>();

  /** Time at which each controller was last seen live. */
  private final Map<String, Double> lastLiveAt = new HashMap<>();

  private long term;
  private double termStartedAt;
  private double nextChangeAt;

  public RosterUpdater(ControllerContext context) {
    this.context = context;
  }

  /** Runs several times a second. */
  public void tick() {
    long heldTerm = context.duties().term(Duty.CLEANUP);
    double now = context.timers().now();
    if (heldTerm != term) {
      term = heldTerm;
      termStartedAt = now;
      nextChangeAt = now;
      liveSince.clear();
      lastLiveAt.clear();
    }
    if (heldTerm == 0) {
      return;
    }
    Set<String> live = context.membership().liveNodes();
    liveSince.keySet().retainAll(live);
    for (String node : live) {
      liveSince.putIfAbsent(node, now);
      lastLiveAt.put(node, now);
    }
    lastLiveAt.values().removeIf(at -> now - at > LEAVE_DELAY_S);
    if (now < nextChangeAt || context.store().unavailable()) {
      return;
    }
    Map<String, String> joined = new HashMap<>();
    liveSince.forEach(
        (node, since) -> {
          String zone = context.membership().zone(node);
          if (now - since > JOIN_DELAY_S && !zone.isEmpty()) {
            joined.put(node, zone);
          }
        });
    Set<String> retained = new HashSet<>(Set.of(context.settings().node()));
    context.settings().peers().stream().map(Settings.Peer::node).forEach(retained::add);
    Roster roster = context.holdTable().roster();
    if (now - termStartedAt < LEAVE_DELAY_S) {
      // This controller has not watched long enough to know that a member has left.
      roster.members().forEach(m -> retained.add(m.node()));
    }
    Roster changed = roster.next(joined, lastLiveAt.keySet(), retained);
    if (changed != null) {
      nextChangeAt = now + CHANGE_INTERVAL_S;
      write(roster, changed, heldTerm);
    }
  }

  private void write(Roster current, Roster changed, long inTerm) {
    LOG.log(
        Level.INFO, "changing the roster to {0}, in epoch {1}", changed.members(), changed.epoch());
    context
        .store()
        .tryTxn(
            HoldTable.replaceRoster(
                context.duties().guard(Duty.CLEANUP, inTerm, new Txn()), current, changed),
            StateStore.RequestPriority.BACKGROUND,
            // The watch shows the outcome; a change that failed is computed again by a later tick.
            done -> {});
  }
}
