package dev.dunefront.fleet;

import dev.dunefront.book.Holds;
import dev.dunefront.claim.Desk;
import dev.dunefront.claim.Room;
import dev.dunefront.config.Tunables;
import dev.dunefront.fleet.Cloud.Hire;
import dev.dunefront.job.JobRecord;
import dev.dunefront.job.JobTable;
import dev.dunefront.net.Caller;
import dev.dunefront.net.Timers;
import dev.dunefront.net.Ward;
import dev.dunefront.peer.Message;
import dev.dunefront.store.Membership;
import dev.dunefront.store.Replica;
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

  /** Of a single job no more tasks than these count for spare room. */
  private static final int MAX_SPARE = 1000;

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

  private boolean leading;
  private boolean asking;
  private long keyStamp;
  private String leader;
  private long hires;
  private final Map<String, Message.Demand> demands = new HashMap<>();
  private final Map<Kind, Double> refused = new HashMap<>();
  private final Map<String, Double> idleSince = new HashMap<>();
  private final ArrayDeque<Hire> unclear = new ArrayDeque<>();
  private double nextList;
  private double leadingSince;

  public Fleet(Desk desk, Room room, Caller caller) {
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
    boolean mine = self.equals(leader);
    if (mine && !leading) {
      LOG.log(Level.INFO, "renting and returning machines from now on");
      inventory.clear();
      health.clear();
      idleSince.clear();
      leadingSince = timers.now();
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
    List<String> doomed = doomed(now);
    if (!doomed.isEmpty()) {
      delete(doomed);
      return;
    }
    Hire hire = unclear.poll();
    if (hire == null) {
      hire = needed(now);
    }
    if (hire != null) {
      hire(hire);
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
  private List<String> doomed(double now) {
    Map<String, String> why = new HashMap<>();
    Set<String> unheard = new HashSet<>();
    demands.values().forEach(d -> unheard.addAll(d.unheard()));
    health.check(now, now - leadingSince, demands.keySet(), unheard, why);
    for (Room.Seen s : room.all()) {
      String host = s.view().host();
      if (!s.view().idle() || !s.view().open()) {
        idleSince.remove(host);
      } else if (now - idleSince.computeIfAbsent(host, h -> now) > tunables.idleReturnS()
          && demands.values().stream().allMatch(d -> d.waiting().isEmpty())
          && s.view().spot()) {
        why.put(host, "it idles");
      }
    }
    idleSince.keySet().removeIf(h -> room.get(h) == null);
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
   * What to rent next, if anything. All that waits is put together first: the cloud takes few calls
   * a second but many machines a call, so a wave of work is answered with few large hires.
   */
  private Hire needed(double now) {
    refused.values().removeIf(until -> until < now);
    Map<Kind, Double> coming = inventory.coming(room);
    Market market = new Market(catalog, refused);
    for (Message.Waiting w : waiting()) {
      JobSpec spec = jobs.get(w.job()).record().spec();
      market.plan(spec, market.fill(spec, w.tasks(), coming));
    }
    planSpare(market, coming);
    Kind most = market.most();
    return most == null
        ? null
        : new Hire(
            "hire-" + membership.self().replace('#', '-') + "-" + ++hires,
            most,
            market.count(most));
  }

  /** All that waits for room, most urgent first. */
  private List<Message.Waiting> waiting() {
    List<Message.Waiting> waiting = new ArrayList<>();
    demands.values().forEach(d -> waiting.addAll(d.waiting()));
    waiting.removeIf(w -> jobs.get(w.job()) == null);
    // What nobody has claimed yet, for want of room, needs room no less.
    for (JobTable.Entry e : jobs.all()) {
      if (e.record().claim() == null && e.record().status() == JobRecord.Status.OPEN) {
        waiting.add(new Message.Waiting(e.record().spec().id(), e.record().spec().tasks()));
      }
    }
    waiting.sort(Comparator.comparing(w -> jobs.get(w.job()).record().spec().priority()));
    return waiting;
  }

  /**
   * Room for a part as much again as open urgent jobs take is kept ready: a burst of them has no
   * time to wait for machines to boot.
   */
  private void planSpare(Market market, Map<Kind, Double> coming) {
    if (tunables.spare() <= 0) {
      return;
    }
    Map<Kind, Double> free = free();
    for (JobTable.Entry e : jobs.all()) {
      JobSpec spec = e.record().spec();
      if (e.record().status() == JobRecord.Status.OPEN && spec.priority().urgent()) {
        double missing = Math.min(spec.tasks(), MAX_SPARE) * tunables.spare();
        missing = market.fill(spec, missing, free);
        market.plan(spec, market.fill(spec, missing, coming));
      }
    }
  }

  /** Room that nothing takes, in machines. */
  private Map<Kind, Double> free() {
    Map<Kind, Double> free = new HashMap<>();
    for (Room.Seen s : room.all()) {
      MachineType t = catalog.type(s.view().type());
      if (t != null && s.view().open() && t.size().cpu() > 0) {
        double part = Math.max(0, (double) s.view().free().cpu() / t.size().cpu());
        free.merge(new Kind(s.view().type(), s.view().zone(), s.view().spot()), part, Double::sum);
      }
    }
    return free;
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
