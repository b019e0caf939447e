package dev.dunefront.fleet;

import dev.dunefront.claim.DeadlineRanking;
import dev.dunefront.claim.MachineTable;
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
final class ScalingPlanner {
  /** What besides its boot passes until a rented machine takes tasks. */
  private static final double STARTUP_OVERHEAD_S = 10;

  private final Tunables tunables;
  private final JobTable jobs;
  private final MachineTable room;
  private final MachineCatalog catalog;
  private final Timers timers;
  private final DeadlineRanking urgencies;
  private final Inventory inventory;
  private final Collection<Message.Demand> demands;

  /** By the index that kinds of seen machines have. */
  private final List<MachineKind> kindsByIndex = new ArrayList<>();

  /** {@code demands} is what the controllers have told last, kept up to date by the caller. */
  ScalingPlanner(
      Tunables tunables,
      JobTable jobs,
      MachineTable room,
      MachineCatalog catalog,
      Timers timers,
      DeadlineRanking urgencies,
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
  record ScalingPlan(
      MachineKind kindToRent,
      int count,
      Set<MachineKind> usableKinds,
      Map<MachineKind, Double> surplus) {}

  /**
   * All that waits is put together first: the cloud takes few calls a second but many machines a
   * call, so a wave of work is answered with few large hires.
   */
  ScalingPlan plan(Set<MachineKind> refused) {
    Map<MachineKind, Double> coming = inventory.arrivingByKind(room);
    Map<MachineKind, Double> free = freeMachinesByKind();
    Map<MachineKind, Double> counts = machineCounts(coming);
    RentPlan market = new RentPlan(catalog, refused);
    Set<MachineKind> wanted = new HashSet<>();
    List<QueuedNeed> waiting = queuedNeeds();
    List<CapacityNeed> expected = expectedNeeds();
    boolean spared = false;
    double ahead = 0;
    for (QueuedNeed w : waiting) {
      JobSpec spec = w.need.spec;
      if (!spared && !spec.priority().urgent()) {
        // What comes for replicas is not for arrays, which would have it rented again and again.
        planExpected(market, expected, true, free, coming);
        spared = true;
      }
      market.allocate(w.need, coming);
      CapacityNeed left = w.need;
      if (spec.spotAllowed() && w.maxSpotWaitS < Double.POSITIVE_INFINITY) {
        ahead += left.unmetTasks();
        market.addMachines(left, true);
        boolean more = market.spotAvailable(spec);
        // What spot machines get done in time waits for them; ordinary ones are for the rest.
        double inTime =
            more ? ahead : spotSlots(market, spec, counts) * w.maxSpotWaitS / left.taskDurationS;
        left = left.split(Math.max(0, ahead - inTime));
        counts.keySet().stream()
            .filter(k -> k.spot() && market.wouldUse(spec, k))
            .forEach(wanted::add);
      }
      if (left.unmetTasks() > 0) {
        counts.keySet().stream().filter(k -> market.wouldUse(spec, k)).forEach(wanted::add);
        market.addMachines(left, false);
      }
    }
    if (!spared) {
      planExpected(market, expected, true, free, coming);
    }
    planExpected(market, expected, false, free, coming);
    MachineKind most = market.kindToRent();
    return new ScalingPlan(most, most == null ? 0 : market.plannedCount(most), wanted, free);
  }

  /** Urgent work that is to be expected while a machine would come. */
  private List<CapacityNeed> expectedNeeds() {
    if (tunables.spare() <= 0) {
      return List.of();
    }
    double window = STARTUP_OVERHEAD_S;
    for (MachineType t : catalog.types()) {
      window = Math.max(window, t.bootS() + STARTUP_OVERHEAD_S);
    }
    return DemandForecast.urgentNeeds(
        jobs.all(), catalog.zones(), tunables.spare(), window, timers.wallClockMs());
  }

  private static void planExpected(
      RentPlan market,
      List<CapacityNeed> expected,
      boolean services,
      Map<MachineKind, Double> free,
      Map<MachineKind, Double> coming) {
    for (CapacityNeed need : expected) {
      if (need.spec.service() == services) {
        market.allocate(need, free);
        market.allocate(need, coming);
        market.addMachines(need, false);
      }
    }
  }

  /** A need with the part of its slack that it may wait. */
  private record QueuedNeed(CapacityNeed need, double maxSpotWaitS) {}

  /** All that waits for room, most urgent first. */
  private List<QueuedNeed> queuedNeeds() {
    List<QueuedNeed> all = new ArrayList<>();
    for (Message.Demand d : demands) {
      for (Message.PendingTasks w : d.pending()) {
        JobTable.Entry e = jobs.get(w.job());
        if (e != null) {
          all.add(queuedNeed(e.record(), w.count(), w.roomByZone()));
        }
      }
    }
    // What nobody has claimed yet, for want of room, needs room no less.
    for (JobTable.Entry e : jobs.all()) {
      if (e.record().claimant() == null && e.record().status() == JobRecord.Status.OPEN) {
        JobSpec spec = e.record().spec();
        Map<String, Integer> zones = new HashMap<>();
        if (spec.spread()) {
          catalog.zones().forEach(zone -> zones.put(zone, spec.maxTasksPerZone()));
        }
        all.add(queuedNeed(e.record(), spec.tasks(), zones));
      }
    }
    all.sort(
        Comparator.comparing((QueuedNeed w) -> w.need.spec.priority())
            .thenComparing(w -> w.maxSpotWaitS));
    return all;
  }

  private QueuedNeed queuedNeed(JobRecord record, int tasks, Map<String, Integer> zones) {
    JobSpec spec = record.spec();
    double fetch = 0;
    double boot = Double.POSITIVE_INFINITY;
    for (MachineType t : catalog.types()) {
      if (spec.taskResources().fitsIn(t.resources()) && t.fetchGbPerS() > 0) {
        fetch = Math.max(fetch, spec.imageGb() / t.fetchGbPerS());
        boot = Math.min(boot, t.bootS());
      }
    }
    double run = urgencies.expectedRunS(spec) + fetch;
    double age = (timers.wallClockMs() - record.acceptedMs()) / 1000.0;
    Double slack = spec.priority().urgent() ? null : urgencies.slackS(spec, age, run);
    // An ordinary machine must have the time to boot, and what runs now has half its run to go.
    double patience =
        slack == null
            ? Double.POSITIVE_INFINITY
            : tunables.patience() * Math.max(0, slack - boot - run / 2);
    return new QueuedNeed(CapacityNeed.forQueued(spec, tasks, zones, Math.max(1, run)), patience);
  }

  /** How many of the job's tasks run at once on the spot machines that there are. */
  private static double spotSlots(RentPlan market, JobSpec spec, Map<MachineKind, Double> counts) {
    double slots = 0;
    for (var e : counts.entrySet()) {
      if (e.getKey().spot()) {
        slots += e.getValue() * market.tasksPerMachine(spec, e.getKey());
      }
    }
    return slots;
  }

  /**
   * Room that nothing takes, in machines. Ordinary machines on which replicas would be at home and
   * arrays are count as free: these leave soon, and were they counted, whatever they take of the
   * room kept ready would be rented anew.
   */
  private Map<MachineKind, Double> freeMachinesByKind() {
    Map<MachineKind, Double> free = new HashMap<>();
    for (MachineTable.Entry s : room.all()) {
      MachineType t = catalog.type(s.view().type());
      if (t != null && t.resources().cpu() > 0 && (s.view().schedulable() || s.view().retiring())) {
        boolean lent =
            !s.view().spot()
                && !s.view().hasUrgentTasks()
                && catalog.isCheapestForUrgent(s.view().type());
        double part = lent ? 1 : Math.max(0, (double) s.view().free().cpu() / t.resources().cpu());
        free.merge(kind(s), part, Double::sum);
      }
    }
    return free;
  }

  /** All machines by kind, those that come included. */
  private Map<MachineKind, Double> machineCounts(Map<MachineKind, Double> coming) {
    Map<MachineKind, Double> counts = new HashMap<>(coming);
    room.all().forEach(s -> counts.merge(kind(s), 1.0, Double::sum));
    return counts;
  }

  /** The kind of a machine that is seen; made once for each kind, not for each machine. */
  private MachineKind kind(MachineTable.Entry s) {
    int index = s.kind().index();
    while (kindsByIndex.size() <= index) {
      kindsByIndex.add(null);
    }
    MachineKind known = kindsByIndex.get(index);
    if (known == null) {
      known = new MachineKind(s.kind().type(), s.kind().zone(), s.kind().spot());
      kindsByIndex.set(index, known);
    }
    return known;
  }

  // ---- returning ----

  /** Machines that idle and are to be returned. */
  List<String> idleMachinesToReturn(ScalingPlan plan) {
    List<IdlePolicy.IdleMachine> idle = new ArrayList<>();
    long now = timers.wallClockMs();
    for (MachineTable.Entry s : room.all()) {
      // Its holder says since when, so that whoever rents next knows it as well.
      long since = s.view().idleSinceMs();
      if (since > 0 && !inventory.isDeleted(s.view().host())) {
        idle.add(new IdlePolicy.IdleMachine(s.view().host(), kind(s), (now - since) / 1000.0));
      }
    }
    return IdlePolicy.selectForReturn(idle, plan.surplus(), plan.usableKinds(), this::idleTimeoutS);
  }

  /**
   * How long an idle machine is kept: the less it costs, the longer, for what comes next starts as
   * much sooner on a cheap machine as on a dear one.
   */
  private double idleTimeoutS(MachineKind kind) {
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
