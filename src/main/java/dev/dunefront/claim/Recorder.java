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
 * Writes placements and ends. A job has one transaction under way at a time, which carries all that
 * has gathered; a placement is written before its start is sent, an end before its clear.
 */
final class Recorder {
  private static final System.Logger LOG = System.getLogger(Recorder.class.getName());

  /** Offers from several holders come close together; the best are taken, not the first. */
  private static final double CHOOSE_S = 0.012;

  /**
   * Ends wait this long for others to share their transaction, and under pressure up to as much
   * again for each second that a change has to wait: the worker keeps what has ended, its room is
   * dealt already, and the last end of a job is written at once.
   */
  private static final double GATHER_S = 2;

  /**
   * While changes have to wait for the budget anyway, what is to be recorded gathers before its
   * transaction is made, so that each carries the more; but no longer than this.
   */
  private static final double PRESSED_S = 1;

  private static final double NO_PRESSURE_S = 0.05;

  /** Changes of a transaction that places some tasks: the job, its team, two chunks. */
  private static final int TYPICAL_CHANGES = 4;

  /** By then other controllers have answered whether they lend changes, in seconds. */
  private static final double LENT_S = 0.05;

  /**
   * What a job has been granted and does not use for so long it gives back; sooner where its team
   * has less left than that job has been granted.
   */
  private static final double UNUSED_S = 30;

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

  void chooseSoon(Claim c) {
    if (c.choosing) {
      return;
    }
    c.choosing = true;
    context.later(
        CHOOSE_S,
        () -> {
          c.choosing = false;
          flush(c);
        });
  }

  void declineAll(Claim c) {
    c.offers.forEach(this::decline);
    c.offers.clear();
  }

  private void decline(Held h) {
    context.peers().send(h.holder(), new Message.Decline(h.offer().offer(), h.offer().host()));
  }

  /** Whether what there is to record can wait for more. */
  private boolean canGather(Claim c, Quotas.Quota quota) {
    if (!c.offers.isEmpty() || !c.open()) {
      return false;
    }
    int done = c.done;
    for (Ended e : c.ends) {
      if (e.end() != End.DONE) {
        return false;
      }
      done++;
    }
    // With little left of the team's limit others wait for what these give back.
    return done < c.spec.tasks() && (quota == null || quota.room(c.size) > c.live.size());
  }

  private double pressureS() {
    double delay = context.store().writeDelayS();
    return delay < NO_PRESSURE_S ? 0 : Math.min(PRESSED_S, delay);
  }

  /** Whether what there is has waited long enough; if not, it is looked at again in time. */
  private boolean due(Claim c, double waitS) {
    double now = context.now();
    if (waitS > 0 && now + 0.002 < c.flushDue) {
      if (now + waitS < c.flushDue) {
        c.flushDue = now + waitS;
        context.later(waitS, () -> flush(c));
        if (!c.offers.isEmpty() && waitS > LENT_S) {
          context.later(LENT_S, () -> flush(c));
        }
      }
      return false;
    }
    c.flushDue = Double.POSITIVE_INFINITY;
    return true;
  }

  void flush(Claim c) {
    if (c.flying || c.loading || c.dropped) {
      return;
    }
    if (!c.starts()) {
      declineAll(c);
    }
    boolean over = !c.open() && c.live.isEmpty();
    Quotas.Quota quota = quotas.of(c.spec.team());
    boolean returns = returns(c, quota);
    if (c.offers.isEmpty() && c.ends.isEmpty() && !over && !returns) {
      return;
    }
    if (!c.offers.isEmpty()) {
      context.store().anticipate(TYPICAL_CHANGES);
    }
    double pressure = pressureS();
    if (!over && !returns && !due(c, canGather(c, quota) ? GATHER_S * (1 + pressure) : pressure)) {
      return;
    }
    if (quota != null && quota.busy) {
      quota.waiting.add(() -> flush(c));
      return;
    }
    Flight f = planning.plan(c, quota, returns, this::decline);
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
  private boolean returns(Claim c, Quotas.Quota quota) {
    if (!planning.unused(c, quota)) {
      c.unusedSince = Double.POSITIVE_INFINITY;
      return false;
    }
    double now = context.now();
    c.unusedSince = Math.min(c.unusedSince, now);
    boolean tight = quota.room(c.size) < c.record.granted();
    return now - c.unusedSince >= (tight ? UNUSED_TIGHT_S : UNUSED_S);
  }

  private void write(Claim c, Flight f, Quotas.Quota quota) {
    String mark = context.store().newMark();
    int txnOps = context.settings().stateLimits().txnOps();
    Txn txn = new Txn().when(JobRecord.key(c.id()), c.stamp);
    int doneAfter = c.done;
    boolean anyPlaced = false;
    for (var e : f.next().entrySet()) {
      Chunk old = c.chunks.get(e.getKey());
      txn.when(Chunk.key(c.id(), e.getKey()), old == null ? 0 : old.stamp);
      doneAfter += e.getValue().done.cardinality() - (old == null ? 0 : old.done.cardinality());
    }
    for (var e : c.chunks.entrySet()) {
      anyPlaced |= !f.next().getOrDefault(e.getKey(), e.getValue()).placed.isEmpty();
    }
    Status last = null;
    if (c.open() && doneAfter == c.spec.tasks() && !c.spec.service()) {
      last = Status.DONE;
    } else if (!c.open() && !anyPlaced) {
      last = c.record.status();
    }
    // A job in more chunks than a transaction takes is emptied first, a few chunks at a time.
    boolean fits = c.chunks.size() + f.next().size() + 4 <= txnOps;
    Set<String> hosts = new HashSet<>();
    for (Starting s : f.starts()) {
      if (hosts.add(s.placement().host())) {
        Holds.condition(txn, s.placement().host(), s.held().offer().holdStamp());
      }
    }
    for (Ended e : f.ends()) {
      if (e.conditional() && hosts.add(e.placement().host())) {
        Holds.condition(txn, e.placement().host(), e.holdStamp());
      }
    }
    JobRecord rewritten = null;
    List<Integer> emptied = new ArrayList<>();
    int granted = last == null ? f.granted() : 0;
    if (last != null && fits) {
      txn.put(JobRecord.finalKey(c.id()), JobRecord.writeFinal(last, mark));
      txn.remove(JobRecord.key(c.id()));
      c.chunks.keySet().forEach(i -> txn.remove(Chunk.key(c.id(), i)));
    } else if (last != null) {
      rewritten = c.record.with(last).granting(0);
      txn.put(JobRecord.key(c.id()), rewritten.write(mark));
      for (int i : c.chunks.keySet()) {
        if (emptied.size() + 4 < txnOps) {
          emptied.add(i);
          txn.remove(Chunk.key(c.id(), i));
        }
      }
    } else {
      f.next().forEach((i, chunk) -> txn.put(Chunk.key(c.id(), i), chunk.write(mark)));
      if (granted != c.record.granted()) {
        rewritten = c.record.granting(granted);
        txn.put(JobRecord.key(c.id()), rewritten.write(mark));
      }
    }
    boolean regrant = quota != null && granted != c.record.granted();
    Size used = regrant ? quota.used.plus(c.size.times(granted - c.record.granted())) : Size.NONE;
    if (regrant) {
      quota.busy = true;
      txn.when(quota.key(), quota.stamp).put(quota.key(), Quotas.write(used, mark));
    }
    if (context.store().writeDelayS() > NO_PRESSURE_S) {
      // The record may come later than offers live: their holders hear that they are answered.
      for (Starting s : f.starts()) {
        Message.Offer o = s.held().offer();
        context.peers().send(s.held().holder(), new Message.Taking(o.offer(), o.host()));
      }
    }
    c.flying = true;
    c.starting = f.starts().size();
    Status finalStatus = last;
    JobRecord record = rewritten;
    context
        .store()
        .commit(
            txn,
            mark,
            urgency(c),
            done -> {
              c.flying = false;
              c.starting = 0;
              if (done.ok()) {
                if (regrant) {
                  quotas.saw(quota, Quotas.write(used, mark), done.revision());
                }
                // Whatever comes of it, the team's record is free for others again.
                context
                    .decisionLock()
                    .run(() -> written(c, f, finalStatus, record, emptied, mark, done.revision()));
              } else if (!c.dropped) {
                refused(c, f, done);
              } else {
                f.starts().forEach(s -> decline(s.held()));
              }
              if (regrant && !done.ok() && done.failed().contains(quota.key())) {
                refresh(quota, c);
              } else if (regrant) {
                quota.release();
              }
            });
  }

  /**
   * What the lowest priority has to record waits behind all else: a swarm of small jobs would use
   * up the budget, and the others' starts would wait for room that they have.
   */
  private static Store.Urgency urgency(Claim c) {
    return c.spec.priority() == Priority.BEST_EFFORT && c.standing == Begin.Standing.ORDINARY
        ? Store.Urgency.BACKGROUND
        : Store.Urgency.CORE;
  }

  /** Whether the hold of a machine is not any more what it was at that stamp. */
  private static boolean holdFailed(Set<String> failed, String host, long stamp) {
    return failed.contains(Holds.key(host)) || stamp < 0 && failed.contains(Holds.ROSTER);
  }

  private void written(
      Claim c,
      Flight f,
      Status last,
      JobRecord rewritten,
      List<Integer> emptied,
      String mark,
      long revision) {
    for (Ended e : f.ends()) {
      if (e.end() == End.GONE) {
        // While this was written the machine may have shown the attempt, which counted as placed.
        c.unread.add(e.placement().host());
      } else {
        Room.Seen s = room.get(e.placement().host());
        if (s != null) {
          context
              .peers()
              .send(
                  s.holder(),
                  new Message.Clear(
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
      claims.finished(c, last, revision);
      return;
    }
    if (c.dropped) {
      // Written just before the claim went to another controller, which will find it.
      return;
    }
    for (Starting s : f.starts()) {
      Message.Offer o = s.held().offer();
      if (!c.starts()) {
        // Cancelled while it was recorded: it is never started, and its holder soon says so.
        decline(s.held());
        continue;
      }
      if (c.strays.blocks(s.number())) {
        // It is recorded; never started, its holder denies it when asked, and it is placed anew.
        context
            .safety()
            .violated(
                Invariant.STARTED_BESIDE_ANOTHER_ATTEMPT,
                c.id() + "/" + s.number() + " on " + o.host() + " as " + s.placement());
        decline(s.held());
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
          s.held().holder(),
          o.token(),
          o.session(),
          o.holdStamp());
      context
          .peers()
          .send(
              s.held().holder(),
              new Message.Start(
                  o.offer(),
                  o.host(),
                  o.token(),
                  s.placement().session(),
                  c.record.term(),
                  c.id(),
                  s.number(),
                  s.placement().attempt()));
    }
    if (rewritten != null) {
      if (revision > c.stamp) {
        // Otherwise somebody has cancelled the job since, and the replica has shown that before
        // the answer came: taken for open again, the job would never end.
        c.record = rewritten;
        c.stamp = revision;
      }
      context.jobs().wrote(c.id(), rewritten, mark, revision);
    }
    if (last != null) {
      emptied.forEach(c.chunks::remove);
      c.forgetAllLive();
      flush(c);
      return;
    }
    f.next().forEach((i, chunk) -> c.install(i, chunk.copy(revision)));
    double now = context.now();
    f.starts().forEach(s -> c.live.get(s.number()).probedAt = now);
    if (!f.starts().isEmpty()) {
      wantPlacement.served(c, now);
    }
    claims.review(c);
  }

  /** Another controller has changed the team's record: it is read before it is changed again. */
  private void refresh(Quotas.Quota quota, Claim c) {
    context
        .store()
        .get(
            quota.key(),
            Store.Urgency.CORE,
            got -> {
              if (got.outcome() == Store.Outcome.OK) {
                quotas.saw(quota, got.value(), got.stamp());
              }
              quota.release();
              flush(c);
            });
  }

  private void refused(Claim c, Flight f, Store.Done done) {
    Set<String> failed = new HashSet<>(done.failed());
    LOG.log(Level.DEBUG, "recording of {0} refused: {1}", c.id(), failed);
    boolean jobFailed = failed.contains(JobRecord.key(c.id()));
    boolean chunkFailed = failed.stream().anyMatch(k -> k.startsWith(Chunk.prefix(c.id())));
    for (Starting s : f.starts()) {
      if (jobFailed
          || chunkFailed
          || holdFailed(failed, s.placement().host(), s.held().offer().holdStamp())) {
        decline(s.held());
      } else {
        c.offers.add(s.held());
      }
    }
    for (Ended e : f.ends()) {
      boolean proofGone =
          e.conditional() && holdFailed(failed, e.placement().host(), e.holdStamp());
      Live l = c.live.get(e.number());
      if (proofGone && l != null) {
        // Looked at again, for what has changed the hold may prove it as well: the machine's end,
        // confirmed while this was believed, is not told of a second time.
        l.ending = false;
        l.shown = false;
      } else {
        c.ends.add(e);
      }
    }
    if (jobFailed || chunkFailed || failed.isEmpty()) {
      declineAll(c);
      claims.reload(c);
      return;
    }
    context.later(0.05, () -> flush(c));
  }
}
