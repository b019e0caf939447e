package dev.dunefront.load;

/**
 * The size of the users' letter, and what the capacity page assumes where the letter is silent.
 * Rates are per second.
 */
final class TargetDeployment {
  static final int WORKERS = 1_800;
  static final int RUNNING_TASKS = 14_000;
  static final double STARTS_PER_S = 950;
  static final double JOBS_PER_DAY = 19_000;
  static final int TEAMS = 730;
  static final int CONTROLLERS = 14;
  static final int ZONES = 23;
  static final int REGIONS = 7;
  static final double URGENT_WAIT_S = 2.8;
  static final double WORKER_CORES = 0.046;
  static final double WORKER_MB = 32;
  static final double WORKER_BYTES_PER_S = 15_000;

  /** The larger that either known fleet deployment allows: requests, and changes, a second. */
  static final double STATE_REQUESTS_PER_S = 500;

  static final double STATE_CHANGES_PER_S = 90;

  /** Of the same: part of a core, and megabytes, of each controller. */
  static final double CONTROLLER_CORES = 0.17;

  static final double CONTROLLER_MB = 414;
  static final double CONTROLLER_SOCKETS = 2_417;

  /** Tasks of a job at the peak, assumed: those of a middling job of the fleet deployments. */
  static final double TASKS_PER_JOB = 240;

  /** Bytes of headers of one request and its answer, assumed. */
  static final double HEADER_BYTES = 260;

  private TargetDeployment() {}
}
