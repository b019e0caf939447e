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

/** What this controller knows of jobs: live records from the replica, and final states for good. */
public final class JobTable {
  private static final int FINALS = 50_000;

  /** The replica shows a job, and others tell of its end, sooner than this. */
  private static final int FORGOTTEN_S = 10;

  /** A live record with its stamp. */
  public record Entry(JobRecord record, long stamp) {}

  /** Hears of changes of live records; before is null for a new one, entry when one is gone. */
  public interface Listener {
    void changed(String id, Entry before, Entry entry);
  }

  /** What a current read found; a final state has no entry. REFUSED and UNCLEAR found nothing. */
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
   * A final state that is known for certain, or null. A cancelled job has none while its live
   * record shows that tasks of it may still be somewhere.
   */
  public Status finalStatus(String id) {
    return finals.get(id);
  }

  /** Whether no task of the job may be started any more, as far as is known here. */
  public boolean over(String id) {
    Entry e = live.get(id);
    return finals.containsKey(id)
        || cancellations.contains(id)
        || e != null && e.record.status() != Status.OPEN;
  }

  /** Jobs that are to end and have not ended. */
  public Cancellations cancellations() {
    return cancellations;
  }

  /**
   * Asks after the oldest cancelled job that the replica does not show. It may have come and gone
   * while the replica stood still, and the word of its end may have been lost: then nothing else
   * would ever tell of it. Older ones that rightly wait, for a machine that cannot be asked, must
   * not keep it from being looked for. Called now and then.
   */
  public void tidy() {
    if (tidying || store.down()) {
      return;
    }
    String id = cancellations.oldest(FORGOTTEN_S, waiting -> !live.containsKey(waiting));
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

  /** Another controller has recorded that the job is to end. */
  public void cancelling(String id) {
    if (!finals.containsKey(id)) {
      cancellations.add(id);
    }
  }

  /** A record or a final state that this controller has written itself. */
  public void wrote(String id, JobRecord record, String mark, long stamp) {
    replica.apply(JobRecord.key(id), record.write(mark), stamp);
  }

  /** Another controller has recorded a final state. */
  public void ended(String id, Status status) {
    finals.put(id, status);
    cancellations.remove(id);
  }

  public void finished(String id, Status status, long revision) {
    ended(id, status);
    replica.apply(JobRecord.key(id), null, revision);
  }

  /**
   * Reads a job as it is now. A record moves from live to final and never back, so reading the live
   * key first and the final key second misses nothing.
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
              // Removed while the read was under way.
              readEnded(id, urgency, then);
            }
          } else if (got.outcome() == Outcome.MISSING) {
            readEnded(id, urgency, then);
          } else {
            then.accept(new Found(got.outcome(), null, null));
          }
        });
  }

  /** A cancelled job is not called so before all its tasks are proven gone. */
  private static Status saidOf(JobRecord record) {
    return record.status() == Status.CANCELLED ? Status.OPEN : record.status();
  }

  /**
   * What the replica shows of a job, or null if nothing: then it is over, or was never accepted.
   */
  Found shown(String id) {
    Status known = finals.get(id);
    if (known != null) {
      return new Found(Outcome.OK, live.get(id), known);
    }
    Entry e = live.get(id);
    return e == null ? null : new Found(Outcome.OK, e, saidOf(e.record));
  }

  /** Reads the final state of a job that was not live a moment ago; it may be by now. */
  void readEnded(String id, Urgency urgency, Consumer<Found> then) {
    store.get(
        JobRecord.finalKey(id),
        urgency,
        got -> {
          if (got.outcome() != Outcome.OK) {
            // It may have been accepted since, while its final record was looked for.
            Found since = got.outcome() == Outcome.MISSING ? shown(id) : null;
            then.accept(since != null ? since : new Found(got.outcome(), null, null));
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
