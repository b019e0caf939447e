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
 * Plans what to rent and which idle machines to return, from queued and forecast tasks and from
 * existing and arriving machines.
 */
final class ScalingPlanner {
  /** Time besides its boot until a rented machine takes tasks. */
  private static final double STARTUP_OVERHEAD_S = 10;

  private final Tunables tunables;
  private final JobTable jobs;
  private final MachineTable machines;
  private final MachineCatalog catalog;
  private final Timers timers;
  private final DeadlineRanking deadlineRanking;
  private final Inventory inventory;
  private final Collection<Message.Demand> demands;

  /** Machine kinds by the index of {@link MachineTable.Kind}. */
  private final List<MachineKind> kindsByIndex = new ArrayList<>();

  /** {@code demands} holds the latest demand of each controller; the caller keeps it up to date. */
  ScalingPlanner(
      Tunables tunables,
      JobTable jobs,
      MachineTable machines,
      MachineCatalog catalog,
      Timers timers,
      DeadlineRanking deadlineRanking,
      Inventory inventory,
      Collection<Message.Demand> demands) {
    this.tunables = tunables;
    this.jobs = jobs;
    this.machines = machines;
    this.catalog = catalog;
    this.timers = timers;
    this.deadlineRanking = deadlineRanking;
    this.inventory = inventory;
    this.demands = demands;
  }

  /**
   * The result of planning.
   *
   * @param kindToRent kind to rent next, or null if nothing is to be rented
   * @param count number of machines to rent
   * @param usableKinds kinds that some queued task could use
   * @param surplus room beyond that kept ready, in machines by kind
   */
  record ScalingPlan(
      MachineKind kindToRent,
      int count,
      Set<MachineKind> usableKinds,
      Map<MachineKind, Double> surplus) {}

  /**
   * Plans for all queued tasks at once. The cloud accepts few calls per second but many machines
   * per call, so a wave of jobs is served by a few large rent requests.
   */
  ScalingPlan plan(Set<MachineKind> refused) {
    Map<MachineKind, Double> arriving = inventory.arrivingByKind(machines);
    Map<MachineKind, Double> free = freeMachinesByKind();
    Map<MachineKind, Double> counts = machineCounts(arriving);
    RentPlan rentPlan = new RentPlan(catalog, refused);
    Set<MachineKind> usable = new HashSet<>();
    List<QueuedNeed> queued = queuedNeeds();
    List<CapacityNeed> expected = expectedNeeds();
    boolean servicesPlanned = false;
    double tasksAhead = 0;
    for (QueuedNeed w : queued) {
      JobSpec spec = w.need.spec;
      if (!servicesPlanned && !spec.priority().urgent()) {
        // Machines arriving for service replicas are not allocated to arrays; otherwise they would
        // be rented again and again.
        planExpected(rentPlan, expected, true, free, arriving);
        servicesPlanned = true;
      }
      rentPlan.allocate(w.need, arriving);
      CapacityNeed remaining = w.need;
      if (spec.spotAllowed() && w.maxSpotWaitS < Double.POSITIVE_INFINITY) {
        tasksAhead += remaining.unmetTasks();
        rentPlan.addMachines(remaining, true);
        boolean spotAvailable = rentPlan.spotAvailable(spec);
        // Tasks that spot machines can finish in time wait for them; on-demand machines are only
        // for the rest.
        double inTime =
            spotAvailable
                ? tasksAhead
                : spotSlots(rentPlan, spec, counts) * w.maxSpotWaitS / remaining.taskDurationS;
        remaining = remaining.split(Math.max(0, tasksAhead - inTime));
        counts.keySet().stream()
            .filter(k -> k.spot() && rentPlan.wouldUse(spec, k))
            .forEach(usable::add);
      }
      if (remaining.unmetTasks() > 0) {
        counts.keySet().stream().filter(k -> rentPlan.wouldUse(spec, k)).forEach(usable::add);
        rentPlan.addMachines(remaining, false);
      }
    }
    if (!servicesPlanned) {
      planExpected(rentPlan, expected, true, free, arriving);
    }
    planExpected(rentPlan, expected, false, free, arriving);
    MachineKind kind = rentPlan.kindToRent();
    return new ScalingPlan(kind, kind == null ? 0 : rentPlan.plannedCount(kind), usable, free);
  }

  /** Forecast urgent tasks within the time until a rented machine takes tasks. */
  private List<CapacityNeed> expectedNeeds() {
    if (tunables.spare() <= 0) {
      return List.of();
    }
    double windowS = STARTUP_OVERHEAD_S;
    for (MachineType t : catalog.types()) {
      windowS = Math.max(windowS, t.bootS() + STARTUP_OVERHEAD_S);
    }
    return DemandForecast.urgentNeeds(
        jobs.all(), catalog.zones(), tunables.spare(), windowS, timers.wallClockMs());
  }

  private static void planExpected(
      RentPlan rentPlan,
      List<CapacityNeed> expected,
      boolean services,
      Map<MachineKind, Double> free,
      Map<MachineKind, Double> arriving) {
    for (CapacityNeed need : expected) {
      if (need.spec.service() == services) {
        rentPlan.allocate(need, free);
        rentPlan.allocate(need, arriving);
        rentPlan.addMachines(need, false);
      }
    }
  }

  /** A queued need, and how long it may wait for spot machines. */
  private record QueuedNeed(CapacityNeed need, double maxSpotWaitS) {}

  /** All queued needs, most urgent first. */
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
    // Jobs that no controller has claimed yet for lack of room need room as well.
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
    double fetchS = 0;
    double bootS = Double.POSITIVE_INFINITY;
    for (MachineType t : catalog.types()) {
      if (spec.taskResources().fitsIn(t.resources()) && t.fetchGbPerS() > 0) {
        fetchS = Math.max(fetchS, spec.imageGb() / t.fetchGbPerS());
        bootS = Math.min(bootS, t.bootS());
      }
    }
    double runS = deadlineRanking.expectedRunS(spec) + fetchS;
    double ageS = (timers.wallClockMs() - record.acceptedMs()) / 1000.0;
    Double slackS = spec.priority().urgent() ? null : deadlineRanking.slackS(spec, ageS, runS);
    // Time must remain for an on-demand machine to boot; running tasks have half their run left.
    double maxSpotWaitS =
        slackS == null
            ? Double.POSITIVE_INFINITY
            : tunables.patience() * Math.max(0, slackS - bootS - runS / 2);
    return new QueuedNeed(
        CapacityNeed.forQueued(spec, tasks, zones, Math.max(1, runS)), maxSpotWaitS);
  }

  /** How many of the job's tasks run concurrently on the existing and arriving spot machines. */
  private static double spotSlots(
      RentPlan rentPlan, JobSpec spec, Map<MachineKind, Double> counts) {
    double slots = 0;
    for (var e : counts.entrySet()) {
      if (e.getKey().spot()) {
        slots += e.getValue() * rentPlan.tasksPerMachine(spec, e.getKey());
      }
    }
    return slots;
  }

  /**
   * Free room, in machines by kind. On-demand machines of a type that is cheapest for urgent work
   * count as free while they run no urgent tasks: such tasks end soon, and if their room counted as
   * used, machines to replace it would be rented.
   */
  private Map<MachineKind, Double> freeMachinesByKind() {
    Map<MachineKind, Double> free = new HashMap<>();
    for (MachineTable.Entry s : machines.all()) {
      MachineType t = catalog.type(s.view().type());
      if (t != null && t.resources().cpu() > 0 && (s.view().schedulable() || s.view().retiring())) {
        boolean borrowed =
            !s.view().spot()
                && !s.view().hasUrgentTasks()
                && catalog.isCheapestForUrgent(s.view().type());
        double freeShare =
            borrowed ? 1 : Math.max(0, (double) s.view().free().cpu() / t.resources().cpu());
        free.merge(kind(s), freeShare, Double::sum);
      }
    }
    return free;
  }

  /** Number of existing and arriving machines by kind. */
  private Map<MachineKind, Double> machineCounts(Map<MachineKind, Double> arriving) {
    Map<MachineKind, Double> counts = new HashMap<>(arriving);
    machines.all().forEach(s -> counts.merge(kind(s), 1.0, Double::sum));
    return counts;
  }

  /** The kind of a machine; cached by kind index, so that no object is created per machine. */
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

  /** Idle machines to return. */
  List<String> idleMachinesToReturn(ScalingPlan plan) {
    List<IdlePolicy.IdleMachine> idle = new ArrayList<>();
    long now = timers.wallClockMs();
    for (MachineTable.Entry s : machines.all()) {
      // The holder reports this time, so the next holder of the rent duty knows it as well.
      long since = s.view().idleSinceMs();
      if (since > 0 && !inventory.isDeleted(s.view().host())) {
        idle.add(new IdlePolicy.IdleMachine(s.view().host(), kind(s), (now - since) / 1000.0));
      }
    }
    return IdlePolicy.selectForReturn(idle, plan.surplus(), plan.usableKinds(), this::idleTimeoutS);
  }

  /**
   * How long an idle machine is kept. Cheaper machines are kept longer: keeping one saves the next
   * task as much startup time as keeping an expensive one.
   */
  private double idleTimeoutS(MachineKind kind) {
    MachineType t = catalog.type(kind.type());
    if (t == null) {
      return Double.POSITIVE_INFINITY;
    }
    double discount = kind.spot() && t.spotPrice() > 0 ? t.price() / t.spotPrice() : 1;
    return Math.max(
        tunables.idleBoots() * t.bootS() * Math.max(1, discount),
        catalog.servesUrgentArrays(kind) ? tunables.idleWarmS() : 0);
  }
}
