package dev.dunefront.claim;

import dev.dunefront.book.HoldTable;
import dev.dunefront.config.Settings;
import dev.dunefront.config.Tunables;
import dev.dunefront.duty.Duties;
import dev.dunefront.fleet.MachineCatalog;
import dev.dunefront.job.JobTable;
import dev.dunefront.metrics.SafetyMonitor;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.PauseDetector;
import dev.dunefront.store.Replica;
import dev.dunefront.store.StateStore;

/** Services and state shared by the components of a controller. */
public record ControllerContext(
    Settings settings,
    Tunables tunables,
    Membership membership,
    Replica replica,
    HoldTable holdTable,
    JobTable jobs,
    MachineCatalog catalog,
    StateStore store,
    Peers peers,
    Timers timers,
    DecisionLock decisionLock,
    PauseDetector pauseDetector,
    Duties duties,
    SafetyMonitor safety) {

  double now() {
    return timers.now();
  }

  /** Runs a decision under the decision lock after a delay. */
  void schedule(double seconds, Runnable decision) {
    timers.after(seconds, () -> decisionLock.run(decision));
  }
}
