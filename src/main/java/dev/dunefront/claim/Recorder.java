package dev.dunefront.claim;

import dev.dunefront.book.Holds;
import dev.dunefront.claim.Claim.End;
import dev.dunefront.claim.Claim.Ended;
import dev.dunefront.claim.Claim.Held;
import dev.dunefront.claim.Claim.Live;
import dev.dunefront.claim.Planning.Flight;
import dev.dunefront.claim.Planning.Starting;
import dev.dunefront.evidence.Invariant;
import dev.dunefront.job.JobRecord;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.peer.Message;
import dev.dunefront.store.Store;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.Priority;
import dev.dunefront.wire.Size;
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
final class Recorder {
  private static final System.Logger LOG = System.getLogger(Recorder.class.getName());

  /** Offers of several holders arrive close together; collects them to accept the cheapest. */
  private static final double CHOOSE_S = 0.012;

  /**
   * Delay of ends, so that several share a transaction; grows by the same amount for each second
   * that writes are delayed by the rate limit (up to {@link #MAX_PRESSURE_DELAY_S}). The delay is
   * harmless: the worker keeps the ended attempt, its capacity is already offered again, and the
   * last end of a job is written immediately.
   */
  private static final double GATHER_S = 2;

  /**
   * Maximum time for which changes are collected while the write budget is exhausted. They would
   * wait anyway, and each transaction then contains more of them.
   */
  private static final double PRESSED_S = 1;

  /** Write delays below this are treated as none. */
  private static final double NO_PRESSURE_S = 0.05;

  /** Number of changes in a typical placement: the job, its team and two chunks. */
  private static final int TYPICAL_CHANGES = 4;

  /** Time within which other controllers answer a request to lend write budget. */
  private static final double LENT_S = 0.05;

  /** A job returns granted quota that it has not used for this time. */
  private static final double UNUSED_S = 30;

  /** The same if the team has less quota left than the job has been granted. */
  private static final double UNUSED_TIGHT_S = 5;

  private final ControllerContext context;
  private final Quotas quotas;
  private final WantPlacement wantPlacement;
  private final Room room;
  private final Claims claims;
  private final Planning planning;

  Recorder(
      ControllerContext context,
      Quotas quotas,
      Zones zones,
      WantPlacement wantPlacement,
      Room room,
      Claims claims) {
    this.context = context;
    this.quotas = quotas;
    this.wantPlacement = wantPlacement;
    this.room = room;
    this.claims = claims;
    this.planning = new Planning(context, zones, wantPlacement);
  }

  /** Schedules a flush once offers of several holders have been collected. */
  void chooseSoon(Claim claim) {
    if (claim.choosing) {
      return;
    }
    claim.choosing = true;
    context.later(
        CHOOSE_S,
        () -> {
          claim.choosing = false;
          flush(claim);
        });
  }

  /** Declines all received offers of a claim. */
  void declineAll(Claim claim) {
    claim.offers.forEach(this::decline);
    claim.offers.clear();
  }

  private void decline(Held received) {
    context
        .peers()
        .send(
            received.holder(),
            new Message.Decline(received.offer().offer(), received.offer().host()));
  }

  /** Whether the pending changes may wait for others to share their transaction. */
  private boolean canGather(Claim claim, Quotas.Quota quota) {
    if (!claim.offers.isEmpty() || !claim.open()) {
      return false;
    }
    int done = claim.done;
    for (Ended ended : claim.ends) {
      if (ended.end() != End.DONE) {
        return false;
      }
      done++;
    }
    // With little of the team's limit left, other jobs wait for the quota that these ends return.
    return done < claim.spec.tasks()
        && (quota == null || quota.room(claim.size) > claim.live.size());
  }

  /** Delay of writes by the rate limit, at most {@link #MAX_PRESSURE_DELAY_S}; 0 if small. */
  private double pressureS() {
    double delay = context.store().writeDelayS();
    return delay < NO_PRESSURE_S ? 0 : Math.min(PRESSED_S, delay);
  }

  /** Whether the pending changes have waited long enough; if not, schedules another flush. */
  private boolean due(Claim claim, double waitS) {
    double now = context.now();
    if (waitS > 0 && now + 0.002 < claim.flushDue) {
      if (now + waitS < claim.flushDue) {
        claim.flushDue = now + waitS;
        context.later(waitS, () -> flush(claim));
        if (!claim.offers.isEmpty() && waitS > LENT_S) {
          context.later(LENT_S, () -> flush(claim));
        }
      }
      return false;
    }
    claim.flushDue = Double.POSITIVE_INFINITY;
    return true;
  }

  /** Records the pending changes of a claim if they are due and no transaction is in flight. */
  void flush(Claim claim) {
    if (claim.flying || claim.loading || claim.dropped) {
      return;
    }
    if (!claim.starts()) {
      declineAll(claim);
    }
    boolean finishing = !claim.open() && claim.live.isEmpty();
    Quotas.Quota quota = quotas.of(claim.spec.team());
    boolean returnsGrant = returns(claim, quota);
    if (claim.offers.isEmpty() && claim.ends.isEmpty() && !finishing && !returnsGrant) {
      return;
    }
    if (!claim.offers.isEmpty()) {
      context.store().anticipate(TYPICAL_CHANGES);
    }
    double pressure = pressureS();
    if (!finishing
        && !returnsGrant
        && !due(claim, canGather(claim, quota) ? GATHER_S * (1 + pressure) : pressure)) {
      return;
    }
    if (quota != null && quota.busy) {
      quota.waiting.add(() -> flush(claim));
      return;
    }
    Flight plan = planning.plan(claim, quota, returnsGrant, this::decline);
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
  private boolean returns(Claim claim, Quotas.Quota quota) {
    if (!planning.unused(claim, quota)) {
      claim.unusedSince = Double.POSITIVE_INFINITY;
      return false;
    }
    double now = context.now();
    claim.unusedSince = Math.min(claim.unusedSince, now);
    boolean scarce = quota.room(claim.size) < claim.record.granted();
    return now - claim.unusedSince >= (scarce ? UNUSED_TIGHT_S : UNUSED_S);
  }

  private void write(Claim claim, Flight plan, Quotas.Quota quota) {
    String mark = context.store().newMark();
    int txnOps = context.settings().stateLimits().txnOps();
    Txn txn = new Txn().when(JobRecord.key(claim.id()), claim.stamp);
    int doneAfter = claim.done;
    boolean anyPlaced = false;
    for (var entry : plan.next().entrySet()) {
      Chunk old = claim.chunks.get(entry.getKey());
      txn.when(Chunk.key(claim.id(), entry.getKey()), old == null ? 0 : old.stamp);
      doneAfter += entry.getValue().done.cardinality() - (old == null ? 0 : old.done.cardinality());
    }
    for (var entry : claim.chunks.entrySet()) {
      anyPlaced |= !plan.next().getOrDefault(entry.getKey(), entry.getValue()).placed.isEmpty();
    }
    Status last = null;
    if (claim.open() && doneAfter == claim.spec.tasks() && !claim.spec.service()) {
      last = Status.DONE;
    } else if (!claim.open() && !anyPlaced) {
      last = claim.record.status();
    }
    // A job with more chunks than one transaction can remove is emptied first, a few chunks at a
    // time.
    boolean fitsOneTransaction = claim.chunks.size() + plan.next().size() + 4 <= txnOps;
    Set<String> hosts = new HashSet<>();
    for (Starting start : plan.starts()) {
      if (hosts.add(start.placement().host())) {
        Holds.condition(txn, start.placement().host(), start.held().offer().holdStamp());
      }
    }
    for (Ended ended : plan.ends()) {
      if (ended.conditional() && hosts.add(ended.placement().host())) {
        Holds.condition(txn, ended.placement().host(), ended.holdStamp());
      }
    }
    JobRecord newRecord = null;
    List<Integer> removedChunks = new ArrayList<>();
    int granted = last == null ? plan.granted() : 0;
    if (last != null && fitsOneTransaction) {
      txn.put(JobRecord.finalKey(claim.id()), JobRecord.writeFinal(last, mark));
      txn.remove(JobRecord.key(claim.id()));
      claim.chunks.keySet().forEach(i -> txn.remove(Chunk.key(claim.id(), i)));
    } else if (last != null) {
      newRecord = claim.record.with(last).granting(0);
      txn.put(JobRecord.key(claim.id()), newRecord.write(mark));
      for (int i : claim.chunks.keySet()) {
        if (removedChunks.size() + 4 < txnOps) {
          removedChunks.add(i);
          txn.remove(Chunk.key(claim.id(), i));
        }
      }
    } else {
      plan.next().forEach((i, chunk) -> txn.put(Chunk.key(claim.id(), i), chunk.write(mark)));
      if (granted != claim.record.granted()) {
        newRecord = claim.record.granting(granted);
        txn.put(JobRecord.key(claim.id()), newRecord.write(mark));
      }
    }
    boolean grantChanged = quota != null && granted != claim.record.granted();
    Size used =
        grantChanged
            ? quota.used.plus(claim.size.times(granted - claim.record.granted()))
            : Size.NONE;
    if (grantChanged) {
      quota.busy = true;
      txn.when(quota.key(), quota.stamp).put(quota.key(), Quotas.write(used, mark));
    }
    if (context.store().writeDelayS() > NO_PRESSURE_S) {
      // The write may take longer than offers are valid, so holders are notified to keep them.
      for (Starting start : plan.starts()) {
        Message.Offer offer = start.held().offer();
        context
            .peers()
            .send(start.held().holder(), new Message.Taking(offer.offer(), offer.host()));
      }
    }
    claim.flying = true;
    claim.starting = plan.starts().size();
    Status finalStatus = last;
    JobRecord record = newRecord;
    context
        .store()
        .commit(
            txn,
            mark,
            urgency(claim),
            result -> {
              claim.flying = false;
              claim.starting = 0;
              if (result.ok()) {
                if (grantChanged) {
                  quotas.saw(quota, Quotas.write(used, mark), result.revision());
                }
                // The decision lock contains failures, so that the quota is released in any case.
                context
                    .decisionLock()
                    .run(
                        () ->
                            written(
                                claim,
                                plan,
                                finalStatus,
                                record,
                                removedChunks,
                                mark,
                                result.revision()));
              } else if (!claim.dropped) {
                refused(claim, plan, result);
              } else {
                plan.starts().forEach(start -> decline(start.held()));
              }
              if (grantChanged && !result.ok() && result.failed().contains(quota.key())) {
                refresh(quota, claim);
              } else if (grantChanged) {
                quota.release();
              }
            });
  }

  /**
   * Writes of best-effort jobs have the lowest urgency: many small jobs could otherwise use up the
   * write budget and delay the starts of other jobs that already have capacity.
   */
  private static Store.Urgency urgency(Claim claim) {
    return claim.spec.priority() == Priority.BEST_EFFORT
            && claim.standing == Begin.Standing.ORDINARY
        ? Store.Urgency.BACKGROUND
        : Store.Urgency.CORE;
  }

  /** Whether the condition that a machine's hold is unchanged since this version has failed. */
  private static boolean holdFailed(Set<String> failed, String host, long stamp) {
    return failed.contains(Holds.key(host)) || stamp < 0 && failed.contains(Holds.ROSTER);
  }

  private void written(
      Claim claim,
      Flight plan,
      Status last,
      JobRecord newRecord,
      List<Integer> removedChunks,
      String mark,
      long revision) {
    for (Ended ended : plan.ends()) {
      if (ended.end() == End.GONE) {
        // A view that arrived during the write may show this attempt, which still counted as placed
        // then; it is compared again.
        claim.unread.add(ended.placement().host());
      } else {
        Room.Seen machine = room.get(ended.placement().host());
        if (machine != null) {
          context
              .peers()
              .send(
                  machine.holder(),
                  new Message.Clear(
                      ended.placement().host(),
                      claim.record.term(),
                      claim.id(),
                      ended.number(),
                      ended.placement().attempt()));
        }
      }
    }
    if (last != null && newRecord == null) {
      // The replica may have applied the end before the response arrived.
      claims.finished(claim, last, revision);
      return;
    }
    if (claim.dropped) {
      // Recorded just before another controller took over the claim; that one reads it.
      return;
    }
    for (Starting start : plan.starts()) {
      Message.Offer offer = start.held().offer();
      if (!claim.starts()) {
        // The job was cancelled during the write: the attempt is never started, and its holder will
        // deny it when probed.
        decline(start.held());
        continue;
      }
      if (claim.strays.blocks(start.number())) {
        // The placement is recorded but never started; its holder denies the attempt when probed,
        // and the task is placed again.
        context
            .safety()
            .violated(
                Invariant.STARTED_BESIDE_ANOTHER_ATTEMPT,
                claim.id()
                    + "/"
                    + start.number()
                    + " on "
                    + offer.host()
                    + " as "
                    + start.placement());
        decline(start.held());
        continue;
      }
      LOG.log(
          Level.DEBUG,
          "placed task {0}/{1} on {2}: attempt {3}, term {4}, offer from {5}, token {6}, session {7},"
              + " hold stamp {8}",
          claim.id(),
          start.number(),
          offer.host(),
          start.placement().attempt(),
          claim.record.term(),
          start.held().holder(),
          offer.token(),
          offer.session(),
          offer.holdStamp());
      context
          .peers()
          .send(
              start.held().holder(),
              new Message.Start(
                  offer.offer(),
                  offer.host(),
                  offer.token(),
                  start.placement().session(),
                  claim.record.term(),
                  claim.id(),
                  start.number(),
                  start.placement().attempt()));
    }
    if (newRecord != null) {
      if (revision > claim.stamp) {
        // Otherwise another controller has cancelled the job since, and the replica has applied
        // that before the response arrived. Replacing it with the older open record would keep the
        // job from ever ending.
        claim.record = newRecord;
        claim.stamp = revision;
      }
      context.jobs().wrote(claim.id(), newRecord, mark, revision);
    }
    if (last != null) {
      removedChunks.forEach(claim.chunks::remove);
      claim.forgetAllLive();
      flush(claim);
      return;
    }
    plan.next().forEach((i, chunk) -> claim.install(i, chunk.copy(revision)));
    double now = context.now();
    plan.starts().forEach(start -> claim.live.get(start.number()).probedAt = now);
    if (!plan.starts().isEmpty()) {
      wantPlacement.served(claim, now);
    }
    claims.review(claim);
  }

  /** Reads the team's record again after another controller has changed it, then retries. */
  private void refresh(Quotas.Quota quota, Claim claim) {
    context
        .store()
        .get(
            quota.key(),
            Store.Urgency.CORE,
            result -> {
              if (result.outcome() == Store.Outcome.OK) {
                quotas.saw(quota, result.value(), result.stamp());
              }
              quota.release();
              flush(claim);
            });
  }

  private void refused(Claim claim, Flight plan, Store.Done result) {
    Set<String> failed = new HashSet<>(result.failed());
    LOG.log(
        Level.DEBUG,
        "transaction for job {0} rejected, failed conditions: {1}",
        claim.id(),
        failed);
    boolean jobFailed = failed.contains(JobRecord.key(claim.id()));
    boolean chunkFailed = failed.stream().anyMatch(k -> k.startsWith(Chunk.prefix(claim.id())));
    for (Starting start : plan.starts()) {
      if (jobFailed
          || chunkFailed
          || holdFailed(failed, start.placement().host(), start.held().offer().holdStamp())) {
        decline(start.held());
      } else {
        claim.offers.add(start.held());
      }
    }
    for (Ended ended : plan.ends()) {
      boolean proofInvalid =
          ended.conditional() && holdFailed(failed, ended.placement().host(), ended.holdStamp());
      Live attempt = claim.live.get(ended.number());
      if (proofInvalid && attempt != null) {
        // Checks the attempt again, because the change of the hold may prove its end as well: a
        // machine deletion that was confirmed while this proof was pending is not reported twice.
        attempt.ending = false;
        attempt.shown = false;
      } else {
        claim.ends.add(ended);
      }
    }
    if (jobFailed || chunkFailed || failed.isEmpty()) {
      declineAll(claim);
      claims.reload(claim);
      return;
    }
    context.later(0.05, () -> flush(claim));
  }
}
