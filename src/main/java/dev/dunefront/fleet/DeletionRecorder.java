package dev.dunefront.fleet;

import dev.dunefront.book.HoldTable;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.Txn;
import java.util.ArrayList;
import java.util.List;

/**
 * Records the ends of machines that the cloud has confirmed, by which all that ran there is proven
 * gone. An end is true whoever writes it down, so this needs no duty.
 */
final class DeletionRecorder {
  private static final double RETRY_S = 0.5;

  private final HoldTable holds;
  private final StateStore store;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final int maxPerTransaction;

  /** At most {@code changes} records are written in one transaction. */
  DeletionRecorder(
      HoldTable holds, StateStore store, Timers timers, DecisionLock decisionLock, int changes) {
    this.holds = holds;
    this.store = store;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.maxPerTransaction = Math.max(1, changes);
  }

  void record(List<String> hosts) {
    List<String> left = new ArrayList<>();
    for (String host : hosts) {
      HoldTable.Hold hold = holds.recordOf(host);
      if (hold == null || !hold.machineDeleted()) {
        left.add(host);
      }
    }
    for (int from = 0; from < left.size(); from += maxPerTransaction) {
      write(left.subList(from, Math.min(left.size(), from + maxPerTransaction)));
    }
  }

  private void write(List<String> hosts) {
    String mark = store.newWriteId();
    Txn txn = new Txn();
    for (String host : hosts) {
      HoldTable.Hold hold = holds.recordOf(host);
      txn.requireRevision(HoldTable.key(host), hold == null ? 0 : hold.revision())
          .put(HoldTable.key(host), HoldTable.writeDeleted(timers.wallClockMs(), mark));
    }
    store.commit(
        txn,
        mark,
        done -> {
          if (!done.ok()) {
            // Somebody has taken one of them meanwhile: the others need not wait for its record.
            timers.after(
                RETRY_S,
                () -> decisionLock.run(() -> hosts.forEach(host -> record(List.of(host)))));
          }
        });
  }
}
