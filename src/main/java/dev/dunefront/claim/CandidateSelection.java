package dev.dunefront.claim;

import dev.dunefront.fleet.MachineCatalog;
import dev.dunefront.peer.Message.MachineView;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import dev.dunefront.wire.Priority;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;

/** Selects the machines at which a job may queue wants, and rates the cost of a start there. */
final class CandidateSelection {
  /** Time in addition to its boot until a machine of the cheapest type accepts replicas. */
  private static final double REPLICA_MACHINE_EXTRA_S = 10;

  /** Weight of the image fetch time in the cost for tasks that are not urgent. */
  private static final double NON_URGENT_FETCH_WEIGHT = 0.25;

  /** Cost of each image of another job on the machine, in seconds of start delay. */
  private static final double OTHER_IMAGE_COST_S = 0.5;

  /** Cost of a machine that is many times too large, in seconds of start delay. */
  private static final double OVERSIZE_COST_S = 3;

  /**
   * Cost of an empty machine relative to a nearly full one for a service replica, in seconds of
   * start delay: full machines are kept anyway, and empty ones can be returned.
   */
  private static final double EMPTY_MACHINE_COST_S = 0.2;

  /**
   * Cost of an on-demand machine for a task that may run on a spot machine, in seconds of start
   * delay, while there is urgent work that may not: on-demand machines that stay empty can be
   * returned.
   */
  private static final double ON_DEMAND_COST_S = 10;

  /** Fetch times up to this multiple of the fastest count as equally fast. */
  private static final double FAST_FETCH_FACTOR = 1.25;

  private static final int TIER_FREE = 0;
  private static final int TIER_FULL = 1;

  /** Machines that should be left to other jobs or used only later. */
  private static final int TIER_LAST_RESORT = 2;

  /**
   * A machine at which a job could queue wants. Natural order: lower tier, then lower cost first.
   *
   * @param emptySlots number of the job's tasks that fit on the empty machine
   * @param freeSlots number of the job's tasks that fit into the free capacity
   */
  record Candidate(
      MachineTable.Entry machine,
      int emptySlots,
      int freeSlots,
      int tier,
      double costS,
      int tieBreaker)
      implements Comparable<Candidate> {
    /** Whether a task fits now. */
    boolean hasRoom() {
      return tier == TIER_FREE;
    }

    /** Whether no task fits now, but could later. */
    boolean isFull() {
      return tier == TIER_FULL;
    }

    @Override
    public int compareTo(Candidate o) {
      if (tier != o.tier) {
        return Integer.compare(tier, o.tier);
      }
      int cost = Double.compare(costS, o.costS);
      return cost != 0 ? cost : Integer.compare(tieBreaker, o.tieBreaker);
    }
  }

  private final ControllerContext context;
  private final MachineTable machineTable;
  private final ZoneConstraints zoneConstraints;
  private final Turnover turnover;

  CandidateSelection(
      ControllerContext context,
      MachineTable machineTable,
      ZoneConstraints zoneConstraints,
      Turnover turnover) {
    this.context = context;
    this.machineTable = machineTable;
    this.zoneConstraints = zoneConstraints;
    this.turnover = turnover;
  }

  /**
   * How a kind of machine suits a job; computed once per job and kind.
   *
   * @param emptySlots number of the job's tasks that fit on the empty machine
   * @param oversized whether the machine is oversized and should be left to larger tasks
   * @param fetchS time to fetch the job's image, in seconds
   * @param cheaperTypeWaitS time for which the job waits for a cheaper type first, in seconds
   */
  record MachineFit(int emptySlots, boolean oversized, double fetchS, double cheaperTypeWaitS) {}

  private MachineFit machineFit(Claim claim, MachineTable.Kind kind) {
    while (claim.machineFits.size() <= kind.index()) {
      claim.machineFits.add(null);
    }
    MachineFit known = claim.machineFits.get(kind.index());
    if (known != null) {
      return known;
    }
    MachineType type = context.catalog().type(kind.type());
    if (type == null) {
      return new MachineFit(0, false, 0, 0);
    }
    JobSpec spec = claim.spec;
    int emptySlots =
        spec.allows(kind.type(), kind.zone(), kind.spot())
            ? claim.size.countFittingIn(type.resources())
            : 0;
    double fetchS =
        spec.image() == null || type.fetchGbPerS() <= 0 ? 0 : spec.imageGb() / type.fetchGbPerS();
    boolean oversized =
        emptySlots >= MachineCatalog.OVERSIZE_TASKS && context.catalog().avoidsOversized(spec);
    // A replica stays where it starts, so it waits for the cheapest type as long as renting such a
    // machine takes.
    boolean waitsForCheaper = !oversized && context.catalog().isExpensive(spec, type);
    double cheaperTypeWaitS =
        waitsForCheaper
            ? context.catalog().cheapestType(spec).bootS() + REPLICA_MACHINE_EXTRA_S
            : 0;
    MachineFit fit = new MachineFit(emptySlots, oversized, fetchS, cheaperTypeWaitS);
    claim.machineFits.set(kind.index(), fit);
    return fit;
  }

  /** Matches the indexes of the machine kinds that fit a task of the job when empty. */
  IntPredicate fittingKinds(Claim claim) {
    return index ->
        index < machineTable.kinds().size()
            && machineFit(claim, machineTable.kinds().get(index)).emptySlots > 0;
  }

  /** Rates a machine for a job; null if the job cannot queue wants there. */
  Candidate candidate(Claim claim, MachineTable.Entry machine, double now) {
    MachineFit fit = machineFit(claim, machine.kind());
    MachineView view = machine.view();
    if (fit.emptySlots == 0
        || !view.schedulable()
        || now - claim.unservedSince < fit.cheaperTypeWaitS
        || reservedForUrgent(claim.spec, view)
        || !claim.avoidUntil.isEmpty() && claim.avoidUntil.getOrDefault(view.host(), 0.0) > now
        || (claim.spec.oneZone() || claim.spec.spread())
            && !zoneConstraints.allowed(claim, view.host(), List.of())) {
      return null;
    }
    int freeSlots = machine.hasFreeCapacity() ? claim.size.countFittingIn(view.free()) : 0;
    boolean urgent = claim.spec.priority().urgent();
    // Oversized machines are left to tasks that fit nowhere else, as long as smaller machines may
    // still become available.
    boolean leaveToLarger =
        fit.oversized
            && !urgent
            && now - claim.unservedSince
                < context.tunables().gatherTicks() * context.tunables().tickS();
    boolean slowFetch = fit.fetchS > claim.maxFetchS && !hasImage(claim, view);
    int tier =
        slowFetch
            ? TIER_LAST_RESORT
            : freeSlots == 0 ? TIER_FULL : leaveToLarger ? TIER_LAST_RESORT : TIER_FREE;
    return new Candidate(
        machine,
        fit.emptySlots,
        freeSlots,
        tier,
        costS(claim, machine, fit),
        machine.tieBreaker() ^ claim.tieBreaker);
  }

  /**
   * Whether the machine's capacity is reserved for urgent tasks that may run on on-demand machines
   * only: such tasks run there already, so their images are present, and this job can run
   * elsewhere.
   */
  private boolean reservedForUrgent(JobSpec spec, MachineView view) {
    return spec.spotAllowed()
        && !view.spot()
        && !spec.priority().urgent()
        && view.hasUrgentTasks()
        && context.catalog().isCheapestForUrgent(view.type());
  }

  private static boolean hasImage(Claim claim, MachineView view) {
    return claim.spec.image() == null || view.images().contains(claim.spec.image());
  }

  /** The shortest fetch time of the job's image over all fitting kinds; 0 if there is none. */
  double fastestFetchS(Claim claim) {
    double fastest = Double.POSITIVE_INFINITY;
    for (MachineTable.Kind kind : machineTable.kinds()) {
      MachineFit fit = machineFit(claim, kind);
      fastest = Math.min(fastest, fit.emptySlots > 0 ? fit.fetchS : fastest);
    }
    return fastest == Double.POSITIVE_INFINITY ? 0 : fastest;
  }

  /**
   * The longest acceptable image fetch of an urgent job: capacity on machines with a faster fetch
   * becomes free so soon that its tasks start earlier there, including the wait. Infinite if there
   * is no such limit.
   */
  double maxFetchS(Claim claim) {
    Priority priority = claim.spec.priority();
    if (!priority.urgent()) {
      return Double.POSITIVE_INFINITY;
    }
    double fastest = fastestFetchS(claim);
    double slowest = 0;
    for (MachineTable.Kind kind : machineTable.kinds()) {
      MachineFit fit = machineFit(claim, kind);
      slowest = Math.max(slowest, fit.emptySlots > 0 ? fit.fetchS : 0);
    }
    if (slowest <= fastest * FAST_FETCH_FACTOR) {
      return Double.POSITIVE_INFINITY;
    }
    double limitS = fastest * FAST_FETCH_FACTOR;
    IntPredicate fitting = fittingKinds(claim);
    double slotsPerS =
        turnover.slotsPerS(
            claim.size,
            index ->
                fitting.test(index)
                    && machineFit(claim, machineTable.kinds().get(index)).fetchS <= limitS);
    return slotsPerS <= 0
        ? Double.POSITIVE_INFINITY
        : Math.max(limitS, fastest + turnover.waitingTasks(priority) / slotsPerS);
  }

  /** The cost of a start on a machine, in seconds. */
  private double costS(Claim claim, MachineTable.Entry machine, MachineFit fit) {
    List<String> images = machine.view().images();
    boolean hasImage = hasImage(claim, machine.view());
    double fetchS = hasImage ? 0 : fit.fetchS;
    int otherImages = images.size() - (hasImage && claim.spec.image() != null ? 1 : 0);
    // Tasks that are not urgent leave machines with the images of other jobs to those jobs.
    double costS =
        claim.spec.priority().urgent()
            ? fetchS
            : fetchS * NON_URGENT_FETCH_WEIGHT + otherImages * OTHER_IMAGE_COST_S;
    if (claim.spec.service()) {
      costS +=
          EMPTY_MACHINE_COST_S
              * claim.size.countFittingIn(machine.view().free())
              / Math.max(1, fit.emptySlots);
    }
    if (claim.spec.spotAllowed() && !machine.view().spot() && !claim.spec.priority().urgent()) {
      costS += context.catalog().needsOnDemand() ? ON_DEMAND_COST_S : 0;
    }
    return costS + (fit.oversized ? OVERSIZE_COST_S : 0);
  }

  /** Sorts the claim's offers by cost, cheapest first. */
  void sortOffers(Claim claim) {
    if (claim.offers.size() < 2) {
      return;
    }
    Map<String, Double> costs = new HashMap<>();
    for (Claim.ReceivedOffer received : claim.offers) {
      String host = received.offer().host();
      if (!costs.containsKey(host)) {
        MachineTable.Entry machine = machineTable.get(host);
        costs.put(
            host,
            machine == null
                ? Double.MAX_VALUE
                : costS(claim, machine, machineFit(claim, machine.kind())));
      }
    }
    claim.offers.sort(Comparator.comparingDouble(received -> costs.get(received.offer().host())));
  }
}
