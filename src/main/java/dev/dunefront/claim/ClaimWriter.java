package dev.dunefront.claim;

import dev.dunefront.book.HoldTable;
import dev.dunefront.claim.Claim.AttemptOutcome;
import dev.dunefront.claim.Claim.EndedAttempt;
import dev.dunefront.claim.Claim.LiveAttempt;
import dev.dunefront.claim.Claim.ReceivedOffer;
import dev.dunefront.claim.TransactionPlanner.PlannedStart;
import dev.dunefront.claim.TransactionPlanner.PlannedTransaction;
import dev.dunefront.evidence.Invariant;
import dev.dunefront.job.JobRecord;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.peer.Message;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.StateStore.Outcome;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.Priority;
import dev.dunefront.wire.Resources;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Records placements and ends of attempts. Each job has one transaction in flight at a time, which
 * contains all changes collected until then. A placement is recorded before its start message is
 * sent, and an end before its clear message.
 */
final class ClaimWriter {
  private static final System.Logger LOG = System.getLogger(ClaimWriter.class.getName());

  /** Offers of several holders arrive close together; collects them to accept the cheapest. */
  private static final double OFFER_COLLECTION_S = 0.012;

  /**
   * Delay of ends, so that several share a transaction; grows by the same amount for each second
   * that writes are delayed by the rate limit (up to {@link #MAX_PRESSURE_DELAY_S}). The delay is
   * harmless: the worker keeps the ended attempt, its capacity is already offered again, and the
   * last end of a job is written immediately.
   */
  private static final double END_BATCHING_S = 2;

  /**
   * Maximum time for which changes are collected while the write budget is exhausted. They would
   * wait anyway, and each transaction then contains more of them.
   */
  private static final double MAX_PRESSURE_DELAY_S = 1;

  /** Write delays below this are treated as none. */
  private static final double PRESSURE_THRESHOLD_S = 0.05;

  /** Number of changes in a typical placement: the job, its team and two chunks. */
  private static final int TYPICAL_CHANGES = 4;

  /** Time within which other controllers answer a request to lend write budget. */
  private static final double BORROWED_BUDGET_REPLY_S = 0.05;

  /** Longest time until a job whose transaction was malformed writes again. */
  private static final double MAX_MALFORMED_RETRY_S = 64;

  /** A job returns granted quota that it has not used for this time. */
  private static final double UNUSED_GRANT_RETURN_S = 30;

  /** The same if the team has less quota left than the job has been granted. */
  private static final double SCARCE_GRANT_RETURN_S = 5;

  private final ControllerContext context;
  private final Quotas quotas;
  private final WantPlacement wantPlacement;
  private final MachineTable machineTable;
  private final Claims claims;
  private final TransactionPlanner planner;

  ClaimWriter(
      ControllerContext context,
      Quotas quotas,
      ZoneConstraints zoneConstraints,
      WantPlacement wantPlacement,
      MachineTable machineTable,
      Claims claims) {
    this.context = context;
    this.quotas = quotas;
    this.wantPlacement = wantPlacement;
    this.machineTable = machineTable;
    this.claims = claims;
    this.planner = new TransactionPlanner(context, zoneConstraints, wantPlacement);
  }

  /** Schedules a flush once offers of several holders have been collected. */
  void scheduleFlush(Claim claim) {
    if (claim.flushScheduled) {
      return;
    }
    claim.flushScheduled = true;
    context.schedule(
        OFFER_COLLECTION_S,
        () -> {
          claim.flushScheduled = false;
          flush(claim);
        });
  }

  /** Declines all received offers of a claim. */
  void declineAll(Claim claim) {
    claim.offers.forEach(this::decline);
    claim.offers.clear();
  }

  private void decline(ReceivedOffer received) {
    context
        .peers()
        .send(
            received.holder(),
            new Message.DeclineOffer(received.offer().offerId(), received.offer().host()));
  }

  /** Whether the pending changes may wait for others to share their transaction. */
  private boolean canBatch(Claim claim, Quotas.Quota quota) {
    if (!claim.offers.isEmpty() || !claim.open()) {
      return false;
    }
    int done = claim.done;
    for (EndedAttempt ended : claim.unrecordedEnds) {
      if (ended.outcome() != AttemptOutcome.DONE) {
        return false;
      }
      done++;
    }
    // With little of the team's limit left, other jobs wait for the quota that these ends return.
    return done < claim.spec.tasks()
        && (quota == null || quota.remainingTasks(claim.size) > claim.liveAttempts.size());
  }

  /** Delay of writes by the rate limit, at most {@link #MAX_PRESSURE_DELAY_S}; 0 if small. */
  private double writePressureS() {
    double delay = context.store().writeDelayS();
    return delay < PRESSURE_THRESHOLD_S ? 0 : Math.min(MAX_PRESSURE_DELAY_S, delay);
  }

  /** Whether the pending changes have waited long enough; if not, schedules another flush. */
  private boolean isDue(Claim claim, double waitS) {
    double now = context.now();
    if (waitS > 0 && now + 0.002 < claim.flushDueAt) {
      if (now + waitS < claim.flushDueAt) {
        claim.flushDueAt = now + waitS;
        context.schedule(waitS, () -> flush(claim));
        if (!claim.offers.isEmpty() && waitS > BORROWED_BUDGET_REPLY_S) {
          context.schedule(BORROWED_BUDGET_REPLY_S, () -> flush(claim));
        }
      }
      return false;
    }
    claim.flushDueAt = Double.POSITIVE_INFINITY;
    return true;
  }

  /** Records the pending changes of a claim if they are due and no transaction is in flight. */
  void flush(Claim claim) {
    if (claim.committing || claim.loading || claim.released || context.now() < claim.writableFrom) {
      return;
    }
    if (!claim.isStartable()) {
      declineAll(claim);
    }
    boolean finishing = !claim.open() && claim.liveAttempts.isEmpty();
    Quotas.Quota quota = quotas.quotaOf(claim.spec.team());
    boolean returnsGrant = shouldReturnGrant(claim, quota);
    if (claim.offers.isEmpty() && claim.unrecordedEnds.isEmpty() && !finishing && !returnsGrant) {
      return;
    }
    if (!claim.offers.isEmpty()) {
      context.store().anticipateWrites(TYPICAL_CHANGES);
    }
    double pressure = writePressureS();
    if (!finishing
        && !returnsGrant
        && !isDue(claim, canBatch(claim, quota) ? END_BATCHING_S * (1 + pressure) : pressure)) {
      return;
    }
    if (quota != null && quota.updating) {
      quota.waiters.add(() -> flush(claim));
      return;
    }
    PlannedTransaction plan = planner.plan(claim, quota, returnsGrant, this::decline);
    if (plan.starts().isEmpty()
        && plan.ends().isEmpty()
        && !finishing
        && plan.granted() == claim.record.granted()) {
      return;
    }
    write(claim, plan, quota);
  }

  /**
   * Whether the job must return granted quota that it has not used for a while. Its next recorded
   * end could return it, but that may be minutes away, and until then other jobs of the team would
   * wait although capacity is free and the team is below its limit. Even a small amount is
   * returned, because the task sizes of the other jobs are not known here.
   */
  private boolean shouldReturnGrant(Claim claim, Quotas.Quota quota) {
    if (!planner.hasUnusedGrant(claim, quota)) {
      claim.grantUnusedSince = Double.POSITIVE_INFINITY;
      return false;
    }
    double now = context.now();
    claim.grantUnusedSince = Math.min(claim.grantUnusedSince, now);
    boolean scarce = quota.remainingTasks(claim.size) < claim.record.granted();
    return now - claim.grantUnusedSince >= (scarce ? SCARCE_GRANT_RETURN_S : UNUSED_GRANT_RETURN_S);
  }

  private void write(Claim claim, PlannedTransaction plan, Quotas.Quota quota) {
    String writeId = context.store().newWriteId();
    int txnOps = context.settings().stateLimits().txnOps();
    Txn txn = new Txn().requireRevision(JobRecord.key(claim.id()), claim.revision);
    int doneAfter = claim.done;
    boolean anyPlaced = false;
    for (var entry : plan.chunks().entrySet()) {
      Chunk old = claim.chunks.get(entry.getKey());
      txn.requireRevision(Chunk.key(claim.id(), entry.getKey()), old == null ? 0 : old.revision);
      doneAfter += entry.getValue().done.cardinality() - (old == null ? 0 : old.done.cardinality());
    }
    for (var entry : claim.chunks.entrySet()) {
      anyPlaced |= !plan.chunks().getOrDefault(entry.getKey(), entry.getValue()).placed.isEmpty();
    }
    Status finalStatus = null;
    if (claim.open() && doneAfter == claim.spec.tasks() && !claim.spec.service()) {
      finalStatus = Status.DONE;
    } else if (!claim.open() && !anyPlaced) {
      finalStatus = claim.record.status();
    }
    // A job with more chunks than one transaction can remove is emptied first, a few chunks at a
    // time.
    boolean fitsOneTransaction = claim.chunks.size() + plan.chunks().size() + 4 <= txnOps;
    Set<String> hosts = new HashSet<>();
    for (PlannedStart start : plan.starts()) {
      if (hosts.add(start.placement().host())) {
        HoldTable.condition(
            txn, start.placement().host(), start.receivedOffer().offer().holdRevision());
      }
    }
    for (EndedAttempt ended : plan.ends()) {
      if (ended.conditional() && hosts.add(ended.placement().host())) {
        HoldTable.condition(txn, ended.placement().host(), ended.holdRevision());
      }
    }
    JobRecord newRecord = null;
    List<Integer> removedChunks = new ArrayList<>();
    int granted = finalStatus == null ? plan.granted() : 0;
    if (finalStatus != null && fitsOneTransaction) {
      txn.put(JobRecord.finalKey(claim.id()), JobRecord.finalToDocument(finalStatus, writeId));
      txn.remove(JobRecord.key(claim.id()));
      claim.chunks.keySet().forEach(i -> txn.remove(Chunk.key(claim.id(), i)));
    } else if (finalStatus != null) {
      newRecord = claim.record.withStatus(finalStatus).withGranted(0);
      txn.put(JobRecord.key(claim.id()), newRecord.toDocument(writeId));
      for (int i : claim.chunks.keySet()) {
        if (removedChunks.size() + 4 < txnOps) {
          removedChunks.add(i);
          txn.remove(Chunk.key(claim.id(), i));
        }
      }
    } else {
      plan.chunks()
          .forEach((i, chunk) -> txn.put(Chunk.key(claim.id(), i), chunk.toDocument(writeId)));
      if (granted != claim.record.granted()) {
        newRecord = claim.record.withGranted(granted);
        txn.put(JobRecord.key(claim.id()), newRecord.toDocument(writeId));
      }
    }
    boolean grantChanged = quota != null && granted != claim.record.granted();
    Resources used =
        grantChanged
            ? quota.used.plus(claim.size.times(granted - claim.record.granted()))
            : Resources.NONE;
    if (grantChanged) {
      quota.updating = true;
      txn.requireRevision(quota.key(), quota.revision)
          .put(quota.key(), Quotas.toDocument(used, writeId));
    }
    if (context.store().writeDelayS() > PRESSURE_THRESHOLD_S) {
      // The write may take longer than offers are valid, so holders are notified to keep them.
      for (PlannedStart start : plan.starts()) {
        Message.Offer offer = start.receivedOffer().offer();
        context
            .peers()
            .send(
                start.receivedOffer().holder(),
                new Message.ReserveOffer(offer.offerId(), offer.host()));
      }
    }
    claim.committing = true;
    claim.startsInFlight = plan.starts().size();
    Status committedStatus = finalStatus;
    JobRecord record = newRecord;
    context
        .store()
        .commit(
            txn,
            writeId,
            requestPriority(claim),
            result -> {
              claim.committing = false;
              claim.startsInFlight = 0;
              if (result.ok()) {
                claim.malformedWrites = 0;
                if (grantChanged) {
                  quotas.applyUpdate(quota, Quotas.toDocument(used, writeId), result.revision());
                }
                // The decision lock contains failures, so that the quota is released in any case.
                context
                    .decisionLock()
                    .run(
                        () ->
                            committed(
                                claim,
                                plan,
                                committedStatus,
                                record,
                                removedChunks,
                                writeId,
                                result.revision()));
              } else if (!claim.released && result.outcome() == Outcome.MALFORMED) {
                commitMalformed(claim, plan);
              } else if (!claim.released) {
                commitRejected(claim, plan, result);
              } else {
                plan.starts().forEach(start -> decline(start.receivedOffer()));
              }
              if (grantChanged && !result.ok() && result.failedKeys().contains(quota.key())) {
                refreshQuota(quota, claim);
              } else if (grantChanged) {
                quota.release();
              }
            });
  }

  /**
   * Writes of best-effort jobs have the lowest request priority, unless the job's start is
   * escalated: many small jobs could otherwise use up the write budget and delay the starts of
   * other jobs that already have capacity.
   */
  private static StateStore.RequestPriority requestPriority(Claim claim) {
    return claim.spec.priority() == Priority.BEST_EFFORT
            && claim.startStage == StartEscalation.Stage.NONE
        ? StateStore.RequestPriority.BACKGROUND
        : StateStore.RequestPriority.CORE;
  }

  /** Whether the condition that a machine's hold is unchanged since this version has failed. */
  private static boolean isHoldConditionFailed(Set<String> failed, String host, long revision) {
    return failed.contains(HoldTable.key(host))
        || revision < 0 && failed.contains(HoldTable.ROSTER_KEY);
  }

  private void committed(
      Claim claim,
      PlannedTransaction plan,
      Status finalStatus,
      JobRecord newRecord,
      List<Integer> removedChunks,
      String writeId,
      long revision) {
    plan.ends().forEach(ended -> endRecorded(claim, ended));
    if (finalStatus != null && newRecord == null) {
      // The replica may have applied the end before the response arrived.
      claims.jobFinished(claim, finalStatus, revision);
      return;
    }
    if (claim.released) {
      // Recorded just before another controller took over the claim; that one reads it.
      return;
    }
    plan.starts().forEach(start -> placementRecorded(claim, start));
    if (newRecord != null) {
      if (revision > claim.revision) {
        // Otherwise another controller has cancelled the job since, and the replica has applied
        // that before the response arrived. Replacing it with the older open record would keep the
        // job from ever ending.
        claim.record = newRecord;
        claim.revision = revision;
      }
      context.jobs().applyOwnWrite(claim.id(), newRecord, writeId, revision);
    }
    if (finalStatus != null) {
      removedChunks.forEach(claim.chunks::remove);
      claim.clearLiveAttempts();
      applyUnwrittenEnds(claim, plan);
      flush(claim);
      return;
    }
    plan.chunks().forEach((i, chunk) -> claim.installChunk(i, chunk.copy(revision)));
    double now = context.now();
    plan.starts().forEach(start -> claim.liveAttempts.get(start.number()).queriedAt = now);
    if (!plan.starts().isEmpty()) {
      wantPlacement.resetReach(claim, now);
    }
    claims.reevaluate(claim);
  }

  /**
   * Applies ends to the chunks that later transactions remove. They are not written, because the
   * job's record already has its final status; left out, their tasks would count as placed forever.
   */
  private static void applyUnwrittenEnds(Claim claim, PlannedTransaction plan) {
    plan.chunks()
        .forEach(
            (i, chunk) -> {
              Chunk stored = claim.chunks.get(i);
              if (stored != null) {
                claim.installChunk(i, chunk.copy(stored.revision));
              }
            });
  }

  /** The end of an attempt is recorded, so its worker no longer has to report it. */
  private void endRecorded(Claim claim, EndedAttempt ended) {
    String host = ended.placement().host();
    if (ended.outcome() == AttemptOutcome.LOST) {
      // A view that arrived during the write may show this attempt, which still counted as placed
      // then; it is compared again.
      claim.hostsToCompare.add(host);
      return;
    }
    MachineTable.Entry machine = machineTable.get(host);
    if (machine != null) {
      long term = claim.record.term();
      long attempt = ended.placement().attempt();
      context
          .peers()
          .send(
              machine.holder(),
              new Message.ClearTask(host, term, claim.id(), ended.number(), attempt));
    }
  }

  /** A placement is recorded, so its start is sent unless the attempt must not run any more. */
  private void placementRecorded(Claim claim, PlannedStart start) {
    Message.Offer offer = start.receivedOffer().offer();
    if (!claim.isStartable()) {
      // The job was cancelled during the write: the attempt is never started, and its holder will
      // deny it when queried.
      decline(start.receivedOffer());
      return;
    }
    if (claim.strays.blocks(start.number())) {
      // The placement is recorded but never started; its holder denies the attempt when queried,
      // and the task is placed again.
      context
          .safety()
          .invariantViolated(
              Invariant.STARTED_BESIDE_ANOTHER_ATTEMPT,
              claim.id()
                  + "/"
                  + start.number()
                  + " on "
                  + offer.host()
                  + " as "
                  + start.placement());
      decline(start.receivedOffer());
      return;
    }
    sendStart(claim, start);
  }

  private void sendStart(Claim claim, PlannedStart start) {
    Message.Offer offer = start.receivedOffer().offer();
    LOG.log(
        Level.DEBUG,
        "placed task {0}/{1} on {2}: attempt {3}, term {4}, offer from {5}, token {6},"
            + " session {7}, hold revision {8}",
        claim.id(),
        start.number(),
        offer.host(),
        start.placement().attempt(),
        claim.record.term(),
        start.receivedOffer().holder(),
        offer.token(),
        offer.session(),
        offer.holdRevision());
    context
        .peers()
        .send(
            start.receivedOffer().holder(),
            new Message.StartTask(
                offer.offerId(),
                offer.host(),
                offer.token(),
                start.placement().session(),
                claim.record.term(),
                claim.id(),
                start.number(),
                start.placement().attempt()));
  }

  /** Reads the team's record again after another controller has changed it, then retries. */
  private void refreshQuota(Quotas.Quota quota, Claim claim) {
    context
        .store()
        .get(
            quota.key(),
            StateStore.RequestPriority.CORE,
            result -> {
              if (result.outcome() == Outcome.OK) {
                quotas.applyUpdate(quota, result.value(), result.revision());
              }
              quota.release();
              flush(claim);
            });
  }

  /**
   * The transaction would be rejected again, and so might what is planned next. The ends are kept
   * and tried again ever more rarely; the job's offers go to others meanwhile.
   */
  private void commitMalformed(Claim claim, PlannedTransaction plan) {
    plan.starts().forEach(start -> decline(start.receivedOffer()));
    declineAll(claim);
    claim.unrecordedEnds.addAll(plan.ends());
    double delayS = Math.min(MAX_MALFORMED_RETRY_S, Math.scalb(1.0, claim.malformedWrites));
    claim.malformedWrites++;
    claim.writableFrom = context.now() + delayS;
    claim.notBefore = Math.max(claim.notBefore, claim.writableFrom);
    LOG.log(
        Level.ERROR,
        "a transaction for job {0} with {1} placements and {2} ends is malformed; trying again in"
            + " {3} s",
        claim.id(),
        plan.starts().size(),
        plan.ends().size(),
        delayS);
    context.schedule(delayS, () -> flush(claim));
  }

  private void commitRejected(Claim claim, PlannedTransaction plan, StateStore.WriteResult result) {
    Set<String> failed = new HashSet<>(result.failedKeys());
    LOG.log(
        Level.DEBUG,
        "transaction for job {0} rejected, failed conditions: {1}",
        claim.id(),
        failed);
    boolean jobFailed = failed.contains(JobRecord.key(claim.id()));
    boolean chunkFailed = failed.stream().anyMatch(k -> k.startsWith(Chunk.prefix(claim.id())));
    for (PlannedStart start : plan.starts()) {
      if (jobFailed
          || chunkFailed
          || isHoldConditionFailed(
              failed, start.placement().host(), start.receivedOffer().offer().holdRevision())) {
        decline(start.receivedOffer());
      } else {
        claim.offers.add(start.receivedOffer());
      }
    }
    for (EndedAttempt ended : plan.ends()) {
      boolean proofInvalid =
          ended.conditional()
              && isHoldConditionFailed(failed, ended.placement().host(), ended.holdRevision());
      LiveAttempt attempt = claim.liveAttempts.get(ended.number());
      if (proofInvalid && attempt != null) {
        // Checks the attempt again, because the change of the hold may prove its end as well: a
        // machine deletion that was confirmed while this proof was pending is not reported twice.
        attempt.ended = false;
        attempt.reported = false;
      } else {
        claim.unrecordedEnds.add(ended);
      }
    }
    if (jobFailed || chunkFailed || failed.isEmpty()) {
      declineAll(claim);
      claims.reload(claim);
      return;
    }
    context.schedule(0.05, () -> flush(claim));
  }
}
