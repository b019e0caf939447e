package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
import dev.dunefront.evidence.Isolation;
import dev.dunefront.net.Timers;
import dev.dunefront.store.Store;
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
final class Leaving {
  private static final System.Logger LOG = System.getLogger(Leaving.class.getName());

  /**
   * All workers are redirected within this fraction of the lease duration. They are spread out
   * because each controller that acquires one has to write a record.
   */
  private static final double SPAN = 0.5;

  private final Settings settings;
  private final Store store;
  private final Timers timers;
  private final Neighbours neighbours;
  private final List<String> others = new ArrayList<>();
  private Isolation alone = Isolation.NOT;
  private int turn;
  private double next;
  private int sent;

  Leaving(ControllerContext context, Neighbours neighbours) {
    this.settings = context.settings();
    this.store = context.store();
    this.timers = context.timers();
    this.neighbours = neighbours;
    // Controllers of this zone come first: they can still reach its machines if the zone is
    // partitioned.
    settings.peers().stream()
        .sorted(
            (a, b) ->
                Boolean.compare(b.zone().equals(settings.zone()), a.zone().equals(settings.zone())))
        .forEach(p -> others.add(p.node()));
  }

  /** Whether neither the state service nor any other controller is reachable. */
  boolean alone() {
    return store.down() && neighbours.none() && !others.isEmpty();
  }

  /** Number of workers redirected so far. */
  int sent() {
    return sent;
  }

  /** Advances the state machine; called several times a second. */
  void tick(double now) {
    Isolation.Step before = alone.step();
    alone = alone.passed(now, alone(), others.size(), settings.workers().leaseS());
    if (alone.step() != before && alone.step() == Isolation.Step.GO) {
      LOG.log(
          Level.INFO,
          "isolated, and trial worker {0} has not come back; redirecting the other workers",
          alone.trial());
    }
  }

  /** A report of a machine has arrived. */
  void reported(String host) {
    Isolation.Step before = alone.step();
    alone = alone.reported(host, timers.now());
    if (before != alone.step()) {
      LOG.log(Level.INFO, "isolated, and worker {0} came back; keeping the workers here", host);
    }
  }

  /**
   * The controller to which a machine that has just reported is redirected, or null if it stays.
   * The trial machine is one without tasks if there is any.
   */
  String whereTo(Machine m, Collection<Machine> held) {
    double now = timers.now();
    boolean trial = alone.step() == Isolation.Step.TRY;
    if (!trial && (alone.step() != Isolation.Step.GO || now < next)) {
      return null;
    }
    if (trial && !m.unfinished().isEmpty() && anyIdle(held)) {
      return null;
    }
    if (trial) {
      alone = alone.sent(m.host, now);
      LOG.log(
          Level.INFO,
          "isolated from the state service and all controllers; redirecting {0} as a trial",
          m.host);
    }
    next = now + settings.workers().leaseS() * SPAN / Math.max(1, held.size());
    sent++;
    return others.get(turn++ % others.size());
  }

  private static boolean anyIdle(Collection<Machine> held) {
    for (Machine m : held) {
      if (!m.lost && m.unfinished().isEmpty()) {
        return true;
      }
    }
    return false;
  }
}
