package dev.dunefront.fleet;

import dev.dunefront.book.HoldTable;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.Txn;
import java.util.ArrayList;
import java.util.List;

/**
 * Records machine deletions that the cloud has confirmed; such a record proves that every task
 * attempt on the machine is over. A confirmed deletion holds no matter which controller records it,
 * so the write needs no duty.
 */
final class DeletionRecorder {
  private static final double RETRY_S = 0.5;

  private final HoldTable holds;
  private final StateStore store;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final int maxPerTransaction;

  /** {@code changes} limits the records written in one transaction. */
  DeletionRecorder(
      HoldTable holds, StateStore store, Timers timers, DecisionLock decisionLock, int changes) {
    this.holds = holds;
    this.store = store;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.maxPerTransaction = Math.max(1, changes);
  }

  /** Records the deletions that are not recorded yet; retries until they are. */
  void record(List<String> hosts) {
    List<String> unrecorded = new ArrayList<>();
    for (String host : hosts) {
      HoldTable.Hold hold = holds.recordOf(host);
      if (hold == null || !hold.machineDeleted()) {
        unrecorded.add(host);
      }
    }
    for (int from = 0; from < unrecorded.size(); from += maxPerTransaction) {
      write(unrecorded.subList(from, Math.min(unrecorded.size(), from + maxPerTransaction)));
    }
  }

  private void write(List<String> hosts) {
    String writeId = store.newWriteId();
    Txn txn = new Txn();
    for (String host : hosts) {
      HoldTable.Hold hold = holds.recordOf(host);
      txn.requireRevision(HoldTable.key(host), hold == null ? 0 : hold.revision())
          .put(HoldTable.key(host), HoldTable.writeDeleted(timers.wallClockMs(), writeId));
    }
    store.commit(
        txn,
        writeId,
        done -> {
          if (!done.ok()) {
            // One of the holds has changed: write each separately, so that it delays no other.
            timers.after(
                RETRY_S,
                () -> decisionLock.run(() -> hosts.forEach(host -> record(List.of(host)))));
          }
        });
  }
}
