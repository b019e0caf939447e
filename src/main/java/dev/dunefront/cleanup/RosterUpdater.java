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
 * Keeps the roster of controllers, for the controller that has the duty of clean-up: lets in who
 * has joined and strikes out who has left for good, one at a time, so that no more than one
 * controller's part of the machines changes hands at once.
 */
public final class RosterUpdater {
  private static final System.Logger LOG = System.getLogger(RosterUpdater.class.getName());

  /** A controller that has lived for so long has joined. */
  private static final double JOIN_DELAY_S = 10;

  /** A controller that no settings name and that has not lived for so long has left. */
  private static final double LEAVE_DELAY_S = 60;

  /** After a change machines find their holders within a report or two; then the next may come. */
  private static final double CHANGE_INTERVAL_S = 15;

  private final ControllerContext context;

  /** Since when a controller lives, and when it was last seen to live. */
  private final Map<String, Double> liveSince = new HashMap<>();

  private final Map<String, Double> lastLiveAt = new HashMap<>();
  private long term;
  private double termStartedAt;
  private double nextChangeAt;

  public RosterUpdater(ControllerContext context) {
    this.context = context;
  }

  /** Called several times a second. */
  public void tick() {
    long mine = context.duties().term(Duty.CLEANUP);
    double now = context.timers().now();
    if (mine != term) {
      term = mine;
      termStartedAt = now;
      nextChangeAt = now;
      liveSince.clear();
      lastLiveAt.clear();
    }
    if (mine == 0) {
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
    Map<String, String> settled = new HashMap<>();
    liveSince.forEach(
        (node, since) -> {
          String zone = context.membership().zone(node);
          if (now - since > JOIN_DELAY_S && !zone.isEmpty()) {
            settled.put(node, zone);
          }
        });
    Set<String> named = new HashSet<>(Set.of(context.settings().node()));
    context.settings().peers().stream().map(Settings.Peer::node).forEach(named::add);
    Roster roster = context.holds().roster();
    if (now - termStartedAt < LEAVE_DELAY_S) {
      // Who has not lived for a while must have been missed by this controller for as long.
      roster.members().forEach(m -> named.add(m.node()));
    }
    Roster changed = roster.next(settled, lastLiveAt.keySet(), named);
    if (changed != null) {
      nextChangeAt = now + CHANGE_INTERVAL_S;
      write(roster, changed, mine);
    }
  }

  private void write(Roster now, Roster next, long inTerm) {
    LOG.log(Level.INFO, "the roster becomes {0}, in epoch {1}", next.members(), next.epoch());
    context
        .store()
        .tryTxn(
            HoldTable.replaceRoster(
                context.duties().guard(Duty.CLEANUP, inTerm, new Txn()), now, next),
            StateStore.RequestPriority.BACKGROUND,
            // Whatever comes of it, the watch shows it, and what is left to do is seen again.
            done -> {});
  }
}
