package dev.dunefront.load;

import dev.dunefront.net.Timers;
import dev.dunefront.net.XnioTimers;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.xnio.XnioExecutor;

/**
 * The troubles of the users' letter, pressed into the time of one run: a day's machines fail and
 * are replaced, a zone is lost with its controllers, a region is alone. All of it runs on one
 * thread.
 */
final class Troubles {
  /** Machines that fail, are restarted or replaced on a day, of the letter. */
  static final int LOST_A_DAY = 13 + 250;

  private static final double REPLACED_S = 2;
  private static final double NOTICED_S = 30;
  private static final double ZONE_LOST_AT = 0.3;
  private static final double REGION_CUT_AT = 0.6;
  private static final double CUT_FOR = 0.25;
  private static final double RESTART_S = 6;

  private final LoadOptions options;
  private final Timers timers;
  private final XnioExecutor thread;
  private final HollowFleet fleet;
  private final Outside outside;
  private final RegionNetwork network;
  private final List<ControllerProcess> controllers;
  private final Random random;
  private final List<HollowWorker> alive = new ArrayList<>();
  private int lost;
  private boolean stopped;

  Troubles(Deployment deployment) {
    this.options = deployment.options();
    this.thread = deployment.thread();
    this.timers = new XnioTimers(deployment.thread());
    this.fleet = deployment.fleet();
    this.outside = deployment.outside();
    this.network = deployment.network();
    this.controllers = deployment.controllers();
    this.random = new Random(options.seed());
  }

  /** Machines that have failed or were replaced so far, those of the lost zone included. */
  int lost() {
    return lost;
  }

  void start() {
    thread.execute(
        () -> {
          alive.addAll(fleet.all());
          double spanS = options.measureS();
          failNext(spanS / LOST_A_DAY);
          timers.after(spanS * ZONE_LOST_AT, this::loseZone);
          timers.after(spanS * REGION_CUT_AT, () -> network.cut(options.regions() - 1));
          timers.after(spanS * (REGION_CUT_AT + CUT_FOR), network::heal);
        });
  }

  /** No more machines fail. */
  void stop() {
    thread.execute(() -> stopped = true);
  }

  private void failNext(double pauseS) {
    if (stopped) {
      return;
    }
    fail(alive.get(random.nextInt(alive.size())), true);
    timers.after(pauseS, () -> failNext(pauseS));
  }

  private void fail(HollowWorker worker, boolean replaced) {
    alive.remove(worker);
    lost++;
    worker.thread().execute(worker::stop);
    timers.after(NOTICED_S, () -> outside.fail(worker.host()));
    if (replaced) {
      timers.after(
          REPLACED_S,
          () -> {
            HollowWorker next = fleet.add(worker.zone());
            outside.add(next.host(), next.zone());
            alive.add(next);
          });
    }
  }

  /** The zone of the second controller is gone with all that is in it; its controllers return. */
  private void loseZone() {
    String zone = options.zoneOfController(1);
    for (HollowWorker worker : List.copyOf(alive)) {
      if (worker.zone().equals(zone)) {
        fail(worker, false);
      }
    }
    for (int i = 0; i < controllers.size(); i++) {
      if (options.zoneOfController(i).equals(zone)) {
        ControllerProcess controller = controllers.get(i);
        crash(controller);
        timers.after(RESTART_S, () -> restart(controller));
      }
    }
  }

  private static void crash(ControllerProcess controller) {
    try {
      controller.crash();
    } catch (IOException e) {
      throw new IllegalStateException("a controller does not say what it has used", e);
    }
  }

  private static void restart(ControllerProcess controller) {
    try {
      controller.start();
    } catch (IOException e) {
      throw new IllegalStateException("a controller cannot be started again", e);
    }
  }
}
