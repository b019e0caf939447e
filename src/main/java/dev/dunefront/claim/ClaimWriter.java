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
import dev.dunefront.store.Txn;
import dev.dunefront.wire.Priority;
import dev.dunefront.wire.Resources;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Writes placements and ends. A job has one transaction under way at a time, which carries all that
 * has gathered; a placement is written before its start is sent, an end before its clear.
 */
final class ClaimWriter {
  private static final System.Logger LOG = System.getLogger(ClaimWriter.class.getName());

  /** Offers from several holders come close together; the best are taken, not the first. */
  private static final double OFFER_COLLECTION_S = 0.012;

  /**
   * Ends wait this long for others to share their transaction, and under pressure up to as much
   * again for each second that a change has to wait: the worker keeps what has ended, its room is
   * dealt already, and the last end of a job is written at once.
   */
  private static final double END_BATCHING_S = 2;

  /**
   * While changes have to wait for the budget anyway, what is to be recorded gathers before its
   * transaction is made, so that each carries the more; but no longer than this.
   */
  private static final double MAX_PRESSURE_DELAY_S = 1;

  private static final double PRESSURE_THRESHOLD_S = 0.05;

  /** Changes of a transaction that places some tasks: the job, its team, two chunks. */
  private static final int TYPICAL_CHANGES = 4;

  /** By then other controllers have answered whether they lend changes, in seconds. */
  private static final double BORROWED_BUDGET_REPLY_S = 0.05;

  /**
   * What a job has been granted and does not use for so long it gives back; sooner where its team
   * has less left than that job has been granted.
   */
  private static final double UNUSED_GRANT_RETURN_S = 30;

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
      ZoneConstraints zones,
      WantPlacement wantPlacement,
      MachineTable room,
      Claims claims) {
    this.context = context;
    this.quotas = quotas;
    this.wantPlacement = wantPlacement;
    this.machineTable = room;
    this.claims = claims;
    this.planner = new TransactionPlanner(context, zones, wantPlacement);
  }

  void scheduleFlush(Claim c) {
    if (c.flushScheduled) {
      return;
    }
    c.flushScheduled = true;
    context.schedule(
        OFFER_COLLECTION_S,
        () -> {
          c.flushScheduled = false;
          flush(c);
        });
  }

  void declineAll(Claim c) {
    c.offers.forEach(this::decline);
    c.offers.clear();
  }

  private void decline(ReceivedOffer h) {
    context
        .peers()
        .send(h.holder(), new Message.DeclineOffer(h.offer().offerId(), h.offer().host()));
  }

  /** Whether what there is to record can wait for more. */
  private boolean canBatch(Claim c, Quotas.Quota quota) {
    if (!c.offers.isEmpty() || !c.open()) {
      return false;
    }
    int done = c.done;
    for (EndedAttempt e : c.unrecordedEnds) {
      if (e.outcome() != AttemptOutcome.DONE) {
        return false;
      }
      done++;
    }
    // With little left of the team's limit others wait for what these give back.
    return done < c.spec.tasks()
        && (quota == null || quota.remainingTasks(c.size) > c.liveAttempts.size());
  }

  private double writePressureS() {
    double delay = context.store().writeDelayS();
    return delay < PRESSURE_THRESHOLD_S ? 0 : Math.min(MAX_PRESSURE_DELAY_S, delay);
  }

  /** Whether what there is has waited long enough; if not, it is looked at again in time. */
  private boolean isDue(Claim c, double waitS) {
    double now = context.now();
    if (waitS > 0 && now + 0.002 < c.flushDueAt) {
      if (now + waitS < c.flushDueAt) {
        c.flushDueAt = now + waitS;
        context.schedule(waitS, () -> flush(c));
        if (!c.offers.isEmpty() && waitS > BORROWED_BUDGET_REPLY_S) {
          context.schedule(BORROWED_BUDGET_REPLY_S, () -> flush(c));
        }
      }
      return false;
    }
    c.flushDueAt = Double.POSITIVE_INFINITY;
    return true;
  }

  void flush(Claim c) {
    if (c.committing || c.loading || c.released) {
      return;
    }
    if (!c.startable()) {
      declineAll(c);
    }
    boolean over = !c.open() && c.liveAttempts.isEmpty();
    Quotas.Quota quota = quotas.of(c.spec.team());
    boolean returns = shouldReturnGrant(c, quota);
    if (c.offers.isEmpty() && c.unrecordedEnds.isEmpty() && !over && !returns) {
      return;
    }
    if (!c.offers.isEmpty()) {
      context.store().anticipateWrites(TYPICAL_CHANGES);
    }
    double pressure = writePressureS();
    if (!over
        && !returns
        && !isDue(c, canBatch(c, quota) ? END_BATCHING_S * (1 + pressure) : pressure)) {
      return;
    }
    if (quota != null && quota.updating) {
      quota.waiters.add(() -> flush(c));
      return;
    }
    PlannedTransaction f = planner.plan(c, quota, returns, this::decline);
    if (f.starts().isEmpty() && f.ends().isEmpty() && !over && f.granted() == c.record.granted()) {
      return;
    }
    write(c, f, quota);
  }

  /**
   * Whether the job is to give back what it was granted of its team's limit and has not used for a
   * while. Its next end may do so, but that may be minutes away, and until then other jobs of the
   * team would wait beside room, with the team below its limit; how large their tasks are is not
   * known here, so little is much to some of them.
   */
  private boolean shouldReturnGrant(Claim c, Quotas.Quota quota) {
    if (!planner.hasUnusedGrant(c, quota)) {
      c.grantUnusedSince = Double.POSITIVE_INFINITY;
      return false;
    }
    double now = context.now();
    c.grantUnusedSince = Math.min(c.grantUnusedSince, now);
    boolean tight = quota.remainingTasks(c.size) < c.record.granted();
    return now - c.grantUnusedSince >= (tight ? SCARCE_GRANT_RETURN_S : UNUSED_GRANT_RETURN_S);
  }

  private void write(Claim c, PlannedTransaction f, Quotas.Quota quota) {
    String mark = context.store().newWriteId();
    int txnOps = context.settings().stateLimits().txnOps();
    Txn txn = new Txn().requireRevision(JobRecord.key(c.id()), c.revision);
    int doneAfter = c.done;
    boolean anyPlaced = false;
    for (var e : f.chunks().entrySet()) {
      Chunk old = c.chunks.get(e.getKey());
      txn.requireRevision(Chunk.key(c.id(), e.getKey()), old == null ? 0 : old.revision);
      doneAfter += e.getValue().done.cardinality() - (old == null ? 0 : old.done.cardinality());
    }
    for (var e : c.chunks.entrySet()) {
      anyPlaced |= !f.chunks().getOrDefault(e.getKey(), e.getValue()).placed.isEmpty();
    }
    Status last = null;
    if (c.open() && doneAfter == c.spec.tasks() && !c.spec.service()) {
      last = Status.DONE;
    } else if (!c.open() && !anyPlaced) {
      last = c.record.status();
    }
    // A job in more chunks than a transaction takes is emptied first, a few chunks at a time.
    boolean fits = c.chunks.size() + f.chunks().size() + 4 <= txnOps;
    Set<String> hosts = new HashSet<>();
    for (PlannedStart s : f.starts()) {
      if (hosts.add(s.placement().host())) {
        HoldTable.condition(txn, s.placement().host(), s.receivedOffer().offer().holdRevision());
      }
    }
    for (EndedAttempt e : f.ends()) {
      if (e.conditional() && hosts.add(e.placement().host())) {
        HoldTable.condition(txn, e.placement().host(), e.holdRevision());
      }
    }
    JobRecord rewritten = null;
    List<Integer> emptied = new ArrayList<>();
    int granted = last == null ? f.granted() : 0;
    if (last != null && fits) {
      txn.put(JobRecord.finalKey(c.id()), JobRecord.finalToDocument(last, mark));
      txn.remove(JobRecord.key(c.id()));
      c.chunks.keySet().forEach(i -> txn.remove(Chunk.key(c.id(), i)));
    } else if (last != null) {
      rewritten = c.record.withStatus(last).withGranted(0);
      txn.put(JobRecord.key(c.id()), rewritten.toDocument(mark));
      for (int i : c.chunks.keySet()) {
        if (emptied.size() + 4 < txnOps) {
          emptied.add(i);
          txn.remove(Chunk.key(c.id(), i));
        }
      }
    } else {
      f.chunks().forEach((i, chunk) -> txn.put(Chunk.key(c.id(), i), chunk.write(mark)));
      if (granted != c.record.granted()) {
        rewritten = c.record.withGranted(granted);
        txn.put(JobRecord.key(c.id()), rewritten.toDocument(mark));
      }
    }
    boolean regrant = quota != null && granted != c.record.granted();
    Resources used =
        regrant ? quota.used.plus(c.size.times(granted - c.record.granted())) : Resources.NONE;
    if (regrant) {
      quota.updating = true;
      txn.requireRevision(quota.key(), quota.revision).put(quota.key(), Quotas.write(used, mark));
    }
    if (context.store().writeDelayS() > PRESSURE_THRESHOLD_S) {
      // The record may come later than offers live: their holders hear that they are answered.
      for (PlannedStart s : f.starts()) {
        Message.Offer o = s.receivedOffer().offer();
        context
            .peers()
            .send(s.receivedOffer().holder(), new Message.ReserveOffer(o.offerId(), o.host()));
      }
    }
    c.committing = true;
    c.startsInFlight = f.starts().size();
    Status finalStatus = last;
    JobRecord record = rewritten;
    context
        .store()
        .commit(
            txn,
            mark,
            urgency(c),
            done -> {
              c.committing = false;
              c.startsInFlight = 0;
              if (done.ok()) {
                if (regrant) {
                  quotas.applyUpdate(quota, Quotas.write(used, mark), done.revision());
                }
                // Whatever comes of it, the team's record is free for others again.
                context
                    .decisionLock()
                    .run(
                        () -> committed(c, f, finalStatus, record, emptied, mark, done.revision()));
              } else if (!c.released) {
                commitRejected(c, f, done);
              } else {
                f.starts().forEach(s -> decline(s.receivedOffer()));
              }
              if (regrant && !done.ok() && done.failed().contains(quota.key())) {
                refreshQuota(quota, c);
              } else if (regrant) {
                quota.release();
              }
            });
  }

  /**
   * What the lowest priority has to record waits behind all else: a swarm of small jobs would use
   * up the budget, and the others' starts would wait for room that they have.
   */
  private static StateStore.RequestPriority urgency(Claim c) {
    return c.spec.priority() == Priority.BEST_EFFORT && c.startStage == StartEscalation.Stage.NONE
        ? StateStore.RequestPriority.BACKGROUND
        : StateStore.RequestPriority.CORE;
  }

  /** Whether the hold of a machine is not any more what it was at that stamp. */
  private static boolean holdConditionFailed(Set<String> failed, String host, long stamp) {
    return failed.contains(HoldTable.key(host))
        || stamp < 0 && failed.contains(HoldTable.ROSTER_KEY);
  }

  private void committed(
      Claim c,
      PlannedTransaction f,
      Status last,
      JobRecord rewritten,
      List<Integer> emptied,
      String mark,
      long revision) {
    for (EndedAttempt e : f.ends()) {
      if (e.outcome() == AttemptOutcome.LOST) {
        // While this was written the machine may have shown the attempt, which counted as placed.
        c.hostsToCompare.add(e.placement().host());
      } else {
        MachineTable.Entry s = machineTable.get(e.placement().host());
        if (s != null) {
          context
              .peers()
              .send(
                  s.holder(),
                  new Message.ClearTask(
                      e.placement().host(),
                      c.record.term(),
                      c.id(),
                      e.number(),
                      e.placement().attempt()));
        }
      }
    }
    if (last != null && rewritten == null) {
      // The replica may have shown the end before the answer came.
      claims.jobFinished(c, last, revision);
      return;
    }
    if (c.released) {
      // Written just before the claim went to another controller, which will find it.
      return;
    }
    for (PlannedStart s : f.starts()) {
      Message.Offer o = s.receivedOffer().offer();
      if (!c.startable()) {
        // Cancelled while it was recorded: it is never started, and its holder soon says so.
        decline(s.receivedOffer());
        continue;
      }
      if (c.strays.blocks(s.number())) {
        // It is recorded; never started, its holder denies it when asked, and it is placed anew.
        context
            .safety()
            .invariantViolated(
                Invariant.STARTED_BESIDE_ANOTHER_ATTEMPT,
                c.id() + "/" + s.number() + " on " + o.host() + " as " + s.placement());
        decline(s.receivedOffer());
        continue;
      }
      LOG.log(
          Level.DEBUG,
          "placed {0}/{1} on {2}: attempt {3}, term {4}, offer of {5}, token {6}, session {7},"
              + " hold stamp {8}",
          c.id(),
          s.number(),
          o.host(),
          s.placement().attempt(),
          c.record.term(),
          s.receivedOffer().holder(),
          o.token(),
          o.session(),
          o.holdRevision());
      context
          .peers()
          .send(
              s.receivedOffer().holder(),
              new Message.StartTask(
                  o.offerId(),
                  o.host(),
                  o.token(),
                  s.placement().session(),
                  c.record.term(),
                  c.id(),
                  s.number(),
                  s.placement().attempt()));
    }
    if (rewritten != null) {
      if (revision > c.revision) {
        // Otherwise somebody has cancelled the job since, and the replica has shown that before
        // the answer came: taken for open again, the job would never end.
        c.record = rewritten;
        c.revision = revision;
      }
      context.jobs().applyOwnWrite(c.id(), rewritten, mark, revision);
    }
    if (last != null) {
      emptied.forEach(c.chunks::remove);
      c.clearLiveAttempts();
      flush(c);
      return;
    }
    f.chunks().forEach((i, chunk) -> c.installChunk(i, chunk.copy(revision)));
    double now = context.now();
    f.starts().forEach(s -> c.liveAttempts.get(s.number()).probedAt = now);
    if (!f.starts().isEmpty()) {
      wantPlacement.resetReach(c, now);
    }
    claims.reevaluate(c);
  }

  /** Another controller has changed the team's record: it is read before it is changed again. */
  private void refreshQuota(Quotas.Quota quota, Claim c) {
    context
        .store()
        .get(
            quota.key(),
            StateStore.RequestPriority.CORE,
            got -> {
              if (got.outcome() == StateStore.Outcome.OK) {
                quotas.applyUpdate(quota, got.value(), got.revision());
              }
              quota.release();
              flush(c);
            });
  }

  private void commitRejected(Claim c, PlannedTransaction f, StateStore.WriteResult done) {
    Set<String> failed = new HashSet<>(done.failed());
    LOG.log(Level.DEBUG, "recording of {0} refused: {1}", c.id(), failed);
    boolean jobFailed = failed.contains(JobRecord.key(c.id()));
    boolean chunkFailed = failed.stream().anyMatch(k -> k.startsWith(Chunk.prefix(c.id())));
    for (PlannedStart s : f.starts()) {
      if (jobFailed
          || chunkFailed
          || holdConditionFailed(
              failed, s.placement().host(), s.receivedOffer().offer().holdRevision())) {
        decline(s.receivedOffer());
      } else {
        c.offers.add(s.receivedOffer());
      }
    }
    for (EndedAttempt e : f.ends()) {
      boolean proofGone =
          e.conditional() && holdConditionFailed(failed, e.placement().host(), e.holdRevision());
      LiveAttempt l = c.liveAttempts.get(e.number());
      if (proofGone && l != null) {
        // Looked at again, for what has changed the hold may prove it as well: the machine's end,
        // confirmed while this was believed, is not told of a second time.
        l.ended = false;
        l.reported = false;
      } else {
        c.unrecordedEnds.add(e);
      }
    }
    if (jobFailed || chunkFailed || failed.isEmpty()) {
      declineAll(c);
      claims.reload(c);
      return;
    }
    context.schedule(0.05, () -> flush(c));
  }
}
