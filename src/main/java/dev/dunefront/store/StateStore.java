package dev.dunefront.store;

import dev.dunefront.wire.Document;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * Client interface of the state service, a key-value store with transactions, watches and leases.
 * The revision of a key, called its stamp on the wire, is that of its last change. Callbacks run
 * asynchronously, after the caller has released its lock.
 */
public interface StateStore {
  /**
   * Field of every value that identifies the write, to resolve unknown outcomes by reading back.
   */
  String WRITE_ID_FIELD = "w";

  /** Outcome of a request. */
  enum Outcome {
    OK,
    /** The key does not exist, or the lease has expired. */
    NOT_FOUND,
    /** A condition failed; nothing was changed. */
    CONFLICT,
    /** Not executed: rejected by the service, or expired while queued for the rate limit. */
    REFUSED,
    /** Not executed and never will be: the request is malformed, or larger than allowed. */
    MALFORMED,
    /** It is unknown whether the request was executed. */
    UNKNOWN
  }

  /** Priority of a request, in the order in which queued requests are sent. */
  enum RequestPriority {
    /** Requests for which a user waits, and those for this controller's lease and duties. */
    USER,
    /** Requests that keep a worker's lease alive. */
    LEASE,
    /** The controller's ordinary work. */
    CORE,
    BACKGROUND
  }

  /** Result of a read; the value is null unless the outcome is {@link Outcome#OK}. */
  record GetResult(Outcome outcome, Document value, long revision) {}

  /** A key with its value and revision. */
  record KeyValue(String key, Document value, long revision) {}

  /** All keys with a prefix, as of {@code revision} or later. */
  record RangeResult(Outcome outcome, List<KeyValue> pairs, long revision) {}

  /**
   * Result of a transaction or lease request: its revision or lease ID; after a conflict, the keys
   * whose conditions failed.
   */
  record WriteResult(Outcome outcome, long revision, List<String> failedKeys) {
    /** The result of a request that was not executed, or whose outcome is unknown. */
    static WriteResult of(Outcome outcome) {
      return new WriteResult(outcome, 0, List.of());
    }

    public boolean ok() {
      return outcome == Outcome.OK;
    }
  }

  /** A change reported by a watch; a null value means that the key was removed. */
  record WatchEvent(String key, Document value, long revision) {}

  /**
   * Changes up to {@code revision}; {@code compacted} means that the service cannot return all
   * changes since the requested revision, and the keys must be read anew.
   */
  record WatchResult(Outcome outcome, List<WatchEvent> events, long revision, boolean compacted) {}

  void get(String key, RequestPriority priority, Consumer<GetResult> callback);

  /** Reads all keys with the prefix, page by page. */
  void range(String prefix, RequestPriority priority, Consumer<RangeResult> callback);

  /** Sends the transaction once, for callers that prefer {@link Outcome#UNKNOWN} to waiting. */
  void tryTxn(Txn txn, RequestPriority priority, Consumer<WriteResult> callback);

  /**
   * Repeats the transaction until its outcome is certain, also through outages. A malformed one is
   * not repeated. The first value put must contain {@code writeId} in the field {@link
   * #WRITE_ID_FIELD}.
   */
  void commit(Txn txn, String writeId, RequestPriority priority, Consumer<WriteResult> callback);

  /** Commits with {@link RequestPriority#CORE}. */
  default void commit(Txn txn, String writeId, Consumer<WriteResult> callback) {
    commit(txn, writeId, RequestPriority.CORE, callback);
  }

  void watch(String prefix, long from, double blockS, Consumer<WatchResult> callback);

  /** Requests a lease; the revision of the result is the lease ID. */
  void grantLease(double ttlS, Consumer<WriteResult> callback);

  void renewLease(long leaseId, Consumer<WriteResult> callback);

  /** Seconds that a write queued now would wait until it is sent. */
  double writeDelayS();

  /**
   * Announces writes that are about to be queued; missing write tokens are borrowed if other
   * controllers have some.
   */
  void anticipateWrites(int writes);

  /**
   * Sets the listener that receives the number of write tokens missing for queued or announced
   * writes.
   */
  void onWriteShortage(IntConsumer listener);

  /**
   * Gives up to {@code writes} write tokens to another controller if no write is queued here;
   * returns the number given.
   */
  int lendWrites(int writes);

  /** Adds write tokens lent by another controller. */
  void addBorrowedWrites(int writes);

  /** Requests and writes per second that a controller sends to the service. */
  record Usage(double requestsPerS, double writesPerS) {}

  /** Usage since the last call, plus the requests and writes that are queued now. */
  Usage takeUsage();

  /**
   * Divides the rate limit of the service among this and the other live controllers by their usage.
   */
  void updateShares(Usage own, Collection<Usage> others);

  /**
   * Whether the service is unavailable: its last response was a refusal, or it does not respond.
   * Callers need not wait for it then.
   */
  boolean unavailable();

  /** Number of requests that were malformed or too large. */
  int malformedCount();

  /** The state service's limits on one transaction. */
  TxnLimits txnLimits();

  /** A write ID that has not been used before. */
  String newWriteId();
}
