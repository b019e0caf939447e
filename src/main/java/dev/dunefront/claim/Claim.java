package dev.dunefront.claim;

import dev.dunefront.claim.Chunk.Placement;
import dev.dunefront.evidence.EndProof;
import dev.dunefront.job.JobRecord;
import dev.dunefront.peer.Message;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.Resources;
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
  record ReceivedOffer(String holder, Message.Offer offer, double receivedAt) {}

  /** How an attempt ended. */
  enum AttemptOutcome {
    DONE,
    STOPPED,
    FAILED,
    REFUSED,
    LOST
  }

  /** The end of an attempt that is still to be recorded, with its proof. */
  record EndedAttempt(int number, Placement placement, AttemptOutcome outcome, EndProof proof) {
    /** Whether the proof is valid only while the machine's hold record is unchanged. */
    boolean conditional() {
      return proof.conditional();
    }

    /** The version of the hold record that the proof depends on. */
    long holdRevision() {
      return proof.basis().holdRevision();
    }
  }

  /** A placed attempt with the runtime state that is not part of its record. */
  static final class LiveAttempt {
    final Placement placement;
    Message.TaskState state = Message.TaskState.PENDING;
    double runningSince;
    double queriedAt;
    double stopSentAt;
    boolean ended;

    /** Whether the latest view of the machine included this attempt. */
    boolean reported;

    LiveAttempt(Placement placement) {
      this.placement = placement;
    }
  }

  final JobSpec spec;
  final Resources size;
  JobRecord record;
  long revision;
  boolean loading;
  boolean committing;
  boolean flushScheduled;
  boolean released;

  /**
   * The job's record says that it is to end, but this claim has not read that version yet: the
   * state service may be refusing only this controller's requests. No task of the job is placed or
   * started meanwhile.
   */
  boolean endRequested;

  final TreeMap<Integer, Chunk> chunks = new TreeMap<>();

  /** Numbers of the tasks that are done or placed. */
  final BitSet doneOrPlaced = new BitSet();

  int done;
  final Map<Integer, LiveAttempt> liveAttempts = new HashMap<>();

  /** The live attempts by machine, because each view covers one machine. */
  private final Map<String, Map<Integer, LiveAttempt>> liveAttemptsOn = new HashMap<>();

  final List<ReceivedOffer> offers = new ArrayList<>();
  final List<EndedAttempt> unrecordedEnds = new ArrayList<>();

  /** Attempts that appear in views but are not recorded. */
  final Strays strays = new Strays();

  /** Machines whose latest view has not been compared with the current records. */
  final Set<String> hostsToCompare = new HashSet<>();

  /** Number of wants queued, by machine. */
  final Map<String, Integer> queuedWants = new HashMap<>();

  /** Until when each machine is not considered, after it refused or failed a task. */
  final Map<String, Double> avoidUntil = new HashMap<>();

  /** When a task of the job first failed on each machine. */
  final Map<String, Double> failedOn = new HashMap<>();

  /** How well each kind of machine suits this job, by index of the kind. */
  final List<CandidateSelection.MachineFit> machineFits = new ArrayList<>();

  /** Spreads jobs over machines of equal cost. */
  final int tieBreaker;

  /** Number of starts in the transaction in flight. */
  int startsInFlight;

  /** Number of tasks that wants were queued for in the last scan of all machines. */
  int tasksAtLastScan;

  /** When all machines are scanned again. */
  double nextFullScanAt;

  /** Interval until the scan after the next one; see {@link WantPlacement}. */
  double fullScanIntervalS = WantPlacement.MIN_FULL_SCAN_INTERVAL_S;

  /** Value of {@link MachineTable#capacityIncreases} at the last scan for freed capacity. */
  long capacityIncreasesSeen;

  /** When freed capacity was last scanned for. */
  double freedCapacityScanAt;

  /** Latest time at which pending changes are written; infinite if no flush is scheduled. */
  double flushDueAt = Double.POSITIVE_INFINITY;

  /** Since when more of the team's limit is granted than the job should keep; infinite if not. */
  double grantUnusedSince = Double.POSITIVE_INFINITY;

  /** Task counts last published to the other controllers. */
  int publishedDone;

  int publishedRunning;
  int publishedPlaced;

  /**
   * Under scarcity, the number of machines and, as a multiple of the wanted tasks, the number of
   * wants that a scan covers; grows by one per tick.
   */
  int reach;

  int rank = DeadlineRanking.ON_TIME;

  /** Priority of the queued wants: the job's own, or a higher one while its start is overdue. */
  int priority;

  /** Jobs of the same class are interchangeable when they search for capacity. */
  final SearchThrottle.EquivalenceClass equivalenceClass;

  /** Whether the job does not search because enough equivalent jobs before it do. */
  boolean searchThrottled;

  StartEscalation.Stage startStage = StartEscalation.Stage.NONE;

  /** When the reach grows next. */
  double nextTick;

  /** Since when the job has waited for capacity without being served. */
  double unservedSince;

  /** No task is placed before this time, after failures or as a requeue delay. */
  double notBefore;

  /** Transactions of the job in a row that were malformed, and from when it writes again. */
  int malformedWrites;

  double writableFrom;

  /** Image fetches longer than this lose to waiting for a machine with a faster fetch. */
  double maxFetchS = Double.POSITIVE_INFINITY;

  double preemptedAt = Double.NEGATIVE_INFINITY;
  int preemptionsRequested;
  int failures;

  /** Whether the log already has a line that the job's start is overdue. */
  boolean overdueLogged;

  /** Whether this claim has seen a task complete; that may not be recorded yet. */
  boolean completedTaskSeen;

  Claim(JobRecord record, long revision, int reach, double now) {
    this.record = record;
    this.spec = record.spec();
    this.size = spec.taskResources();
    this.revision = revision;
    this.reach = reach;
    this.unservedSince = now;
    this.nextTick = now;
    this.equivalenceClass = SearchThrottle.EquivalenceClass.of(spec);
    this.priority = spec.priority().ordinal();
    this.tieBreaker = spec.id().hashCode() * 0x85EBCA6B;
  }

  String id() {
    return spec.id();
  }

  boolean open() {
    return record.status() == JobRecord.Status.OPEN;
  }

  /** Whether tasks of the job may be placed and started. */
  boolean isStartable() {
    return open() && !endRequested;
  }

  /** How long ago the job was accepted, in seconds. */
  double ageS(long nowMs) {
    return (nowMs - record.acceptedMs()) / 1000.0;
  }

  /** Tasks that are neither done nor placed. */
  int unstarted() {
    if (!isStartable()) {
      return 0;
    }
    int blocked = strays.isEmpty() ? 0 : strays.blockedOutside(doneOrPlaced);
    return spec.tasks() - doneOrPlaced.cardinality() - blocked;
  }

  /**
   * The first task at or after this number that may be placed. The result may exceed the job's last
   * task number.
   */
  int nextUnplaced(int from) {
    int number = doneOrPlaced.nextClearBit(from);
    while (!strays.isEmpty() && strays.blocks(number)) {
      number = doneOrPlaced.nextClearBit(number + 1);
    }
    return number;
  }

  /** How many more tasks the team's limit allows: unused grants plus the remaining quota. */
  int startsAllowed(Quotas.Quota quota) {
    long granted = Math.max(0, record.granted() - liveAttempts.size() - startsInFlight);
    return (int) Math.min(Integer.MAX_VALUE, granted + quota.remainingTasks(size));
  }

  /** Whether tasks have failed on at least two machines and none has ever completed. */
  boolean isSuspectedFaulty() {
    return failedOn.size() >= 2 && !hasCompletedTask();
  }

  /** Whether any task has completed, recorded or about to be. */
  boolean hasCompletedTask() {
    return completedTaskSeen || done > 0;
  }

  /** Replaces a chunk and brings the derived task and attempt state up to date. */
  void installChunk(int index, Chunk chunk) {
    Chunk old = chunks.put(index, chunk);
    int base = index * Chunk.TASKS_PER_CHUNK;
    done += chunk.done.cardinality() - (old == null ? 0 : old.done.cardinality());
    doneOrPlaced.clear(base, base + Chunk.TASKS_PER_CHUNK);
    chunk.done.stream().forEach(n -> doneOrPlaced.set(base + n));
    for (int n = base; n < base + Chunk.TASKS_PER_CHUNK && n < spec.tasks(); n++) {
      Placement placement = chunk.placed.get(n - base);
      LiveAttempt known = liveAttempts.get(n);
      if (placement == null) {
        removeLiveAttempt(n);
      } else {
        doneOrPlaced.set(n);
        if (known == null || !known.placement.equals(placement)) {
          removeLiveAttempt(n);
          LiveAttempt attempt = new LiveAttempt(placement);
          liveAttempts.put(n, attempt);
          liveAttemptsOn.computeIfAbsent(placement.host(), host -> new HashMap<>()).put(n, attempt);
        }
      }
    }
  }

  private void removeLiveAttempt(int number) {
    LiveAttempt old = liveAttempts.remove(number);
    if (old != null) {
      liveAttemptsOn.computeIfPresent(
          old.placement.host(),
          (host, attempts) -> {
            attempts.remove(number);
            return attempts.isEmpty() ? null : attempts;
          });
    }
  }

  /** The live attempts on a machine, by task number. */
  Map<Integer, LiveAttempt> liveAttemptsOn(String host) {
    return liveAttemptsOn.getOrDefault(host, Map.of());
  }

  /** The machines with live attempts. */
  Set<String> hosts() {
    return liveAttemptsOn.keySet();
  }

  void clearLiveAttempts() {
    liveAttempts.clear();
    liveAttemptsOn.clear();
  }

  void clearChunks() {
    chunks.clear();
    doneOrPlaced.clear();
    clearLiveAttempts();
    unrecordedEnds.clear();
    done = 0;
  }
}
