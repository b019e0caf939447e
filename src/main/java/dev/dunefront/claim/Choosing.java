package dev.dunefront.claim;

import dev.dunefront.fleet.Catalog;
import dev.dunefront.peer.Message.View;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import dev.dunefront.wire.Priority;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;

/** Selects the machines at which a job may queue wants, and rates the cost of a start there. */
final class Choosing {
  /** Time in addition to its boot until a machine of the cheapest type accepts replicas. */
  private static final double HOME_S = 10;

  /** Weight of the image fetch time in the cost for tasks that are not urgent. */
  private static final double PATIENT = 0.25;

  /** Cost of each image of another job on the machine, in seconds of start delay. */
  private static final double CROWD_S = 0.5;

  /** Cost of a machine that is many times too large, in seconds of start delay. */
  private static final double OVERSIZE_S = 3;

  /**
   * Cost of an empty machine relative to a nearly full one for a service replica, in seconds of
   * start delay: full machines are kept anyway, and empty ones can be returned.
   */
  private static final double SPREAD_OUT_S = 0.2;

  /**
   * Cost of an on-demand machine for a task that may run on a spot machine, in seconds of start
   * delay, while there is urgent work that may not: on-demand machines that stay empty can be
   * returned.
   */
  private static final double ORDINARY_S = 10;

  /** Fetch times up to this multiple of the fastest count as equally fast. */
  private static final double QUICK = 1.25;

  private static final int HERE = 0;
  private static final int FULL = 1;

  /** Machines that should be left to other jobs or used only later. */
  private static final int LAST = 2;

  /**
   * A machine at which a job could queue wants. Natural order: lower tier, then lower cost first.
   *
   * @param ever number of the job's tasks that fit on the empty machine
   * @param fits number of the job's tasks that fit into the free capacity
   */
  record Choice(Room.Seen seen, int ever, int fits, int tier, double costS, int mix)
      implements Comparable<Choice> {
    /** Whether a task fits now. */
    boolean here() {
      return tier == HERE;
    }

    /** Whether no task fits now, but could later. */
    boolean full() {
      return tier == FULL;
    }

    @Override
    public int compareTo(Choice o) {
      if (tier != o.tier) {
        return Integer.compare(tier, o.tier);
      }
      int cost = Double.compare(costS, o.costS);
      return cost != 0 ? cost : Integer.compare(mix, o.mix);
    }
  }

  private final ControllerContext context;
  private final Room room;
  private final Zones zones;
  private final Turnover turnover;

  Choosing(ControllerContext context, Room room, Zones zones, Turnover turnover) {
    this.context = context;
    this.room = room;
    this.zones = zones;
    this.turnover = turnover;
  }

  /**
   * How a kind of machine suits a job; computed once per job and kind.
   *
   * @param ever number of the job's tasks that fit on the empty machine
   * @param large whether the machine is oversized and should be left to larger tasks
   * @param fetchS time to fetch the job's image, in seconds
   * @param dearS time for which the job waits for a cheaper type first, in seconds
   */
  record Fit(int ever, boolean large, double fetchS, double dearS) {}

  private Fit fit(Claim claim, Room.Kind kind) {
    while (claim.fits.size() <= kind.index()) {
      claim.fits.add(null);
    }
    Fit known = claim.fits.get(kind.index());
    if (known != null) {
      return known;
    }
    MachineType type = context.catalog().type(kind.type());
    if (type == null) {
      return new Fit(0, false, 0, 0);
    }
    JobSpec spec = claim.spec;
    int emptySlots =
        spec.allows(kind.type(), kind.zone(), kind.spot()) ? claim.size.timesIn(type.size()) : 0;
    double fetchS =
        spec.image() == null || type.fetchGbPerS() <= 0 ? 0 : spec.imageGb() / type.fetchGbPerS();
    boolean oversized = emptySlots >= Catalog.OVERSIZE && context.catalog().leavesLarge(spec);
    // A replica stays where it starts, so it waits for the cheapest type as long as renting such a
    // machine takes.
    boolean waitsForCheaper = !oversized && context.catalog().dear(spec, type);
    double cheaperTypeWaitS = waitsForCheaper ? context.catalog().home(spec).bootS() + HOME_S : 0;
    Fit fit = new Fit(emptySlots, oversized, fetchS, cheaperTypeWaitS);
    claim.fits.set(kind.index(), fit);
    return fit;
  }

  /** Matches the indexes of the machine kinds that fit a task of the job when empty. */
  IntPredicate fits(Claim claim) {
    return index -> index < room.kinds().size() && fit(claim, room.kinds().get(index)).ever > 0;
  }

  /** Rates a machine for a job; null if the job cannot queue wants there. */
  Choice choice(Claim claim, Room.Seen machine, double now) {
    Fit fit = fit(claim, machine.kind());
    View view = machine.view();
    if (fit.ever == 0
        || !view.open()
        || now - claim.unservedSince < fit.dearS
        || keptForUrgent(claim.spec, view)
        || !claim.avoid.isEmpty() && claim.avoid.getOrDefault(view.host(), 0.0) > now
        || (claim.spec.oneZone() || claim.spec.spread())
            && !zones.allowed(claim, view.host(), List.of())) {
      return null;
    }
    int freeSlots = machine.roomy() ? claim.size.timesIn(view.free()) : 0;
    boolean urgent = claim.spec.priority().urgent();
    // Oversized machines are left to tasks that fit nowhere else, as long as smaller machines may
    // still become available.
    boolean leaveToLarger =
        fit.large
            && !urgent
            && now - claim.unservedSince
                < context.tunables().gatherTicks() * context.tunables().tickS();
    boolean slowFetch = fit.fetchS > claim.slowFetchS && !warm(claim, view);
    int tier = slowFetch ? LAST : freeSlots == 0 ? FULL : leaveToLarger ? LAST : HERE;
    return new Choice(
        machine, fit.ever, freeSlots, tier, costS(claim, machine, fit), machine.mix() ^ claim.mix);
  }

  /**
   * Whether the machine's capacity is reserved for urgent tasks that may run on on-demand machines
   * only: such tasks run there already, so their images are present, and this job can run
   * elsewhere.
   */
  private boolean keptForUrgent(JobSpec spec, View view) {
    return spec.spot()
        && !view.spot()
        && !spec.priority().urgent()
        && view.runsUrgent()
        && context.catalog().urgentHome(view.type());
  }

  private static boolean warm(Claim claim, View view) {
    return claim.spec.image() == null || view.images().contains(claim.spec.image());
  }

  /** The shortest fetch time of the job's image over all fitting kinds; 0 if there is none. */
  double quickFetchS(Claim claim) {
    double fastest = Double.POSITIVE_INFINITY;
    for (Room.Kind kind : room.kinds()) {
      Fit fit = fit(claim, kind);
      fastest = Math.min(fastest, fit.ever > 0 ? fit.fetchS : fastest);
    }
    return fastest == Double.POSITIVE_INFINITY ? 0 : fastest;
  }

  /**
   * The longest acceptable image fetch of an urgent job: capacity on machines with a faster fetch
   * becomes free so soon that its tasks start earlier there, including the wait. Infinite if there
   * is no such limit.
   */
  double slowFetchS(Claim claim) {
    Priority priority = claim.spec.priority();
    if (!priority.urgent()) {
      return Double.POSITIVE_INFINITY;
    }
    double fastest = quickFetchS(claim);
    double slowest = 0;
    for (Room.Kind kind : room.kinds()) {
      Fit fit = fit(claim, kind);
      slowest = Math.max(slowest, fit.ever > 0 ? fit.fetchS : 0);
    }
    if (slowest <= fastest * QUICK) {
      return Double.POSITIVE_INFINITY;
    }
    double limitS = fastest * QUICK;
    IntPredicate fitting = fits(claim);
    double slotsPerS =
        turnover.slotsPerS(
            claim.size,
            index -> fitting.test(index) && fit(claim, room.kinds().get(index)).fetchS <= limitS);
    return slotsPerS <= 0
        ? Double.POSITIVE_INFINITY
        : Math.max(limitS, fastest + turnover.waiting(priority) / slotsPerS);
  }

  /** The cost of a start on a machine, in seconds. */
  private double costS(Claim claim, Room.Seen machine, Fit fit) {
    List<String> images = machine.view().images();
    boolean hasImage = warm(claim, machine.view());
    double fetchS = hasImage ? 0 : fit.fetchS;
    int otherImages = images.size() - (hasImage && claim.spec.image() != null ? 1 : 0);
    // Tasks that are not urgent leave machines with the images of other jobs to those jobs.
    double costS =
        claim.spec.priority().urgent() ? fetchS : fetchS * PATIENT + otherImages * CROWD_S;
    if (claim.spec.service()) {
      costS += SPREAD_OUT_S * claim.size.timesIn(machine.view().free()) / Math.max(1, fit.ever);
    }
    if (claim.spec.spot() && !machine.view().spot() && !claim.spec.priority().urgent()) {
      costS += context.catalog().ordinaryNeeded() ? ORDINARY_S : 0;
    }
    return costS + (fit.large ? OVERSIZE_S : 0);
  }

  /** Sorts the claim's offers by cost, cheapest first. */
  void sortOffers(Claim claim) {
    if (claim.offers.size() < 2) {
      return;
    }
    Map<String, Double> costs = new HashMap<>();
    for (Claim.Held received : claim.offers) {
      String host = received.offer().host();
      if (!costs.containsKey(host)) {
        Room.Seen machine = room.get(host);
        costs.put(
            host,
            machine == null ? Double.MAX_VALUE : costS(claim, machine, fit(claim, machine.kind())));
      }
    }
    claim.offers.sort(Comparator.comparingDouble(received -> costs.get(received.offer().host())));
  }
}
