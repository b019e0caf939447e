package dev.dunefront.store;

import dev.dunefront.wire.Doc;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/** What the rest of the program may ask of the state service. Answers come outside any lock. */
public interface Store {
  /** The mark in every value that tells who wrote it, by which unclear writes are read back. */
  String MARK = "w";

  /** What became of a request. */
  enum Outcome {
    OK,
    /** The key does not exist, or the lease has ended. */
    MISSING,
    /** A condition failed; nothing was changed. */
    CONFLICT,
    /** Not carried out: the service refused, or the budget is spent. */
    REFUSED,
    /** Nobody knows whether it was carried out. */
    UNCLEAR
  }

  /** Whose work a request is; in the order in which it goes. */
  enum Urgency {
    USER,
    /** What keeps a worker's lease alive. */
    LEASE,
    CORE,
    BACKGROUND
  }

  /** A value and its stamp, if it was found. */
  record Got(Outcome outcome, Doc value, long stamp) {}

  /** A key with its value and stamp. */
  record Pair(String key, Doc value, long stamp) {}

  /** All keys of a prefix, at or after a revision. */
  record Range(Outcome outcome, List<Pair> pairs, long revision) {}

  /**
   * What became of a transaction or lease: its revision or id; on conflict, the keys that failed.
   */
  record Done(Outcome outcome, long revision, List<String> failed) {
    public boolean ok() {
      return outcome == Outcome.OK;
    }
  }

  /** A change seen by a watch; a null value means removed. */
  record Event(String key, Doc value, long stamp) {}

  /** Changes up to a revision; or that the revision asked for is too old to tell. */
  record Watched(Outcome outcome, List<Event> events, long revision, boolean tooOld) {}

  void get(String key, Urgency urgency, Consumer<Got> then);

  /** Reads every key with the prefix, page after page. */
  void range(String prefix, Urgency urgency, Consumer<Range> then);

  /** One attempt, for callers that would rather hear UNCLEAR than wait. */
  void tryTxn(Txn txn, Urgency urgency, Consumer<Done> then);

  /**
   * Repeats the transaction until its outcome is certain, through outages too. The first value put
   * must carry {@code mark} under {@link #MARK}.
   */
  void commit(Txn txn, String mark, Urgency urgency, Consumer<Done> then);

  /** The same, as part of the ordinary work. */
  default void commit(Txn txn, String mark, Consumer<Done> then) {
    commit(txn, mark, Urgency.CORE, then);
  }

  void watch(String prefix, long from, double blockS, Consumer<Watched> then);

  /** Answers with the lease's id as revision. */
  void grantLease(double lifeS, Consumer<Done> then);

  void touchLease(long tenancy, Consumer<Done> then);

  /** How long a change would wait now before it is sent. */
  double writeDelayS();

  /** So many changes are about to be asked for; what lacks is borrowed, if others have some. */
  void anticipate(int changes);

  /** Hears of how many changes are lacking for what waits or is about to come. */
  void onShort(IntConsumer listener);

  /** Gives away up to so many changes that nothing here waits for; says how many. */
  int lend(int changes);

  /** Another controller has given so many of its changes. */
  void borrow(int changes);

  /** What a controller asks of the service in a second. */
  record Use(double requests, double writes) {}

  /** What was asked since this was last called, and is still waiting. */
  Use use();

  /** Shares the common budget with the other living controllers by what each asks for. */
  void share(Use own, Collection<Use> others);

  /**
   * Whether the service refused the last request that it answered, or answers nothing: whoever asks
   * for something now need not wait for it.
   */
  boolean down();

  /** A mark that nobody has used before. */
  String newMark();
}
