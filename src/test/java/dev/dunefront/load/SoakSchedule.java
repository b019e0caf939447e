package dev.dunefront.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Draws the faults of a soak run from its seed. */
final class SoakSchedule {
  /** A new fault begins after so many seconds on average. */
  private static final double MEAN_INTERVAL_S = 0.8;

  /** So long before the end of the run no fault begins any more, in seconds. */
  private static final double QUIET_TAIL_S = 2;

  private static final double MAX_RESTART_S = 5;
  private static final double MAX_PAUSE_S = 9;
  private static final double MAX_PARTITION_S = 8;

  /** How much less, and how much more, than a lease a worker hangs, in seconds. */
  private static final double HANG_BELOW_LEASE_S = 0.5;

  private static final double HANG_ABOVE_LEASE_S = 1.2;

  /** Hangs for a lease's length are what the service met; every other fault is one. */
  private static final double HANG_SHARE = 0.5;

  /**
   * While the state service is slow, what a claimant knows is older, and its writes take longer.
   */
  private static final double SLOW_STATE_SHARE = 0.1;

  private static final double MAX_FAULT_SHARE = 0.3;

  private final LoadOptions options;
  private final Random random;

  private SoakSchedule(LoadOptions options) {
    this.options = options;
    this.random = new Random(options.seed());
  }

  /** The faults of a run, in the order in which they begin. */
  static List<SoakFault> of(LoadOptions options) {
    SoakSchedule schedule = new SoakSchedule(options);
    List<SoakFault> faults = new ArrayList<>();
    double atS = 0;
    while (true) {
      atS += 2 * MEAN_INTERVAL_S * schedule.random.nextDouble();
      if (atS > options.measureS() - QUIET_TAIL_S) {
        return faults;
      }
      faults.add(schedule.next(atS));
    }
  }

  private SoakFault next(double atS) {
    double drawn = random.nextDouble();
    if (drawn < HANG_SHARE) {
      double forS =
          options.leaseS()
              - HANG_BELOW_LEASE_S
              + (HANG_BELOW_LEASE_S + HANG_ABOVE_LEASE_S) * random.nextDouble();
      return workerFault(atS, SoakFault.Kind.WORKERS_HANG, forS);
    }
    SoakFault.Kind[] kinds = SoakFault.Kind.values();
    SoakFault.Kind kind =
        drawn < HANG_SHARE + SLOW_STATE_SHARE
            ? SoakFault.Kind.STATE_SLOW
            : kinds[random.nextInt(kinds.length)];
    double cutS = MAX_PARTITION_S * random.nextDouble();
    return switch (kind) {
      case CONTROLLER_KILLED -> controllerFault(atS, kind, MAX_RESTART_S * random.nextDouble(), 0);
      case CONTROLLER_PAUSED -> controllerFault(atS, kind, MAX_PAUSE_S * random.nextDouble(), 0);
      case STATE_SLOW -> controllerFault(atS, kind, cutS, random.nextDouble());
      case WORKERS_HANG, WORKERS_INBOUND_LOST, WORKERS_OUTBOUND_LOST, WORKERS_RESTARTED ->
          workerFault(atS, kind, cutS);
      default -> controllerFault(atS, kind, cutS, MAX_FAULT_SHARE * random.nextDouble());
    };
  }

  private SoakFault controllerFault(double atS, SoakFault.Kind kind, double forS, double share) {
    int first = random.nextInt(options.controllers());
    int others = Math.max(1, options.controllers() - 1);
    int second = (first + 1 + random.nextInt(others)) % options.controllers();
    return new SoakFault(atS, kind, forS, first, second, share);
  }

  private SoakFault workerFault(double atS, SoakFault.Kind kind, double forS) {
    int count = 1 + random.nextInt(Math.max(1, options.workers() / 4));
    return new SoakFault(atS, kind, forS, random.nextInt(options.workers()), count, 0);
  }
}
