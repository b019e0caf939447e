package dev.dunefront.fleet;

import dev.dunefront.claim.Room;
import dev.dunefront.claim.Urgencies;
import dev.dunefront.config.Tunables;
import dev.dunefront.job.JobRecord;
import dev.dunefront.job.JobTable;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What to rent and which idle machines to return, from what waits, what there is and what comes.
 */
final class Planner {
  /** What besides its boot passes until a rented machine takes tasks. */
  private static final double ARRIVAL_S = 10;

  private final Tunables tunables;
  private final JobTable jobs;
  private final Room room;
  private final Catalog catalog;
  private final Timers timers;
  private final Urgencies urgencies;
  private final Inventory inventory;
  private final Collection<Message.Demand> demands;

  /** By the index that kinds of seen machines have. */
  private final List<Kind> kinds = new ArrayList<>();

  /** {@code demands} is what the controllers have told last, kept up to date by the caller. */
  Planner(
      Tunables tunables,
      JobTable jobs,
      Room room,
      Catalog catalog,
      Timers timers,
      Urgencies urgencies,
      Inventory inventory,
      Collection<Message.Demand> demands) {
    this.tunables = tunables;
    this.jobs = jobs;
    this.room = room;
    this.catalog = catalog;
    this.timers = timers;
    this.urgencies = urgencies;
    this.inventory = inventory;
    this.demands = demands;
  }

  /**
   * What to rent next, if anything, which kinds something waiting could use, and what room there is
   * beyond that kept ready.
   */
  record Plan(Kind most, int count, Set<Kind> wanted, Map<Kind, Double> spare) {}

  /**
   * All that waits is put together first: the cloud takes few calls a second but many machines a
   * call, so a wave of work is answered with few large hires.
   */
  Plan plan(Set<Kind> refused) {
    Map<Kind, Double> coming = inventory.coming(room);
    Map<Kind, Double> free = free();
    Map<Kind, Double> counts = counts(coming);
    Market market = new Market(catalog, refused);
    Set<Kind> wanted = new HashSet<>();
    List<Waiter> waiting = waiting();
    List<Need> expected = expected();
    boolean spared = false;
    double ahead = 0;
    for (Waiter w : waiting) {
      JobSpec spec = w.need.spec;
      if (!spared && !spec.priority().urgent()) {
        // What comes for replicas is not for arrays, which would have it rented again and again.
        planSpare(market, expected, true, free, coming);
        spared = true;
      }
      market.fill(w.need, coming);
      Need left = w.need;
      if (spec.spot() && w.slackS < Double.POSITIVE_INFINITY) {
        ahead += left.missing();
        market.plan(left, true);
        boolean more = market.spotToBeHad(spec);
        // What spot machines get done in time waits for them; ordinary ones are for the rest.
        double inTime = more ? ahead : slots(market, spec, counts) * w.slackS / left.runS;
        left = left.split(Math.max(0, ahead - inTime));
        counts.keySet().stream()
            .filter(k -> k.spot() && market.couldUse(spec, k))
            .forEach(wanted::add);
      }
      if (left.missing() > 0) {
        counts.keySet().stream().filter(k -> market.couldUse(spec, k)).forEach(wanted::add);
        market.plan(left, false);
      }
    }
    if (!spared) {
      planSpare(market, expected, true, free, coming);
    }
    planSpare(market, expected, false, free, coming);
    Kind most = market.most();
    return new Plan(most, most == null ? 0 : market.count(most), wanted, free);
  }

  /** Urgent work that is to be expected while a machine would come. */
  private List<Need> expected() {
    if (tunables.spare() <= 0) {
      return List.of();
    }
    double window = ARRIVAL_S;
    for (MachineType t : catalog.types()) {
      window = Math.max(window, t.bootS() + ARRIVAL_S);
    }
    return Forecast.urgent(
        jobs.all(), catalog.zones(), tunables.spare(), window, timers.timeOfDayMs());
  }

  private static void planSpare(
      Market market,
      List<Need> expected,
      boolean services,
      Map<Kind, Double> free,
      Map<Kind, Double> coming) {
    for (Need need : expected) {
      if (need.spec.service() == services) {
        market.fill(need, free);
        market.fill(need, coming);
        market.plan(need, false);
      }
    }
  }

  /** A need with the part of its slack that it may wait. */
  private record Waiter(Need need, double slackS) {}

  /** All that waits for room, most urgent first. */
  private List<Waiter> waiting() {
    List<Waiter> all = new ArrayList<>();
    for (Message.Demand d : demands) {
      for (Message.Waiting w : d.waiting()) {
        JobTable.Entry e = jobs.get(w.job());
        if (e != null) {
          all.add(waiter(e.record(), w.tasks(), w.zones()));
        }
      }
    }
    // What nobody has claimed yet, for want of room, needs room no less.
    for (JobTable.Entry e : jobs.all()) {
      if (e.record().claim() == null && e.record().status() == JobRecord.Status.OPEN) {
        JobSpec spec = e.record().spec();
        Map<String, Integer> zones = new HashMap<>();
        if (spec.spread()) {
          catalog.zones().forEach(zone -> zones.put(zone, spec.mostInOneZone()));
        }
        all.add(waiter(e.record(), spec.tasks(), zones));
      }
    }
    all.sort(
        Comparator.comparing((Waiter w) -> w.need.spec.priority()).thenComparing(w -> w.slackS));
    return all;
  }

  private Waiter waiter(JobRecord record, int tasks, Map<String, Integer> zones) {
    JobSpec spec = record.spec();
    double fetch = 0;
    double boot = Double.POSITIVE_INFINITY;
    for (MachineType t : catalog.types()) {
      if (spec.size().fits(t.size()) && t.fetchGbPerS() > 0) {
        fetch = Math.max(fetch, spec.imageGb() / t.fetchGbPerS());
        boot = Math.min(boot, t.bootS());
      }
    }
    double run = urgencies.runS(spec) + fetch;
    double age = (timers.timeOfDayMs() - record.acceptedMs()) / 1000.0;
    Double slack = spec.priority().urgent() ? null : urgencies.slackS(spec, age, run);
    // An ordinary machine must have the time to boot, and what runs now has half its run to go.
    double patience =
        slack == null
            ? Double.POSITIVE_INFINITY
            : tunables.patience() * Math.max(0, slack - boot - run / 2);
    return new Waiter(Need.waiting(spec, tasks, zones, Math.max(1, run)), patience);
  }

  /** How many of the job's tasks run at once on the spot machines that there are. */
  private static double slots(Market market, JobSpec spec, Map<Kind, Double> counts) {
    double slots = 0;
    for (var e : counts.entrySet()) {
      if (e.getKey().spot()) {
        slots += e.getValue() * market.fit(spec, e.getKey());
      }
    }
    return slots;
  }

  /**
   * Room that nothing takes, in machines. Ordinary machines on which replicas would be at home and
   * arrays are count as free: these leave soon, and were they counted, whatever they take of the
   * room kept ready would be rented anew.
   */
  private Map<Kind, Double> free() {
    Map<Kind, Double> free = new HashMap<>();
    for (Room.Seen s : room.all()) {
      MachineType t = catalog.type(s.view().type());
      if (t != null && t.size().cpu() > 0 && (s.view().open() || s.view().retiring())) {
        boolean lent =
            !s.view().spot() && !s.view().runsUrgent() && catalog.urgentHome(s.view().type());
        double part = lent ? 1 : Math.max(0, (double) s.view().free().cpu() / t.size().cpu());
        free.merge(kind(s), part, Double::sum);
      }
    }
    return free;
  }

  /** All machines by kind, those that come included. */
  private Map<Kind, Double> counts(Map<Kind, Double> coming) {
    Map<Kind, Double> counts = new HashMap<>(coming);
    room.all().forEach(s -> counts.merge(kind(s), 1.0, Double::sum));
    return counts;
  }

  /** The kind of a machine that is seen; made once for each kind, not for each machine. */
  private Kind kind(Room.Seen s) {
    int index = s.kind().index();
    while (kinds.size() <= index) {
      kinds.add(null);
    }
    Kind known = kinds.get(index);
    if (known == null) {
      known = new Kind(s.kind().type(), s.kind().zone(), s.kind().spot());
      kinds.set(index, known);
    }
    return known;
  }

  // ---- returning ----

  /** Machines that idle and are to be returned. */
  List<String> idlers(Plan plan) {
    List<Idle.Machine> idle = new ArrayList<>();
    long now = timers.timeOfDayMs();
    for (Room.Seen s : room.all()) {
      // Its holder says since when, so that whoever rents next knows it as well.
      long since = s.view().idleSinceMs();
      if (since > 0 && !inventory.isDeleted(s.view().host())) {
        idle.add(new Idle.Machine(s.view().host(), kind(s), (now - since) / 1000.0));
      }
    }
    return Idle.toReturn(idle, plan.spare(), plan.wanted(), this::holdS);
  }

  /**
   * How long an idle machine is kept: the less it costs, the longer, for what comes next starts as
   * much sooner on a cheap machine as on a dear one.
   */
  private double holdS(Kind kind) {
    MachineType t = catalog.type(kind.type());
    if (t == null) {
      return Double.POSITIVE_INFINITY;
    }
    double cheapness = kind.spot() && t.spotPrice() > 0 ? t.price() / t.spotPrice() : 1;
    return Math.max(
        tunables.idleBoots() * t.bootS() * Math.max(1, cheapness),
        catalog.servesUrgentArrays(kind) ? tunables.idleWarmS() : 0);
  }
}
