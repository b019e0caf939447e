package dev.dunefront.job;

import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.net.Timers;
import dev.dunefront.store.Replica;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.StateStore.Outcome;
import dev.dunefront.store.StateStore.RequestPriority;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** What this controller knows of jobs: live records from the replica, and final states for good. */
public final class JobTable {
  private static final int MAX_FINAL_STATUSES = 50_000;

  /** The replica shows a job, and others tell of its end, sooner than this. */
  private static final int UNCONFIRMED_AFTER_S = 10;

  /** A live record with its stamp. */
  public record Entry(JobRecord record, long revision) {}

  /** Hears of changes of live records; before is null for a new one, entry when one is gone. */
  public interface Listener {
    void jobChanged(String id, Entry before, Entry entry);
  }

  /** What a current read found; a final state has no entry. REFUSED and UNCLEAR found nothing. */
  public record LookupResult(Outcome outcome, Entry entry, Status status) {}

  private final StateStore store;
  private final Replica replica;
  private final PendingCancellations cancellations;
  private boolean verifying;
  private final Map<String, Entry> liveEntries = new HashMap<>();
  private final List<Listener> listeners = new ArrayList<>();
  private final Map<String, Status> finalStatuses =
      new LinkedHashMap<>(256, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Status> eldest) {
          return size() > MAX_FINAL_STATUSES;
        }
      };

  public JobTable(StateStore store, Replica replica, Timers timers) {
    this.store = store;
    this.cancellations = new PendingCancellations(timers);
    this.replica = replica;
    replica.addListener(JobRecord.PREFIX, this::onReplicaChange);
  }

  private void onReplicaChange(String id, Document value, long stamp) {
    Entry entry = null;
    Entry known = liveEntries.get(id);
    if (value == null) {
      liveEntries.remove(id);
      cancellations.remove(id);
      if (known != null && known.record.status() == Status.CANCELLED) {
        finalStatuses.put(id, Status.CANCELLED);
      }
    } else {
      try {
        entry =
            new Entry(
                JobRecord.fromDocument(value, known == null ? null : known.record.spec()), stamp);
        liveEntries.put(id, entry);
        if (entry.record.status() == Status.DONE) {
          finalStatuses.put(id, Status.DONE);
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
   * A final state that is known for certain, or null. A cancelled job has none while its live
   * record shows that tasks of it may still be somewhere.
   */
  public Status finalStatus(String id) {
    return finalStatuses.get(id);
  }

  /** Whether no task of the job may be started any more, as far as is known here. */
  public boolean isEndingOrEnded(String id) {
    Entry e = liveEntries.get(id);
    return finalStatuses.containsKey(id)
        || cancellations.contains(id)
        || e != null && e.record.status() != Status.OPEN;
  }

  /** Jobs that are to end and have not ended. */
  public PendingCancellations cancellations() {
    return cancellations;
  }

  /**
   * Asks after the oldest cancelled job that the replica does not show. It may have come and gone
   * while the replica stood still, and the word of its end may have been lost: then nothing else
   * would ever tell of it. Older ones that rightly wait, for a machine that cannot be asked, must
   * not keep it from being looked for. Called now and then.
   */
  public void verifyOldestCancellation() {
    if (verifying || store.unavailable()) {
      return;
    }
    String id =
        cancellations.oldest(UNCONFIRMED_AFTER_S, waiting -> !liveEntries.containsKey(waiting));
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

  /** Another controller has recorded that the job is to end. */
  public void cancellationRecorded(String id) {
    if (!finalStatuses.containsKey(id)) {
      cancellations.add(id);
    }
  }

  /** A record or a final state that this controller has written itself. */
  public void applyOwnWrite(String id, JobRecord record, String mark, long stamp) {
    replica.apply(JobRecord.key(id), record.toDocument(mark), stamp);
  }

  /** Another controller has recorded a final state. */
  public void finalStatusRecorded(String id, Status status) {
    finalStatuses.put(id, status);
    cancellations.remove(id);
  }

  public void applyOwnFinalWrite(String id, Status status, long revision) {
    finalStatusRecorded(id, status);
    replica.apply(JobRecord.key(id), null, revision);
  }

  /**
   * Reads a job as it is now. A record moves from live to final and never back, so reading the live
   * key first and the final key second misses nothing.
   */
  public void readCurrent(String id, RequestPriority urgency, Consumer<LookupResult> then) {
    Status known = finalStatuses.get(id);
    if (known != null) {
      then.accept(new LookupResult(Outcome.OK, null, known));
      return;
    }
    store.get(
        JobRecord.key(id),
        urgency,
        got -> {
          if (got.outcome() == Outcome.OK) {
            replica.apply(JobRecord.key(id), got.value(), got.revision());
            Entry e = liveEntries.get(id);
            if (e != null) {
              then.accept(new LookupResult(Outcome.OK, e, reportedStatus(e.record)));
            } else {
              // Removed while the read was under way.
              readFinalStatus(id, urgency, then);
            }
          } else if (got.outcome() == Outcome.NOT_FOUND) {
            readFinalStatus(id, urgency, then);
          } else {
            then.accept(new LookupResult(got.outcome(), null, null));
          }
        });
  }

  /** A cancelled job is not called so before all its tasks are proven gone. */
  private static Status reportedStatus(JobRecord record) {
    return record.status() == Status.CANCELLED ? Status.OPEN : record.status();
  }

  /**
   * What the replica shows of a job, or null if nothing: then it is over, or was never accepted.
   */
  LookupResult lookUpLocally(String id) {
    Status known = finalStatuses.get(id);
    if (known != null) {
      return new LookupResult(Outcome.OK, liveEntries.get(id), known);
    }
    Entry e = liveEntries.get(id);
    return e == null ? null : new LookupResult(Outcome.OK, e, reportedStatus(e.record));
  }

  /** Reads the final state of a job that was not live a moment ago; it may be by now. */
  void readFinalStatus(String id, RequestPriority urgency, Consumer<LookupResult> then) {
    store.get(
        JobRecord.finalKey(id),
        urgency,
        got -> {
          if (got.outcome() != Outcome.OK) {
            // It may have been accepted since, while its final record was looked for.
            LookupResult since = got.outcome() == Outcome.NOT_FOUND ? lookUpLocally(id) : null;
            then.accept(since != null ? since : new LookupResult(got.outcome(), null, null));
            return;
          }
          try {
            Status status = JobRecord.finalStatusFromDocument(got.value());
            finalStatuses.put(id, status);
            then.accept(new LookupResult(Outcome.OK, null, status));
          } catch (MalformedMessageException | IllegalArgumentException e) {
            throw new IllegalStateException("final record " + id + " cannot be read", e);
          }
        });
  }
}
