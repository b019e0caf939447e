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

/** What machines are to a job: whether it may park there, and what a start there costs. */
final class Choosing {
  /** What besides its boot passes until a machine of the cheapest type takes replicas. */
  private static final double HOME_S = 10;

  /** How much of its fetch a task counts that is in no hurry. */
  private static final double PATIENT = 0.25;

  /** What taking room beside another job's image costs, in seconds of an earlier start. */
  private static final double CROWD_S = 0.5;

  /** What using a machine many times too large costs, in seconds of an earlier start. */
  private static final double OVERSIZE_S = 3;

  /**
   * What a wholly free machine costs an urgent task against a nearly full one, in seconds of an
   * earlier start: full machines stay anyway, and empty ones can be returned.
   */
  private static final double SPREAD_OUT_S = 0.2;

  /**
   * What an ordinary machine costs a task that may run on a spot machine, in seconds of an earlier
   * start, where there is work that may not: what stays empty can be returned.
   */
  private static final double ORDINARY_S = 10;

  /** Fetches that take up to this many times as long as the quickest are as good as it. */
  private static final double QUICK = 1.25;

  private static final int HERE = 0;
  private static final int FULL = 1;

  /** Machines that are better left to others, or to a later time. */
  private static final int LAST = 2;

  /** A machine on which a job could park; the lower the tier, the sooner it is chosen. */
  record Choice(Room.Seen seen, int ever, int fits, int tier, double costS, int mix)
      implements Comparable<Choice> {
    /** There is room now. */
    boolean here() {
      return tier == HERE;
    }

    /** There is none now, but some will be. */
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

  /** What a kind of machine is to a job; worked out once for each job and kind. */
  record Fit(int ever, boolean large, double fetchS, double dearS) {}

  private Fit fit(Claim c, Room.Kind kind) {
    while (c.fits.size() <= kind.index()) {
      c.fits.add(null);
    }
    Fit known = c.fits.get(kind.index());
    if (known != null) {
      return known;
    }
    MachineType type = context.catalog().type(kind.type());
    if (type == null) {
      return new Fit(0, false, 0, 0);
    }
    JobSpec spec = c.spec;
    int ever = spec.allows(kind.type(), kind.zone(), kind.spot()) ? c.size.timesIn(type.size()) : 0;
    double fetch =
        spec.image() == null || type.fetchGbPerS() <= 0 ? 0 : spec.imageGb() / type.fetchGbPerS();
    boolean large = ever >= Catalog.OVERSIZE && context.catalog().leavesLarge(spec);
    // A replica stays where it starts, so it waits for the type on which it costs least for as long
    // as such a machine takes to come.
    boolean dear = !large && context.catalog().dear(spec, type);
    double comes = dear ? context.catalog().home(spec).bootS() + HOME_S : 0;
    Fit fit = new Fit(ever, large, fetch, comes);
    c.fits.set(kind.index(), fit);
    return fit;
  }

  /** Whether a machine of a kind, by its index, could ever take a task of the job. */
  IntPredicate fits(Claim c) {
    return index -> index < room.kinds().size() && fit(c, room.kinds().get(index)).ever > 0;
  }

  /** The machine as the job sees it, or null if it cannot park there. */
  Choice choice(Claim c, Room.Seen s, double now) {
    Fit fit = fit(c, s.kind());
    View v = s.view();
    if (fit.ever == 0
        || !v.open()
        || now - c.unservedSince < fit.dearS
        || keptForUrgent(c.spec, v)
        || !c.avoid.isEmpty() && c.avoid.getOrDefault(v.host(), 0.0) > now
        || (c.spec.oneZone() || c.spec.spread()) && !zones.allowed(c, v.host(), List.of())) {
      return null;
    }
    int fits = s.roomy() ? c.size.timesIn(v.free()) : 0;
    boolean urgent = c.spec.priority().urgent();
    // Large machines are left to tasks that fit nowhere else, as long as others may turn up.
    boolean spare =
        fit.large
            && !urgent
            && now - c.unservedSince
                < context.tunables().gatherTicks() * context.tunables().tickS();
    boolean slow = fit.fetchS > c.slowFetchS && !warm(c, v);
    int tier = slow ? LAST : fits == 0 ? FULL : spare ? LAST : HERE;
    return new Choice(s, fit.ever, fits, tier, costS(c, s, fit), s.mix() ^ c.mix);
  }

  /**
   * Whether the machine's room is kept for urgent tasks that may run on ordinary machines alone:
   * some run there, so it has their images, and the job may run elsewhere.
   */
  private boolean keptForUrgent(JobSpec spec, View v) {
    return spec.spot()
        && !v.spot()
        && !spec.priority().urgent()
        && v.runsUrgent()
        && context.catalog().urgentHome(v.type());
  }

  private static boolean warm(Claim c, View v) {
    return c.spec.image() == null || v.images().contains(c.spec.image());
  }

  /** The quickest fetch of the job's image on any kind of machine that fits. */
  double quickFetchS(Claim c) {
    double quick = Double.POSITIVE_INFINITY;
    for (Room.Kind k : room.kinds()) {
      Fit fit = fit(c, k);
      quick = Math.min(quick, fit.ever > 0 ? fit.fetchS : quick);
    }
    return quick == Double.POSITIVE_INFINITY ? 0 : quick;
  }

  /**
   * A fetch that takes longer than this is too slow for an urgent job: room on machines that fetch
   * quickly becomes free so soon that its tasks start there earlier, though they wait for it.
   */
  double slowFetchS(Claim c) {
    Priority priority = c.spec.priority();
    if (!priority.urgent()) {
      return Double.POSITIVE_INFINITY;
    }
    double quick = quickFetchS(c);
    double slow = 0;
    for (Room.Kind k : room.kinds()) {
      Fit fit = fit(c, k);
      slow = Math.max(slow, fit.ever > 0 ? fit.fetchS : 0);
    }
    if (slow <= quick * QUICK) {
      return Double.POSITIVE_INFINITY;
    }
    double most = quick * QUICK;
    IntPredicate fits = fits(c);
    double slots =
        turnover.slotsPerS(c.size, k -> fits.test(k) && fit(c, room.kinds().get(k)).fetchS <= most);
    return slots <= 0
        ? Double.POSITIVE_INFINITY
        : Math.max(most, quick + turnover.waiting(priority) / slots);
  }

  /** What a start there costs, in seconds. */
  private double costS(Claim c, Room.Seen s, Fit fit) {
    List<String> images = s.view().images();
    boolean warm = warm(c, s.view());
    double fetch = warm ? 0 : fit.fetchS;
    int others = images.size() - (warm && c.spec.image() != null ? 1 : 0);
    // A task in no hurry leaves the machines that have others' images to those others.
    double cost = c.spec.priority().urgent() ? fetch : fetch * PATIENT + others * CROWD_S;
    if (c.spec.service()) {
      cost += SPREAD_OUT_S * c.size.timesIn(s.view().free()) / Math.max(1, fit.ever);
    }
    if (c.spec.spot() && !s.view().spot() && !c.spec.priority().urgent()) {
      cost += context.catalog().ordinaryNeeded() ? ORDINARY_S : 0;
    }
    return cost + (fit.large ? OVERSIZE_S : 0);
  }

  /** Puts the best of several offers first. */
  void sortOffers(Claim c) {
    if (c.offers.size() < 2) {
      return;
    }
    Map<String, Double> costs = new HashMap<>();
    for (Claim.Held h : c.offers) {
      String host = h.offer().host();
      if (!costs.containsKey(host)) {
        Room.Seen s = room.get(host);
        costs.put(host, s == null ? Double.MAX_VALUE : costS(c, s, fit(c, s.kind())));
      }
    }
    c.offers.sort(Comparator.comparingDouble(h -> costs.get(h.offer().host())));
  }
}
