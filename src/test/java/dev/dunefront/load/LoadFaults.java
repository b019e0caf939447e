package dev.dunefront.load;

import dev.dunefront.net.Timers;
import dev.dunefront.net.XnioTimers;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.xnio.XnioExecutor;

/**
 * The faults of a load run, compressed from a day of the target deployment: as many machines as
 * fail in a day fail and are replaced, a zone fails with its controllers, and a region is
 * partitioned from the others. Everything runs on one thread.
 */
final class LoadFaults {
  /** Machines of the target deployment that fail, are restarted or are replaced in a day. */
  static final int MACHINES_LOST_PER_DAY = 13 + 250;

  private static final double REPLACEMENT_DELAY_S = 2;
  private static final double CLOUD_DETECTION_DELAY_S = 30;
  private static final double ZONE_LOSS_START_SHARE = 0.3;
  private static final double REGION_CUT_START_SHARE = 0.6;
  private static final double REGION_CUT_DURATION_SHARE = 0.25;
  private static final double RESTART_DELAY_S = 6;

  private final LoadOptions options;
  private final Timers timers;
  private final XnioExecutor thread;
  private final SimulatedFleet fleet;
  private final ExternalServices externalServices;
  private final RegionNetwork network;
  private final List<ControllerProcess> controllers;
  private final Random random;
  private final List<SimulatedWorker> alive = new ArrayList<>();
  private int machinesLost;
  private boolean stopped;

  LoadFaults(Deployment deployment) {
    this.options = deployment.options();
    this.thread = deployment.userThread();
    this.timers = new XnioTimers(deployment.userThread());
    this.fleet = deployment.fleet();
    this.externalServices = deployment.externalServices();
    this.network = deployment.network();
    this.controllers = deployment.controllers();
    this.random = new Random(options.seed());
  }

  /** Number of machines that have failed or were replaced, including those of the lost zone. */
  int machinesLost() {
    return machinesLost;
  }

  void start() {
    thread.execute(
        () -> {
          alive.addAll(fleet.all());
          double spanS = options.measureS();
          failNext(spanS / MACHINES_LOST_PER_DAY);
          timers.after(spanS * ZONE_LOSS_START_SHARE, this::loseZone);
          timers.after(
              spanS * REGION_CUT_START_SHARE, () -> network.isolate(options.regions() - 1));
          timers.after(spanS * (REGION_CUT_START_SHARE + REGION_CUT_DURATION_SHARE), network::heal);
        });
  }

  /** Stops failing machines. */
  void stop() {
    thread.execute(() -> stopped = true);
  }

  private void failNext(double intervalS) {
    if (stopped) {
      return;
    }
    fail(alive.get(random.nextInt(alive.size())), true);
    timers.after(intervalS, () -> failNext(intervalS));
  }

  private void fail(SimulatedWorker worker, boolean replaced) {
    alive.remove(worker);
    machinesLost++;
    worker.thread().execute(worker::fail);
    timers.after(CLOUD_DETECTION_DELAY_S, () -> externalServices.markMachineFailed(worker.host()));
    if (replaced) {
      timers.after(
          REPLACEMENT_DELAY_S,
          () -> {
            SimulatedWorker replacement = fleet.add(worker.zone());
            externalServices.addRunningMachine(replacement.host(), replacement.zone());
            alive.add(replacement);
          });
    }
  }

  /**
   * Fails all machines and controllers in the second controller's zone. Only the controllers are
   * restarted.
   */
  private void loseZone() {
    String zone = options.zoneOfController(1);
    for (SimulatedWorker worker : List.copyOf(alive)) {
      if (worker.zone().equals(zone)) {
        fail(worker, false);
      }
    }
    for (int i = 0; i < controllers.size(); i++) {
      if (options.zoneOfController(i).equals(zone)) {
        ControllerProcess controller = controllers.get(i);
        crash(controller);
        timers.after(RESTART_DELAY_S, () -> restart(controller));
      }
    }
  }

  private static void crash(ControllerProcess controller) {
    try {
      controller.killAndKeepUsage();
    } catch (IOException e) {
      throw new IllegalStateException(
          "cannot read a controller's resource usage before its crash", e);
    }
  }

  private static void restart(ControllerProcess controller) {
    try {
      controller.start();
    } catch (IOException e) {
      throw new IllegalStateException("cannot restart a controller", e);
    }
  }
}
