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

/** The in-memory state of a job that this controller has claimed. */
final class Claim {
  /** An offer that has not been accepted or declined yet. */
  record Held(String holder, Message.Offer offer, double at) {}

  /** How an attempt ended. */
  enum End {
    DONE,
    STOPPED,
    FAILED,
    REFUSED,
    GONE
  }

  /** The end of an attempt that is still to be recorded, with its proof. */
  record Ended(int number, Placement placement, End end, EndProof proof) {
    /** Whether the proof is valid only while the machine's hold record is unchanged. */
    boolean conditional() {
      return proof.conditional();
    }

    /** The version of the hold record that the proof depends on. */
    long holdStamp() {
      return proof.basis().holdStamp();
    }
  }

  /** A placed attempt with the runtime state that is not part of its record. */
  static final class Live {
    final Placement placement;
    Message.State state = Message.State.PENDING;
    double runningSince;
    double probedAt;
    double stoppedAt;
    boolean ending;

    /** Whether the latest view of the machine included this attempt. */
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
   * The job's record says that it is to end, but this claim has not read that version yet: the
   * state service may be refusing only this controller's requests. No task of the job is placed or
   * started meanwhile.
   */
  boolean halted;

  final TreeMap<Integer, Chunk> chunks = new TreeMap<>();

  /** Numbers of the tasks that are done or placed. */
  final BitSet busy = new BitSet();

  int done;
  final Map<Integer, Live> live = new HashMap<>();

  /** The live attempts by machine, because each view covers one machine. */
  private final Map<String, Map<Integer, Live>> liveOn = new HashMap<>();

  final List<Held> offers = new ArrayList<>();
  final List<Ended> ends = new ArrayList<>();

  /** Attempts that appear in views but are not recorded. */
  final Strays strays = new Strays();

  /** Machines whose latest view has not been compared with the current records. */
  final Set<String> unread = new HashSet<>();

  /** Number of wants queued, by machine. */
  final Map<String, Integer> parked = new HashMap<>();

  /** Until when each machine is not considered, after it refused or failed a task. */
  final Map<String, Double> avoid = new HashMap<>();

  /** When a task of the job first failed on each machine. */
  final Map<String, Double> failedOn = new HashMap<>();

  /** How well each kind of machine suits this job, by index of the kind. */
  final List<Choosing.Fit> fits = new ArrayList<>();

  /** Spreads jobs over machines of equal cost. */
  final int mix;

  /** Number of starts in the transaction in flight. */
  int starting;

  /** Number of tasks that wants were queued for in the last scan of all machines. */
  int parkedFor;

  /** When all machines are scanned again. */
  double lookAgain;

  /** Interval until the scan after the next one; see {@link WantPlacement}. */
  double lookPause = WantPlacement.LOOK_AGAIN_S;

  /** Value of {@link MachineTable#capacityIncreases} at the last scan for freed capacity. */
  long openings;

  /** When freed capacity was last scanned for. */
  double openingsAt;

  /** Latest time at which pending changes are written; infinite if no flush is scheduled. */
  double flushDue = Double.POSITIVE_INFINITY;

  /** Since when more of the team's limit is granted than the job should keep; infinite if not. */
  double unusedSince = Double.POSITIVE_INFINITY;

  /** Task counts last published to the other controllers. */
  int toldDone;

  int toldRunning;
  int toldPlaced;

  /**
   * Under scarcity, the number of machines and, as a multiple of the wanted tasks, the number of
   * wants that a scan covers; grows by one per tick.
   */
  int reach;

  int rank = Urgencies.IN_TIME;

  /** Priority of the queued wants: the job's own, or a higher one while its start is overdue. */
  int priority;

  /** Jobs of the same class are interchangeable when they search for capacity. */
  final Queue.Shape shape;

  /** Whether the job does not search because enough equivalent jobs before it do. */
  boolean queued;

  Begin.Standing standing = Begin.Standing.ORDINARY;

  /** When the reach grows next. */
  double nextTick;

  /** Since when the job has waited for capacity without being served. */
  double unservedSince;

  /** No task is placed before this time, after failures or as a requeue delay. */
  double notBefore;

  /** Image fetches longer than this lose to waiting for a machine with a faster fetch. */
  double slowFetchS = Double.POSITIVE_INFINITY;

  double preemptedAt = Double.NEGATIVE_INFINITY;
  int preempted;
  int failures;

  /** Whether the log already has a line that the job's start is overdue. */
  boolean saidLate;

  /** Whether this claim has seen a task complete; that may not be recorded yet. */
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

  /** Whether tasks of the job may be placed and started. */
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

  /**
   * The first task at or after this number that may be placed. The result may exceed the job's last
   * task number.
   */
  int nextUnplaced(int from) {
    int number = busy.nextClearBit(from);
    while (!strays.isEmpty() && strays.blocks(number)) {
      number = busy.nextClearBit(number + 1);
    }
    return number;
  }

  /** How many more tasks the team's limit allows: unused grants plus the remaining quota. */
  int allowed(Quotas.Quota quota) {
    long granted = Math.max(0, record.granted() - live.size() - starting);
    return (int) Math.min(Integer.MAX_VALUE, granted + quota.room(size));
  }

  /** Whether tasks have failed on at least two machines and none has ever completed. */
  boolean suspect() {
    return failedOn.size() >= 2 && !runs();
  }

  /** Whether any task has completed, recorded or about to be. */
  boolean runs() {
    return ran || done > 0;
  }

  /** Replaces a chunk and brings the derived task and attempt state up to date. */
  void install(int index, Chunk chunk) {
    Chunk old = chunks.put(index, chunk);
    int base = index * Chunk.TASKS;
    done += chunk.done.cardinality() - (old == null ? 0 : old.done.cardinality());
    busy.clear(base, base + Chunk.TASKS);
    chunk.done.stream().forEach(n -> busy.set(base + n));
    for (int n = base; n < base + Chunk.TASKS && n < spec.tasks(); n++) {
      Placement placement = chunk.placed.get(n - base);
      Live known = live.get(n);
      if (placement == null) {
        forgetLive(n);
      } else {
        busy.set(n);
        if (known == null || !known.placement.equals(placement)) {
          forgetLive(n);
          Live attempt = new Live(placement);
          live.put(n, attempt);
          liveOn.computeIfAbsent(placement.host(), host -> new HashMap<>()).put(n, attempt);
        }
      }
    }
  }

  private void forgetLive(int number) {
    Live old = live.remove(number);
    if (old != null) {
      liveOn.computeIfPresent(
          old.placement.host(),
          (host, attempts) -> {
            attempts.remove(number);
            return attempts.isEmpty() ? null : attempts;
          });
    }
  }

  /** The live attempts on a machine, by task number. */
  Map<Integer, Live> liveOn(String host) {
    return liveOn.getOrDefault(host, Map.of());
  }

  /** The machines with live attempts. */
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
