package dev.dunefront.claim;

import dev.dunefront.book.HoldTable;
import dev.dunefront.claim.Chunk.Placement;
import dev.dunefront.claim.Claim.AttemptOutcome;
import dev.dunefront.claim.Claim.EndedAttempt;
import dev.dunefront.claim.Claim.ReceivedOffer;
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
final class TransactionPlanner {
  /** As many chunks as a transaction of 64 KiB surely takes. */
  private static final int MAX_CHUNKS = 4;

  /** A part of what is left of a team's limit, shared by all controllers, may be granted ahead. */
  private static final int GRANT_AHEAD_DIVISOR = 4;

  private final ControllerContext context;
  private final ZoneConstraints zoneConstraints;
  private final WantPlacement wantPlacement;

  TransactionPlanner(
      ControllerContext context, ZoneConstraints zones, WantPlacement wantPlacement) {
    this.context = context;
    this.zoneConstraints = zones;
    this.wantPlacement = wantPlacement;
  }

  record PlannedStart(ReceivedOffer receivedOffer, int number, Placement placement) {}

  /** One transaction under way. */
  record PlannedTransaction(
      Map<Integer, Chunk> chunks,
      List<PlannedStart> starts,
      List<EndedAttempt> ends,
      int granted) {}

  /**
   * Takes what a claim has to record. Offers that are not taken go to {@code declined}; ends and
   * offers that the transaction has no place for stay with the claim.
   *
   * @param returned whether what the claim does not use of its team's limit goes back with it
   */
  PlannedTransaction plan(
      Claim c, Quotas.Quota quota, boolean returned, Consumer<ReceivedOffer> declined) {
    int txnOps = context.settings().stateLimits().txnOps();
    int maxChunks = Math.min(MAX_CHUNKS, txnOps - 4);
    // Conditions may be four times as many as changes; some are on the job, its chunks, its
    // team, the roster.
    int maxHosts = 4 * txnOps - maxChunks - 3;
    Map<Integer, Chunk> next = new TreeMap<>();
    List<EndedAttempt> ends = new ArrayList<>();
    List<PlannedStart> starts = new ArrayList<>();
    Map<String, Long> stamps = new HashMap<>();
    List<EndedAttempt> all = List.copyOf(c.unrecordedEnds);
    c.unrecordedEnds.clear();
    for (EndedAttempt e : all) {
      int index = e.number() / Chunk.TASKS_PER_CHUNK;
      int n = e.number() % Chunk.TASKS_PER_CHUNK;
      Chunk now = next.containsKey(index) ? next.get(index) : c.chunks.get(index);
      if (now == null || !e.placement().equals(now.placed.get(n))) {
        continue;
      }
      String host = e.placement().host();
      // More proofs than one transaction can name are written with the next: a whole zone's worth
      // of machines may be lost at once, and a transaction that is too large is refused for ever.
      if (!next.containsKey(index) && next.size() >= maxChunks
          || e.conditional() && stamps.size() >= maxHosts && !stamps.containsKey(host)
          || e.conditional() && !addCondition(stamps, host, e.holdRevision())) {
        c.unrecordedEnds.add(e);
        continue;
      }
      Chunk chunk = next.computeIfAbsent(index, i -> now.copy(0));
      ends.add(e);
      chunk.placed.remove(n);
      if (e.outcome() == AttemptOutcome.DONE) {
        chunk.done.set(n);
        chunk.lastAttempts.remove(n);
      }
    }
    wantPlacement.sortOffers(c);
    int placed = c.liveAttempts.size() - ends.size();
    int limit =
        quota == null
            ? Integer.MAX_VALUE
            : (int)
                Math.min(
                    Integer.MAX_VALUE, (long) c.record.granted() + quota.remainingTasks(c.size));
    // What each chunk may still grow: with long names fewer than all its tasks may be placed at
    // once.
    Map<Integer, Integer> growth = new HashMap<>();
    int most = (int) (context.settings().stateLimits().valueKb() * 1024);
    int number = 0;
    int allowed = c.suspectedFaulty() ? Math.max(0, 1 - c.liveAttempts.size()) : Integer.MAX_VALUE;
    List<String> startHosts = new ArrayList<>();
    List<ReceivedOffer> offers = List.copyOf(c.offers);
    List<ReceivedOffer> kept = new ArrayList<>();
    for (ReceivedOffer h : offers) {
      Message.Offer o = h.offer();
      if (context.now() - h.receivedAt() > context.tunables().offerWaitS()) {
        declined.accept(h);
        continue;
      }
      if (stamps.size() >= maxHosts && !stamps.containsKey(o.host())) {
        // More machines than one transaction can name: taken with the next.
        kept.add(h);
        continue;
      }
      number = c.nextUnplaced(number);
      int index = number / Chunk.TASKS_PER_CHUNK;
      boolean take =
          c.startable()
              && number < c.spec.tasks()
              && starts.size() < allowed
              && placed + starts.size() < limit
              && context.now() >= c.notBefore
              && (next.containsKey(index) || next.size() < maxChunks)
              && growth.computeIfAbsent(index, i -> most - chunkBytes(c, next, i))
                  >= Chunk.placementBytes(o.host())
              && zoneConstraints.allowed(c, o.host(), startHosts)
              && addCondition(stamps, o.host(), o.holdRevision());
      if (!take) {
        declined.accept(h);
        continue;
      }
      Chunk old = c.chunks.get(index);
      Chunk chunk = next.computeIfAbsent(index, i -> old == null ? new Chunk(0) : old.copy(0));
      int n = number % Chunk.TASKS_PER_CHUNK;
      if (chunk.placed.containsKey(n)) {
        context
            .safety()
            .invariantViolated(
                Invariant.TWO_PLACEMENTS,
                c.id() + "/" + number + " on " + o.host() + ", placed as " + chunk.placed.get(n));
        declined.accept(h);
        number++;
        continue;
      }
      growth.merge(index, -Chunk.placementBytes(o.host()), Integer::sum);
      Placement p =
          new Placement(chunk.lastAttempts.getOrDefault(n, 0L) + 1, o.host(), o.session());
      chunk.lastAttempts.put(n, p.attempt());
      chunk.placed.put(n, p);
      starts.add(new PlannedStart(h, number, p));
      startHosts.add(o.host());
      number++;
    }
    c.offers.clear();
    c.offers.addAll(kept);
    return new PlannedTransaction(
        next, starts, ends, targetGrant(c, quota, placed + starts.size(), ends, returned));
  }

  private static int chunkBytes(Claim c, Map<Integer, Chunk> next, int index) {
    Chunk chunk = next.getOrDefault(index, c.chunks.get(index));
    return chunk == null ? 0 : chunk.estimatedBytes();
  }

  /** Whether a job has been granted more of its team's limit than it is to have. */
  boolean hasUnusedGrant(Claim c, Quotas.Quota quota) {
    int placed = c.liveAttempts.size();
    return quota != null && c.record.granted() > placed + grantAhead(c, quota, placed, 0);
  }

  private int grantAhead(Claim c, Quotas.Quota quota, int placed, long finished) {
    int unstarted =
        (int) Math.max(0, c.spec.tasks() - c.done - finished - placed) * (c.open() ? 1 : 0);
    return Math.min(
        unstarted,
        quota.remainingTasks(c.size)
            / (GRANT_AHEAD_DIVISOR * context.settings().controllerCount()));
  }

  /**
   * How many tasks are to be granted when so many are placed.
   *
   * @param returned what is not used has to go back, worth a change or not
   */
  private int targetGrant(
      Claim c, Quotas.Quota quota, int placed, List<EndedAttempt> ends, boolean returned) {
    if (quota == null) {
      return 0;
    }
    int granted = c.record.granted();
    long finished = ends.stream().filter(e -> e.outcome() == AttemptOutcome.DONE).count();
    int left = quota.remainingTasks(c.size);
    int ahead = grantAhead(c, quota, placed, finished);
    if (placed > granted) {
      return placed + Math.min(ahead, left - (placed - granted));
    }
    int idle = granted - placed;
    boolean worth = left < granted || idle >= Math.max(8, granted / 2);
    return idle > ahead && (worth || returned) ? placed + ahead : granted;
  }

  /** Two proofs that rest on different records of one hold cannot share a transaction. */
  private static boolean addCondition(Map<String, Long> stamps, String host, long stamp) {
    if (stamp < 0) {
      // Of a machine without a record: conditional on the roster as well, which has one stamp.
      Long roster = stamps.putIfAbsent(HoldTable.ROSTER_KEY, stamp);
      if (roster != null && roster != stamp) {
        return false;
      }
    }
    Long known = stamps.putIfAbsent(host, stamp);
    return known == null || known == stamp;
  }
}
