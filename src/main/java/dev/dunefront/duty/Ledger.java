package dev.dunefront.duty;

import dev.dunefront.net.Timers;
import dev.dunefront.store.Store;
import dev.dunefront.store.Store.Outcome;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.Doc;
import java.util.function.Consumer;

/**
 * The state that the holder of a duty leaves to the next holder: one value, which only the holder
 * writes, conditional on the duty's term. Its key is outside the replicated prefix, because it
 * changes with every operation and only the next holder reads it.
 *
 * <p>Every write is also conditional on the value's own stamp. A write whose response was lost is
 * repeated; if the first attempt were applied minutes later, it would otherwise replace a newer
 * value of the same term.
 */
public final class Ledger {
  private static final double PAUSE_S = 0.3;

  private final Duty duty;
  private final Duties duties;
  private final Store store;
  private final Timers timers;
  private long term;
  private long stamp;
  private boolean writing;

  public Ledger(Duty duty, Duties duties, Store store, Timers timers) {
    this.duty = duty;
    this.duties = duties;
    this.store = store;
    this.timers = timers;
  }

  /** The value's key. */
  public static String key(Duty duty) {
    return "u/" + duty.label();
  }

  /** Reads the previous holder's value at the start of a term; {@code then} gets null if none. */
  public void open(long inTerm, Consumer<Doc> then) {
    term = inTerm;
    writing = false;
    read(inTerm, then);
  }

  private void read(long inTerm, Consumer<Doc> then) {
    store.get(
        key(duty),
        Store.Urgency.CORE,
        got -> {
          if (term != inTerm || !duties.holds(duty, inTerm)) {
            return;
          }
          if (got.outcome() == Outcome.OK || got.outcome() == Outcome.MISSING) {
            stamp = got.stamp();
            then.accept(got.value());
          } else {
            timers.after(PAUSE_S, () -> read(inTerm, then));
          }
        });
  }

  /** Whether a write is in progress; only one may be. */
  public boolean writing() {
    return writing;
  }

  /**
   * Writes the value, with retries after refusals and lost responses. {@code then} gets true if the
   * value is stored and this controller still holds the duty; otherwise no operation recorded in
   * the value may be executed.
   *
   * @throws IllegalStateException if a write is in progress
   */
  public void write(Doc value, Consumer<Boolean> then) {
    if (writing) {
      throw new IllegalStateException(
          "a write for duty " + duty.label() + " is already in progress");
    }
    writing = true;
    long inTerm = term;
    String mark = store.newMark();
    store.commit(
        duties.guard(
            duty,
            inTerm,
            new Txn().when(key(duty), stamp).put(key(duty), value.put(Store.MARK, mark))),
        mark,
        done -> {
          if (term != inTerm) {
            return;
          }
          writing = false;
          if (done.ok()) {
            stamp = done.revision();
          }
          then.accept(done.ok() && duties.holds(duty, inTerm));
        });
  }
}
