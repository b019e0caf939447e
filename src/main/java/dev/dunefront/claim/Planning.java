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
 * Plans the next transaction of a claimed job: as many of its ended attempts and received offers as
 * the state service's limits, the team's limit and the zone constraints allow.
 */
final class Planning {
  /** Number of chunks that are certain to fit into a 64 KiB transaction. */
  private static final int MAX_CHUNKS = 4;

  /**
   * A job may be granted tasks ahead of their placement up to the team's remaining limit divided by
   * this and by the number of controllers.
   */
  private static final int AHEAD = 4;

  private final ControllerContext context;
  private final Zones zones;
  private final WantPlacement wantPlacement;

  Planning(ControllerContext context, Zones zones, WantPlacement wantPlacement) {
    this.context = context;
    this.zones = zones;
    this.wantPlacement = wantPlacement;
  }

  /** The placement of one task on an offer that the transaction accepts. */
  record Starting(Held held, int number, Placement placement) {}

  /**
   * The planned contents of one transaction.
   *
   * @param next new versions of the changed chunks, by index
   * @param granted number of tasks granted to the job after the transaction
   */
  record Flight(Map<Integer, Chunk> next, List<Starting> starts, List<Ended> ends, int granted) {}

  /**
   * Takes pending ends and offers from a claim. Offers that are not accepted are passed to {@code
   * declined}; ends and offers that do not fit into the transaction stay with the claim.
   *
   * @param mustReturn whether the transaction must return the claim's unused part of the team's
   *     limit
   */
  Flight plan(Claim claim, Quotas.Quota quota, boolean mustReturn, Consumer<Held> declined) {
    int txnOps = context.settings().stateLimits().txnOps();
    int maxChunks = Math.min(MAX_CHUNKS, txnOps - 4);
    // The state service allows four times as many conditions as changes; some are needed for the
    // job, its chunks, its team and the roster.
    int maxHosts = 4 * txnOps - maxChunks - 3;
    Map<Integer, Chunk> chunks = new TreeMap<>();
    List<Ended> ends = new ArrayList<>();
    List<Starting> starts = new ArrayList<>();
    Map<String, Long> holdStamps = new HashMap<>();
    List<Ended> pending = List.copyOf(claim.ends);
    claim.ends.clear();
    for (Ended ended : pending) {
      int index = ended.number() / Chunk.TASKS;
      int offset = ended.number() % Chunk.TASKS;
      Chunk current = chunks.containsKey(index) ? chunks.get(index) : claim.chunks.get(index);
      if (current == null || !ended.placement().equals(current.placed.get(offset))) {
        continue;
      }
      String host = ended.placement().host();
      // Proofs that exceed the transaction's limits are left for the next one: all machines of a
      // zone may be lost at once, and an oversized transaction would be rejected on every retry.
      if (!chunks.containsKey(index) && chunks.size() >= maxChunks
          || ended.conditional() && holdStamps.size() >= maxHosts && !holdStamps.containsKey(host)
          || ended.conditional() && !agrees(holdStamps, host, ended.holdStamp())) {
        claim.ends.add(ended);
        continue;
      }
      Chunk chunk = chunks.computeIfAbsent(index, i -> current.copy(0));
      ends.add(ended);
      chunk.placed.remove(offset);
      if (ended.end() == End.DONE) {
        chunk.done.set(offset);
        chunk.tries.remove(offset);
      }
    }
    wantPlacement.sortOffers(claim);
    int placed = claim.live.size() - ends.size();
    int limit =
        quota == null
            ? Integer.MAX_VALUE
            : (int)
                Math.min(Integer.MAX_VALUE, (long) claim.record.granted() + quota.room(claim.size));
    // Bytes by which each chunk may still grow: with long machine names, not all tasks of a chunk
    // can be placed at the same time.
    Map<Integer, Integer> bytesLeft = new HashMap<>();
    int maxBytes = (int) (context.settings().stateLimits().valueKb() * 1024);
    int number = 0;
    int maxStarts = claim.suspect() ? Math.max(0, 1 - claim.live.size()) : Integer.MAX_VALUE;
    List<String> startHosts = new ArrayList<>();
    List<Held> offers = List.copyOf(claim.offers);
    List<Held> kept = new ArrayList<>();
    for (Held received : offers) {
      Message.Offer offer = received.offer();
      if (context.now() - received.at() > context.tunables().offerWaitS()) {
        declined.accept(received);
        continue;
      }
      if (holdStamps.size() >= maxHosts && !holdStamps.containsKey(offer.host())) {
        // The transaction cannot hold a condition for another machine; the next one takes it.
        kept.add(received);
        continue;
      }
      number = claim.nextUnplaced(number);
      int index = number / Chunk.TASKS;
      boolean accept =
          claim.starts()
              && number < claim.spec.tasks()
              && starts.size() < maxStarts
              && placed + starts.size() < limit
              && context.now() >= claim.notBefore
              && (chunks.containsKey(index) || chunks.size() < maxChunks)
              && bytesLeft.computeIfAbsent(index, i -> maxBytes - size(claim, chunks, i))
                  >= Chunk.bytesFor(offer.host())
              && zones.allowed(claim, offer.host(), startHosts)
              && agrees(holdStamps, offer.host(), offer.holdStamp());
      if (!accept) {
        declined.accept(received);
        continue;
      }
      Chunk old = claim.chunks.get(index);
      Chunk chunk = chunks.computeIfAbsent(index, i -> old == null ? new Chunk(0) : old.copy(0));
      int offset = number % Chunk.TASKS;
      if (chunk.placed.containsKey(offset)) {
        context
            .safety()
            .violated(
                Invariant.TWO_PLACEMENTS,
                claim.id()
                    + "/"
                    + number
                    + " on "
                    + offer.host()
                    + ", placed as "
                    + chunk.placed.get(offset));
        declined.accept(received);
        number++;
        continue;
      }
      bytesLeft.merge(index, -Chunk.bytesFor(offer.host()), Integer::sum);
      Placement placement =
          new Placement(chunk.tries.getOrDefault(offset, 0L) + 1, offer.host(), offer.session());
      chunk.tries.put(offset, placement.attempt());
      chunk.placed.put(offset, placement);
      starts.add(new Starting(received, number, placement));
      startHosts.add(offer.host());
      number++;
    }
    claim.offers.clear();
    claim.offers.addAll(kept);
    return new Flight(
        chunks, starts, ends, grant(claim, quota, placed + starts.size(), ends, mustReturn));
  }

  private static int size(Claim claim, Map<Integer, Chunk> chunks, int index) {
    Chunk chunk = chunks.getOrDefault(index, claim.chunks.get(index));
    return chunk == null ? 0 : chunk.bytes();
  }

  /** Whether a job holds more of its team's limit than it should keep. */
  boolean unused(Claim claim, Quotas.Quota quota) {
    int placed = claim.live.size();
    return quota != null && claim.record.granted() > placed + ahead(claim, quota, placed, 0);
  }

  /** Number of tasks that may be granted beyond the placed ones. */
  private int ahead(Claim claim, Quotas.Quota quota, int placed, long finished) {
    int unstarted =
        (int) Math.max(0, claim.spec.tasks() - claim.done - finished - placed)
            * (claim.open() ? 1 : 0);
    return Math.min(unstarted, quota.room(claim.size) / (AHEAD * context.settings().controllers()));
  }

  /**
   * The number of tasks to grant to the job, including the placed ones.
   *
   * @param mustReturn whether the unused part must be returned even if it is too small to be worth
   *     a write
   */
  private int grant(
      Claim claim, Quotas.Quota quota, int placed, List<Ended> ends, boolean mustReturn) {
    if (quota == null) {
      return 0;
    }
    int granted = claim.record.granted();
    long finished = ends.stream().filter(ended -> ended.end() == End.DONE).count();
    int remaining = quota.room(claim.size);
    int ahead = ahead(claim, quota, placed, finished);
    if (placed > granted) {
      return placed + Math.min(ahead, remaining - (placed - granted));
    }
    int unused = granted - placed;
    boolean worthWriting = remaining < granted || unused >= Math.max(8, granted / 2);
    return unused > ahead && (worthWriting || mustReturn) ? placed + ahead : granted;
  }

  /**
   * Adds the condition on a machine's hold record. False if it contradicts an earlier condition:
   * two proofs that depend on different versions of one hold record cannot share a transaction.
   */
  private static boolean agrees(Map<String, Long> stamps, String host, long stamp) {
    if (stamp < 0) {
      // A machine without a hold record is also conditional on the roster, which has one version.
      Long roster = stamps.putIfAbsent(Holds.ROSTER, stamp);
      if (roster != null && roster != stamp) {
        return false;
      }
    }
    Long known = stamps.putIfAbsent(host, stamp);
    return known == null || known == stamp;
  }
}
