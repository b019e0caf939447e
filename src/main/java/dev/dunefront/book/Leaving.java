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
 * Sends workers away from a controller that has lost the state service and all others: see {@link
 * Isolation}. A worker that is sent on keeps its lease for as long as it finds another in time; the
 * hold's record still names this controller, so one that comes back is held on without a write.
 */
final class Leaving {
  private static final System.Logger LOG = System.getLogger(Leaving.class.getName());

  /** All are sent within this part of a lease: whoever takes them writes once for each. */
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
    // Those of this zone first: they hear its machines when it is cut off.
    settings.peers().stream()
        .sorted(
            (a, b) ->
                Boolean.compare(b.zone().equals(settings.zone()), a.zone().equals(settings.zone())))
        .forEach(p -> others.add(p.node()));
  }

  /** Whether neither the state service nor any other controller answers. */
  boolean alone() {
    return store.down() && neighbours.none() && !others.isEmpty();
  }

  /** Machines sent away so far. */
  int sent() {
    return sent;
  }

  /** Time has passed. */
  void tick(double now) {
    Isolation.Step before = alone.step();
    alone = alone.passed(now, alone(), others.size(), settings.workers().leaseS());
    if (alone.step() != before && alone.step() == Isolation.Step.GO) {
      LOG.log(Level.INFO, "alone, and {0} found somebody else: the others follow", alone.trial());
    }
  }

  /** A machine's report has come. */
  void reported(String host) {
    Isolation.Step before = alone.step();
    alone = alone.reported(host, timers.now());
    if (before != alone.step()) {
      LOG.log(Level.INFO, "alone, and {0} came back: nobody else is to be had", host);
    }
  }

  /**
   * To which controller a machine that has just reported is to be sent, or null if it stays. Sent
   * ahead is one on which nothing runs, if any.
   */
  String whereTo(Machine m, Collection<Machine> held) {
    double now = timers.now();
    boolean first = alone.step() == Isolation.Step.TRY;
    if (!first && (alone.step() != Isolation.Step.GO || now < next)) {
      return null;
    }
    if (first && !m.unfinished().isEmpty() && anyIdle(held)) {
      return null;
    }
    if (first) {
      alone = alone.sent(m.host, now);
      LOG.log(Level.INFO, "alone with its workers; {0} is sent ahead", m.host);
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
