package dev.dunefront.claim;

import dev.dunefront.claim.Chunk.Placement;
import dev.dunefront.evidence.EndProof;
import dev.dunefront.job.JobRecord;
import dev.dunefront.peer.Message;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.Size;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A job that this controller has claimed. */
final class Claim {
  /** An offer that waits to be taken or declined. */
  record Held(String holder, Message.Offer offer, double at) {}

  /** Why an attempt is over. */
  enum End {
    DONE,
    STOPPED,
    FAILED,
    REFUSED,
    GONE
  }

  /** An end to be recorded, with its proof. */
  record Ended(int number, Placement placement, End end, EndProof proof) {
    /** Whether the proof rests on the record of who holds the machine. */
    boolean conditional() {
      return proof.conditional();
    }

    /** The version of that record on which it rests. */
    long holdStamp() {
      return proof.basis().holdStamp();
    }
  }

  /** What is known of a placed task beyond its record. */
  static final class Live {
    final Placement placement;
    Message.State state = Message.State.PENDING;
    double runningSince;
    double probedAt;
    double stoppedAt;
    boolean ending;

    /** The holder's last word showed this attempt. */
    boolean shown;

    Live(Placement placement) {
      this.placement = placement;
    }
  }

  final JobSpec spec;
  final Size size;
  JobRecord record;
  long stamp;
  boolean loading;
  boolean flying;
  boolean choosing;
  boolean dropped;

  /**
   * Its record says that the job is to end, and this claim has yet to read that: the state service
   * may refuse this controller alone. Until then nothing of it is placed or started.
   */
  boolean halted;

  final TreeMap<Integer, Chunk> chunks = new TreeMap<>();

  /** Tasks that are done or placed. */
  final BitSet busy = new BitSet();

  int done;
  final Map<Integer, Live> live = new HashMap<>();

  /** The same by machine, for what a holder says concerns one machine. */
  private final Map<String, Map<Integer, Live>> liveOn = new HashMap<>();

  final List<Held> offers = new ArrayList<>();
  final List<Ended> ends = new ArrayList<>();

  /** Attempts that are shown and not recorded. */
  final Strays strays = new Strays();

  /** Machines whose last view has not been compared with what is recorded now. */
  final Set<String> unread = new HashSet<>();

  /** Wants parked, by machine. */
  final Map<String, Integer> parked = new HashMap<>();

  final Map<String, Double> avoid = new HashMap<>();

  /** On which machines its tasks have failed, and since when. */
  final Map<String, Double> failedOn = new HashMap<>();

  /** What each kind of machine is to this job, by the kind's index. */
  final List<Choosing.Fit> fits = new ArrayList<>();

  /** Spreads jobs over machines that are equally good. */
  final int mix;

  /** Starts in the transaction under way. */
  int starting;

  /** For how many tasks wants were last parked, and when all machines are looked at again. */
  int parkedFor;

  double lookAgain;
  double lookPause = WantPlacement.LOOK_AGAIN_S;

  /** The openings of room that have been looked at, and when. */
  long openings;

  double openingsAt;

  /** When what waits to be recorded is written at the latest. */
  double flushDue = Double.POSITIVE_INFINITY;

  /** Since when it has been granted more of its team's limit than it is to have. */
  double unusedSince = Double.POSITIVE_INFINITY;

  /** Counts last told to the other controllers. */
  int toldDone;

  int toldRunning;
  int toldPlaced;
  int reach;
  int rank = Urgencies.IN_TIME;

  /** Under which its wants are parked; that of the job, or a greater one until it has begun. */
  int priority;

  /** What it has in common with jobs like it, and whether it waits behind such. */
  final Queue.Shape shape;

  boolean queued;

  Begin.Standing standing = Begin.Standing.ORDINARY;
  double nextTick;
  double unservedSince;
  double notBefore;

  /** A longer fetch is too slow, for other machines become free before. */
  double slowFetchS = Double.POSITIVE_INFINITY;

  double preemptedAt = Double.NEGATIVE_INFINITY;
  int preempted;
  int failures;

  /** That it has not begun in time has been said. */
  boolean saidLate;

  /** A task has been done, as far as this claim has seen; perhaps not recorded yet. */
  boolean ran;

  Claim(JobRecord record, long stamp, int reach, double now) {
    this.record = record;
    this.spec = record.spec();
    this.size = spec.size();
    this.stamp = stamp;
    this.reach = reach;
    this.unservedSince = now;
    this.nextTick = now;
    this.shape = Queue.Shape.of(spec);
    this.priority = spec.priority().ordinal();
    this.mix = spec.id().hashCode() * 0x85EBCA6B;
  }

  String id() {
    return spec.id();
  }

  boolean open() {
    return record.status() == JobRecord.Status.OPEN;
  }

  /** Whether tasks of it may be placed and started. */
  boolean starts() {
    return open() && !halted;
  }

  /** How long ago the job was accepted, in seconds. */
  double ageS(long nowMs) {
    return (nowMs - record.acceptedMs()) / 1000.0;
  }

  /** Tasks that are neither done nor placed. */
  int unstarted() {
    if (!starts()) {
      return 0;
    }
    int blocked = strays.isEmpty() ? 0 : strays.blockedOutside(busy);
    return spec.tasks() - busy.cardinality() - blocked;
  }

  /** The first task from this number on that may be placed; there may be none so high. */
  int nextUnplaced(int from) {
    int number = busy.nextClearBit(from);
    while (!strays.isEmpty() && strays.blocks(number)) {
      number = busy.nextClearBit(number + 1);
    }
    return number;
  }

  /** How many tasks more the team's limit lets start: what is granted already, and what is left. */
  int allowed(Quotas.Quota quota) {
    long granted = Math.max(0, record.granted() - live.size() - starting);
    return (int) Math.min(Integer.MAX_VALUE, granted + quota.room(size));
  }

  /** A job whose tasks fail wherever they run, as far as has been seen. */
  boolean suspect() {
    return failedOn.size() >= 2 && !runs();
  }

  /** Whether a task of it has ever been done, recorded or about to be. */
  boolean runs() {
    return ran || done > 0;
  }

  void install(int index, Chunk chunk) {
    Chunk old = chunks.put(index, chunk);
    int base = index * Chunk.TASKS;
    done += chunk.done.cardinality() - (old == null ? 0 : old.done.cardinality());
    busy.clear(base, base + Chunk.TASKS);
    chunk.done.stream().forEach(n -> busy.set(base + n));
    for (int n = base; n < base + Chunk.TASKS && n < spec.tasks(); n++) {
      Placement p = chunk.placed.get(n - base);
      Live known = live.get(n);
      if (p == null) {
        forgetLive(n);
      } else {
        busy.set(n);
        if (known == null || !known.placement.equals(p)) {
          forgetLive(n);
          Live l = new Live(p);
          live.put(n, l);
          liveOn.computeIfAbsent(p.host(), h -> new HashMap<>()).put(n, l);
        }
      }
    }
  }

  private void forgetLive(int number) {
    Live old = live.remove(number);
    if (old != null) {
      liveOn.computeIfPresent(
          old.placement.host(),
          (h, on) -> {
            on.remove(number);
            return on.isEmpty() ? null : on;
          });
    }
  }

  /** The placed tasks on a machine. */
  Map<Integer, Live> liveOn(String host) {
    return liveOn.getOrDefault(host, Map.of());
  }

  /** The machines with placed tasks. */
  Set<String> hosts() {
    return liveOn.keySet();
  }

  void forgetAllLive() {
    live.clear();
    liveOn.clear();
  }

  void forgetChunks() {
    chunks.clear();
    busy.clear();
    forgetAllLive();
    ends.clear();
    done = 0;
  }
}
