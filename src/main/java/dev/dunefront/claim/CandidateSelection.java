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

/** What machines are to a job: whether it may park there, and what a start there costs. */
final class CandidateSelection {
  /** What besides its boot passes until a machine of the cheapest type takes replicas. */
  private static final double REPLICA_MACHINE_EXTRA_S = 10;

  /** How much of its fetch a task counts that is in no hurry. */
  private static final double NON_URGENT_FETCH_WEIGHT = 0.25;

  /** What taking room beside another job's image costs, in seconds of an earlier start. */
  private static final double OTHER_IMAGE_COST_S = 0.5;

  /** What using a machine many times too large costs, in seconds of an earlier start. */
  private static final double OVERSIZE_COST_S = 3;

  /**
   * What a wholly free machine costs an urgent task against a nearly full one, in seconds of an
   * earlier start: full machines stay anyway, and empty ones can be returned.
   */
  private static final double EMPTY_MACHINE_COST_S = 0.2;

  /**
   * What an ordinary machine costs a task that may run on a spot machine, in seconds of an earlier
   * start, where there is work that may not: what stays empty can be returned.
   */
  private static final double ON_DEMAND_COST_S = 10;

  /** Fetches that take up to this many times as long as the quickest are as good as it. */
  private static final double FAST_FETCH_FACTOR = 1.25;

  private static final int TIER_FREE = 0;
  private static final int TIER_FULL = 1;

  /** Machines that are better left to others, or to a later time. */
  private static final int TIER_LAST_RESORT = 2;

  /** A machine on which a job could park; the lower the tier, the sooner it is chosen. */
  record Candidate(
      MachineTable.Entry machine,
      int emptySlots,
      int freeSlots,
      int tier,
      double costS,
      int tieBreaker)
      implements Comparable<Candidate> {
    /** There is room now. */
    boolean hasRoom() {
      return tier == TIER_FREE;
    }

    /** There is none now, but some will be. */
    boolean full() {
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
  private final ZoneConstraints zones;
  private final Turnover turnover;

  CandidateSelection(
      ControllerContext context, MachineTable room, ZoneConstraints zones, Turnover turnover) {
    this.context = context;
    this.machineTable = room;
    this.zones = zones;
    this.turnover = turnover;
  }

  /** What a kind of machine is to a job; worked out once for each job and kind. */
  record MachineFit(int emptySlots, boolean oversized, double fetchS, double cheaperTypeWaitS) {}

  private MachineFit machineFit(Claim c, MachineTable.Kind kind) {
    while (c.machineFits.size() <= kind.index()) {
      c.machineFits.add(null);
    }
    MachineFit known = c.machineFits.get(kind.index());
    if (known != null) {
      return known;
    }
    MachineType type = context.catalog().type(kind.type());
    if (type == null) {
      return new MachineFit(0, false, 0, 0);
    }
    JobSpec spec = c.spec;
    int ever =
        spec.allows(kind.type(), kind.zone(), kind.spot())
            ? c.size.countFittingIn(type.resources())
            : 0;
    double fetch =
        spec.image() == null || type.fetchGbPerS() <= 0 ? 0 : spec.imageGb() / type.fetchGbPerS();
    boolean large =
        ever >= MachineCatalog.OVERSIZE_TASKS && context.catalog().avoidsOversized(spec);
    // A replica stays where it starts, so it waits for the type on which it costs least for as long
    // as such a machine takes to come.
    boolean dear = !large && context.catalog().isExpensive(spec, type);
    double comes =
        dear ? context.catalog().cheapestType(spec).bootS() + REPLICA_MACHINE_EXTRA_S : 0;
    MachineFit fit = new MachineFit(ever, large, fetch, comes);
    c.machineFits.set(kind.index(), fit);
    return fit;
  }

  /** Whether a machine of a kind, by its index, could ever take a task of the job. */
  IntPredicate fittingKinds(Claim c) {
    return index ->
        index < machineTable.kinds().size()
            && machineFit(c, machineTable.kinds().get(index)).emptySlots > 0;
  }

  /** The machine as the job sees it, or null if it cannot park there. */
  Candidate candidate(Claim c, MachineTable.Entry s, double now) {
    MachineFit fit = machineFit(c, s.kind());
    MachineView v = s.view();
    if (fit.emptySlots == 0
        || !v.schedulable()
        || now - c.unservedSince < fit.cheaperTypeWaitS
        || reservedForUrgent(c.spec, v)
        || !c.avoidUntil.isEmpty() && c.avoidUntil.getOrDefault(v.host(), 0.0) > now
        || (c.spec.oneZone() || c.spec.spread()) && !zones.allowed(c, v.host(), List.of())) {
      return null;
    }
    int fits = s.hasFreeCapacity() ? c.size.countFittingIn(v.free()) : 0;
    boolean urgent = c.spec.priority().urgent();
    // Large machines are left to tasks that fit nowhere else, as long as others may turn up.
    boolean spare =
        fit.oversized
            && !urgent
            && now - c.unservedSince
                < context.tunables().gatherTicks() * context.tunables().tickS();
    boolean slow = fit.fetchS > c.maxFetchS && !hasImage(c, v);
    int tier =
        slow ? TIER_LAST_RESORT : fits == 0 ? TIER_FULL : spare ? TIER_LAST_RESORT : TIER_FREE;
    return new Candidate(
        s, fit.emptySlots, fits, tier, costS(c, s, fit), s.tieBreaker() ^ c.tieBreaker);
  }

  /**
   * Whether the machine's room is kept for urgent tasks that may run on ordinary machines alone:
   * some run there, so it has their images, and the job may run elsewhere.
   */
  private boolean reservedForUrgent(JobSpec spec, MachineView v) {
    return spec.spotAllowed()
        && !v.spot()
        && !spec.priority().urgent()
        && v.hasUrgentTasks()
        && context.catalog().isCheapestForUrgent(v.type());
  }

  private static boolean hasImage(Claim c, MachineView v) {
    return c.spec.image() == null || v.images().contains(c.spec.image());
  }

  /** The quickest fetch of the job's image on any kind of machine that fits. */
  double fastestFetchS(Claim c) {
    double quick = Double.POSITIVE_INFINITY;
    for (MachineTable.Kind k : machineTable.kinds()) {
      MachineFit fit = machineFit(c, k);
      quick = Math.min(quick, fit.emptySlots > 0 ? fit.fetchS : quick);
    }
    return quick == Double.POSITIVE_INFINITY ? 0 : quick;
  }

  /**
   * A fetch that takes longer than this is too slow for an urgent job: room on machines that fetch
   * quickly becomes free so soon that its tasks start there earlier, though they wait for it.
   */
  double maxFetchS(Claim c) {
    Priority priority = c.spec.priority();
    if (!priority.urgent()) {
      return Double.POSITIVE_INFINITY;
    }
    double quick = fastestFetchS(c);
    double slow = 0;
    for (MachineTable.Kind k : machineTable.kinds()) {
      MachineFit fit = machineFit(c, k);
      slow = Math.max(slow, fit.emptySlots > 0 ? fit.fetchS : 0);
    }
    if (slow <= quick * FAST_FETCH_FACTOR) {
      return Double.POSITIVE_INFINITY;
    }
    double most = quick * FAST_FETCH_FACTOR;
    IntPredicate fits = fittingKinds(c);
    double slots =
        turnover.slotsPerS(
            c.size, k -> fits.test(k) && machineFit(c, machineTable.kinds().get(k)).fetchS <= most);
    return slots <= 0
        ? Double.POSITIVE_INFINITY
        : Math.max(most, quick + turnover.waitingTasks(priority) / slots);
  }

  /** What a start there costs, in seconds. */
  private double costS(Claim c, MachineTable.Entry s, MachineFit fit) {
    List<String> images = s.view().images();
    boolean warm = hasImage(c, s.view());
    double fetch = warm ? 0 : fit.fetchS;
    int others = images.size() - (warm && c.spec.image() != null ? 1 : 0);
    // A task in no hurry leaves the machines that have others' images to those others.
    double cost =
        c.spec.priority().urgent()
            ? fetch
            : fetch * NON_URGENT_FETCH_WEIGHT + others * OTHER_IMAGE_COST_S;
    if (c.spec.service()) {
      cost +=
          EMPTY_MACHINE_COST_S
              * c.size.countFittingIn(s.view().free())
              / Math.max(1, fit.emptySlots);
    }
    if (c.spec.spotAllowed() && !s.view().spot() && !c.spec.priority().urgent()) {
      cost += context.catalog().needsOnDemand() ? ON_DEMAND_COST_S : 0;
    }
    return cost + (fit.oversized ? OVERSIZE_COST_S : 0);
  }

  /** Puts the best of several offers first. */
  void sortOffers(Claim c) {
    if (c.offers.size() < 2) {
      return;
    }
    Map<String, Double> costs = new HashMap<>();
    for (Claim.ReceivedOffer h : c.offers) {
      String host = h.offer().host();
      if (!costs.containsKey(host)) {
        MachineTable.Entry s = machineTable.get(host);
        costs.put(host, s == null ? Double.MAX_VALUE : costS(c, s, machineFit(c, s.kind())));
      }
    }
    c.offers.sort(Comparator.comparingDouble(h -> costs.get(h.offer().host())));
  }
}
