package dev.dunefront.claim;

import dev.dunefront.job.JobRecord;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.job.JobTable;
import dev.dunefront.store.Membership;
import dev.dunefront.store.Txn;
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
 * Takes jobs that nobody has claimed, or whose claimant is gone. All living controllers work out
 * alike, from a job's name and who lives, in which order they may take it; so hundreds of claims
 * that lapse at once are dealt out without anybody who deals, and without a write for it. Whoever
 * comes first takes its part at once, the most urgent first, many in one transaction; whoever comes
 * next waits for as long as those before it are seen to get on with theirs.
 */
final class Takeover {
  private static final System.Logger LOG = System.getLogger(Takeover.class.getName());

  /** How long whoever comes next waits for each before it that does not get on. */
  static final double RANK_WAIT_S = 0.4;

  /** So many records are written in one transaction at most; they are small, but not tiny. */
  private static final int MAX_BATCH_JOBS = 12;

  /** The answer to a write comes sooner than this, if it ever does. */
  private static final double ADOPTION_TIMEOUT_S = 2;

  private final ControllerContext context;
  private final Claims claims;
  private final Set<String> claiming = new HashSet<>();

  /** Since when a job without a live claim has been seen. */
  private final Map<String, Double> unownedSince = new HashMap<>();

  /** When a controller was last seen to have taken a job from another. */
  private final Map<String, Double> lastTakeoverAt = new HashMap<>();

  Takeover(ControllerContext context, Claims claims) {
    this.context = context;
    this.claims = claims;
  }

  /**
   * A job without a live claim.
   *
   * @param neverClaimed nobody has claimed it yet
   * @param unownedSinceS time at which that was first seen
   * @param preferredNodes controllers that may take it before this one
   */
  record UnownedJob(
      String id,
      Priority priority,
      long revision,
      boolean neverClaimed,
      double unownedSinceS,
      List<String> preferredNodes) {}

  /**
   * Those that this controller may take now, in the order of need.
   *
   * @param progress when a controller was last seen to take a job
   */
  static List<String> claimable(List<UnownedJob> lapsed, Map<String, Double> progress, double now) {
    return lapsed.stream()
        .filter(l -> now >= claimableFrom(l, progress))
        .sorted(Comparator.comparing(UnownedJob::priority).thenComparing(UnownedJob::revision))
        .map(UnownedJob::id)
        .toList();
  }

  private static double claimableFrom(UnownedJob l, Map<String, Double> progress) {
    double from = l.unownedSinceS;
    if (!l.neverClaimed) {
      // A job that nobody has claimed yet may be too large for the share of those before.
      for (String node : l.preferredNodes) {
        from = Math.max(from, progress.getOrDefault(node, from));
      }
    }
    return from + l.preferredNodes.size() * RANK_WAIT_S;
  }

  /** This controller has become another incarnation. */
  void incarnationChanged() {
    claiming.clear();
  }

  void adopted(String id) {
    unownedSince.remove(id);
  }

  /** A record shows another claimant than before. */
  void jobChanged(JobTable.Entry before, JobTable.Entry entry) {
    String from = before == null ? null : before.record().claimant();
    String claim = entry == null ? null : entry.record().claimant();
    if (from != null && claim != null && !claim.equals(from)) {
      lastTakeoverAt.put(Membership.nodeOf(claim), context.now());
    }
  }

  /** Called several times a second. */
  void tick(double now) {
    String self = context.membership().ownIncarnation();
    if (self == null
        || !context.replica().ready()
        || !context.standstill().current()
        || !context.catalog().isLoaded()
        || context.store().unavailable()) {
      return;
    }
    Map<String, JobTable.Entry> lapsed = new LinkedHashMap<>();
    List<JobTable.Entry> ours = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    for (JobTable.Entry e : context.jobs().all()) {
      String claim = e.record().claimant();
      String id = e.record().spec().id();
      if (claim == null || !context.membership().alive(claim)) {
        lapsed.put(id, e);
        seen.add(id);
      } else if (e.record().isClaimedBy(self) && !claims.has(id) && !claiming.contains(id)) {
        ours.add(e);
        seen.add(id);
      }
    }
    unownedSince.keySet().retainAll(seen);
    for (JobTable.Entry e : ours) {
      // Accepted and claimed in one write whose answer was lost: to all others it has a living
      // claimant, and were it not taken up here it would wait for ever.
      if (now - unownedSince.computeIfAbsent(e.record().spec().id(), k -> now)
          > ADOPTION_TIMEOUT_S) {
        LOG.log(Level.INFO, "takes up {0}, whose acceptance was unclear", e.record().spec().id());
        claims.adopt(e.record().spec().id(), false);
      }
    }
    if (!lapsed.isEmpty()) {
      claimUnowned(lapsed, now);
    }
  }

  private void claimUnowned(Map<String, JobTable.Entry> lapsed, double now) {
    List<UnownedJob> all = new ArrayList<>();
    lapsed.forEach(
        (id, e) -> {
          double since = unownedSince.computeIfAbsent(id, k -> now);
          if (!claiming.contains(id) && !claims.has(id)) {
            Priority priority = e.record().spec().priority();
            all.add(
                new UnownedJob(
                    id, priority, e.revision(), neverClaimed(e), since, preferredNodes(id)));
          }
        });
    boolean batched = !claiming.isEmpty();
    List<JobTable.Entry> taken = new ArrayList<>();
    // What was refused once is refused to all like it: each question looks at all claims.
    Set<SearchThrottle.EquivalenceClass> refused = new HashSet<>();
    for (String id : claimable(all, lastTakeoverAt, now)) {
      JobTable.Entry e = lapsed.get(id);
      if (neverClaimed(e)) {
        // Never claimed: only as far as this controller's share goes, unless it is overdue to
        // begin, for one huge job may fill the shares of all. Behind one like it that waits here
        // it would only wait as well.
        SearchThrottle.EquivalenceClass shape =
            SearchThrottle.EquivalenceClass.of(e.record().spec());
        if (!refused.contains(shape) && claims.admits(e.record().spec())
            || startOverdue(e) && !claims.hasUnstartedEquivalent(shape)) {
          write(List.of(e));
        } else {
          refused.add(shape);
        }
      } else if (!batched && taken.size() < MAX_BATCH_JOBS) {
        // One batch at a time: what others have taken by then is left out of the next.
        taken.add(e);
      }
    }
    if (!taken.isEmpty()) {
      write(taken);
    }
  }

  private boolean startOverdue(JobTable.Entry e) {
    double ageS = (context.timers().wallClockMs() - e.record().acceptedMs()) / 1000.0;
    return StartEscalation.stageAtAge(false, ageS, context.tunables().beginS())
        != StartEscalation.Stage.NONE;
  }

  private static boolean neverClaimed(JobTable.Entry e) {
    return e.record().term() == 0 && e.record().status() == Status.OPEN;
  }

  /** The controllers that may take the job before this one. */
  private List<String> preferredNodes(String id) {
    int mine = hashOrder(id, context.settings().node());
    List<String> before = new ArrayList<>();
    for (String node : context.membership().liveNodes()) {
      if (hashOrder(id, node) < mine) {
        before.add(node);
      }
    }
    return before;
  }

  private static int hashOrder(String id, String node) {
    return (id + "@" + node).hashCode() * 0x9E3779B9 >>> 1;
  }

  private void write(List<JobTable.Entry> taken) {
    String self = context.membership().ownIncarnation();
    String mark = context.store().newWriteId();
    Txn txn = new Txn();
    Map<String, JobRecord> next = new HashMap<>();
    for (JobTable.Entry e : taken) {
      JobRecord record = e.record().withClaimant(self);
      String id = record.spec().id();
      next.put(id, record);
      claiming.add(id);
      txn.requireRevision(JobRecord.key(id), e.revision())
          .put(JobRecord.key(id), record.toDocument(mark));
    }
    context
        .store()
        .commit(
            txn,
            mark,
            done -> {
              if (!self.equals(context.membership().ownIncarnation())) {
                return;
              }
              claiming.removeAll(next.keySet());
              if (!done.ok()) {
                return;
              }
              next.forEach(
                  (id, record) -> {
                    LOG.log(
                        Level.INFO,
                        "claimed {0} in term {1}, written at revision {2}",
                        id,
                        record.term(),
                        done.revision());
                    context.jobs().applyOwnWrite(id, record, mark, done.revision());
                    claims.adopt(id, false);
                  });
            });
  }
}
