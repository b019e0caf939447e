package dev.dunefront.fleet;

import dev.dunefront.book.Holds;
import dev.dunefront.claim.Desk;
import dev.dunefront.claim.Room;
import dev.dunefront.config.Settings;
import dev.dunefront.config.Tunables;
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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Rents and returns machines. One controller at a time does so: the one whose incarnation is named
 * by a key that lives under its lease. A late request of a former one rents machines that show up
 * unexpectedly and are then used like any other.
 */
public final class Fleet {
  private static final System.Logger LOG = System.getLogger(Fleet.class.getName());
  private static final String KEY = Replica.PREFIX + "fleet";
  private static final double CALL_S = 4;
  private static final double REFUSED_S = 12;
  private static final int MAX_HIRE = 50;
  private static final int MAX_DELETE = 100;

  /** The part of the cloud's rate that is used, for a former leader's calls may still count. */
  private static final double RATE_PART = 0.9;

  /** A zone with at least so many silent machines, and this part of all, is cut off. */
  private static final int CUT_LEAST = 4;

  private static final double CUT_PART = 0.3;

  /** How many leases long machines in a cut zone are waited for. */
  private static final double CUT_LEASES = 10;

  /** Of a single job no more tasks than these count for spare room. */
  private static final int MAX_SPARE = 1000;

  /** What machines many times too large count as, in multiples of their price. */
  private static final double OVERSIZE_COST = 2;

  /** A machine as the cloud lists it, with the steady time at which it was first listed. */
  private record Listed(
      String host, String type, String zone, boolean spot, String status, double since) {}

  private record Kind(String type, String zone, boolean spot) {}

  private record Hire(String name, Kind kind, int count) {}

  private final Settings settings;
  private final Tunables tunables;
  private final Membership membership;
  private final Holds holds;
  private final JobTable jobs;
  private final Room room;
  private final Catalog catalog;
  private final Store store;
  private final Caller caller;
  private final Timers timers;
  private final Ward ward;

  private boolean leading;
  private boolean asking;
  private long keyStamp;
  private String leader;
  private long hires;
  private final Map<String, Message.Demand> demands = new HashMap<>();
  private final Map<String, Listed> listed = new HashMap<>();
  private final Map<String, Double> deleted = new HashMap<>();
  private final Set<String> deleting = new HashSet<>();
  private final Map<Kind, Double> refused = new HashMap<>();
  private final Map<String, Double> expected = new HashMap<>();
  private final Map<String, Kind> expectedKind = new HashMap<>();
  private final Map<String, Double> idleSince = new HashMap<>();
  private final Map<String, Double> silentSince = new HashMap<>();
  private final Map<String, Double> unlistedSince = new HashMap<>();
  private final ArrayDeque<Hire> unclear = new ArrayDeque<>();
  private boolean calling;
  private double nextCall;
  private double calls = 1;
  private double callsAt;
  private double nextList;
  private double leadingSince;

  public Fleet(Desk desk, Room room, Caller caller) {
    this.settings = desk.settings();
    this.tunables = desk.tunables();
    this.membership = desk.membership();
    this.holds = desk.holds();
    this.jobs = desk.jobs();
    this.room = room;
    this.catalog = desk.catalog();
    this.store = desk.store();
    this.caller = caller;
    this.timers = desk.timers();
    this.ward = desk.ward();
    this.callsAt = timers.now();
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
      listed.clear();
      expected.clear();
      silentSince.clear();
      unlistedSince.clear();
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
    double now = timers.now();
    if (calling || now < nextCall || !allowance(now)) {
      return;
    }
    if (now >= nextList) {
      nextList = now + Math.max(2, settings.cloudLimits().listLagS() / 2);
      List<Listed> all = new ArrayList<>();
      list("", all);
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

  /** Whether a call is within the cloud's rate, of which short bursts are allowed. */
  private boolean allowance(double now) {
    double rps = settings.cloudLimits().rps();
    calls = Math.min(Math.max(1, rps), calls + (now - callsAt) * rps * RATE_PART);
    callsAt = now;
    return calls >= 1;
  }

  private void call(String method, String path, Doc body, Consumer<Caller.Reply> then) {
    calling = true;
    calls -= 1;
    ward.then(
        () ->
            caller.call(
                settings.cloud(),
                method,
                path,
                body == null ? null : body.encode(),
                CALL_S,
                reply ->
                    ward.run(
                        () -> {
                          calling = false;
                          if (reply.status() == 503 || reply.status() == 429) {
                            nextCall = Math.max(nextCall, timers.now() + 1);
                          }
                          then.accept(reply);
                          // The next call need not wait for the next tick.
                          tick();
                        })));
  }

  private void list(String from, List<Listed> all) {
    call(
        "GET",
        "/machines?" + (from.isEmpty() ? "" : "from=" + from + "&") + "page=500",
        null,
        reply -> {
          if (!reply.ok()) {
            return;
          }
          try {
            Doc d = Doc.decode(reply.body());
            String last = from;
            for (Doc m : d.docs("hosts")) {
              last = m.text("id");
              all.add(
                  new Listed(
                      last,
                      m.text("flavor"),
                      m.textOr("site", ""),
                      m.flagOr("loaners", false),
                      m.text("status"),
                      timers.now()));
            }
            if (d.flagOr("more", false) && !last.equals(from)) {
              list(last, all);
            } else {
              took(all);
            }
          } catch (BadMessage e) {
            LOG.log(Level.INFO, "the machine list cannot be read: {0}", e.getMessage());
          }
        });
  }

  private void took(List<Listed> all) {
    Map<String, Listed> next = new HashMap<>();
    for (Listed l : all) {
      Listed old = listed.get(l.host);
      double since = old != null && old.status.equals(l.status) ? old.since : l.since;
      next.put(l.host, new Listed(l.host, l.type, l.zone, l.spot, l.status, since));
      expected.remove(l.host);
    }
    listed.clear();
    listed.putAll(next);
    double now = timers.now();
    deleted.values().removeIf(at -> now - at > 20 * settings.cloudLimits().listLagS());
    expected.values().removeIf(at -> now - at > 4 * settings.cloudLimits().listLagS());
    expectedKind.keySet().retainAll(expected.keySet());
  }

  /** Machines that are to be deleted, each for a reason of its own. */
  private List<String> doomed(double now) {
    double lease = settings.workers().leaseS();
    Set<String> silent = silentHosts();
    Set<String> cut = cutZones(silent);
    Map<String, String> why = new HashMap<>();
    for (Listed l : listed.values()) {
      Room.Seen seen = room.get(l.host);
      MachineType type = catalog.type(l.type);
      if (l.status.equals("failed")) {
        why.put(l.host, "it failed");
      } else if (l.status.equals("booting")) {
        double patience = 30 + 4 * (type == null ? 30 : type.bootS());
        if (seen == null && now - l.since > patience) {
          why.put(l.host, "it does not boot");
        }
      } else if (silent.contains(l.host)) {
        double since = silentSince.computeIfAbsent(l.host, h -> now);
        double patience = cut.contains(l.zone) ? CUT_LEASES * lease : patience(type, lease);
        if (now - since > patience && now - leadingSince > patience) {
          why.put(l.host, "it is silent");
        }
      } else {
        silentSince.remove(l.host);
      }
      if (seen != null && seen.view().quarantined()) {
        why.put(l.host, "tasks fail on it");
      }
    }
    doomUnlisted(now, why);
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
          if (!deleted.containsKey(host)
              && deleting.size() + doomed.size() < MAX_DELETE
              && !deleting.contains(host)) {
            LOG.log(Level.INFO, "returning {0}: {1}", host, reason);
            doomed.add(host);
          }
        });
    return doomed;
  }

  /**
   * Machines that nobody hears and that are no longer listed are gone, yet somebody has tasks
   * placed on them: the holder ended together with the machine, and its next life never heard of
   * it. Only the cloud's answer to a deletion proves those tasks gone; without it they would wait
   * for ever.
   */
  private void doomUnlisted(double now, Map<String, String> why) {
    Set<String> unheard = new HashSet<>();
    demands.values().forEach(d -> unheard.addAll(d.unheard()));
    unheard.removeIf(h -> listed.containsKey(h) || room.get(h) != null);
    unlistedSince.keySet().retainAll(unheard);
    // A new machine is listed within twice the lag, and listed until it is gone.
    double patience = 2 * settings.workers().leaseS() + 3 * settings.cloudLimits().listLagS();
    for (String host : unheard) {
      double since = unlistedSince.computeIfAbsent(host, h -> now);
      if (now - since > patience && now - leadingSince > patience) {
        why.put(host, "it is neither heard nor listed");
      }
    }
  }

  /**
   * How long a silent machine is waited for: about as long as another would take to come. What
   * fails the cloud itself lists as failed; what is silent mostly hangs or is cut off, and is back
   * with its images before another has them.
   */
  private double patience(MachineType type, double lease) {
    double boot = type == null ? 30 : type.bootS();
    return 2 * lease + 1.5 * boot + settings.cloudLimits().listLagS();
  }

  /**
   * Zones of which so much is silent at once that the zone must be cut off, not its machines
   * broken. Inside, they may well be heard and run their tasks. Puts the silent machines into the
   * set.
   */
  private Set<String> cutZones(Set<String> silent) {
    Map<String, int[]> zones = new HashMap<>();
    for (Listed l : listed.values()) {
      if (l.status.equals("running")) {
        int[] counts = zones.computeIfAbsent(l.zone, z -> new int[2]);
        counts[0]++;
        counts[1] += silent.contains(l.host) ? 1 : 0;
      }
    }
    Set<String> cut = new HashSet<>();
    zones.forEach(
        (zone, counts) -> {
          if (counts[1] >= CUT_LEAST && counts[1] > counts[0] * CUT_PART) {
            cut.add(zone);
          }
        });
    return cut;
  }

  /** Listed machines that should be heard and are not. */
  private Set<String> silentHosts() {
    Set<String> silent = new HashSet<>();
    for (Listed l : listed.values()) {
      if (!l.status.equals("failed")
          && !l.status.equals("booting")
          && silent(l, room.get(l.host))) {
        silent.add(l.host);
      }
    }
    return silent;
  }

  /** Nobody hears the machine, as far as can be told here. */
  private boolean silent(Listed l, Room.Seen seen) {
    if (seen != null) {
      return seen.view().lost();
    }
    Holds.Hold hold = holds.of(l.host, l.zone);
    if (hold == null || hold.dead()) {
      return hold != null;
    }
    // A live holder that can be heard would have told of the machine if it heard it itself.
    String holder = Membership.nodeOf(hold.holder());
    return !membership.liveNodes().contains(holder) || demands.containsKey(holder);
  }

  private void delete(List<String> hosts) {
    deleting.addAll(hosts);
    call(
        "POST",
        "/machines/delete",
        Doc.of().put("hosts", hosts),
        reply -> {
          deleting.removeAll(hosts);
          if (!reply.ok()) {
            return;
          }
          for (String host : hosts) {
            deleted.put(host, timers.now());
            listed.remove(host);
            buried(host);
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

  /**
   * What to rent next, if anything. All that waits is put together first: the cloud takes few calls
   * a second but many machines a call, so a wave of work is answered with few large hires.
   */
  private Hire needed(double now) {
    refused.values().removeIf(until -> until < now);
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
    // Both in machines, with parts of machines, for tasks of several jobs share one.
    Map<Kind, Double> coming = coming();
    Map<Kind, Double> planned = new LinkedHashMap<>();
    for (Message.Waiting w : waiting) {
      JobSpec spec = jobs.get(w.job()).record().spec();
      plan(spec, fill(spec, w.tasks(), coming), planned);
    }
    planSpare(coming, planned);
    Kind most = null;
    for (Kind k : planned.keySet()) {
      if (most == null || planned.get(k) > planned.get(most)) {
        most = k;
      }
    }
    if (most == null) {
      return null;
    }
    int count = (int) Math.ceil(planned.get(most) - 1e-6);
    return new Hire("hire-" + membership.self().replace('#', '-') + "-" + ++hires, most, count);
  }

  /**
   * Room for a part as much again as open urgent jobs take is kept ready: a burst of them has no
   * time to wait for machines to boot.
   */
  private void planSpare(Map<Kind, Double> coming, Map<Kind, Double> planned) {
    if (tunables.spare() <= 0) {
      return;
    }
    Map<Kind, Double> free = free();
    for (JobTable.Entry e : jobs.all()) {
      JobSpec spec = e.record().spec();
      if (e.record().status() == JobRecord.Status.OPEN && spec.priority().urgent()) {
        double missing = Math.min(spec.tasks(), MAX_SPARE) * tunables.spare();
        missing = fill(spec, missing, free);
        plan(spec, fill(spec, missing, coming), planned);
      }
    }
  }

  /** Takes room for the tasks from machines that there are; returns how many find none. */
  private double fill(JobSpec spec, double missing, Map<Kind, Double> machines) {
    for (var e : machines.entrySet()) {
      int fit = fit(spec, e.getKey());
      if (fit > 0 && missing > 0) {
        double used = Math.min(e.getValue(), missing / fit);
        missing -= used * fit;
        e.setValue(e.getValue() - used);
      }
    }
    return missing;
  }

  /** Adds machines for the tasks to the plan, the cheapest first, as far as they can be had. */
  private void plan(JobSpec spec, double missing, Map<Kind, Double> planned) {
    Kind kind;
    while (missing > 1e-6 && (kind = choose(spec, planned)) != null) {
      int fit = fit(spec, kind);
      double had = planned.getOrDefault(kind, 0.0);
      double more = Math.min(MAX_HIRE - had, missing / fit);
      planned.put(kind, had + more);
      missing -= more * fit;
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

  /** Machines that are rented and not yet held by anybody. */
  private Map<Kind, Double> coming() {
    Map<Kind, Double> coming = new HashMap<>();
    for (Listed l : listed.values()) {
      if (!l.status.equals("failed") && !deleted.containsKey(l.host) && room.get(l.host) == null) {
        coming.merge(new Kind(l.type, l.zone, l.spot), 1.0, Double::sum);
      }
    }
    expectedKind.forEach((host, kind) -> coming.merge(kind, 1.0, Double::sum));
    return coming;
  }

  /** How many tasks of the job a machine of the kind takes. */
  private int fit(JobSpec spec, Kind kind) {
    MachineType t = catalog.type(kind.type);
    return t != null && spec.allows(kind.type, kind.zone, kind.spot)
        ? spec.size().timesIn(t.size())
        : 0;
  }

  /** The cheapest kind for the job's tasks of which more can be had, or null. */
  private Kind choose(JobSpec spec, Map<Kind, Double> planned) {
    Kind best = null;
    double bestCost = Double.MAX_VALUE;
    boolean smallerServes = catalog.smallerServes(spec);
    for (MachineType t : catalog.types()) {
      for (String zone : t.zones()) {
        for (boolean spot : new boolean[] {false, true}) {
          Kind kind = new Kind(t.name(), zone, spot);
          int fit = fit(spec, kind);
          if (fit == 0
              || refused.containsKey(kind)
              || planned.getOrDefault(kind, 0.0) >= MAX_HIRE) {
            continue;
          }
          double cost = (spot ? t.spotPrice() : t.price()) / fit;
          // Machines many times too large are left to tasks that fit nowhere else.
          if (fit >= Catalog.OVERSIZE && smallerServes) {
            cost *= OVERSIZE_COST;
          }
          if (cost < bestCost) {
            bestCost = cost;
            best = kind;
          }
        }
      }
    }
    return best;
  }

  private void hire(Hire h) {
    call(
        "POST",
        "/machines",
        Doc.of()
            .put("hire", h.name)
            .put("flavor", h.kind.type)
            .put("site", h.kind.zone)
            .put("loaners", h.kind.spot)
            .put("how_many", h.count),
        reply -> {
          if (reply.ok()) {
            try {
              List<String> hosts = Doc.decode(reply.body()).texts("hosts");
              LOG.log(Level.INFO, "rented {0} of {1} {2}", hosts.size(), h.count, h.kind);
              for (String host : hosts) {
                expected.put(host, timers.now());
                expectedKind.put(host, h.kind);
              }
              if (hosts.size() < h.count) {
                refused.put(h.kind, timers.now() + REFUSED_S);
              }
            } catch (BadMessage e) {
              LOG.log(Level.INFO, "the answer to a hire cannot be read: {0}", e.getMessage());
            }
          } else if (reply.status() == 503 || reply.status() == 400) {
            refused.put(h.kind, timers.now() + REFUSED_S);
          } else if (reply.status() != 429) {
            // The same name asks again, so that nothing is rented twice.
            unclear.add(h);
          }
        });
  }
}
