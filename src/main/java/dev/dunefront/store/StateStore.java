package dev.dunefront.store;

import dev.dunefront.wire.Document;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/** What the rest of the program may ask of the state service. Answers come outside any lock. */
public interface StateStore {
  /** The mark in every value that tells who wrote it, by which unclear writes are read back. */
  String WRITE_ID_FIELD = "w";

  /** What became of a request. */
  enum Outcome {
    OK,
    /** The key does not exist, or the lease has ended. */
    NOT_FOUND,
    /** A condition failed; nothing was changed. */
    CONFLICT,
    /** Not carried out: the service refused, or the budget is spent. */
    REFUSED,
    /** Nobody knows whether it was carried out. */
    UNKNOWN
  }

  /** Whose work a request is; in the order in which it goes. */
  enum RequestPriority {
    USER,
    /** What keeps a worker's lease alive. */
    LEASE,
    CORE,
    BACKGROUND
  }

  /** A value and its stamp, if it was found. */
  record GetResult(Outcome outcome, Document value, long revision) {}

  /** A key with its value and stamp. */
  record KeyValue(String key, Document value, long revision) {}

  /** All keys of a prefix, at or after a revision. */
  record RangeResult(Outcome outcome, List<KeyValue> pairs, long revision) {}

  /**
   * What became of a transaction or lease: its revision or id; on conflict, the keys that failed.
   */
  record WriteResult(Outcome outcome, long revision, List<String> failed) {
    public boolean ok() {
      return outcome == Outcome.OK;
    }
  }

  /** A change seen by a watch; a null value means removed. */
  record WatchEvent(String key, Document value, long revision) {}

  /** Changes up to a revision; or that the revision asked for is too old to tell. */
  record WatchResult(Outcome outcome, List<WatchEvent> events, long revision, boolean compacted) {}

  void get(String key, RequestPriority urgency, Consumer<GetResult> then);

  /** Reads every key with the prefix, page after page. */
  void range(String prefix, RequestPriority urgency, Consumer<RangeResult> then);

  /** One attempt, for callers that would rather hear UNCLEAR than wait. */
  void tryTxn(Txn txn, RequestPriority urgency, Consumer<WriteResult> then);

  /**
   * Repeats the transaction until its outcome is certain, through outages too. The first value put
   * must carry {@code mark} under {@link #WRITE_ID_FIELD}.
   */
  void commit(Txn txn, String mark, RequestPriority urgency, Consumer<WriteResult> then);

  /** The same, as part of the ordinary work. */
  default void commit(Txn txn, String mark, Consumer<WriteResult> then) {
    commit(txn, mark, RequestPriority.CORE, then);
  }

  void watch(String prefix, long from, double blockS, Consumer<WatchResult> then);

  /** Answers with the lease's id as revision. */
  void grantLease(double lifeS, Consumer<WriteResult> then);

  void renewLease(long tenancy, Consumer<WriteResult> then);

  /** How long a change would wait now before it is sent. */
  double writeDelayS();

  /** So many changes are about to be asked for; what lacks is borrowed, if others have some. */
  void anticipateWrites(int changes);

  /** Hears of how many changes are lacking for what waits or is about to come. */
  void onWriteShortage(IntConsumer listener);

  /** Gives away up to so many changes that nothing here waits for; says how many. */
  int lendWrites(int changes);

  /** Another controller has given so many of its changes. */
  void addBorrowedWrites(int changes);

  /** What a controller asks of the service in a second. */
  record Usage(double requestsPerS, double writesPerS) {}

  /** What was asked since this was last called, and is still waiting. */
  Usage takeUsage();

  /** Shares the common budget with the other living controllers by what each asks for. */
  void updateShares(Usage own, Collection<Usage> others);

  /**
   * Whether the service refused the last request that it answered, or answers nothing: whoever asks
   * for something now need not wait for it.
   */
  boolean unavailable();

  /** A mark that nobody has used before. */
  String newWriteId();
}
