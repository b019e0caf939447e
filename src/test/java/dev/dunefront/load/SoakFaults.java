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
  private static final double REPLACED_S = 1;

  private final Deployment deployment;
  private final List<SoakFault> schedule;
  private final Timers timers;
  private final List<HollowWorker> workers = new ArrayList<>();

  /** The workers that a fault has met, for it has to end at the same. */
  private final Map<SoakFault, List<HollowWorker>> struckBy = new HashMap<>();

  private int deleted;

  SoakFaults(Deployment deployment, List<SoakFault> schedule) {
    this.deployment = deployment;
    this.schedule = schedule;
    this.timers = new XnioTimers(deployment.thread());
  }

  void start() {
    deployment
        .thread()
        .execute(
            () -> {
              workers.addAll(deployment.fleet().all());
              workers.sort(Comparator.comparing(HollowWorker::host));
              deployment.outside().endMachinesBy(this::delete);
              for (SoakFault fault : schedule) {
                timers.after(fault.atS(), () -> strike(fault, true));
                timers.after(fault.endS(), () -> strike(fault, false));
              }
            });
  }

  /** Machines that controllers have returned so far. */
  int deleted() {
    return deleted;
  }

  /** Machines are deleted: their workers end first, and others come in their places. */
  private void delete(List<String> hosts, Runnable then) {
    deployment.thread().execute(() -> deleteNext(new ArrayDeque<>(hosts), then));
  }

  private void deleteNext(Deque<String> hosts, Runnable then) {
    String host = hosts.poll();
    if (host == null) {
      then.run();
      return;
    }
    HollowWorker worker = workerOf(host);
    if (worker == null) {
      deleteNext(hosts, then);
      return;
    }
    workers.remove(worker);
    deleted++;
    timers.after(REPLACED_S, () -> replace(worker.zone()));
    worker
        .thread()
        .execute(
            () -> {
              worker.stop();
              deployment.thread().execute(() -> deleteNext(hosts, then));
            });
  }

  private HollowWorker workerOf(String host) {
    for (HollowWorker worker : workers) {
      if (worker.host().equals(host)) {
        return worker;
      }
    }
    return null;
  }

  private void replace(String zone) {
    HollowWorker next = deployment.fleet().add(zone);
    deployment.outside().add(next.host(), zone);
    workers.add(next);
  }

  /** A fault begins or ends. */
  private void strike(SoakFault fault, boolean on) {
    RegionNetwork network = deployment.network();
    Outside outside = deployment.outside();
    MessageFaults messages = deployment.messageFaults();
    double share = on ? fault.share() : 0;
    int state = deployment.options().stateRegion();
    switch (fault.kind()) {
      case CONTROLLER_KILLED -> kill(fault.first(), on);
      case CONTROLLER_PAUSED -> pause(fault.first(), on);
      case LINK_CUT_ONE_WAY -> network.block(fault.first(), fault.second(), on);
      case LINK_CUT -> cut(fault.first(), fault.second(), on);
      case STATE_CUT -> cut(fault.first(), state, on);
      case ZONE_CUT -> cutZone(fault.first(), on);
      case STATE_REFUSES -> outside.refuse(fault.first(), on);
      case STATE_OUT -> outside.outage(on);
      case STATE_SLOW -> slowState(share);
      case WRITES_LOST -> outside.loseWrites(fault.first(), share / 2, share / 2);
      case REPORTS_LOST -> messages.loseReports(share);
      case REPORTS_REPEATED -> messages.repeatReports(share);
      case ORDERS_LOST -> messages.loseOrders(share);
      case ORDERS_LATE -> messages.delayOrders(share);
      case WORKERS_HANG -> each(fault, on, HollowWorker::hang);
      case WORKERS_DEAF -> each(fault, on, HollowWorker::deafen);
      case WORKERS_MUTE -> each(fault, on, HollowWorker::mute);
      case WORKERS_BEGIN_ANEW -> each(fault, on, SoakFaults::beginAnew);
      default -> throw new IllegalStateException("unknown fault " + fault.kind());
    }
  }

  private void slowState(double mostS) {
    for (int i = 0; i < deployment.options().controllers(); i++) {
      deployment.outside().slow(i, mostS);
    }
  }

  private static void beginAnew(HollowWorker worker, boolean on) {
    if (on) {
      worker.beginAnew();
    }
  }

  private void each(SoakFault fault, boolean on, BiConsumer<HollowWorker, Boolean> what) {
    if (on) {
      List<HollowWorker> struck = new ArrayList<>();
      for (int i = 0; i < Math.min(fault.second(), workers.size()); i++) {
        struck.add(workers.get((fault.first() + i) % workers.size()));
      }
      struckBy.put(fault, struck);
    }
    for (HollowWorker worker : struckBy.getOrDefault(fault, List.of())) {
      worker.thread().execute(() -> what.accept(worker, on));
    }
  }

  private void cut(int one, int other, boolean on) {
    deployment.network().block(one, other, on);
    deployment.network().block(other, one, on);
  }

  private void cutZone(int controller, boolean on) {
    for (int region = 0; region < deployment.options().regions(); region++) {
      if (region != controller) {
        cut(controller, region, on);
      }
    }
  }

  private void kill(int number, boolean on) {
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

  private void pause(int number, boolean on) {
    try {
      deployment.controllers().get(number).pause(on);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
