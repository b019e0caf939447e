package dev.dunefront.job;

import dev.dunefront.evidence.Invariant;
import dev.dunefront.job.FinalStatuses.FinalStatus;
import dev.dunefront.job.FinalStatuses.Source;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.metrics.SafetyMonitor;
import dev.dunefront.net.Timers;
import dev.dunefront.store.ReadBarrier;
import dev.dunefront.store.Replica;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.StateStore.Outcome;
import dev.dunefront.store.StateStore.RequestPriority;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The jobs known to this controller: live records from the replica, and a bounded cache of final
 * statuses, which never change.
 */
public final class JobTable {
  /**
   * Age from which a cancellation that the replica does not show is checked against the state
   * service. The replica's updates and the peers' announcements normally arrive earlier.
   */
  private static final int UNCONFIRMED_AFTER_S = 10;

  /**
   * A live record, the version of its key in the state service, and the id of the write that stored
   * it.
   */
  public record Entry(JobRecord record, long revision, String writeId) {}

  /** Notified when a live record changes. */
  public interface Listener {
    /**
     * Called after a change.
     *
     * @param before the previous entry, or null if the record is new
     * @param entry the new entry, or null if the record was removed
     */
    void jobChanged(String id, Entry before, Entry entry);
  }

  /**
   * Result of looking up a job.
   *
   * @param outcome OK if the job was found; with REFUSED and UNKNOWN nothing is known
   * @param entry the live record, or null if the status comes from a final record or nothing was
   *     found
   * @param status the status that may be reported to users, or null if nothing was found
   */
  public record LookupResult(Outcome outcome, Entry entry, ConfirmedStatus status) {}

  private final StateStore store;
  private final Replica replica;
  private final Timers timers;
  private final SafetyMonitor safety;
  private final PendingCancellations cancellations;
  private final FinalStatuses finalStatuses;
  private boolean verifying;
  private final Map<String, Entry> liveEntries = new HashMap<>();
  private final List<Listener> listeners = new ArrayList<>();

  public JobTable(StateStore store, Replica replica, Timers timers, SafetyMonitor safety) {
    this.store = store;
    this.timers = timers;
    this.safety = safety;
    this.finalStatuses = new FinalStatuses(safety);
    this.cancellations = new PendingCancellations(timers);
    this.replica = replica;
    replica.addListener(JobRecord.PREFIX, this::onReplicaChange);
  }

  private void onReplicaChange(String id, Document value, long revision) {
    Entry entry = null;
    Entry known = liveEntries.get(id);
    if (value == null) {
      liveEntries.remove(id);
      cancellations.remove(id);
      finalStatuses.recordRemoved(id, revision);
      if (known != null && known.record.status() == Status.CANCELLED) {
        finalStatuses.add(
            id, new FinalStatus(Status.CANCELLED, Source.REPLICA, revision, null, true));
      }
    } else if (isShownAgain(id, revision)) {
      return;
    } else {
      try {
        entry =
            new Entry(
                JobRecord.fromDocument(value, known == null ? null : known.record.spec()),
                revision,
                value.textOr(StateStore.WRITE_ID_FIELD, ""));
        liveEntries.put(id, entry);
        if (entry.record.status() == Status.DONE) {
          finalStatuses.add(
              id, new FinalStatus(Status.DONE, Source.REPLICA, revision, null, false));
        } else if (entry.record.status() == Status.CANCELLED) {
          cancellations.add(id);
        }
      } catch (MalformedMessageException | IllegalArgumentException e) {
        throw new IllegalStateException("job record " + id + " cannot be read", e);
      }
    }
    for (Listener l : listeners) {
      l.jobChanged(id, known, entry);
    }
  }

  /** Whether a record would be shown again after its removal, which is a violation. */
  private boolean isShownAgain(String id, long revision) {
    FinalStatus ended = finalStatuses.get(id);
    if (ended == null || !ended.recordRemoved()) {
      return false;
    }
    safety.invariantViolated(
        Invariant.ENDED_JOB_SHOWN_AGAIN,
        "job " + id + ": known " + ended + ", now a live record of revision " + revision);
    return true;
  }

  public void addListener(Listener listener) {
    listeners.add(listener);
  }

  public Entry get(String id) {
    return liveEntries.get(id);
  }

  public Collection<Entry> all() {
    return liveEntries.values();
  }

  /**
   * The job's final status, or null if none is known. A cancelled job has none while its live
   * record exists, because its tasks may not have ended yet.
   */
  public Status finalStatus(String id) {
    FinalStatus known = finalStatuses.get(id);
    return known == null ? null : known.status();
  }

  /** The job's final status as an answer to users, or null if none is known. */
  ConfirmedStatus confirmedFinalStatus(String id) {
    FinalStatus known = finalStatuses.get(id);
    return known == null ? null : ConfirmedStatus.of(known);
  }

  /** Whether the job is known to be cancelled or done, so that none of its tasks may be started. */
  public boolean isEndingOrEnded(String id) {
    Entry e = liveEntries.get(id);
    return finalStatuses.contains(id)
        || cancellations.contains(id)
        || e != null && e.record.status() != Status.OPEN;
  }

  /** Cancelled jobs whose final status is not recorded yet. */
  public PendingCancellations cancellations() {
    return cancellations;
  }

  /**
   * Reads the final status of the oldest pending cancellation whose job the replica does not show.
   * The job may have been created and removed while the replica did not advance, and the
   * announcement of its end may have been lost; nothing else would remove the entry. Older entries
   * whose live record exists are skipped: they may wait long for an unreachable machine and must
   * not block this check. Called periodically.
   */
  public void verifyOldestCancellation() {
    if (verifying || store.unavailable()) {
      return;
    }
    String id = cancellations.oldest(UNCONFIRMED_AFTER_S, job -> !liveEntries.containsKey(job));
    if (id == null) {
      return;
    }
    verifying = true;
    readFinalStatus(
        id,
        RequestPriority.BACKGROUND,
        found -> {
          verifying = false;
          if (found.outcome() == Outcome.OK || found.outcome() == Outcome.NOT_FOUND) {
            cancellations.remove(id);
          }
        });
  }

  /** Another controller has announced that it recorded the job's cancellation. */
  public void cancellationRecorded(String id) {
    if (!finalStatuses.contains(id)) {
      cancellations.add(id);
    }
  }

  /** Applies a live record that this controller has written, at the version of its key. */
  public void applyOwnWrite(String id, JobRecord record, String writeId, long revision) {
    replica.apply(JobRecord.key(id), record.toDocument(writeId), revision);
  }

  /** Stores a final status that another controller has announced after it was recorded. */
  public void finalStatusAnnounced(String id, Status status, String peer) {
    finalStatuses.add(id, new FinalStatus(status, Source.PEER, 0, peer, false));
    cancellations.remove(id);
  }

  /** Applies a final status that this controller has written and removes the live record. */
  public void applyOwnFinalWrite(String id, Status status, long revision) {
    finalStatuses.add(id, new FinalStatus(status, Source.OWN_WRITE, revision, null, true));
    cancellations.remove(id);
    replica.apply(JobRecord.key(id), null, revision);
  }

  /**
   * Reads a job's current status from the state service. A job's record moves from the live to the
   * final key and never back, so reading the live key first and then the final key cannot miss it.
   */
  public void readCurrent(String id, RequestPriority priority, Consumer<LookupResult> then) {
    ConfirmedStatus known = confirmedFinalStatus(id);
    if (known != null) {
      then.accept(new LookupResult(Outcome.OK, null, known));
      return;
    }
    double requestedAt = timers.now();
    store.get(
        JobRecord.key(id),
        priority,
        result -> {
          if (result.outcome() == Outcome.OK) {
            replica.apply(JobRecord.key(id), result.value(), result.revision());
            Entry e = liveEntries.get(id);
            if (e != null) {
              then.accept(new LookupResult(Outcome.OK, e, ConfirmedStatus.ofRead(e, requestedAt)));
            } else {
              // The live record was removed while the read was in flight.
              readFinalStatus(id, priority, then);
            }
          } else if (result.outcome() == Outcome.NOT_FOUND) {
            readFinalStatus(id, priority, then);
          } else {
            then.accept(new LookupResult(result.outcome(), null, null));
          }
        });
  }

  /**
   * Looks a job up in the replica, which was confirmed to be current. Null if it is unknown here:
   * then it has ended, or was never accepted.
   */
  LookupResult lookUp(String id, ReadBarrier.Confirmation confirmation) {
    ConfirmedStatus known = confirmedFinalStatus(id);
    if (known != null) {
      return new LookupResult(Outcome.OK, liveEntries.get(id), known);
    }
    Entry e = liveEntries.get(id);
    return e == null
        ? null
        : new LookupResult(Outcome.OK, e, ConfirmedStatus.ofReplica(e, confirmation));
  }

  /**
   * Reads the final record of a job that has no live record, as a read or a confirmed replica has
   * shown before. The job may have become live since.
   */
  void readFinalStatus(String id, RequestPriority priority, Consumer<LookupResult> then) {
    double requestedAt = timers.now();
    store.get(
        JobRecord.finalKey(id),
        priority,
        result -> {
          if (result.outcome() == Outcome.OK) {
            finalStatuses.add(id, readFinalStatus(id, result));
          }
          ConfirmedStatus known = confirmedFinalStatus(id);
          Entry live = liveEntries.get(id);
          if (known != null) {
            then.accept(new LookupResult(Outcome.OK, null, known));
          } else if (result.outcome() == Outcome.NOT_FOUND && live != null) {
            // The job was accepted while the final record was being read.
            then.accept(
                new LookupResult(Outcome.OK, live, ConfirmedStatus.ofRead(live, requestedAt)));
          } else {
            then.accept(new LookupResult(result.outcome(), null, null));
          }
        });
  }

  private static FinalStatus readFinalStatus(String id, StateStore.GetResult result) {
    try {
      Status status = JobRecord.finalStatusFromDocument(result.value());
      return new FinalStatus(status, Source.READ, result.revision(), null, false);
    } catch (MalformedMessageException | IllegalArgumentException e) {
      throw new IllegalStateException("final record " + id + " cannot be read", e);
    }
  }
}
