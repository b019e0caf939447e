package dev.dunefront.claim;

import dev.dunefront.book.Holds;
import dev.dunefront.claim.Chunk.Placement;
import dev.dunefront.claim.Claim.End;
import dev.dunefront.claim.Claim.Ended;
import dev.dunefront.claim.Claim.Held;
import dev.dunefront.claim.Claim.Live;
import dev.dunefront.config.Settings;
import dev.dunefront.config.Tunables;
import dev.dunefront.fleet.Catalog;
import dev.dunefront.job.JobRecord;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.job.JobTable;
import dev.dunefront.net.Timers;
import dev.dunefront.net.Ward;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Message.TaskState;
import dev.dunefront.peer.Message.View;
import dev.dunefront.peer.Message.Why;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.Replica;
import dev.dunefront.store.Store;
import dev.dunefront.store.Store.Outcome;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import dev.dunefront.wire.Size;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The jobs that this controller has claimed: parks their wants, takes offers by recording the
 * placement first, records how attempts end, and sees to it that a task is placed again only when
 * its last attempt is proven gone.
 */
public final class Claims {
  private static final System.Logger LOG = System.getLogger(Claims.class.getName());
  private static final double RANK_WAIT_S = 1.0;
  private static final double REPEAT_S = 1.5;
  private static final double AVOID_S = 15;
  private static final double CHOOSE_S = 0.012;
  private static final double PREEMPT_AFTER_S = 0.4;
  private static final double PREEMPT_AGAIN_S = 2;

  private final Settings settings;
  private final Tunables tunables;
  private final Membership membership;
  private final Replica replica;
  private final Holds holds;
  private final JobTable jobs;
  private final Catalog catalog;
  private final Store store;
  private final Peers peers;
  private final Timers timers;
  private final Ward ward;
  private final Quotas quotas;
  private final Urgencies urgencies;
  private final Room room = new Room();
  private final Map<String, Claim> claims = new HashMap<>();
  private final Set<String> claiming = new HashSet<>();

  /** Since when a job without a live claim has been seen. */
  private final Map<String, Double> orphans = new HashMap<>();

  private boolean reviewing;

  public Claims(
      Settings settings,
      Tunables tunables,
      Membership membership,
      Replica replica,
      Holds holds,
      JobTable jobs,
      Catalog catalog,
      Store store,
      Peers peers,
      Timers timers,
      Ward ward) {
    this.settings = settings;
    this.tunables = tunables;
    this.membership = membership;
    this.replica = replica;
    this.holds = holds;
    this.jobs = jobs;
    this.catalog = catalog;
    this.store = store;
    this.peers = peers;
    this.timers = timers;
    this.ward = ward;
    this.urgencies = new Urgencies(settings);
    this.quotas = new Quotas(settings, replica, this::reviewSoon);
  }

  public Room room() {
    return room;
  }

  // ---- claiming ----

  /**
   * Whether a job may be claimed beside what is claimed already. Unstarted work is measured as a
   * part of all the room that fits it, for jobs differ in size: were tasks counted alone, a few
   * dozen small ones would keep a large one unclaimed that waits for other machines.
   */
  public boolean admits(JobSpec spec) {
    if (membership.self() == null) {
      return false;
    }
    boolean any = false;
    double load = 0;
    for (Claim c : claims.values()) {
      int unstarted = c.unstarted();
      any |= unstarted > 0;
      // A job waits only behind work that would be dealt before it anyway.
      if (unstarted > 0 && c.spec.priority().compareTo(spec.priority()) <= 0) {
        load += (double) unstarted / Math.max(1, fittingRoom(c.spec));
      }
    }
    if (!any) {
      return true;
    }
    long fitting = fittingRoom(spec);
    int controllers = Math.max(1, membership.liveNodes().size());
    long share = (fitting + controllers - 1) / controllers + tunables.headroom();
    return load * fitting + Math.min(spec.tasks(), share) <= share;
  }

  /** How many tasks of the job the machines could hold if they were empty. */
  private long fittingRoom(JobSpec spec) {
    long fitting = 0;
    for (Room.Seen s : room.all()) {
      MachineType t = catalog.type(s.view().type());
      if (t != null && spec.allows(s.view().type(), s.view().zone(), s.view().spot())) {
        fitting += spec.size().timesIn(t.size());
      }
    }
    return fitting;
  }

  /** Takes charge of a job whose record names this incarnation already. */
  public void adopt(JobRecord record, long stamp, boolean fresh) {
    if (claims.containsKey(record.spec().id()) || membership.self() == null) {
      return;
    }
    Claim c = new Claim(record, stamp, tunables.reach(), timers.now());
    claims.put(c.id(), c);
    orphans.remove(c.id());
    if (fresh) {
      review(c);
    } else {
      load(c);
    }
  }

  private void load(Claim c) {
    c.loading = true;
    store.range(
        Chunk.prefix(c.id()),
        Store.Urgency.CORE,
        range -> {
          if (c.dropped) {
            return;
          }
          if (range.outcome() != Outcome.OK) {
            timers.after(0.3, () -> ward.run(() -> load(c)));
            return;
          }
          c.forgetChunks();
          for (Store.Pair p : range.pairs()) {
            try {
              int index = Integer.parseInt(p.key().substring(Chunk.prefix(c.id()).length()));
              c.install(index, Chunk.read(p.value(), p.stamp()));
            } catch (BadMessage | NumberFormatException e) {
              throw new IllegalStateException("chunk " + p.key() + " cannot be read", e);
            }
          }
          c.loading = false;
          for (Room.Seen s : List.copyOf(room.all())) {
            compare(c, s);
          }
          review(c);
        });
  }

  private void drop(Claim c) {
    c.dropped = true;
    withdraw(c);
    declineAll(c);
    claims.remove(c.id(), c);
  }

  /** Forgets all claims, for this controller has become another incarnation. */
  public void reborn() {
    for (Claim c : List.copyOf(claims.values())) {
      drop(c);
    }
    claiming.clear();
  }

  private void claimLapsed(double now) {
    if (membership.self() == null || !replica.ready() || !catalog.known() || store.down()) {
      return;
    }
    List<JobTable.Entry> lapsed = new ArrayList<>();
    for (JobTable.Entry e : jobs.all()) {
      String claim = e.record().claim();
      if (claim == null || !membership.alive(claim)) {
        lapsed.add(e);
      }
    }
    orphans
        .keySet()
        .removeIf(id -> lapsed.stream().noneMatch(e -> e.record().spec().id().equals(id)));
    lapsed.sort(
        Comparator.comparing((JobTable.Entry e) -> e.record().spec().priority())
            .thenComparing(JobTable.Entry::stamp));
    for (JobTable.Entry e : lapsed) {
      String id = e.record().spec().id();
      double since = orphans.computeIfAbsent(id, k -> now);
      boolean taken = e.record().term() > 0 || e.record().status() != Status.OPEN;
      if (claiming.contains(id)
          || claims.containsKey(id)
          || now - since < rank(id) * RANK_WAIT_S
          || !taken && !admits(e.record().spec())) {
        continue;
      }
      claim(e);
    }
  }

  /** This controller's place in the order in which the living ones may claim the job. */
  private int rank(String id) {
    int mine = (id + "@" + settings.node()).hashCode() * 0x9E3779B9 >>> 1;
    int before = 0;
    for (String node : membership.liveNodes()) {
      if ((id + "@" + node).hashCode() * 0x9E3779B9 >>> 1 < mine) {
        before++;
      }
    }
    return before;
  }

  private void claim(JobTable.Entry e) {
    JobRecord next = e.record().claimedBy(membership.self());
    String id = next.spec().id();
    String mark = store.newMark();
    String self = membership.self();
    claiming.add(id);
    store.commit(
        new Txn().when(JobRecord.key(id), e.stamp()).put(JobRecord.key(id), next.write(mark)),
        mark,
        done -> {
          if (!self.equals(membership.self())) {
            return;
          }
          claiming.remove(id);
          if (done.ok()) {
            LOG.log(Level.INFO, "claimed {0} in term {1}", id, next.term());
            jobs.wrote(id, next, mark, done.revision());
            adopt(next, done.revision(), false);
          }
        });
  }

  /** A live record has changed; null means that it is gone. */
  public void jobChanged(String id, JobTable.Entry entry) {
    Claim c = claims.get(id);
    if (c == null || entry != null && entry.stamp() <= c.stamp) {
      return;
    }
    if (entry == null || !membership.self().equals(entry.record().claim())) {
      drop(c);
      return;
    }
    c.record = entry.record();
    c.stamp = entry.stamp();
    if (!c.open()) {
      withdraw(c);
      declineAll(c);
    }
    review(c);
  }

  // ---- messages ----

  public void received(String from, Message message) {
    if (message instanceof View v) {
      Room.Seen old = room.put(from, v);
      if (old != null && (!old.holder().equals(from) || old.view().baton() != v.baton())) {
        unpark(v.host());
      }
      Room.Seen seen = room.get(v.host());
      for (Claim c : List.copyOf(claims.values())) {
        compare(c, seen);
      }
      reviewSoon();
    } else if (message instanceof Message.Unheld u) {
      if (room.remove(from, u.host())) {
        unpark(u.host());
        reviewSoon();
      }
    } else if (message instanceof Message.Offer o) {
      Claim c = claims.get(o.job());
      if (c != null) {
        c.parked.computeIfPresent(o.host(), (h, n) -> n > 1 ? n - 1 : null);
      }
      // While the state cannot be written an offer would only keep room from others.
      if (c == null || c.loading || !c.open() || store.down()) {
        peers.send(from, new Message.Decline(o.offer(), o.host()));
      } else {
        c.offers.add(new Held(from, o));
        chooseSoon(c);
      }
    } else if (message instanceof Message.Absent a) {
      Claim c = claims.get(a.job());
      Live l = c == null ? null : c.live.get(a.number());
      if (l != null
          && !l.ending
          && l.placement.attempt() == a.attempt()
          && l.placement.host().equals(a.host())) {
        end(c, a.number(), l, End.GONE, a.holdStamp());
        flush(c);
      }
    }
  }

  /** A controller's link here is gone: what it told of its machines no longer holds. */
  public void gone(String node) {
    for (String host : room.removeAll(node)) {
      unpark(host);
    }
    reviewSoon();
  }

  /** A controller can be reached again: all wants are parked anew with it. */
  public void reached(String node) {
    for (Room.Seen s : room.all()) {
      if (s.holder().equals(node)) {
        unpark(s.view().host());
      }
    }
    reviewSoon();
  }

  /** The hold record of a machine has changed; only its confirmed end matters here. */
  public void holdChanged(String host) {
    Holds.Hold hold = holds.get(host);
    if (hold != null && hold.dead()) {
      for (Claim c : List.copyOf(claims.values())) {
        endAllOn(c, host);
      }
    }
  }

  private void endAllOn(Claim c, String host) {
    for (var e : Map.copyOf(c.live).entrySet()) {
      if (e.getValue().placement.host().equals(host) && !e.getValue().ending) {
        end(c, e.getKey(), e.getValue(), End.GONE, 0);
      }
    }
    flush(c);
  }

  /**
   * Offers from several holders come within a few milliseconds; the best are taken, not the first.
   */
  private void chooseSoon(Claim c) {
    if (c.choosing) {
      return;
    }
    c.choosing = true;
    timers.after(
        CHOOSE_S,
        () ->
            ward.run(
                () -> {
                  c.choosing = false;
                  flush(c);
                }));
  }

  private void unpark(String host) {
    for (Claim c : claims.values()) {
      c.parked.remove(host);
    }
  }

  /** Compares what is recorded of a job with what a machine's holder says. */
  private void compare(Claim c, Room.Seen seen) {
    if (c.loading || seen == null) {
      return;
    }
    View v = seen.view();
    double now = timers.now();
    Map<Integer, List<TaskState>> shown = new HashMap<>();
    for (TaskState t : v.tasks()) {
      if (t.job().equals(c.id())) {
        shown.computeIfAbsent(t.number(), n -> new ArrayList<>()).add(t);
      }
    }
    for (var e : Map.copyOf(c.live).entrySet()) {
      Live l = e.getValue();
      int number = e.getKey();
      if (l.ending || !l.placement.host().equals(v.host())) {
        continue;
      }
      TaskState t =
          shown.getOrDefault(number, List.of()).stream()
              .filter(s -> s.attempt() == l.placement.attempt())
              .findFirst()
              .orElse(null);
      if (v.tenure() > l.placement.tenure()) {
        end(c, number, l, End.GONE, 0);
      } else if (t != null && t.exited()) {
        end(c, number, l, endOf(t.why()), 0);
      } else if (v.lost()) {
        // The last report still shows the task, but its lease is surely over.
        end(c, number, l, End.GONE, v.holdStamp());
      } else if (t != null) {
        if (l.state != t.state()) {
          LOG.log(Level.DEBUG, "{0}/{1} is {2} on {3}", c.id(), number, t.state(), v.host());
        }
        if (t.state() == Message.State.RUNNING
            && (l.state == Message.State.PENDING || l.state == Message.State.FETCHING)) {
          l.runningSince = now;
        }
        l.state = t.state();
      } else if (v.settled() && now - l.probedAt > REPEAT_S) {
        l.probedAt = now;
        peers.send(
            seen.holder(),
            new Message.Probe(v.host(), v.baton(), c.id(), number, l.placement.attempt()));
      }
    }
    for (var e : shown.entrySet()) {
      for (TaskState t : e.getValue()) {
        Live l = c.live.get(e.getKey());
        boolean ours =
            l != null
                && l.placement.host().equals(v.host())
                && l.placement.attempt() == t.attempt();
        if (ours || c.flying) {
          continue;
        }
        if (t.exited()) {
          peers.send(seen.holder(), new Message.Clear(v.host(), c.id(), e.getKey(), t.attempt()));
        } else {
          // Not recorded, so it must not run.
          peers.send(seen.holder(), new Message.Stop(v.host(), c.id(), e.getKey(), t.attempt(), 0));
        }
      }
    }
    if (!c.ends.isEmpty()) {
      flush(c);
    }
  }

  private static End endOf(Why why) {
    return switch (why) {
      case DONE -> End.DONE;
      case FAILED -> End.FAILED;
      case REFUSED -> End.REFUSED;
      default -> End.STOPPED;
    };
  }

  private void end(Claim c, int number, Live l, End end, long holdStamp) {
    l.ending = true;
    LOG.log(Level.DEBUG, "{0}/{1} is over on {2}: {3}", c.id(), number, l.placement.host(), end);
    c.ends.add(new Ended(number, l.placement, end, holdStamp));
    double now = timers.now();
    String host = l.placement.host();
    if (end == End.DONE && l.runningSince > 0) {
      urgencies.ran(c.spec, now - l.runningSince);
    }
    if (end == End.FAILED) {
      c.failures++;
      boolean first = c.failedOn.add(host);
      c.avoid.put(host, now + 4 * AVOID_S);
      if (first && (c.done > 0 || c.failedOn.size() == 1)) {
        Room.Seen s = room.get(host);
        if (s != null) {
          peers.send(s.holder(), new Message.Blame(host, c.id()));
        }
      }
      if (c.suspect()) {
        // Fails everywhere: it is tried again ever more rarely, one task at a time.
        c.notBefore = now + Math.min(60, Math.pow(2, Math.min(6, c.failures)));
      }
      LOG.log(Level.INFO, "{0}/{1} failed on {2}", c.id(), number, host);
    } else if (end == End.REFUSED) {
      c.avoid.put(host, now + 3);
    }
  }

  // ---- recording ----

  private void declineAll(Claim c) {
    for (Held h : c.offers) {
      peers.send(h.holder(), new Message.Decline(h.offer().offer(), h.offer().host()));
    }
    c.offers.clear();
  }

  private record Starting(Held held, int number, Placement placement) {}

  /** One transaction under way. */
  private record Flight(
      Map<Integer, Chunk> next,
      List<Starting> starts,
      List<Ended> ends,
      Quotas.Quota quota,
      Size used) {}

  private void flush(Claim c) {
    if (c.flying || c.loading || c.dropped) {
      return;
    }
    if (!c.open()) {
      declineAll(c);
    }
    boolean over = !c.open() && c.live.isEmpty();
    if (c.offers.isEmpty() && c.ends.isEmpty() && !over) {
      return;
    }
    Quotas.Quota quota = quotas.of(c.spec.team());
    if (quota != null && quota.busy) {
      quota.waiting.add(() -> flush(c));
      return;
    }
    Flight f = plan(c, quota);
    if (f.starts.isEmpty() && f.ends.isEmpty() && !over) {
      return;
    }
    String mark = store.newMark();
    Txn txn = new Txn().when(JobRecord.key(c.id()), c.stamp);
    int doneAfter = c.done;
    boolean anyPlaced = false;
    for (var e : f.next.entrySet()) {
      Chunk old = c.chunks.get(e.getKey());
      txn.when(Chunk.key(c.id(), e.getKey()), old == null ? 0 : old.stamp);
      doneAfter += e.getValue().done.cardinality() - (old == null ? 0 : old.done.cardinality());
    }
    for (var e : c.chunks.entrySet()) {
      anyPlaced |= !f.next.getOrDefault(e.getKey(), e.getValue()).placed.isEmpty();
    }
    Status last = null;
    if (c.open() && doneAfter == c.spec.tasks() && !c.spec.service()) {
      last = Status.DONE;
    } else if (!c.open() && !anyPlaced) {
      last = c.record.status();
    }
    // A job in more chunks than a transaction takes is emptied first, a few chunks at a time.
    boolean fits = c.chunks.size() + f.next.size() + 4 <= settings.stateLimits().txnOps();
    Set<String> hosts = new HashSet<>();
    for (Starting s : f.starts) {
      if (hosts.add(s.placement.host())) {
        txn.when(Holds.key(s.placement.host()), s.held.offer().holdStamp());
      }
    }
    for (Ended e : f.ends) {
      if (e.holdStamp() > 0 && hosts.add(e.placement().host())) {
        txn.when(Holds.key(e.placement().host()), e.holdStamp());
      }
    }
    JobRecord marked = null;
    List<Integer> emptied = new ArrayList<>();
    if (last != null && fits) {
      txn.put(JobRecord.finalKey(c.id()), JobRecord.writeFinal(last, mark));
      txn.remove(JobRecord.key(c.id()));
      Set<Integer> all = new HashSet<>(c.chunks.keySet());
      all.forEach(i -> txn.remove(Chunk.key(c.id(), i)));
    } else if (last != null) {
      marked = c.record.with(last);
      txn.put(JobRecord.key(c.id()), marked.write(mark));
      for (int i : c.chunks.keySet()) {
        if (emptied.size() + 4 < settings.stateLimits().txnOps()) {
          emptied.add(i);
          txn.remove(Chunk.key(c.id(), i));
        }
      }
    } else {
      f.next.forEach((i, chunk) -> txn.put(Chunk.key(c.id(), i), chunk.write(mark)));
    }
    var quotaValue =
        quota != null && !f.used.equals(quota.used) ? Quotas.write(f.used, mark) : null;
    if (quota != null && quotaValue != null) {
      quota.busy = true;
      txn.when(quota.key(), quota.stamp).put(quota.key(), quotaValue);
    }
    c.flying = true;
    c.offers.removeAll(f.starts.stream().map(Starting::held).toList());
    Status finalStatus = last;
    JobRecord markedRecord = marked;
    store.commit(
        txn,
        mark,
        done -> {
          c.flying = false;
          if (done.ok()) {
            if (quotaValue != null) {
              quotas.saw(quota, quotaValue, done.revision());
            }
            written(c, f, finalStatus, markedRecord, emptied, mark, done.revision());
          } else if (!c.dropped) {
            refused(c, f, quota, done);
          } else {
            f.starts.forEach(s -> decline(s.held));
          }
          if (quotaValue != null) {
            quota.release();
          }
        });
  }

  private Flight plan(Claim c, Quotas.Quota quota) {
    int maxChunks = settings.stateLimits().txnOps() - 4;
    Map<Integer, Chunk> next = new TreeMap<>();
    List<Ended> ends = new ArrayList<>();
    List<Starting> starts = new ArrayList<>();
    Size used = quota == null ? Size.NONE : quota.used;
    Map<String, Long> stamps = new HashMap<>();
    for (Ended e : List.copyOf(c.ends)) {
      int index = e.number() / Chunk.TASKS;
      int n = e.number() % Chunk.TASKS;
      Chunk now = next.containsKey(index) ? next.get(index) : c.chunks.get(index);
      if (now == null || !e.placement().equals(now.placed.get(n))) {
        c.ends.remove(e);
        continue;
      }
      if (!next.containsKey(index)) {
        if (next.size() >= maxChunks) {
          continue;
        }
        next.put(index, now.copy(0));
      }
      if (e.holdStamp() > 0 && !agrees(stamps, e.placement().host(), e.holdStamp())) {
        continue;
      }
      c.ends.remove(e);
      ends.add(e);
      Chunk chunk = next.get(index);
      chunk.placed.remove(n);
      if (e.end() == End.DONE) {
        chunk.done.set(n);
        chunk.tries.remove(n);
      }
      used = used.minus(c.size);
    }
    sortOffers(c);
    int number = 0;
    int allowed = c.suspect() ? Math.max(0, 1 - c.live.size()) : Integer.MAX_VALUE;
    for (Held h : List.copyOf(c.offers)) {
      Message.Offer o = h.offer();
      number = c.busy.nextClearBit(number);
      int index = number / Chunk.TASKS;
      boolean take =
          c.open()
              && number < c.spec.tasks()
              && starts.size() < allowed
              && timers.now() >= c.notBefore
              && stamps.size() < settings.stateLimits().txnOps()
              && (next.containsKey(index) || next.size() < maxChunks)
              && (quota == null || quota.allows(c.size, used))
              && zoneAllowed(c, o.host(), starts, ends)
              && agrees(stamps, o.host(), o.holdStamp());
      if (!take) {
        c.offers.remove(h);
        decline(h);
        continue;
      }
      Chunk old = c.chunks.get(index);
      Chunk chunk = next.computeIfAbsent(index, i -> old == null ? new Chunk(0) : old.copy(0));
      int n = number % Chunk.TASKS;
      Placement p = new Placement(chunk.tries.getOrDefault(n, 0L) + 1, o.host(), o.tenure());
      chunk.tries.put(n, p.attempt());
      chunk.placed.put(n, p);
      used = used.plus(c.size);
      starts.add(new Starting(h, number, p));
      number++;
    }
    return new Flight(next, starts, ends, quota, used);
  }

  private void sortOffers(Claim c) {
    if (c.offers.size() < 2) {
      return;
    }
    Map<String, Choice> choices = new HashMap<>();
    double now = timers.now();
    for (Held h : c.offers) {
      Room.Seen s = room.get(h.offer().host());
      MachineType type = s == null ? null : catalog.type(s.view().type());
      if (type != null) {
        choices.put(h.offer().host(), choice(c, s, type, now));
      }
    }
    c.offers.sort(
        Comparator.comparingDouble(
            h -> {
              Choice ch = choices.get(h.offer().host());
              return ch == null ? Double.MAX_VALUE : ch.costS;
            }));
  }

  /** Two proofs that rest on different records of one hold cannot share a transaction. */
  private static boolean agrees(Map<String, Long> stamps, String host, long stamp) {
    return stamps.putIfAbsent(host, stamp) == null || stamps.get(host) == stamp;
  }

  private void decline(Held h) {
    peers.send(h.holder(), new Message.Decline(h.offer().offer(), h.offer().host()));
  }

  /** Whether a task may be placed in the machine's zone, given the job's other tasks. */
  private boolean zoneAllowed(Claim c, String host, List<Starting> starts, List<Ended> ends) {
    Room.Seen seen = room.get(host);
    if (seen == null
        || !c.spec.allows(seen.view().type(), seen.view().zone(), seen.view().spot())) {
      return false;
    }
    if (!c.spec.oneZone() && !c.spec.spread()) {
      return true;
    }
    String zone = seen.view().zone();
    int same = 0;
    int other = 0;
    Set<String> hosts = new HashSet<>();
    for (Live l : c.live.values()) {
      hosts.add(l.placement.host());
      if (zone.equals(zoneOf(l.placement.host()))) {
        same++;
      } else {
        other++;
      }
    }
    for (Starting s : starts) {
      if (zone.equals(zoneOf(s.placement.host()))) {
        same++;
      } else {
        other++;
      }
    }
    if (c.spec.oneZone()) {
      return other == 0;
    }
    return same + 1 <= (c.spec.tasks() + 1) / 2
        && !hosts.stream().map(this::zoneOf).anyMatch(z -> z == null);
  }

  /** The zone of a machine, remembered beyond its holder's link; null if it was never seen. */
  private final Map<String, String> zones = new HashMap<>();

  private String zoneOf(String host) {
    Room.Seen s = room.get(host);
    if (s != null) {
      zones.put(host, s.view().zone());
    }
    return zones.get(host);
  }

  private void written(
      Claim c,
      Flight f,
      Status last,
      JobRecord marked,
      List<Integer> emptied,
      String mark,
      long revision) {
    for (Ended e : f.ends) {
      if (e.end() != End.GONE) {
        Room.Seen s = room.get(e.placement().host());
        if (s != null) {
          peers.send(
              s.holder(),
              new Message.Clear(e.placement().host(), c.id(), e.number(), e.placement().attempt()));
        }
      }
    }
    if (c.dropped) {
      // Written just before the claim went to another controller, which will find it.
      return;
    }
    for (Starting s : f.starts) {
      Message.Offer o = s.held.offer();
      LOG.log(Level.DEBUG, "placed {0}/{1} on {2}", c.id(), s.number, o.host());
      peers.send(
          s.held.holder(),
          new Message.Start(
              o.offer(), o.host(), o.baton(), c.id(), s.number, s.placement.attempt()));
    }
    if (last != null && marked == null) {
      c.dropped = true;
      claims.remove(c.id(), c);
      withdraw(c);
      LOG.log(Level.INFO, "{0} is {1}", c.id(), last);
      jobs.finished(c.id(), last, revision);
      return;
    }
    if (marked != null) {
      emptied.forEach(c.chunks::remove);
      c.live.clear();
      c.record = marked;
      c.stamp = revision;
      jobs.wrote(c.id(), marked, mark, revision);
      flush(c);
      return;
    }
    f.next.forEach((i, chunk) -> c.install(i, chunk.copy(revision)));
    if (!f.starts.isEmpty()) {
      double now = timers.now();
      c.unservedSince = now;
      c.nextTick = now + tunables.tickS();
      c.reach = tunables.reach();
    }
    review(c);
  }

  private void refused(Claim c, Flight f, Quotas.Quota quota, Store.Done done) {
    Set<String> failed = new HashSet<>(done.failed());
    LOG.log(Level.DEBUG, "recording of {0} refused: {1}", c.id(), failed);
    boolean jobFailed = failed.contains(JobRecord.key(c.id()));
    boolean chunkFailed = failed.stream().anyMatch(k -> k.startsWith(Chunk.prefix(c.id())));
    for (Starting s : f.starts) {
      if (jobFailed || chunkFailed || failed.contains(Holds.key(s.placement.host()))) {
        decline(s.held);
      } else {
        c.offers.add(s.held);
      }
    }
    for (Ended e : f.ends) {
      boolean proofGone = e.holdStamp() > 0 && failed.contains(Holds.key(e.placement().host()));
      Live l = c.live.get(e.number());
      if (proofGone && l != null) {
        l.ending = false;
      } else {
        c.ends.add(e);
      }
    }
    if (jobFailed || chunkFailed || failed.isEmpty()) {
      reload(c);
      return;
    }
    if (quota != null && failed.contains(quota.key())) {
      quota.busy = true;
      store.get(
          quota.key(),
          Store.Urgency.CORE,
          got -> {
            quota.busy = false;
            if (got.outcome() == Outcome.OK) {
              quotas.saw(quota, got.value(), got.stamp());
            }
            quota.release();
            flush(c);
          });
      return;
    }
    timers.after(0.05, () -> ward.run(() -> flush(c)));
  }

  /** Reads the job's record anew, and with it whether the claim still stands. */
  private void reload(Claim c) {
    c.loading = true;
    declineAll(c);
    jobs.read(
        c.id(),
        Store.Urgency.CORE,
        found -> {
          if (c.dropped) {
            return;
          }
          if (found.outcome() == Outcome.OK && found.entry() != null) {
            if (!membership.self().equals(found.entry().record().claim())) {
              drop(c);
              return;
            }
            c.record = found.entry().record();
            c.stamp = found.entry().stamp();
            load(c);
          } else if (found.outcome() == Outcome.OK || found.outcome() == Outcome.MISSING) {
            drop(c);
          } else {
            timers.after(0.3, () -> ward.run(() -> reload(c)));
          }
        });
  }

  // ---- parking ----

  /** Looks at all claims shortly; changes that come together are looked at once. */
  private void reviewSoon() {
    if (reviewing) {
      return;
    }
    reviewing = true;
    timers.after(
        0.01,
        () ->
            ward.run(
                () -> {
                  reviewing = false;
                  List<Claim> all = new ArrayList<>(claims.values());
                  all.sort(
                      Comparator.comparing((Claim c) -> c.spec.priority())
                          .thenComparing(c -> c.stamp));
                  all.forEach(this::review);
                }));
  }

  private void review(Claim c) {
    if (c.dropped || c.loading) {
      return;
    }
    flush(c);
    double now = timers.now();
    int wanted = c.unstarted() - c.offers.size();
    if (c.flying || store.down()) {
      return;
    }
    Quotas.Quota quota = quotas.of(c.spec.team());
    if (quota != null) {
      wanted = Math.min(wanted, quota.room(c.size));
    }
    if (c.suspect()) {
      wanted = Math.min(wanted, 1 - c.live.size());
    }
    if (wanted <= 0 || now < c.notBefore) {
      withdraw(c);
      if (wanted <= 0) {
        c.unservedSince = now;
        c.nextTick = now + tunables.tickS();
        c.reach = tunables.reach();
      }
      return;
    }
    if (now >= c.nextTick) {
      c.nextTick = now + tunables.tickS();
      c.reach = Math.min(tunables.reachCap(), c.reach + 1);
    }
    if (now - c.unservedSince > tunables.waitS()) {
      c.unservedSince = now;
      c.notBefore = now + tunables.requeueDelayS();
      c.reach = tunables.reach();
      withdraw(c);
      return;
    }
    park(c, wanted, now);
  }

  /** A machine on which a job could park; the lower the tier, the sooner it is chosen. */
  private record Choice(Room.Seen seen, int ever, int fits, int tier, double costS) {}

  /** How much of its fetch a task counts that is in no hurry. */
  private static final double PATIENT = 0.25;

  /** What taking room beside another job's image costs, in seconds of an earlier start. */
  private static final double CROWD_S = 0.5;

  /** What using a machine many times too large costs, in seconds of an earlier start. */
  private static final double OVERSIZE_S = 3;

  /** From this many tasks on, a machine is larger than a task needs. */
  private static final int OVERSIZE = 8;

  /** Whether there is a type on which the job's tasks would not be lost in space. */
  private boolean smallerServes(Claim c) {
    for (MachineType t : catalog.types()) {
      int times = c.size.timesIn(t.size());
      if (times > 0
          && times < OVERSIZE
          && (c.spec.types() == null || c.spec.types().contains(t.name()))) {
        return true;
      }
    }
    return false;
  }

  private Choice choice(Claim c, Room.Seen s, MachineType type, double now) {
    View v = s.view();
    int ever = c.size.timesIn(type.size());
    int fits = c.size.timesIn(v.free());
    boolean large = ever >= OVERSIZE && smallerServes(c);
    boolean urgent = c.spec.priority().urgent();
    // Large machines are left to tasks that fit nowhere else, as long as others may turn up.
    boolean spare =
        large && !urgent && now - c.unservedSince < tunables.gatherTicks() * tunables.tickS();
    int tier = fits == 0 ? 1 : spare ? 2 : 0;
    double fetch =
        c.spec.image() == null || v.images().contains(c.spec.image()) || type.fetchGbPerS() <= 0
            ? 0
            : c.spec.imageGb() / type.fetchGbPerS();
    int others = v.images().size() - (v.images().contains(c.spec.image()) ? 1 : 0);
    // A task in no hurry leaves the machines that have others' images to those others.
    double cost = urgent ? fetch : fetch * PATIENT + others * CROWD_S;
    return new Choice(s, ever, fits, tier, cost + (large ? OVERSIZE_S : 0));
  }

  private void park(Claim c, int wanted, double now) {
    List<Choice> choices = new ArrayList<>();
    for (Room.Seen s : room.all()) {
      View v = s.view();
      MachineType type = catalog.type(v.type());
      if (type == null
          || !v.open()
          || !c.spec.allows(v.type(), v.zone(), v.spot())
          || c.avoid.getOrDefault(v.host(), 0.0) > now
          || !zoneAllowed(c, v.host(), List.of(), List.of())) {
        continue;
      }
      Choice choice = choice(c, s, type, now);
      if (choice.ever > 0) {
        choices.add(choice);
      }
    }
    choices.sort(
        Comparator.comparingInt(Choice::tier)
            .thenComparingDouble(Choice::costS)
            .thenComparing(ch -> (c.id() + ch.seen.view().host()).hashCode()));
    preempt(c, choices, wanted, now);
    long left = (long) wanted * c.reach;
    int machines = 0;
    Map<String, Integer> target = new HashMap<>();
    for (Choice ch : choices) {
      if (left <= 0 && machines >= c.reach) {
        break;
      }
      int n = Math.min(wanted, ch.fits > 0 ? ch.fits : ch.ever);
      target.put(ch.seen.view().host(), n);
      left -= n;
      machines++;
    }
    for (String host : Set.copyOf(c.parked.keySet())) {
      if (!target.containsKey(host)) {
        want(c, host, 0);
      }
    }
    double ageS = (timers.timeOfDayMs() - c.record.acceptedMs()) / 1000.0;
    double fetchS = choices.isEmpty() ? 0 : choices.get(0).costS;
    int rank = urgencies.rank(c.spec, ageS, fetchS);
    boolean moved = rank != c.rank;
    c.rank = rank;
    target.forEach(
        (host, n) -> {
          if (moved || !n.equals(c.parked.get(host))) {
            want(c, host, n);
          }
        });
  }

  /** Room for urgent tasks that find none is made where less urgent ones have just begun. */
  private void preempt(Claim c, List<Choice> choices, int wanted, double now) {
    if (!c.spec.priority().urgent()
        || now - c.unservedSince < PREEMPT_AFTER_S
        || now - c.preemptedAt < PREEMPT_AGAIN_S) {
      return;
    }
    int need = wanted - choices.stream().mapToInt(Choice::fits).sum();
    for (Choice ch : choices) {
      if (need <= 0) {
        break;
      }
      int lower = 0;
      for (TaskState t : ch.seen.view().tasks()) {
        JobTable.Entry e = jobs.get(t.job());
        if (e != null
            && !t.exited()
            && e.record().spec().priority().compareTo(c.spec.priority()) > 0) {
          lower++;
        }
      }
      int n = Math.min(need, lower);
      if (ch.fits == 0 && n > 0) {
        need -= n;
        c.preemptedAt = now;
        peers.send(
            ch.seen.holder(),
            new Message.Preempt(ch.seen.view().host(), c.spec.priority().ordinal(), c.size, n));
      }
    }
  }

  private void want(Claim c, String host, int count) {
    if (count > 0) {
      c.parked.put(host, count);
    } else {
      c.parked.remove(host);
    }
    Room.Seen s = room.get(host);
    if (s != null) {
      peers.send(
          s.holder(),
          new Message.Want(host, c.id(), c.spec.priority().ordinal(), c.rank, c.size, count));
    }
  }

  private void withdraw(Claim c) {
    for (String host : Set.copyOf(c.parked.keySet())) {
      want(c, host, 0);
    }
  }

  // ---- time ----

  /** Called several times a second. */
  public void tick() {
    double now = timers.now();
    claimLapsed(now);
    for (Claim c : List.copyOf(claims.values())) {
      if (!c.open() && !c.loading) {
        stopAll(c, now);
      }
      for (var e : Map.copyOf(c.live).entrySet()) {
        Holds.Hold hold = holds.get(e.getValue().placement.host());
        if (hold != null && hold.dead() && !e.getValue().ending) {
          end(c, e.getKey(), e.getValue(), End.GONE, 0);
        }
      }
      Set<String> hosts = new HashSet<>();
      c.live.values().forEach(l -> hosts.add(l.placement.host()));
      hosts.forEach(h -> compare(c, room.get(h)));
      review(c);
    }
  }

  private void stopAll(Claim c, double now) {
    for (var e : c.live.entrySet()) {
      Live l = e.getValue();
      Room.Seen s = room.get(l.placement.host());
      if (s != null && now - l.stoppedAt > REPEAT_S) {
        l.stoppedAt = now;
        peers.send(
            s.holder(),
            new Message.Stop(l.placement.host(), c.id(), e.getKey(), l.placement.attempt(), 0));
      }
    }
  }

  // ---- what others ask ----

  /** Task counts for display, if the job is claimed here. */
  public record Counts(int done, int running) {}

  public Counts counts(String id) {
    Claim c = claims.get(id);
    if (c == null) {
      return null;
    }
    int running = 0;
    for (Live l : c.live.values()) {
      if (l.state == Message.State.RUNNING || l.state == Message.State.SAVING) {
        running++;
      }
    }
    return new Counts(c.done, running);
  }

  /** How many tasks of a job run, as the machines' holders tell. */
  public int runningElsewhere(String id) {
    int running = 0;
    for (Room.Seen s : room.all()) {
      for (TaskState t : s.view().tasks()) {
        if (t.job().equals(id) && t.state() == Message.State.RUNNING) {
          running++;
        }
      }
    }
    return running;
  }

  public int claimed() {
    return claims.size();
  }

  /** Tasks of claimed jobs that are neither done nor placed. */
  public int unstarted() {
    return claims.values().stream().mapToInt(Claim::unstarted).sum();
  }

  /** What waits for room here. */
  public Message.Demand demand() {
    List<Message.Waiting> waiting = new ArrayList<>();
    double now = timers.now();
    for (Claim c : claims.values()) {
      int n = c.unstarted();
      Quotas.Quota q = quotas.of(c.spec.team());
      if (q != null) {
        n = Math.min(n, q.room(c.size));
      }
      if (n > 0 && !c.suspect() && now >= c.notBefore) {
        waiting.add(new Message.Waiting(c.id(), n));
      }
    }
    return new Message.Demand(waiting);
  }
}
