package dev.dunefront.store;

import dev.dunefront.wire.Doc;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * Client interface of the state service, a key-value store with transactions, watches and leases.
 * The stamp of a key is the revision of its last change. Callbacks run asynchronously, after the
 * caller has released its lock.
 */
public interface Store {
  /**
   * Field of every value that identifies the write, to resolve unknown outcomes by reading back.
   */
  String MARK = "w";

  /** Outcome of a request. */
  enum Outcome {
    OK,
    /** The key does not exist, or the lease has expired. */
    MISSING,
    /** A condition failed; nothing was changed. */
    CONFLICT,
    /** Not executed: rejected by the service, or expired while queued for the rate limit. */
    REFUSED,
    /** It is unknown whether the request was executed. */
    UNCLEAR
  }

  /** Priority of a request, in the order in which queued requests are sent. */
  enum Urgency {
    USER,
    /** Requests that keep a worker's lease alive. */
    LEASE,
    CORE,
    BACKGROUND
  }

  /** Result of a read; the value is null unless the outcome is {@link Outcome#OK}. */
  record Got(Outcome outcome, Doc value, long stamp) {}

  /** A key with its value and stamp. */
  record Pair(String key, Doc value, long stamp) {}

  /** All keys with a prefix, as of {@code revision} or later. */
  record Range(Outcome outcome, List<Pair> pairs, long revision) {}

  /**
   * Result of a transaction or lease request: its revision or lease ID; after a conflict, the keys
   * whose conditions failed.
   */
  record Done(Outcome outcome, long revision, List<String> failed) {
    public boolean ok() {
      return outcome == Outcome.OK;
    }
  }

  /** A change reported by a watch; a null value means that the key was removed. */
  record Event(String key, Doc value, long stamp) {}

  /**
   * Changes up to {@code revision}; {@code compacted} means that the service cannot return all
   * changes since the requested revision, and the keys must be read anew.
   */
  record Watched(Outcome outcome, List<Event> events, long revision, boolean tooOld) {}

  void get(String key, Urgency priority, Consumer<Got> callback);

  /** Reads all keys with the prefix, page by page. */
  void range(String prefix, Urgency priority, Consumer<Range> callback);

  /** Sends the transaction once, for callers that prefer {@link Outcome#UNCLEAR} to waiting. */
  void tryTxn(Txn txn, Urgency priority, Consumer<Done> callback);

  /**
   * Repeats the transaction until its outcome is certain, also through outages. The first value put
   * must contain {@code writeId} in the field {@link #MARK}.
   */
  void commit(Txn txn, String writeId, Urgency priority, Consumer<Done> callback);

  /** Commits with {@link Urgency#CORE}. */
  default void commit(Txn txn, String writeId, Consumer<Done> callback) {
    commit(txn, writeId, Urgency.CORE, callback);
  }

  void watch(String prefix, long from, double blockS, Consumer<Watched> callback);

  /** Requests a lease; the revision of the result is the lease ID. */
  void grantLease(double ttlS, Consumer<Done> callback);

  void touchLease(long leaseId, Consumer<Done> callback);

  /** Seconds that a write queued now would wait until it is sent. */
  double writeDelayS();

  /**
   * Announces writes that are about to be queued; missing write tokens are borrowed if other
   * controllers have some.
   */
  void anticipate(int writes);

  /**
   * Sets the listener that receives the number of write tokens missing for queued or announced
   * writes.
   */
  void onShort(IntConsumer listener);

  /**
   * Gives up to {@code writes} write tokens to another controller if no write is queued here;
   * returns the number given.
   */
  int lend(int writes);

  /** Adds write tokens lent by another controller. */
  void borrow(int writes);

  /** Requests and writes per second that a controller sends to the service. */
  record Use(double requests, double writes) {}

  /** Usage since the last call, plus the requests and writes that are queued now. */
  Use use();

  /**
   * Divides the rate limit of the service among this and the other live controllers by their usage.
   */
  void share(Use own, Collection<Use> others);

  /**
   * Whether the service is unavailable: its last response was a refusal, or it does not respond.
   * Callers need not wait for it then.
   */
  boolean down();

  /** A write ID that has not been used before. */
  String newMark();
}
