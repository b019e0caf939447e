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
 * Plans what to rent and which idle machines to return, from queued and forecast tasks and from
 * existing and arriving machines.
 */
final class Planner {
  /** Time besides its boot until a rented machine takes tasks. */
  private static final double ARRIVAL_S = 10;

  private final Tunables tunables;
  private final JobTable jobs;
  private final Room room;
  private final Catalog catalog;
  private final Timers timers;
  private final Urgencies urgencies;
  private final Inventory inventory;
  private final Collection<Message.Demand> demands;

  /** Machine kinds by the index of {@link Room.Kind}. */
  private final List<Kind> kinds = new ArrayList<>();

  /** {@code demands} holds the latest demand of each controller; the caller keeps it up to date. */
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
   * The result of planning.
   *
   * @param most kind to rent next, or null if nothing is to be rented
   * @param count number of machines to rent
   * @param wanted kinds that some queued task could use
   * @param spare room beyond that kept ready, in machines by kind
   */
  record Plan(Kind most, int count, Set<Kind> wanted, Map<Kind, Double> spare) {}

  /**
   * Plans for all queued tasks at once. The cloud accepts few calls per second but many machines
   * per call, so a wave of jobs is served by a few large rent requests.
   */
  Plan plan(Set<Kind> refused) {
    Map<Kind, Double> arriving = inventory.coming(room);
    Map<Kind, Double> free = free();
    Map<Kind, Double> counts = counts(arriving);
    Market market = new Market(catalog, refused);
    Set<Kind> usable = new HashSet<>();
    List<Waiter> waiting = waiting();
    List<Need> expected = expected();
    boolean servicesPlanned = false;
    double tasksAhead = 0;
    for (Waiter w : waiting) {
      JobSpec spec = w.need.spec;
      if (!servicesPlanned && !spec.priority().urgent()) {
        // Machines arriving for service replicas are not allocated to arrays; otherwise they would
        // be rented again and again.
        planSpare(market, expected, true, free, arriving);
        servicesPlanned = true;
      }
      market.fill(w.need, arriving);
      Need remaining = w.need;
      if (spec.spot() && w.slackS < Double.POSITIVE_INFINITY) {
        tasksAhead += remaining.missing();
        market.plan(remaining, true);
        boolean spotAvailable = market.spotToBeHad(spec);
        // Tasks that spot machines can finish in time wait for them; on-demand machines are only
        // for the rest.
        double inTime =
            spotAvailable ? tasksAhead : slots(market, spec, counts) * w.slackS / remaining.runS;
        remaining = remaining.split(Math.max(0, tasksAhead - inTime));
        counts.keySet().stream()
            .filter(k -> k.spot() && market.couldUse(spec, k))
            .forEach(usable::add);
      }
      if (remaining.missing() > 0) {
        counts.keySet().stream().filter(k -> market.couldUse(spec, k)).forEach(usable::add);
        market.plan(remaining, false);
      }
    }
    if (!servicesPlanned) {
      planSpare(market, expected, true, free, arriving);
    }
    planSpare(market, expected, false, free, arriving);
    Kind kind = market.most();
    return new Plan(kind, kind == null ? 0 : market.count(kind), usable, free);
  }

  /** Forecast urgent tasks within the time until a rented machine takes tasks. */
  private List<Need> expected() {
    if (tunables.spare() <= 0) {
      return List.of();
    }
    double windowS = ARRIVAL_S;
    for (MachineType t : catalog.types()) {
      windowS = Math.max(windowS, t.bootS() + ARRIVAL_S);
    }
    return Forecast.urgent(
        jobs.all(), catalog.zones(), tunables.spare(), windowS, timers.timeOfDayMs());
  }

  private static void planSpare(
      Market market,
      List<Need> expected,
      boolean services,
      Map<Kind, Double> free,
      Map<Kind, Double> arriving) {
    for (Need need : expected) {
      if (need.spec.service() == services) {
        market.fill(need, free);
        market.fill(need, arriving);
        market.plan(need, false);
      }
    }
  }

  /** A queued need, and how long it may wait for spot machines. */
  private record Waiter(Need need, double slackS) {}

  /** All queued needs, most urgent first. */
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
    // Jobs that no controller has claimed yet for lack of room need room as well.
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
    double fetchS = 0;
    double bootS = Double.POSITIVE_INFINITY;
    for (MachineType t : catalog.types()) {
      if (spec.size().fits(t.size()) && t.fetchGbPerS() > 0) {
        fetchS = Math.max(fetchS, spec.imageGb() / t.fetchGbPerS());
        bootS = Math.min(bootS, t.bootS());
      }
    }
    double runS = urgencies.runS(spec) + fetchS;
    double ageS = (timers.timeOfDayMs() - record.acceptedMs()) / 1000.0;
    Double slackS = spec.priority().urgent() ? null : urgencies.slackS(spec, ageS, runS);
    // Time must remain for an on-demand machine to boot; running tasks have half their run left.
    double maxSpotWaitS =
        slackS == null
            ? Double.POSITIVE_INFINITY
            : tunables.patience() * Math.max(0, slackS - bootS - runS / 2);
    return new Waiter(Need.waiting(spec, tasks, zones, Math.max(1, runS)), maxSpotWaitS);
  }

  /** How many of the job's tasks run concurrently on the existing and arriving spot machines. */
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
   * Free room, in machines by kind. On-demand machines of a type that is cheapest for urgent work
   * count as free while they run no urgent tasks: such tasks end soon, and if their room counted as
   * used, machines to replace it would be rented.
   */
  private Map<Kind, Double> free() {
    Map<Kind, Double> free = new HashMap<>();
    for (Room.Seen s : room.all()) {
      MachineType t = catalog.type(s.view().type());
      if (t != null && t.size().cpu() > 0 && (s.view().open() || s.view().retiring())) {
        boolean borrowed =
            !s.view().spot() && !s.view().runsUrgent() && catalog.urgentHome(s.view().type());
        double part = borrowed ? 1 : Math.max(0, (double) s.view().free().cpu() / t.size().cpu());
        free.merge(kind(s), part, Double::sum);
      }
    }
    return free;
  }

  /** Number of existing and arriving machines by kind. */
  private Map<Kind, Double> counts(Map<Kind, Double> arriving) {
    Map<Kind, Double> counts = new HashMap<>(arriving);
    room.all().forEach(s -> counts.merge(kind(s), 1.0, Double::sum));
    return counts;
  }

  /** The kind of a machine; cached by kind index, so that no object is created per machine. */
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

  /** Idle machines to return. */
  List<String> idlers(Plan plan) {
    List<Idle.Machine> idle = new ArrayList<>();
    long now = timers.timeOfDayMs();
    for (Room.Seen s : room.all()) {
      // The holder reports this time, so the next holder of the rent duty knows it as well.
      long since = s.view().idleSinceMs();
      if (since > 0 && !inventory.isDeleted(s.view().host())) {
        idle.add(new Idle.Machine(s.view().host(), kind(s), (now - since) / 1000.0));
      }
    }
    return Idle.toReturn(idle, plan.spare(), plan.wanted(), this::holdS);
  }

  /**
   * How long an idle machine is kept. Cheaper machines are kept longer: keeping one saves the next
   * task as much startup time as keeping an expensive one.
   */
  private double holdS(Kind kind) {
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
