package dev.dunefront.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Draws the faults of a soak run from its seed. */
final class SoakSchedule {
  /** Mean interval between the starts of two faults, in seconds. */
  private static final double MEAN_INTERVAL_S = 0.8;

  /** No fault starts within this time before the end of the run, in seconds. */
  private static final double QUIET_TAIL_S = 2;

  private static final double MAX_RESTART_S = 5;
  private static final double MAX_PAUSE_S = 9;
  private static final double MAX_PARTITION_S = 8;

  /** How far a hang may fall short of the lease, and how far it may exceed it, in seconds. */
  private static final double HANG_BELOW_LEASE_S = 0.5;

  private static final double HANG_ABOVE_LEASE_S = 1.2;

  /**
   * Share of faults that are hangs of about a lease's duration, the failure that the service met in
   * operation.
   */
  private static final double HANG_SHARE = 0.4;

  /** Share of faults in which messages meet a restarted worker or arrive twice. */
  private static final double BOOT_FAULT_SHARE = 0.2;

  private static final SoakFault.Kind[] BOOT_FAULTS = {
    SoakFault.Kind.COMMANDS_DUPLICATED,
    SoakFault.Kind.RESTARTED_WORKERS_HANG,
    SoakFault.Kind.REPORTS_OF_FORMER_BOOTS
  };

  /**
   * Share of faults that slow down the state service: a claiming controller then acts on older data
   * and its writes take longer.
   */
  private static final double SLOW_STATE_SHARE = 0.1;

  private static final double MAX_FAULT_SHARE = 0.3;

  private final LoadOptions options;
  private final Random random;

  private SoakSchedule(LoadOptions options) {
    this.options = options;
    this.random = new Random(options.seed());
  }

  /**
   * Returns the faults of a run, ordered by start time. The first are one of each kind that
   * concerns restarted workers and repeated messages, so that short runs play them as well.
   */
  static List<SoakFault> of(LoadOptions options) {
    SoakSchedule schedule = new SoakSchedule(options);
    List<SoakFault> faults = new ArrayList<>();
    double startS = 0;
    for (SoakFault.Kind kind : BOOT_FAULTS) {
      startS += 2 * MEAN_INTERVAL_S * schedule.random.nextDouble();
      faults.add(schedule.fault(startS, kind));
    }
    while (true) {
      startS += 2 * MEAN_INTERVAL_S * schedule.random.nextDouble();
      if (startS > options.measureS() - QUIET_TAIL_S) {
        return faults;
      }
      faults.add(schedule.next(startS));
    }
  }

  private SoakFault next(double startS) {
    double drawn = random.nextDouble();
    if (drawn < HANG_SHARE) {
      double durationS =
          options.leaseS()
              - HANG_BELOW_LEASE_S
              + (HANG_BELOW_LEASE_S + HANG_ABOVE_LEASE_S) * random.nextDouble();
      return workerFault(startS, SoakFault.Kind.WORKERS_HANG, durationS);
    }
    return fault(startS, drawKind(drawn - HANG_SHARE));
  }

  private SoakFault fault(double startS, SoakFault.Kind kind) {
    double partitionS = MAX_PARTITION_S * random.nextDouble();
    return switch (kind) {
      case CONTROLLER_KILLED ->
          controllerFault(startS, kind, MAX_RESTART_S * random.nextDouble(), 0);
      case CONTROLLER_PAUSED -> controllerFault(startS, kind, MAX_PAUSE_S * random.nextDouble(), 0);
      case STATE_SLOW -> controllerFault(startS, kind, partitionS, random.nextDouble());
      case RESTARTED_WORKERS_HANG ->
          workerFault(startS, kind, options.leaseS() - HANG_BELOW_LEASE_S * random.nextDouble());
      case WORKERS_HANG,
          WORKERS_INBOUND_LOST,
          WORKERS_OUTBOUND_LOST,
          WORKERS_RESTARTED,
          REPORTS_OF_FORMER_BOOTS ->
          workerFault(startS, kind, partitionS);
      default -> controllerFault(startS, kind, partitionS, MAX_FAULT_SHARE * random.nextDouble());
    };
  }

  /**
   * Draws the kind of a fault that is not a hang.
   *
   * @param drawn uniformly distributed, between 0 and the share of such faults
   */
  private SoakFault.Kind drawKind(double drawn) {
    if (drawn < SLOW_STATE_SHARE) {
      return SoakFault.Kind.STATE_SLOW;
    }
    SoakFault.Kind[] kinds =
        drawn < SLOW_STATE_SHARE + BOOT_FAULT_SHARE ? BOOT_FAULTS : SoakFault.Kind.values();
    return kinds[random.nextInt(kinds.length)];
  }

  private SoakFault controllerFault(
      double startS, SoakFault.Kind kind, double durationS, double share) {
    int first = random.nextInt(options.controllers());
    int others = Math.max(1, options.controllers() - 1);
    int second = (first + 1 + random.nextInt(others)) % options.controllers();
    return new SoakFault(startS, kind, durationS, first, second, share);
  }

  private SoakFault workerFault(double startS, SoakFault.Kind kind, double durationS) {
    int count = 1 + random.nextInt(Math.max(1, options.workers() / 4));
    return new SoakFault(startS, kind, durationS, random.nextInt(options.workers()), count, 0);
  }
}
