package dev.dunefront.job;

import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.net.Timers;
import dev.dunefront.store.Replica;
import dev.dunefront.store.Store;
import dev.dunefront.store.Store.Outcome;
import dev.dunefront.store.Store.Urgency;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The jobs known to this controller: live records from the replica, and a bounded cache of final
 * statuses, which never change.
 */
public final class JobTable {
  /** Final statuses kept; the least recently used is evicted. */
  private static final int FINALS = 50_000;

  /**
   * Age from which a cancellation that the replica does not show is checked against the state
   * service. The replica's updates and the peers' announcements normally arrive earlier.
   */
  private static final int FORGOTTEN_S = 10;

  /** A live record and the version of its key in the state service. */
  public record Entry(JobRecord record, long stamp) {}

  /** Notified when a live record changes. */
  public interface Listener {
    /**
     * Called after a change.
     *
     * @param before the previous entry, or null if the record is new
     * @param entry the new entry, or null if the record was removed
     */
    void changed(String id, Entry before, Entry entry);
  }

  /**
   * Result of looking up a job.
   *
   * @param outcome OK if the job was found; with REFUSED and UNCLEAR nothing is known
   * @param entry the live record, or null if the status comes from a final record or nothing was
   *     found
   * @param status the status to report to users, or null if nothing was found
   */
  public record Found(Outcome outcome, Entry entry, Status status) {}

  private final Store store;
  private final Replica replica;
  private final Cancellations cancellations;
  private boolean tidying;
  private final Map<String, Entry> live = new HashMap<>();
  private final List<Listener> listeners = new ArrayList<>();
  private final Map<String, Status> finals =
      new LinkedHashMap<>(256, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Status> eldest) {
          return size() > FINALS;
        }
      };

  public JobTable(Store store, Replica replica, Timers timers) {
    this.store = store;
    this.cancellations = new Cancellations(timers);
    this.replica = replica;
    replica.listen(JobRecord.PREFIX, this::changed);
  }

  private void changed(String id, Doc value, long stamp) {
    Entry entry = null;
    Entry known = live.get(id);
    if (value == null) {
      live.remove(id);
      cancellations.remove(id);
      if (known != null && known.record.status() == Status.CANCELLED) {
        finals.put(id, Status.CANCELLED);
      }
    } else {
      try {
        entry = new Entry(JobRecord.read(value, known == null ? null : known.record.spec()), stamp);
        live.put(id, entry);
        if (entry.record.status() == Status.DONE) {
          finals.put(id, Status.DONE);
        } else if (entry.record.status() == Status.CANCELLED) {
          cancellations.add(id);
        }
      } catch (BadMessage | IllegalArgumentException e) {
        throw new IllegalStateException("job record " + id + " cannot be read", e);
      }
    }
    for (Listener l : listeners) {
      l.changed(id, known, entry);
    }
  }

  public void listen(Listener listener) {
    listeners.add(listener);
  }

  public Entry get(String id) {
    return live.get(id);
  }

  public Collection<Entry> all() {
    return live.values();
  }

  /**
   * The job's final status, or null if none is known. A cancelled job has none while its live
   * record exists, because its tasks may not have ended yet.
   */
  public Status finalStatus(String id) {
    return finals.get(id);
  }

  /** Whether the job is known to be cancelled or done, so that none of its tasks may be started. */
  public boolean over(String id) {
    Entry e = live.get(id);
    return finals.containsKey(id)
        || cancellations.contains(id)
        || e != null && e.record.status() != Status.OPEN;
  }

  /** Cancelled jobs whose final status is not recorded yet. */
  public Cancellations cancellations() {
    return cancellations;
  }

  /**
   * Reads the final status of the oldest pending cancellation whose job the replica does not show.
   * The job may have been created and removed while the replica did not advance, and the
   * announcement of its end may have been lost; nothing else would remove the entry. Older entries
   * whose live record exists are skipped: they may wait long for an unreachable machine and must
   * not block this check. Called periodically.
   */
  public void tidy() {
    if (tidying || store.down()) {
      return;
    }
    String id = cancellations.oldest(FORGOTTEN_S, job -> !live.containsKey(job));
    if (id == null) {
      return;
    }
    tidying = true;
    readEnded(
        id,
        Urgency.BACKGROUND,
        found -> {
          tidying = false;
          if (found.outcome() == Outcome.OK || found.outcome() == Outcome.MISSING) {
            cancellations.remove(id);
          }
        });
  }

  /** Another controller has announced that it recorded the job's cancellation. */
  public void cancelling(String id) {
    if (!finals.containsKey(id)) {
      cancellations.add(id);
    }
  }

  /** Applies a live record that this controller has written, at the version of its key. */
  public void wrote(String id, JobRecord record, String mark, long stamp) {
    replica.apply(JobRecord.key(id), record.write(mark), stamp);
  }

  /** Stores a final status that is recorded in the state service. */
  public void ended(String id, Status status) {
    finals.put(id, status);
    cancellations.remove(id);
  }

  /** Applies a final status that this controller has written and removes the live record. */
  public void finished(String id, Status status, long revision) {
    ended(id, status);
    replica.apply(JobRecord.key(id), null, revision);
  }

  /**
   * Reads a job's current status from the state service. A job's record moves from the live to the
   * final key and never back, so reading the live key first and then the final key cannot miss it.
   */
  public void read(String id, Urgency urgency, Consumer<Found> then) {
    Status known = finals.get(id);
    if (known != null) {
      then.accept(new Found(Outcome.OK, null, known));
      return;
    }
    store.get(
        JobRecord.key(id),
        urgency,
        got -> {
          if (got.outcome() == Outcome.OK) {
            replica.apply(JobRecord.key(id), got.value(), got.stamp());
            Entry e = live.get(id);
            if (e != null) {
              then.accept(new Found(Outcome.OK, e, saidOf(e.record)));
            } else {
              // The live record was removed while the read was in flight.
              readEnded(id, urgency, then);
            }
          } else if (got.outcome() == Outcome.MISSING) {
            readEnded(id, urgency, then);
          } else {
            then.accept(new Found(got.outcome(), null, null));
          }
        });
  }

  /** The status to report: a job is not reported as cancelled until all its tasks have ended. */
  private static Status saidOf(JobRecord record) {
    return record.status() == Status.CANCELLED ? Status.OPEN : record.status();
  }

  /**
   * Looks a job up in this table, without a read. Null if it is unknown here: then it has ended, or
   * was never accepted.
   */
  Found shown(String id) {
    Status known = finals.get(id);
    if (known != null) {
      return new Found(Outcome.OK, live.get(id), known);
    }
    Entry e = live.get(id);
    return e == null ? null : new Found(Outcome.OK, e, saidOf(e.record));
  }

  /** Reads the final record of a job without a live record; the job may have become live since. */
  void readEnded(String id, Urgency urgency, Consumer<Found> then) {
    store.get(
        JobRecord.finalKey(id),
        urgency,
        got -> {
          if (got.outcome() != Outcome.OK) {
            // The job may have been accepted while the final record was being read.
            Found accepted = got.outcome() == Outcome.MISSING ? shown(id) : null;
            then.accept(accepted != null ? accepted : new Found(got.outcome(), null, null));
            return;
          }
          try {
            Status status = JobRecord.readFinal(got.value());
            finals.put(id, status);
            then.accept(new Found(Outcome.OK, null, status));
          } catch (BadMessage | IllegalArgumentException e) {
            throw new IllegalStateException("final record " + id + " cannot be read", e);
          }
        });
  }
}
