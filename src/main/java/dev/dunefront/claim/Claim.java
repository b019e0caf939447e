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

/** A job that this controller has claimed. */
final class Claim {
  /** An offer that waits to be taken or declined. */
  record ReceivedOffer(String holder, Message.Offer offer, double receivedAt) {}

  /** Why an attempt is over. */
  enum AttemptOutcome {
    DONE,
    STOPPED,
    FAILED,
    REFUSED,
    LOST
  }

  /** An end to be recorded, with its proof. */
  record EndedAttempt(int number, Placement placement, AttemptOutcome outcome, EndProof proof) {
    /** Whether the proof rests on the record of who holds the machine. */
    boolean conditional() {
      return proof.conditional();
    }

    /** The version of that record on which it rests. */
    long holdRevision() {
      return proof.basis().holdRevision();
    }
  }

  /** What is known of a placed task beyond its record. */
  static final class LiveAttempt {
    final Placement placement;
    Message.State state = Message.State.PENDING;
    double runningSince;
    double probedAt;
    double stopSentAt;
    boolean ended;

    /** The holder's last word showed this attempt. */
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
   * Its record says that the job is to end, and this claim has yet to read that: the state service
   * may refuse this controller alone. Until then nothing of it is placed or started.
   */
  boolean endRequested;

  final TreeMap<Integer, Chunk> chunks = new TreeMap<>();

  /** Tasks that are done or placed. */
  final BitSet doneOrPlaced = new BitSet();

  int done;
  final Map<Integer, LiveAttempt> liveAttempts = new HashMap<>();

  /** The same by machine, for what a holder says concerns one machine. */
  private final Map<String, Map<Integer, LiveAttempt>> liveAttemptsOn = new HashMap<>();

  final List<ReceivedOffer> offers = new ArrayList<>();
  final List<EndedAttempt> unrecordedEnds = new ArrayList<>();

  /** Attempts that are shown and not recorded. */
  final Strays strays = new Strays();

  /** Machines whose last view has not been compared with what is recorded now. */
  final Set<String> hostsToCompare = new HashSet<>();

  /** Wants parked, by machine. */
  final Map<String, Integer> queuedWants = new HashMap<>();

  final Map<String, Double> avoidUntil = new HashMap<>();

  /** On which machines its tasks have failed, and since when. */
  final Map<String, Double> failedOn = new HashMap<>();

  /** What each kind of machine is to this job, by the kind's index. */
  final List<CandidateSelection.MachineFit> machineFits = new ArrayList<>();

  /** Spreads jobs over machines that are equally good. */
  final int tieBreaker;

  /** Starts in the transaction under way. */
  int startsInFlight;

  /** For how many tasks wants were last parked, and when all machines are looked at again. */
  int tasksAtLastScan;

  double nextFullScanAt;
  double fullScanIntervalS = WantPlacement.MIN_FULL_SCAN_INTERVAL_S;

  /** The openings of room that have been looked at, and when. */
  long capacityIncreasesSeen;

  double freedCapacityScanAt;

  /** When what waits to be recorded is written at the latest. */
  double flushDueAt = Double.POSITIVE_INFINITY;

  /** Since when it has been granted more of its team's limit than it is to have. */
  double grantUnusedSince = Double.POSITIVE_INFINITY;

  /** Counts last told to the other controllers. */
  int publishedDone;

  int publishedRunning;
  int publishedPlaced;
  int reach;
  int rank = DeadlineRanking.ON_TIME;

  /** Under which its wants are parked; that of the job, or a greater one until it has begun. */
  int priority;

  /** What it has in common with jobs like it, and whether it waits behind such. */
  final SearchThrottle.EquivalenceClass equivalenceClass;

  boolean searchThrottled;

  StartEscalation.Stage startStage = StartEscalation.Stage.NONE;
  double nextTick;
  double unservedSince;
  double notBefore;

  /** A longer fetch is too slow, for other machines become free before. */
  double maxFetchS = Double.POSITIVE_INFINITY;

  double preemptedAt = Double.NEGATIVE_INFINITY;
  int preemptionsRequested;
  int failures;

  /** That it has not begun in time has been said. */
  boolean overdueLogged;

  /** A task has been done, as far as this claim has seen; perhaps not recorded yet. */
  boolean completedTaskSeen;

  Claim(JobRecord record, long stamp, int reach, double now) {
    this.record = record;
    this.spec = record.spec();
    this.size = spec.taskResources();
    this.revision = stamp;
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

  /** Whether tasks of it may be placed and started. */
  boolean startable() {
    return open() && !endRequested;
  }

  /** How long ago the job was accepted, in seconds. */
  double ageS(long nowMs) {
    return (nowMs - record.acceptedMs()) / 1000.0;
  }

  /** Tasks that are neither done nor placed. */
  int unstarted() {
    if (!startable()) {
      return 0;
    }
    int blocked = strays.isEmpty() ? 0 : strays.blockedOutside(doneOrPlaced);
    return spec.tasks() - doneOrPlaced.cardinality() - blocked;
  }

  /** The first task from this number on that may be placed; there may be none so high. */
  int nextUnplaced(int from) {
    int number = doneOrPlaced.nextClearBit(from);
    while (!strays.isEmpty() && strays.blocks(number)) {
      number = doneOrPlaced.nextClearBit(number + 1);
    }
    return number;
  }

  /** How many tasks more the team's limit lets start: what is granted already, and what is left. */
  int startsAllowed(Quotas.Quota quota) {
    long granted = Math.max(0, record.granted() - liveAttempts.size() - startsInFlight);
    return (int) Math.min(Integer.MAX_VALUE, granted + quota.remainingTasks(size));
  }

  /** A job whose tasks fail wherever they run, as far as has been seen. */
  boolean suspectedFaulty() {
    return failedOn.size() >= 2 && !hasCompletedTask();
  }

  /** Whether a task of it has ever been done, recorded or about to be. */
  boolean hasCompletedTask() {
    return completedTaskSeen || done > 0;
  }

  void installChunk(int index, Chunk chunk) {
    Chunk old = chunks.put(index, chunk);
    int base = index * Chunk.TASKS_PER_CHUNK;
    done += chunk.done.cardinality() - (old == null ? 0 : old.done.cardinality());
    doneOrPlaced.clear(base, base + Chunk.TASKS_PER_CHUNK);
    chunk.done.stream().forEach(n -> doneOrPlaced.set(base + n));
    for (int n = base; n < base + Chunk.TASKS_PER_CHUNK && n < spec.tasks(); n++) {
      Placement p = chunk.placed.get(n - base);
      LiveAttempt known = liveAttempts.get(n);
      if (p == null) {
        removeLiveAttempt(n);
      } else {
        doneOrPlaced.set(n);
        if (known == null || !known.placement.equals(p)) {
          removeLiveAttempt(n);
          LiveAttempt l = new LiveAttempt(p);
          liveAttempts.put(n, l);
          liveAttemptsOn.computeIfAbsent(p.host(), h -> new HashMap<>()).put(n, l);
        }
      }
    }
  }

  private void removeLiveAttempt(int number) {
    LiveAttempt old = liveAttempts.remove(number);
    if (old != null) {
      liveAttemptsOn.computeIfPresent(
          old.placement.host(),
          (h, on) -> {
            on.remove(number);
            return on.isEmpty() ? null : on;
          });
    }
  }

  /** The placed tasks on a machine. */
  Map<Integer, LiveAttempt> liveAttemptsOn(String host) {
    return liveAttemptsOn.getOrDefault(host, Map.of());
  }

  /** The machines with placed tasks. */
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
