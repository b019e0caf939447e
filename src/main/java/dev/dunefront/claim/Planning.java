package dev.dunefront.claim;

import dev.dunefront.book.Holds;
import dev.dunefront.claim.Chunk.Placement;
import dev.dunefront.claim.Claim.End;
import dev.dunefront.claim.Claim.Ended;
import dev.dunefront.claim.Claim.Held;
import dev.dunefront.evidence.Invariant;
import dev.dunefront.peer.Message;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * What goes into the next transaction of a job: as many of its ends and of the offers made to it as
 * the state service's limits, the team's limit and the zones allow.
 */
final class Planning {
  /** As many chunks as a transaction of 64 KiB surely takes. */
  private static final int MAX_CHUNKS = 4;

  /** A part of what is left of a team's limit, shared by all controllers, may be granted ahead. */
  private static final int AHEAD = 4;

  private final ControllerContext context;
  private final Zones zones;
  private final WantPlacement wantPlacement;

  Planning(ControllerContext context, Zones zones, WantPlacement wantPlacement) {
    this.context = context;
    this.zones = zones;
    this.wantPlacement = wantPlacement;
  }

  record Starting(Held held, int number, Placement placement) {}

  /** One transaction under way. */
  record Flight(Map<Integer, Chunk> next, List<Starting> starts, List<Ended> ends, int granted) {}

  /**
   * Takes what a claim has to record. Offers that are not taken go to {@code declined}; ends and
   * offers that the transaction has no place for stay with the claim.
   *
   * @param returned whether what the claim does not use of its team's limit goes back with it
   */
  Flight plan(Claim c, Quotas.Quota quota, boolean returned, Consumer<Held> declined) {
    int txnOps = context.settings().stateLimits().txnOps();
    int maxChunks = Math.min(MAX_CHUNKS, txnOps - 4);
    // Conditions may be four times as many as changes; some are on the job, its chunks, its
    // team, the roster.
    int maxHosts = 4 * txnOps - maxChunks - 3;
    Map<Integer, Chunk> next = new TreeMap<>();
    List<Ended> ends = new ArrayList<>();
    List<Starting> starts = new ArrayList<>();
    Map<String, Long> stamps = new HashMap<>();
    List<Ended> all = List.copyOf(c.ends);
    c.ends.clear();
    for (Ended e : all) {
      int index = e.number() / Chunk.TASKS;
      int n = e.number() % Chunk.TASKS;
      Chunk now = next.containsKey(index) ? next.get(index) : c.chunks.get(index);
      if (now == null || !e.placement().equals(now.placed.get(n))) {
        continue;
      }
      String host = e.placement().host();
      // More proofs than one transaction can name are written with the next: a whole zone's worth
      // of machines may be lost at once, and a transaction that is too large is refused for ever.
      if (!next.containsKey(index) && next.size() >= maxChunks
          || e.conditional() && stamps.size() >= maxHosts && !stamps.containsKey(host)
          || e.conditional() && !agrees(stamps, host, e.holdStamp())) {
        c.ends.add(e);
        continue;
      }
      Chunk chunk = next.computeIfAbsent(index, i -> now.copy(0));
      ends.add(e);
      chunk.placed.remove(n);
      if (e.end() == End.DONE) {
        chunk.done.set(n);
        chunk.tries.remove(n);
      }
    }
    wantPlacement.sortOffers(c);
    int placed = c.live.size() - ends.size();
    int limit =
        quota == null
            ? Integer.MAX_VALUE
            : (int) Math.min(Integer.MAX_VALUE, (long) c.record.granted() + quota.room(c.size));
    // What each chunk may still grow: with long names fewer than all its tasks may be placed at
    // once.
    Map<Integer, Integer> growth = new HashMap<>();
    int most = (int) (context.settings().stateLimits().valueKb() * 1024);
    int number = 0;
    int allowed = c.suspect() ? Math.max(0, 1 - c.live.size()) : Integer.MAX_VALUE;
    List<String> startHosts = new ArrayList<>();
    List<Held> offers = List.copyOf(c.offers);
    List<Held> kept = new ArrayList<>();
    for (Held h : offers) {
      Message.Offer o = h.offer();
      if (context.now() - h.at() > context.tunables().offerWaitS()) {
        declined.accept(h);
        continue;
      }
      if (stamps.size() >= maxHosts && !stamps.containsKey(o.host())) {
        // More machines than one transaction can name: taken with the next.
        kept.add(h);
        continue;
      }
      number = c.nextUnplaced(number);
      int index = number / Chunk.TASKS;
      boolean take =
          c.starts()
              && number < c.spec.tasks()
              && starts.size() < allowed
              && placed + starts.size() < limit
              && context.now() >= c.notBefore
              && (next.containsKey(index) || next.size() < maxChunks)
              && growth.computeIfAbsent(index, i -> most - size(c, next, i))
                  >= Chunk.bytesFor(o.host())
              && zones.allowed(c, o.host(), startHosts)
              && agrees(stamps, o.host(), o.holdStamp());
      if (!take) {
        declined.accept(h);
        continue;
      }
      Chunk old = c.chunks.get(index);
      Chunk chunk = next.computeIfAbsent(index, i -> old == null ? new Chunk(0) : old.copy(0));
      int n = number % Chunk.TASKS;
      if (chunk.placed.containsKey(n)) {
        context
            .safety()
            .violated(
                Invariant.TWO_PLACEMENTS,
                c.id() + "/" + number + " on " + o.host() + ", placed as " + chunk.placed.get(n));
        declined.accept(h);
        number++;
        continue;
      }
      growth.merge(index, -Chunk.bytesFor(o.host()), Integer::sum);
      Placement p = new Placement(chunk.tries.getOrDefault(n, 0L) + 1, o.host(), o.session());
      chunk.tries.put(n, p.attempt());
      chunk.placed.put(n, p);
      starts.add(new Starting(h, number, p));
      startHosts.add(o.host());
      number++;
    }
    c.offers.clear();
    c.offers.addAll(kept);
    return new Flight(next, starts, ends, grant(c, quota, placed + starts.size(), ends, returned));
  }

  private static int size(Claim c, Map<Integer, Chunk> next, int index) {
    Chunk chunk = next.getOrDefault(index, c.chunks.get(index));
    return chunk == null ? 0 : chunk.bytes();
  }

  /** Whether a job has been granted more of its team's limit than it is to have. */
  boolean unused(Claim c, Quotas.Quota quota) {
    int placed = c.live.size();
    return quota != null && c.record.granted() > placed + ahead(c, quota, placed, 0);
  }

  private int ahead(Claim c, Quotas.Quota quota, int placed, long finished) {
    int unstarted =
        (int) Math.max(0, c.spec.tasks() - c.done - finished - placed) * (c.open() ? 1 : 0);
    return Math.min(unstarted, quota.room(c.size) / (AHEAD * context.settings().controllers()));
  }

  /**
   * How many tasks are to be granted when so many are placed.
   *
   * @param returned what is not used has to go back, worth a change or not
   */
  private int grant(Claim c, Quotas.Quota quota, int placed, List<Ended> ends, boolean returned) {
    if (quota == null) {
      return 0;
    }
    int granted = c.record.granted();
    long finished = ends.stream().filter(e -> e.end() == End.DONE).count();
    int left = quota.room(c.size);
    int ahead = ahead(c, quota, placed, finished);
    if (placed > granted) {
      return placed + Math.min(ahead, left - (placed - granted));
    }
    int idle = granted - placed;
    boolean worth = left < granted || idle >= Math.max(8, granted / 2);
    return idle > ahead && (worth || returned) ? placed + ahead : granted;
  }

  /** Two proofs that rest on different records of one hold cannot share a transaction. */
  private static boolean agrees(Map<String, Long> stamps, String host, long stamp) {
    if (stamp < 0) {
      // Of a machine without a record: conditional on the roster as well, which has one stamp.
      Long roster = stamps.putIfAbsent(Holds.ROSTER, stamp);
      if (roster != null && roster != stamp) {
        return false;
      }
    }
    Long known = stamps.putIfAbsent(host, stamp);
    return known == null || known == stamp;
  }
}
