package dev.dunefront.duty;

import dev.dunefront.net.Timers;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.StateStore.Outcome;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.Document;
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
public final class HandoverRecord {
  private static final double READ_RETRY_S = 0.3;

  private final Duty duty;
  private final Duties duties;
  private final StateStore store;
  private final Timers timers;
  private long term;
  private long revision;
  private boolean writeInProgress;

  public HandoverRecord(Duty duty, Duties duties, StateStore store, Timers timers) {
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
  public void loadForTerm(long inTerm, Consumer<Document> then) {
    term = inTerm;
    writeInProgress = false;
    read(inTerm, then);
  }

  private void read(long inTerm, Consumer<Document> then) {
    store.get(
        key(duty),
        StateStore.RequestPriority.CORE,
        got -> {
          if (term != inTerm || !duties.holds(duty, inTerm)) {
            return;
          }
          if (got.outcome() == Outcome.OK || got.outcome() == Outcome.NOT_FOUND) {
            revision = got.revision();
            then.accept(got.value());
          } else {
            timers.after(READ_RETRY_S, () -> read(inTerm, then));
          }
        });
  }

  /** Whether a write is under way; only one may be. */
  public boolean writeInProgress() {
    return writeInProgress;
  }

  /**
   * Writes the value, through refusals and lost answers. Hears whether it is there and the duty
   * still this controller's; if not, nothing may be done that the value speaks of.
   */
  public void write(Document value, Consumer<Boolean> then) {
    if (writeInProgress) {
      throw new IllegalStateException("a write for " + duty.label() + " is under way");
    }
    writeInProgress = true;
    long inTerm = term;
    String mark = store.newWriteId();
    store.commit(
        duties.guard(
            duty,
            inTerm,
            new Txn()
                .requireRevision(key(duty), revision)
                .put(key(duty), value.put(StateStore.WRITE_ID_FIELD, mark))),
        mark,
        done -> {
          if (term != inTerm) {
            return;
          }
          writeInProgress = false;
          if (done.ok()) {
            revision = done.revision();
          }
          then.accept(done.ok() && duties.holds(duty, inTerm));
        });
  }
}
