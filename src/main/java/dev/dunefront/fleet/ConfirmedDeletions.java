package dev.dunefront.fleet;

import dev.dunefront.book.Holds;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import dev.dunefront.store.Store;
import dev.dunefront.store.Txn;
import java.util.ArrayList;
import java.util.List;

/**
 * Records machine deletions that the cloud has confirmed; such a record proves that every task
 * attempt on the machine is over. A confirmed deletion holds no matter which controller records it,
 * so the write needs no duty.
 */
final class ConfirmedDeletions {
  private static final double AGAIN_S = 0.5;

  private final Holds holds;
  private final Store store;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final int most;

  /** {@code changes} limits the records written in one transaction. */
  ConfirmedDeletions(
      Holds holds, Store store, Timers timers, DecisionLock decisionLock, int changes) {
    this.holds = holds;
    this.store = store;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.most = Math.max(1, changes);
  }

  void record(List<String> hosts) {
    List<String> unrecorded = new ArrayList<>();
    for (String host : hosts) {
      Holds.Hold hold = holds.get(host);
      if (hold == null || !hold.dead()) {
        unrecorded.add(host);
      }
    }
    for (int from = 0; from < unrecorded.size(); from += most) {
      write(unrecorded.subList(from, Math.min(unrecorded.size(), from + most)));
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
            // One of the holds has changed: write each separately, so that it delays no other.
            timers.after(
                AGAIN_S,
                () -> decisionLock.run(() -> hosts.forEach(host -> record(List.of(host)))));
          }
        });
  }
}
