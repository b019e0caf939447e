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
 * Redirects workers to other controllers when this one has lost both the state service and all
 * other controllers; see {@link Isolation}. A redirected worker keeps its lease if it reaches
 * another controller in time. The hold record still names this controller, so a worker that comes
 * back is held again without a write.
 */
final class WorkerEvacuation {
  private static final System.Logger LOG = System.getLogger(WorkerEvacuation.class.getName());

  /**
   * All workers are redirected within this fraction of the lease duration. They are spread out
   * because each controller that acquires one has to write a record.
   */
  private static final double EVACUATION_LEASE_FRACTION = 0.5;

  private final Settings settings;
  private final StateStore store;
  private final Timers timers;
  private final ControllerLoads controllerLoads;
  private final List<String> otherNodes = new ArrayList<>();
  private Isolation isolation = Isolation.NOT_ISOLATED;
  private int nextTargetIndex;
  private double nextSendAt;
  private int sentCount;

  WorkerEvacuation(ControllerContext context, ControllerLoads controllerLoads) {
    this.settings = context.settings();
    this.store = context.store();
    this.timers = context.timers();
    this.controllerLoads = controllerLoads;
    // Controllers of this zone come first: they can still reach its machines if the zone is
    // partitioned.
    settings.peers().stream()
        .sorted(
            (a, b) ->
                Boolean.compare(b.zone().equals(settings.zone()), a.zone().equals(settings.zone())))
        .forEach(p -> otherNodes.add(p.node()));
  }

  /** Whether neither the state service nor any other controller is reachable. */
  boolean isolated() {
    return store.unavailable() && controllerLoads.noneReachable() && !otherNodes.isEmpty();
  }

  /** Number of workers redirected so far. */
  int sentCount() {
    return sentCount;
  }

  /** Advances the state machine; called several times a second. */
  void tick(double now) {
    Isolation.Phase before = isolation.phase();
    isolation = isolation.advance(now, isolated(), otherNodes.size(), settings.workers().leaseS());
    if (isolation.phase() != before && isolation.phase() == Isolation.Phase.EVACUATE) {
      LOG.log(
          Level.INFO,
          "isolated, and trial worker {0} has not come back; redirecting the other workers",
          isolation.trialHost());
    }
  }

  /** A report of a machine has arrived. */
  void reportReceived(String host) {
    Isolation.Phase before = isolation.phase();
    isolation = isolation.reportReceived(host, timers.now());
    if (before != isolation.phase()) {
      LOG.log(Level.INFO, "isolated, and worker {0} came back; keeping the workers here", host);
    }
  }

  /**
   * The controller to which a machine that has just reported is redirected, or null if it stays.
   * The trial machine is one without tasks if there is any.
   */
  String redirectTarget(Machine m, Collection<Machine> held) {
    double now = timers.now();
    boolean trial = isolation.phase() == Isolation.Phase.SEND_TRIAL;
    if (!trial && (isolation.phase() != Isolation.Phase.EVACUATE || now < nextSendAt)) {
      return null;
    }
    if (trial && !m.unfinishedTasks().isEmpty() && anyIdle(held)) {
      return null;
    }
    if (trial) {
      isolation = isolation.trialSent(m.host, now);
      LOG.log(
          Level.INFO,
          "isolated from the state service and all controllers; redirecting {0} as a trial",
          m.host);
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
