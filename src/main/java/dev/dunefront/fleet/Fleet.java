package dev.dunefront.fleet;

import dev.dunefront.book.Holds;
import dev.dunefront.claim.Desk;
import dev.dunefront.claim.Room;
import dev.dunefront.claim.Urgencies;
import dev.dunefront.config.Tunables;
import dev.dunefront.fleet.Cloud.Hire;
import dev.dunefront.job.JobRecord;
import dev.dunefront.job.JobTable;
import dev.dunefront.net.Caller;
import dev.dunefront.net.Timers;
import dev.dunefront.net.Ward;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.Replica;
import dev.dunefront.store.Standstill;
import dev.dunefront.store.Store;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Rents and returns machines. One controller at a time does so: the one whose incarnation is named
 * by a key that lives under its lease. A late request of a former one rents machines that show up
 * unexpectedly and are then used like any other.
 */
public final class Fleet {
  private static final System.Logger LOG = System.getLogger(Fleet.class.getName());
  private static final String KEY = Replica.PREFIX + "fleet";
  private static final double REFUSED_S = 12;
  private static final int MAX_DELETE = 100;

  /** How often current prices are asked for. */
  private static final double PRICES_S = 60;

  /** What besides its boot passes until a rented machine takes tasks. */
  private static final double ARRIVAL_S = 10;

  /**
   * How soon is looked again after nothing was to be done. A look walks over all machines and all
   * open jobs, which at a thousand machines is what the renting controller spends most on.
   */
  private static final double PLAN_S = 0.5;

  /** How often a machine that is to be returned is told so. */
  private static final double RETIRE_S = 2;

  private final double lagS;
  private final Tunables tunables;
  private final Membership membership;
  private final Holds holds;
  private final JobTable jobs;
  private final Room room;
  private final Catalog catalog;
  private final Store store;
  private final Timers timers;
  private final Ward ward;
  private final Cloud cloud;
  private final Inventory inventory;
  private final Health health;
  private final Urgencies urgencies;
  private final Peers peers;
  private final Standstill standstill;

  private boolean leading;
  private boolean asking;
  private long keyStamp;
  private String leader;
  private long hires;
  private final Map<String, Message.Demand> demands = new HashMap<>();
  private final Map<Kind, Double> refused = new HashMap<>();
  private final Map<String, Double> idleSince = new HashMap<>();
  private final ArrayDeque<Hire> unclear = new ArrayDeque<>();
  private final Map<String, Double> retiredAt = new HashMap<>();

  /** By the index that kinds of seen machines have. */
  private final List<Kind> kinds = new ArrayList<>();

  private double nextList;
  private double nextPlan;
  private double nextPrices;
  private double leadingSince;

  public Fleet(Desk desk, Room room, Urgencies urgencies, Caller caller) {
    this.urgencies = urgencies;
    this.peers = desk.peers();
    this.standstill = desk.standstill();
    this.lagS = desk.settings().cloudLimits().listLagS();
    this.tunables = desk.tunables();
    this.membership = desk.membership();
    this.holds = desk.holds();
    this.jobs = desk.jobs();
    this.room = room;
    this.catalog = desk.catalog();
    this.store = desk.store();
    this.timers = desk.timers();
    this.ward = desk.ward();
    this.cloud = new Cloud(desk.settings(), caller, timers, ward, this::tick);
    this.inventory = new Inventory(lagS);
    this.health = new Health(desk.settings(), membership, holds, room, catalog, inventory);
    desk.replica()
        .listen(
            KEY,
            (rest, value, stamp) -> {
              try {
                leader = value == null ? null : value.text("inc");
              } catch (BadMessage e) {
                leader = null;
              }
              keyStamp = value == null ? 0 : stamp;
            });
  }

  /** The controller that rents, or null. */
  public String leaderNode() {
    return leader == null ? null : Membership.nodeOf(leader);
  }

  public void received(String from, Message.Demand demand) {
    demands.put(from, demand);
  }

  public void gone(String node) {
    demands.remove(node);
  }

  /** Called several times a second; the cloud is called as often as its rate allows. */
  public void tick() {
    String self = membership.self();
    if (self == null || !catalog.known()) {
      leading = false;
      return;
    }
    if (!standstill.current()) {
      // Another may rent by now, and what waited then is no reason to rent or return anything.
      return;
    }
    boolean mine = self.equals(leader);
    if (mine && !leading) {
      LOG.log(Level.INFO, "renting and returning machines from now on");
      inventory.clear();
      health.clear();
      idleSince.clear();
      retiredAt.clear();
      leadingSince = timers.now();
      nextPrices = leadingSince + PRICES_S;
      nextList = 0;
    }
    leading = mine;
    if (!leading) {
      if ((leader == null || !membership.alive(leader)) && !asking && !store.down()) {
        lead(self);
      }
      return;
    }
    if (!cloud.free()) {
      return;
    }
    double now = timers.now();
    if (now >= nextList) {
      nextList = now + Math.max(2, lagS / 2);
      cloud.list(all -> inventory.took(all, timers.now()));
      return;
    }
    if (now >= nextPrices) {
      nextPrices = now + PRICES_S;
      cloud.catalog(catalog::take);
      return;
    }
    if (now < nextPlan) {
      return;
    }
    refused.values().removeIf(until -> until < now);
    Plan plan = plan(now);
    List<String> doomed = doomed(plan, now);
    if (!doomed.isEmpty()) {
      delete(doomed);
      return;
    }
    Hire hire = unclear.poll();
    if (hire == null && plan.most != null) {
      String name = "hire-" + membership.self().replace('#', '-') + "-" + ++hires;
      hire = new Hire(name, plan.most, plan.count);
    }
    if (hire != null) {
      hire(hire);
    } else {
      nextPlan = now + PLAN_S;
    }
  }

  private void lead(String self) {
    asking = true;
    Doc value = Doc.of().put("inc", self);
    store.tryTxn(
        new Txn().when(KEY, keyStamp).put(KEY, value, membership.tenancy()),
        Store.Urgency.BACKGROUND,
        done -> timers.after(1.0, () -> ward.run(() -> asking = false)));
  }

  // ---- returning ----

  /** Machines that are to be deleted, each for a reason of its own. */
  private List<String> doomed(Plan plan, double now) {
    Map<String, String> why = new HashMap<>();
    Set<String> unheard = new HashSet<>();
    demands.values().forEach(d -> unheard.addAll(d.unheard()));
    health.check(now, now - leadingSince, demands.keySet(), unheard, why);
    for (String host : idlers(plan, now)) {
      Room.Seen seen = room.get(host);
      if (seen.view().retiring()) {
        why.put(host, "it idles");
      } else if (now - retiredAt.getOrDefault(host, Double.NEGATIVE_INFINITY) > RETIRE_S) {
        // Its holder closes it first; only then can nothing be placed on it any more.
        retiredAt.put(host, now);
        peers.send(seen.holder(), new Message.Retire(host));
      }
    }
    retiredAt.values().removeIf(at -> now - at > 10 * RETIRE_S);
    List<String> doomed = new ArrayList<>();
    why.forEach(
        (host, reason) -> {
          if (!inventory.isDeleted(host)
              && inventory.deletions() + doomed.size() < MAX_DELETE
              && !inventory.isDeleting(host)) {
            LOG.log(Level.INFO, "returning {0}: {1}", host, reason);
            doomed.add(host);
          }
        });
    return doomed;
  }

  /** Machines that idle and are to be returned. */
  private List<String> idlers(Plan plan, double now) {
    List<Idle.Machine> idle = new ArrayList<>();
    for (Room.Seen s : room.all()) {
      String host = s.view().host();
      if (!s.view().idle() || !s.view().open() && !s.view().retiring()) {
        idleSince.remove(host);
      } else if (!inventory.isDeleted(host)) {
        double since = idleSince.computeIfAbsent(host, h -> now);
        idle.add(new Idle.Machine(host, kind(s), now - since));
      }
    }
    idleSince.keySet().removeIf(h -> room.get(h) == null);
    return Idle.toReturn(idle, plan.spare, plan.wanted, this::holdS);
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

  private void delete(List<String> hosts) {
    inventory.deleting(hosts);
    cloud.delete(
        hosts,
        confirmed -> {
          inventory.deleted(hosts, confirmed, timers.now());
          if (confirmed) {
            hosts.forEach(this::buried);
          }
        });
  }

  /** Records the confirmed end of a machine, by which all that ran there is proven gone. */
  private void buried(String host) {
    Holds.Hold hold = holds.get(host);
    if (hold != null && hold.dead()) {
      return;
    }
    long stamp = hold == null ? 0 : hold.stamp();
    String mark = store.newMark();
    store.commit(
        new Txn().when(Holds.key(host), stamp).put(Holds.key(host), Holds.writeDead(mark)),
        mark,
        done -> {
          if (!done.ok()) {
            timers.after(0.5, () -> ward.run(() -> buried(host)));
          }
        });
  }

  // ---- renting ----

  /**
   * What to rent next, if anything, which kinds something waiting could use, and what room there is
   * beyond that kept ready.
   */
  private record Plan(Kind most, int count, Set<Kind> wanted, Map<Kind, Double> spare) {}

  /**
   * All that waits is put together first: the cloud takes few calls a second but many machines a
   * call, so a wave of work is answered with few large hires.
   */
  private Plan plan(double now) {
    Map<Kind, Double> coming = inventory.coming(room);
    Map<Kind, Double> free = free();
    Map<Kind, Double> counts = counts(coming);
    Market market = new Market(catalog, refused.keySet());
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
    for (Message.Demand d : demands.values()) {
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

  private void hire(Hire h) {
    cloud.hire(
        h,
        rented -> {
          double now = timers.now();
          switch (rented.outcome()) {
            case RENTED -> {
              LOG.log(
                  Level.INFO, "rented {0} of {1} {2}", rented.hosts().size(), h.count(), h.kind());
              inventory.rented(rented.hosts(), h.kind(), now);
              if (rented.hosts().size() < h.count()) {
                refused.put(h.kind(), now + REFUSED_S);
              }
            }
            case REFUSED -> refused.put(h.kind(), now + REFUSED_S);
            // The same name asks again, so that nothing is rented twice.
            case UNCLEAR -> unclear.add(h);
            case TOO_FAST -> {}
          }
        });
  }
}
