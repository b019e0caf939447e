package dev.dunefront.load;

import dev.dunefront.net.Timers;
import dev.dunefront.net.XnioTimers;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Injects the faults of a soak run and ends them. If two faults of one kind overlap on the same
 * target, the first to end ends both. Everything runs on one thread.
 */
final class SoakFaults {
  /** Seconds until a replacement for a deleted machine is running. */
  private static final double REPLACEMENT_DELAY_S = 1;

  /** Seconds from a worker's restart until it hangs, about the time of its first report. */
  private static final double HANG_AFTER_RESTART_S = 0.1;

  /** Interval in seconds at which duplicates arrive at a controller that is starting. */
  private static final double FORMER_REPORT_INTERVAL_S = 0.15;

  private static final int FORMER_REPORT_COPIES = 20;

  private final Deployment deployment;
  private final List<SoakFault> schedule;
  private final Timers timers;
  private final List<SimulatedWorker> workers = new ArrayList<>();

  /** The workers that each fault was applied to; it has to end on the same ones. */
  private final Map<SoakFault, List<SimulatedWorker>> affectedWorkers = new HashMap<>();

  private int returnedMachines;

  SoakFaults(Deployment deployment, List<SoakFault> schedule) {
    this.deployment = deployment;
    this.schedule = schedule;
    this.timers = new XnioTimers(deployment.userThread());
  }

  void start() {
    deployment
        .userThread()
        .execute(
            () -> {
              workers.addAll(deployment.fleet().all());
              workers.sort(Comparator.comparing(SimulatedWorker::host));
              deployment.externalServices().setMachineTerminator(this::delete);
              for (SoakFault fault : schedule) {
                timers.after(fault.startS(), () -> apply(fault, true));
                timers.after(fault.endS(), () -> apply(fault, false));
              }
            });
  }

  /** Number of machines that controllers have returned so far. */
  int returnedMachines() {
    return returnedMachines;
  }

  /**
   * Deletes machines: stops their workers, schedules replacements and calls back once all workers
   * have stopped.
   */
  private void delete(List<String> hosts, Runnable whenDeleted) {
    deployment.userThread().execute(() -> deleteNext(new ArrayDeque<>(hosts), whenDeleted));
  }

  private void deleteNext(Deque<String> hosts, Runnable whenDeleted) {
    String host = hosts.poll();
    if (host == null) {
      whenDeleted.run();
      return;
    }
    SimulatedWorker worker = workerOf(host);
    if (worker == null) {
      deleteNext(hosts, whenDeleted);
      return;
    }
    workers.remove(worker);
    returnedMachines++;
    timers.after(REPLACEMENT_DELAY_S, () -> replace(worker.zone()));
    worker
        .thread()
        .execute(
            () -> {
              worker.fail();
              deployment.userThread().execute(() -> deleteNext(hosts, whenDeleted));
            });
  }

  private SimulatedWorker workerOf(String host) {
    for (SimulatedWorker worker : workers) {
      if (worker.host().equals(host)) {
        return worker;
      }
    }
    return null;
  }

  private void replace(String zone) {
    SimulatedWorker replacement = deployment.fleet().add(zone);
    deployment.externalServices().addRunningMachine(replacement.host(), zone);
    workers.add(replacement);
  }

  /** Starts a fault, or ends it if {@code on} is false. */
  private void apply(SoakFault fault, boolean on) {
    RegionNetwork network = deployment.network();
    ExternalServices services = deployment.externalServices();
    MessageFaults messages = deployment.messageFaults();
    double share = on ? fault.share() : 0;
    int state = deployment.options().stateRegion();
    switch (fault.kind()) {
      case CONTROLLER_KILLED -> setKilled(fault.first(), on);
      case CONTROLLER_PAUSED -> setPaused(fault.first(), on);
      case LINK_CUT_ONE_WAY -> network.setBlocked(fault.first(), fault.second(), on);
      case LINK_CUT -> cutLink(fault.first(), fault.second(), on);
      case STATE_CUT -> cutLink(fault.first(), state, on);
      case CONTROLLER_ISOLATED -> isolate(fault.first(), on);
      case STATE_REFUSES -> services.setStateRefused(fault.first(), on);
      case STATE_OUTAGE -> services.setStateOutage(on);
      case STATE_SLOW -> setStateDelay(share);
      case WRITES_LOST -> services.setWriteFaults(fault.first(), share / 2, share / 2);
      case REPORTS_LOST -> messages.loseReports(share);
      case REPORTS_DUPLICATED -> messages.duplicateReports(share);
      case COMMANDS_LOST -> messages.loseCommands(share);
      case COMMANDS_DELAYED -> messages.delayCommands(share);
      case COMMANDS_DUPLICATED -> messages.duplicateCommands(share);
      case WORKERS_HANG -> applyToWorkers(fault, on, SimulatedWorker::setHanging);
      case WORKERS_INBOUND_LOST -> applyToWorkers(fault, on, SimulatedWorker::setInboundLost);
      case WORKERS_OUTBOUND_LOST -> applyToWorkers(fault, on, SimulatedWorker::setOutboundLost);
      case WORKERS_RESTARTED -> applyToWorkers(fault, on, SoakFaults::restartWorker);
      case RESTARTED_WORKERS_HANG -> restartAndHang(fault, on);
      case REPORTS_OF_FORMER_BOOTS -> deliverFormerReports(fault, on);
      default -> throw new IllegalStateException("unknown fault kind " + fault.kind());
    }
  }

  private void setStateDelay(double maxDelayS) {
    for (int i = 0; i < deployment.options().controllers(); i++) {
      deployment.externalServices().setStateDelay(i, maxDelayS);
    }
  }

  private static void restartWorker(SimulatedWorker worker, boolean on) {
    if (on) {
      worker.restart();
    }
  }

  private void restartAndHang(SoakFault fault, boolean on) {
    applyToWorkers(fault, on, SoakFaults::restartWorker);
    if (on) {
      timers.after(
          HANG_AFTER_RESTART_S, () -> forAffectedWorkers(fault, worker -> worker.setHanging(true)));
    } else {
      forAffectedWorkers(fault, worker -> worker.setHanging(false));
    }
  }

  /** Restarts workers, or restarts a controller that then receives their reports from before. */
  private void deliverFormerReports(SoakFault fault, boolean on) {
    applyToWorkers(fault, on, SoakFaults::restartWorker);
    if (on) {
      return;
    }
    int controller = fault.first() % deployment.options().controllers();
    setKilled(controller, true);
    setKilled(controller, false);
    for (int i = 1; i <= FORMER_REPORT_COPIES; i++) {
      timers.after(
          i * FORMER_REPORT_INTERVAL_S,
          () -> forAffectedWorkers(fault, worker -> worker.sendFormerBootReport(controller)));
    }
  }

  private void forAffectedWorkers(SoakFault fault, Consumer<SimulatedWorker> action) {
    for (SimulatedWorker worker : affectedWorkers.getOrDefault(fault, List.of())) {
      worker.thread().execute(() -> action.accept(worker));
    }
  }

  private void applyToWorkers(
      SoakFault fault, boolean on, BiConsumer<SimulatedWorker, Boolean> action) {
    if (on) {
      List<SimulatedWorker> affected = new ArrayList<>();
      for (int i = 0; i < Math.min(fault.second(), workers.size()); i++) {
        affected.add(workers.get((fault.first() + i) % workers.size()));
      }
      affectedWorkers.put(fault, affected);
    }
    forAffectedWorkers(fault, worker -> action.accept(worker, on));
  }

  private void cutLink(int first, int second, boolean on) {
    deployment.network().setBlocked(first, second, on);
    deployment.network().setBlocked(second, first, on);
  }

  private void isolate(int controller, boolean on) {
    for (int region = 0; region < deployment.options().regions(); region++) {
      if (region != controller) {
        cutLink(controller, region, on);
      }
    }
  }

  private void setKilled(int number, boolean on) {
    ControllerProcess controller = deployment.controllers().get(number);
    try {
      if (on) {
        controller.killProcess();
      } else if (!controller.alive()) {
        controller.start();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void setPaused(int number, boolean on) {
    try {
      deployment.controllers().get(number).setPaused(on);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
