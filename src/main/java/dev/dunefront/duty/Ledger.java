package dev.dunefront.duty;

import dev.dunefront.net.Timers;
import dev.dunefront.store.Store;
import dev.dunefront.store.Store.Outcome;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.Doc;
import java.util.function.Consumer;

/**
 * What the holder of a duty leaves to its successor: one value, which only the holder writes, on
 * the condition of the duty's term. It lies outside of what everybody copies, for it changes with
 * every act and nobody but the next holder reads it.
 *
 * <p>Every write is conditional on the value's own stamp as well. A write whose answer was lost is
 * repeated; were it applied a second time, minutes late, it would put an old value in place of a
 * newer one of the same term.
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

  /** Reads what the former holder left, for the holder of this term; null if there is nothing. */
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

  /** Whether a write is under way; only one may be. */
  public boolean writing() {
    return writing;
  }

  /**
   * Writes the value, through refusals and lost answers. Hears whether it is there and the duty
   * still this controller's; if not, nothing may be done that the value speaks of.
   */
  public void write(Doc value, Consumer<Boolean> then) {
    if (writing) {
      throw new IllegalStateException("a write for " + duty.label() + " is under way");
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
