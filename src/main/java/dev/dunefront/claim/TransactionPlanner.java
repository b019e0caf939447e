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
 * Plans the next transaction of a claimed job: as many of its ended attempts and received offers as
 * the state service's limits, the team's limit and the zone constraints allow.
 */
final class TransactionPlanner {
  /**
   * A job may be granted tasks ahead of their placement up to the team's remaining limit divided by
   * this and by the number of controllers.
   */
  private static final int GRANT_AHEAD_DIVISOR = 4;

  private final ControllerContext context;
  private final ZoneConstraints zoneConstraints;
  private final WantPlacement wantPlacement;

  TransactionPlanner(
      ControllerContext context, ZoneConstraints zoneConstraints, WantPlacement wantPlacement) {
    this.context = context;
    this.zoneConstraints = zoneConstraints;
    this.wantPlacement = wantPlacement;
  }

  /** The placement of one task on an offer that the transaction accepts. */
  record PlannedStart(ReceivedOffer receivedOffer, int number, Placement placement) {}

  /**
   * The planned contents of one transaction.
   *
   * @param chunks new versions of the changed chunks, by index
   * @param granted number of tasks granted to the job after the transaction
   */
  record PlannedTransaction(
      Map<Integer, Chunk> chunks,
      List<PlannedStart> starts,
      List<EndedAttempt> ends,
      int granted) {}

  /**
   * Takes pending ends and offers from a claim. Offers that are not accepted are passed to {@code
   * declined}; ends and offers that do not fit into the transaction stay with the claim.
   *
   * @param mustReturn whether the transaction must return the claim's unused part of the team's
   *     limit
   */
  PlannedTransaction plan(
      Claim claim, Quotas.Quota quota, boolean mustReturn, Consumer<ReceivedOffer> declined) {
    TransactionSpace space = new TransactionSpace(claim, context.store().txnLimits());
    Map<Integer, Chunk> chunks = new TreeMap<>();
    List<EndedAttempt> ends = new ArrayList<>();
    List<PlannedStart> starts = new ArrayList<>();
    Map<String, Long> holdRevisions = new HashMap<>();
    planEnds(claim, space, chunks, ends, holdRevisions);
    wantPlacement.sortOffers(claim);
    int placed = claim.liveAttempts.size() - ends.size();
    int limit =
        quota == null
            ? Integer.MAX_VALUE
            : (int)
                Math.min(
                    Integer.MAX_VALUE,
                    (long) claim.record.granted() + quota.remainingTasks(claim.size));
    int number = 0;
    int maxStarts =
        claim.isSuspectedFaulty() ? Math.max(0, 1 - claim.liveAttempts.size()) : Integer.MAX_VALUE;
    List<String> startHosts = new ArrayList<>();
    List<ReceivedOffer> offers = List.copyOf(claim.offers);
    List<ReceivedOffer> kept = new ArrayList<>();
    for (ReceivedOffer received : offers) {
      Message.Offer offer = received.offer();
      if (context.now() - received.receivedAt() > context.tunables().offerWaitS()) {
        declined.accept(received);
        continue;
      }
      if (!space.hasCondition(offer.host(), offer.holdRevision())) {
        // The next transaction takes it.
        kept.add(received);
        continue;
      }
      number = claim.nextUnplaced(number);
      int index = number / Chunk.TASKS_PER_CHUNK;
      int offset = number % Chunk.TASKS_PER_CHUNK;
      Chunk old = claim.chunks.get(index);
      Chunk present = chunks.getOrDefault(index, old);
      long attempt = present == null ? 1 : present.lastAttempts.getOrDefault(offset, 0L) + 1;
      Placement placement = new Placement(attempt, offer.host(), offer.session());
      boolean accept =
          claim.isStartable()
              && number < claim.spec.tasks()
              && starts.size() < maxStarts
              && placed + starts.size() < limit
              && context.now() >= claim.notBefore
              && zoneConstraints.allowed(claim, offer.host(), startHosts)
              && space.takeChunk(index, old)
              && space.takePlacement(index, placement)
              && addCondition(holdRevisions, offer.host(), offer.holdRevision());
      if (!accept) {
        declined.accept(received);
        continue;
      }
      Chunk chunk = chunks.computeIfAbsent(index, i -> old == null ? new Chunk(0) : old.copy(0));
      if (chunk.placed.containsKey(offset)) {
        context
            .safety()
            .invariantViolated(
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
      space.takeCondition(offer.host(), offer.holdRevision());
      chunk.lastAttempts.put(offset, placement.attempt());
      chunk.placed.put(offset, placement);
      starts.add(new PlannedStart(received, number, placement));
      startHosts.add(offer.host());
      number++;
    }
    claim.offers.clear();
    claim.offers.addAll(kept);
    return new PlannedTransaction(
        chunks, starts, ends, targetGrant(claim, quota, placed + starts.size(), ends, mustReturn));
  }

  /**
   * Takes the pending ends of a claim that fit, and applies them to their chunks. The others are
   * left for the next transaction: all machines of a zone may be lost at once.
   */
  private static void planEnds(
      Claim claim,
      TransactionSpace space,
      Map<Integer, Chunk> chunks,
      List<EndedAttempt> ends,
      Map<String, Long> holdRevisions) {
    List<EndedAttempt> pending = List.copyOf(claim.unrecordedEnds);
    claim.unrecordedEnds.clear();
    for (EndedAttempt ended : pending) {
      int index = ended.number() / Chunk.TASKS_PER_CHUNK;
      int offset = ended.number() % Chunk.TASKS_PER_CHUNK;
      Chunk current = chunks.containsKey(index) ? chunks.get(index) : claim.chunks.get(index);
      if (current == null || !ended.placement().equals(current.placed.get(offset))) {
        continue;
      }
      String host = ended.placement().host();
      if (!space.takeChunk(index, claim.chunks.get(index))
          || ended.conditional()
              && (!space.takeCondition(host, ended.holdRevision())
                  || !addCondition(holdRevisions, host, ended.holdRevision()))) {
        claim.unrecordedEnds.add(ended);
        continue;
      }
      Chunk chunk = chunks.computeIfAbsent(index, i -> current.copy(0));
      ends.add(ended);
      chunk.placed.remove(offset);
      if (ended.outcome() == AttemptOutcome.DONE) {
        chunk.done.set(offset);
        chunk.lastAttempts.remove(offset);
      }
    }
  }

  /** Whether a job holds more of its team's limit than it should keep. */
  boolean hasUnusedGrant(Claim claim, Quotas.Quota quota) {
    int placed = claim.liveAttempts.size();
    return quota != null && claim.record.granted() > placed + grantAhead(claim, quota, placed, 0);
  }

  /** Number of tasks that may be granted beyond the placed ones. */
  private int grantAhead(Claim claim, Quotas.Quota quota, int placed, long finished) {
    int unstarted =
        (int) Math.max(0, claim.spec.tasks() - claim.done - finished - placed)
            * (claim.open() ? 1 : 0);
    return Math.min(
        unstarted,
        quota.remainingTasks(claim.size)
            / (GRANT_AHEAD_DIVISOR * context.settings().controllerCount()));
  }

  /**
   * The number of tasks to grant to the job, including the placed ones.
   *
   * @param mustReturn whether the unused part must be returned even if it is too small to be worth
   *     a write
   */
  private int targetGrant(
      Claim claim, Quotas.Quota quota, int placed, List<EndedAttempt> ends, boolean mustReturn) {
    if (quota == null) {
      return 0;
    }
    int granted = claim.record.granted();
    long finished = ends.stream().filter(ended -> ended.outcome() == AttemptOutcome.DONE).count();
    int remaining = quota.remainingTasks(claim.size);
    int ahead = grantAhead(claim, quota, placed, finished);
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
  private static boolean addCondition(Map<String, Long> holdRevisions, String host, long revision) {
    if (revision < 0) {
      // A machine without a hold record is also conditional on the roster, which has one version.
      Long roster = holdRevisions.putIfAbsent(HoldTable.ROSTER_KEY, revision);
      if (roster != null && roster != revision) {
        return false;
      }
    }
    Long known = holdRevisions.putIfAbsent(host, revision);
    return known == null || known == revision;
  }
}
