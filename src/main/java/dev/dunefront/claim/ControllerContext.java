package dev.dunefront.claim;

import dev.dunefront.book.Holds;
import dev.dunefront.config.Settings;
import dev.dunefront.config.Tunables;
import dev.dunefront.duty.Duties;
import dev.dunefront.fleet.Catalog;
import dev.dunefront.job.JobTable;
import dev.dunefront.metrics.SafetyMonitor;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.Replica;
import dev.dunefront.store.Standstill;
import dev.dunefront.store.Store;

/** Services and state shared by the components of a controller. */
public record ControllerContext(
    Settings settings,
    Tunables tunables,
    Membership membership,
    Replica replica,
    Holds holds,
    JobTable jobs,
    Catalog catalog,
    Store store,
    Peers peers,
    Timers timers,
    DecisionLock decisionLock,
    Standstill standstill,
    Duties duties,
    SafetyMonitor safety) {

  double now() {
    return timers.now();
  }

  /** Runs a decision under the decision lock after a delay. */
  void later(double seconds, Runnable decision) {
    timers.after(seconds, () -> decisionLock.run(decision));
  }
}
