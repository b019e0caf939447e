package dev.dunefront.fleet;

import dev.dunefront.book.Holds;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import dev.dunefront.store.Store;
import dev.dunefront.store.Txn;
import java.util.ArrayList;
import java.util.List;

/**
 * Records the ends of machines that the cloud has confirmed, by which all that ran there is proven
 * gone. An end is true whoever writes it down, so this needs no duty.
 */
final class ConfirmedDeletions {
  private static final double AGAIN_S = 0.5;

  private final Holds holds;
  private final Store store;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final int most;

  /** At most {@code changes} records are written in one transaction. */
  ConfirmedDeletions(
      Holds holds, Store store, Timers timers, DecisionLock decisionLock, int changes) {
    this.holds = holds;
    this.store = store;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.most = Math.max(1, changes);
  }

  void record(List<String> hosts) {
    List<String> left = new ArrayList<>();
    for (String host : hosts) {
      Holds.Hold hold = holds.get(host);
      if (hold == null || !hold.dead()) {
        left.add(host);
      }
    }
    for (int from = 0; from < left.size(); from += most) {
      write(left.subList(from, Math.min(left.size(), from + most)));
    }
  }

  private void write(List<String> hosts) {
    String mark = store.newMark();
    Txn txn = new Txn();
    for (String host : hosts) {
      Holds.Hold hold = holds.get(host);
      txn.when(Holds.key(host), hold == null ? 0 : hold.stamp())
          .put(Holds.key(host), Holds.writeDead(timers.timeOfDayMs(), mark));
    }
    store.commit(
        txn,
        mark,
        done -> {
          if (!done.ok()) {
            // Somebody has taken one of them meanwhile: the others need not wait for its record.
            timers.after(
                AGAIN_S,
                () -> decisionLock.run(() -> hosts.forEach(host -> record(List.of(host)))));
          }
        });
  }
}
