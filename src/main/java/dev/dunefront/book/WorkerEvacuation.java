package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
import dev.dunefront.evidence.Isolation;
import dev.dunefront.net.Timers;
import dev.dunefront.store.StateStore;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Sends workers away from a controller that has lost the state service and all others: see {@link
 * Isolation}. A worker that is sent on keeps its lease for as long as it finds another in time; the
 * hold's record still names this controller, so one that comes back is held on without a write.
 */
final class WorkerEvacuation {
  private static final System.Logger LOG = System.getLogger(WorkerEvacuation.class.getName());

  /** All are sent within this part of a lease: whoever takes them writes once for each. */
  private static final double EVACUATION_LEASE_FRACTION = 0.5;

  private final Settings settings;
  private final StateStore store;
  private final Timers timers;
  private final ControllerLoads controllerLoads;
  private final List<String> otherNodes = new ArrayList<>();
  private Isolation alone = Isolation.NOT_ISOLATED;
  private int nextTargetIndex;
  private double nextSendAt;
  private int sentCount;

  WorkerEvacuation(ControllerContext context, ControllerLoads neighbours) {
    this.settings = context.settings();
    this.store = context.store();
    this.timers = context.timers();
    this.controllerLoads = neighbours;
    // Those of this zone first: they hear its machines when it is cut off.
    settings.peers().stream()
        .sorted(
            (a, b) ->
                Boolean.compare(b.zone().equals(settings.zone()), a.zone().equals(settings.zone())))
        .forEach(p -> otherNodes.add(p.node()));
  }

  /** Whether neither the state service nor any other controller answers. */
  boolean alone() {
    return store.unavailable() && controllerLoads.noneReachable() && !otherNodes.isEmpty();
  }

  /** Machines sent away so far. */
  int sentCount() {
    return sentCount;
  }

  /** Time has passed. */
  void tick(double now) {
    Isolation.Phase before = alone.phase();
    alone = alone.advance(now, alone(), otherNodes.size(), settings.workers().leaseS());
    if (alone.phase() != before && alone.phase() == Isolation.Phase.EVACUATE) {
      LOG.log(
          Level.INFO, "alone, and {0} found somebody else: the others follow", alone.trialHost());
    }
  }

  /** A machine's report has come. */
  void reportReceived(String host) {
    Isolation.Phase before = alone.phase();
    alone = alone.reportReceived(host, timers.now());
    if (before != alone.phase()) {
      LOG.log(Level.INFO, "alone, and {0} came back: nobody else is to be had", host);
    }
  }

  /**
   * To which controller a machine that has just reported is to be sent, or null if it stays. Sent
   * ahead is one on which nothing runs, if any.
   */
  String redirectTarget(Machine m, Collection<Machine> held) {
    double now = timers.now();
    boolean first = alone.phase() == Isolation.Phase.SEND_TRIAL;
    if (!first && (alone.phase() != Isolation.Phase.EVACUATE || now < nextSendAt)) {
      return null;
    }
    if (first && !m.unfinishedTasks().isEmpty() && anyIdle(held)) {
      return null;
    }
    if (first) {
      alone = alone.trialSent(m.host, now);
      LOG.log(Level.INFO, "alone with its workers; {0} is sent ahead", m.host);
    }
    nextSendAt =
        now + settings.workers().leaseS() * EVACUATION_LEASE_FRACTION / Math.max(1, held.size());
    sentCount++;
    return otherNodes.get(nextTargetIndex++ % otherNodes.size());
  }

  private static boolean anyIdle(Collection<Machine> held) {
    for (Machine m : held) {
      if (!m.leaseExpired && m.unfinishedTasks().isEmpty()) {
        return true;
      }
    }
    return false;
  }
}
