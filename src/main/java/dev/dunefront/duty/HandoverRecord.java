package dev.dunefront.duty;

import dev.dunefront.net.Timers;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.StateStore.Outcome;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.Document;
import java.util.function.Consumer;

/**
 * The state that the holder of a duty leaves to the next holder: one value, which only the holder
 * writes, conditional on the duty's term. Its key is outside the replicated prefix, because it
 * changes with every operation and only the next holder reads it.
 *
 * <p>Every write is also conditional on the value's own revision. A write whose response was lost
 * is repeated; if the first attempt were applied minutes later, it would otherwise replace a newer
 * value of the same term.
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

  /** Reads the previous holder's value at the start of a term; {@code then} gets null if none. */
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

  /** Whether a write is in progress; only one may be. */
  public boolean writeInProgress() {
    return writeInProgress;
  }

  /**
   * Writes the value, with retries after refusals and lost responses. {@code then} gets true if the
   * value is stored and this controller still holds the duty; otherwise no operation recorded in
   * the value may be executed.
   *
   * @throws IllegalStateException if a write is in progress
   */
  public void write(Document value, Consumer<Boolean> then) {
    if (writeInProgress) {
      throw new IllegalStateException(
          "a write for duty " + duty.label() + " is already in progress");
    }
    writeInProgress = true;
    long inTerm = term;
    String writeId = store.newWriteId();
    store.commit(
        duties.guard(
            duty,
            inTerm,
            new Txn()
                .requireRevision(key(duty), revision)
                .put(key(duty), value.put(StateStore.WRITE_ID_FIELD, writeId))),
        writeId,
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
