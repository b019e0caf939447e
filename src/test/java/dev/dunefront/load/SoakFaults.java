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

/**
 * Brings about the faults of a soak run, and ends them. Where two of one kind meet the same target
 * the first that ends, ends both. All of it runs on one thread.
 */
final class SoakFaults {
  /** Another machine comes in the place of a deleted one after so long, in seconds. */
  private static final double REPLACEMENT_DELAY_S = 1;

  private final Deployment deployment;
  private final List<SoakFault> schedule;
  private final Timers timers;
  private final List<SimulatedWorker> workers = new ArrayList<>();

  /** The workers that a fault has met, for it has to end at the same. */
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

  /** Machines that controllers have returned so far. */
  int returnedMachines() {
    return returnedMachines;
  }

  /** Machines are deleted: their workers end first, and others come in their places. */
  private void delete(List<String> hosts, Runnable then) {
    deployment.userThread().execute(() -> deleteNext(new ArrayDeque<>(hosts), then));
  }

  private void deleteNext(Deque<String> hosts, Runnable then) {
    String host = hosts.poll();
    if (host == null) {
      then.run();
      return;
    }
    SimulatedWorker worker = workerOf(host);
    if (worker == null) {
      deleteNext(hosts, then);
      return;
    }
    workers.remove(worker);
    returnedMachines++;
    timers.after(REPLACEMENT_DELAY_S, () -> replace(worker.zone()));
    worker
        .thread()
        .execute(
            () -> {
              worker.stop();
              deployment.userThread().execute(() -> deleteNext(hosts, then));
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
    SimulatedWorker next = deployment.fleet().add(zone);
    deployment.externalServices().addRunningMachine(next.host(), zone);
    workers.add(next);
  }

  /** A fault begins or ends. */
  private void apply(SoakFault fault, boolean on) {
    RegionNetwork network = deployment.network();
    ExternalServices outside = deployment.externalServices();
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
      case STATE_REFUSES -> outside.setStateRefused(fault.first(), on);
      case STATE_OUTAGE -> outside.setStateOutage(on);
      case STATE_SLOW -> setStateDelay(share);
      case WRITES_LOST -> outside.loseWrites(fault.first(), share / 2, share / 2);
      case REPORTS_LOST -> messages.loseReports(share);
      case REPORTS_DUPLICATED -> messages.duplicateReports(share);
      case COMMANDS_LOST -> messages.loseCommands(share);
      case COMMANDS_DELAYED -> messages.delayCommands(share);
      case WORKERS_HANG -> applyToWorkers(fault, on, SimulatedWorker::setHanging);
      case WORKERS_INBOUND_LOST -> applyToWorkers(fault, on, SimulatedWorker::setInboundLost);
      case WORKERS_OUTBOUND_LOST -> applyToWorkers(fault, on, SimulatedWorker::outboundLost);
      case WORKERS_RESTARTED -> applyToWorkers(fault, on, SoakFaults::restartWorker);
      default -> throw new IllegalStateException("unknown fault " + fault.kind());
    }
  }

  private void setStateDelay(double mostS) {
    for (int i = 0; i < deployment.options().controllers(); i++) {
      deployment.externalServices().setStateDelay(i, mostS);
    }
  }

  private static void restartWorker(SimulatedWorker worker, boolean on) {
    if (on) {
      worker.restart();
    }
  }

  private void applyToWorkers(
      SoakFault fault, boolean on, BiConsumer<SimulatedWorker, Boolean> what) {
    if (on) {
      List<SimulatedWorker> struck = new ArrayList<>();
      for (int i = 0; i < Math.min(fault.second(), workers.size()); i++) {
        struck.add(workers.get((fault.first() + i) % workers.size()));
      }
      affectedWorkers.put(fault, struck);
    }
    for (SimulatedWorker worker : affectedWorkers.getOrDefault(fault, List.of())) {
      worker.thread().execute(() -> what.accept(worker, on));
    }
  }

  private void cutLink(int one, int other, boolean on) {
    deployment.network().setBlocked(one, other, on);
    deployment.network().setBlocked(other, one, on);
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
        controller.kill();
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
