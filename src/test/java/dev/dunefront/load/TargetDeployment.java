package dev.dunefront.load;

/**
 * Size and budgets of the deployment that users require, and the assumptions of the capacity page
 * where the requirements give no figure. Rates are per second.
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

  /** State service limits: the larger of those of the two known fleet deployments. */
  static final double STATE_REQUESTS_PER_S = 500;

  static final double STATE_CHANGES_PER_S = 90;

  /** Limits of each controller, also the larger of the two: cores, megabytes, open sockets. */
  static final double CONTROLLER_CORES = 0.17;

  static final double CONTROLLER_MB = 414;
  static final double CONTROLLER_SOCKETS = 2_417;

  /** Assumed tasks per job at the peak: those of a medium-sized job of the fleet deployments. */
  static final double TASKS_PER_JOB = 240;

  /** Assumed bytes of headers of one request and its response. */
  static final double HEADER_BYTES = 260;

  private TargetDeployment() {}
}
