package dev.dunefront.claim;

import dev.dunefront.job.JobRecord;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.job.JobTable;
import dev.dunefront.store.Membership;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.StateStore.Outcome;
import dev.dunefront.store.Txn;
import dev.dunefront.store.TxnLimits;
import dev.dunefront.wire.Priority;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Claims jobs that have no claim or whose claimant is no longer alive. All live controllers compute
 * the same order of preference for a job from its id and the set of live nodes (rendezvous
 * hashing), so hundreds of claims that lapse at once are distributed without a coordinator and
 * without additional writes. The first node in the order claims the job immediately, by priority
 * and in batches. Each following node waits as long as the nodes before it are seen to make
 * progress.
 */
final class Takeover {
  private static final System.Logger LOG = System.getLogger(Takeover.class.getName());

  /** How long a node waits for each preferred node before it that makes no progress. */
  static final double RANK_WAIT_S = 0.4;

  /** Maximum number of jobs claimed at once, so that other controllers get their part of them. */
  private static final int MAX_BATCH_JOBS = 12;

  /** A response to a write that has not arrived within this time is considered lost. */
  private static final double ADOPTION_TIMEOUT_S = 2;

  private final ControllerContext context;
  private final Claims claims;

  /** Jobs with a claiming write in flight. */
  private final Set<String> claiming = new HashSet<>();

  /** When a job was first seen without a live claim, or with an own claim that is not adopted. */
  private final Map<String, Double> unownedSince = new HashMap<>();

  /**
   * Jobs whose claim the state service has called malformed, with the revision of the record. They
   * are left alone until their record changes.
   */
  private final Map<String, Long> unwritable = new HashMap<>();

  /** When each controller was last seen to take over a job from another one. */
  private final Map<String, Double> lastTakeoverAt = new HashMap<>();

  Takeover(ControllerContext context, Claims claims) {
    this.context = context;
    this.claims = claims;
  }

  /**
   * A job without a live claim.
   *
   * @param neverClaimed whether the job has never been claimed
   * @param unownedSinceS time at which the lack of a live claim was first seen
   * @param preferredNodes controllers that precede this one in the job's order of preference
   */
  record UnownedJob(
      String id,
      Priority priority,
      long revision,
      boolean neverClaimed,
      double unownedSinceS,
      List<String> preferredNodes) {}

  /**
   * The ids of the jobs that this controller may claim now, by priority, then oldest record first.
   *
   * @param progress when each controller was last seen to take over a job
   */
  static List<String> claimable(List<UnownedJob> jobs, Map<String, Double> progress, double now) {
    return jobs.stream()
        .filter(job -> now >= claimableFrom(job, progress))
        .sorted(Comparator.comparing(UnownedJob::priority).thenComparing(UnownedJob::revision))
        .map(UnownedJob::id)
        .toList();
  }

  private static double claimableFrom(UnownedJob job, Map<String, Double> progress) {
    double claimableAt = job.unownedSinceS;
    if (!job.neverClaimed) {
      // Progress of the preferred nodes is ignored for a job that was never claimed: it may exceed
      // their shares, so that they never claim it.
      for (String node : job.preferredNodes) {
        claimableAt = Math.max(claimableAt, progress.getOrDefault(node, claimableAt));
      }
    }
    return claimableAt + job.preferredNodes.size() * RANK_WAIT_S;
  }

  /** Discards pending writes because this controller has become a new incarnation. */
  void incarnationChanged() {
    claiming.clear();
  }

  /** Handles the adoption of a job by this controller. */
  void adopted(String id) {
    unownedSince.remove(id);
  }

  /** Records the progress of a controller that has taken over a job from another one. */
  void jobChanged(JobTable.Entry before, JobTable.Entry entry) {
    String previousClaimant = before == null ? null : before.record().claimant();
    String newClaimant = entry == null ? null : entry.record().claimant();
    if (previousClaimant != null && newClaimant != null && !newClaimant.equals(previousClaimant)) {
      lastTakeoverAt.put(Membership.nodeOf(newClaimant), context.now());
    }
  }

  /** Claims jobs that are due; called several times per second. */
  void tick(double now) {
    String self = context.membership().ownIncarnation();
    if (self == null
        || !context.replica().ready()
        || !context.pauseDetector().current()
        || !context.catalog().isLoaded()
        || context.store().unavailable()) {
      return;
    }
    Map<String, JobTable.Entry> unowned = new LinkedHashMap<>();
    List<JobTable.Entry> unadopted = new ArrayList<>();
    Set<String> found = new HashSet<>();
    for (JobTable.Entry entry : context.jobs().all()) {
      String claimant = entry.record().claimant();
      String id = entry.record().spec().id();
      if (claimant == null || !context.membership().alive(claimant)) {
        unowned.put(id, entry);
        found.add(id);
      } else if (entry.record().isClaimedBy(self) && !claims.has(id) && !claiming.contains(id)) {
        unadopted.add(entry);
        found.add(id);
      }
    }
    unownedSince.keySet().retainAll(found);
    unwritable.keySet().retainAll(found);
    for (JobTable.Entry entry : unadopted) {
      // The job was accepted and claimed in one write whose response was lost. For all other
      // controllers it has a live claim, so without adoption here it would wait forever.
      if (now - unownedSince.computeIfAbsent(entry.record().spec().id(), k -> now)
          > ADOPTION_TIMEOUT_S) {
        LOG.log(
            Level.INFO,
            "adopting job {0}: the response to its accepting write was lost",
            entry.record().spec().id());
        claims.adopt(entry.record().spec().id(), false);
      }
    }
    if (!unowned.isEmpty()) {
      claimUnowned(unowned, now);
    }
  }

  private void claimUnowned(Map<String, JobTable.Entry> unowned, double now) {
    List<UnownedJob> jobs = new ArrayList<>();
    unowned.forEach(
        (id, entry) -> {
          double since = unownedSince.computeIfAbsent(id, k -> now);
          if (!claiming.contains(id) && !claims.has(id) && !isUnwritable(entry)) {
            Priority priority = entry.record().spec().priority();
            jobs.add(
                new UnownedJob(
                    id,
                    priority,
                    entry.revision(),
                    neverClaimed(entry),
                    since,
                    preferredNodes(id)));
          }
        });
    boolean writeInFlight = !claiming.isEmpty();
    ClaimBatch batch = new ClaimBatch();
    // Admission iterates over all claims, so a refusal is reused for equivalent jobs.
    Set<SearchThrottle.EquivalenceClass> refused = new HashSet<>();
    for (String id : claimable(jobs, lastTakeoverAt, now)) {
      JobTable.Entry entry = unowned.get(id);
      if (neverClaimed(entry)) {
        // A job that was never claimed is claimed only within this controller's share, unless its
        // start is overdue: one huge job may fill the shares of all controllers. An overdue job is
        // not claimed behind an equivalent one that waits here, as it would have to wait as well.
        SearchThrottle.EquivalenceClass equivalenceClass =
            SearchThrottle.EquivalenceClass.of(entry.record().spec());
        if (!refused.contains(equivalenceClass) && claims.admits(entry.record().spec())
            || startOverdue(entry) && !claims.hasUnstartedEquivalent(equivalenceClass)) {
          ClaimBatch single = new ClaimBatch();
          single.add(entry);
          write(single);
        } else {
          refused.add(equivalenceClass);
        }
      } else if (!writeInFlight && !batch.full()) {
        // One batch at a time, so that the next one excludes jobs claimed by others meanwhile.
        batch.add(entry);
      }
    }
    write(batch);
  }

  private boolean startOverdue(JobTable.Entry entry) {
    double ageS = (context.timers().wallClockMs() - entry.record().acceptedMs()) / 1000.0;
    return StartEscalation.stageAtAge(false, ageS, context.tunables().beginS())
        != StartEscalation.Stage.NONE;
  }

  private static boolean neverClaimed(JobTable.Entry entry) {
    return entry.record().term() == 0 && entry.record().status() == Status.OPEN;
  }

  /** The live controllers that precede this one in the job's order of preference. */
  private List<String> preferredNodes(String id) {
    int ownOrder = hashOrder(id, context.settings().node());
    List<String> preferred = new ArrayList<>();
    for (String node : context.membership().liveNodes()) {
      if (hashOrder(id, node) < ownOrder) {
        preferred.add(node);
      }
    }
    return preferred;
  }

  private static int hashOrder(String id, String node) {
    return (id + "@" + node).hashCode() * 0x9E3779B9 >>> 1;
  }

  private boolean isUnwritable(JobTable.Entry entry) {
    return Long.valueOf(entry.revision()).equals(unwritable.get(entry.record().spec().id()));
  }

  /** Jobs that are claimed in one transaction. */
  private final class ClaimBatch {
    private final String self = context.membership().ownIncarnation();
    private final String writeId = context.store().newWriteId();
    private final Txn txn = new Txn();
    private final Map<String, JobRecord> records = new LinkedHashMap<>();
    private final Map<String, Long> revisions = new HashMap<>();

    private boolean tooLargeForNext;

    /** Whether no further job may be added; the first that does not fit begins the next batch. */
    boolean full() {
      return tooLargeForNext || records.size() >= MAX_BATCH_JOBS;
    }

    /** Adds a job if the transaction has room for its record. */
    void add(JobTable.Entry entry) {
      JobRecord record = entry.record().withClaimant(self);
      String id = record.spec().id();
      Txn claim =
          new Txn()
              .requireRevision(JobRecord.key(id), entry.revision())
              .put(JobRecord.key(id), record.toDocument(writeId));
      TxnLimits limits = context.store().txnLimits();
      if (!claim.fits(limits)) {
        LOG.log(Level.ERROR, "job {0} cannot be claimed: its record is too large", id);
        unwritable.put(id, entry.revision());
      } else if (txn.addIfItFits(claim, limits)) {
        records.put(id, record);
        revisions.put(id, entry.revision());
      } else {
        tooLargeForNext = true;
      }
    }
  }

  private void write(ClaimBatch batch) {
    if (batch.records.isEmpty()) {
      return;
    }
    claiming.addAll(batch.records.keySet());
    context
        .store()
        .commit(
            batch.txn,
            batch.writeId,
            result -> {
              if (!batch.self.equals(context.membership().ownIncarnation())) {
                return;
              }
              claiming.removeAll(batch.records.keySet());
              if (result.ok()) {
                batch.records.forEach((id, record) -> claimed(id, record, batch, result));
              } else if (result.outcome() == Outcome.MALFORMED) {
                rejectedAsMalformed(batch);
              }
            });
  }

  private void claimed(
      String id, JobRecord record, ClaimBatch batch, StateStore.WriteResult result) {
    LOG.log(
        Level.INFO,
        "claimed job {0} in term {1}, written at revision {2}",
        id,
        record.term(),
        result.revision());
    context.jobs().applyOwnWrite(id, record, batch.writeId, result.revision());
    claims.adopt(id, false);
  }

  /**
   * One of the records cannot be written. Each is tried alone, so that it keeps no other job from
   * being claimed; the one that is rejected alone is not tried again.
   */
  private void rejectedAsMalformed(ClaimBatch batch) {
    boolean alone = batch.records.size() == 1;
    for (String id : batch.records.keySet()) {
      JobTable.Entry entry = context.jobs().get(id);
      if (alone) {
        LOG.log(Level.ERROR, "job {0} cannot be claimed: its record is malformed", id);
        unwritable.put(id, batch.revisions.get(id));
      } else if (entry != null && entry.revision() == batch.revisions.get(id)) {
        ClaimBatch single = new ClaimBatch();
        single.add(entry);
        write(single);
      }
    }
  }
}
