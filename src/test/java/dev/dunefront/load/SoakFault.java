package dev.dunefront.load;

import java.util.Locale;

/**
 * One fault of a soak run.
 *
 * @param startS when it starts, in seconds after the first submission
 * @param kind kind of fault
 * @param durationS how long it lasts, in seconds
 * @param first index of the affected controller, or of the first affected worker
 * @param second index of the other controller of a link, or the number of affected workers
 * @param share share of the messages that it affects; for {@code STATE_SLOW} the maximum delay in
 *     seconds
 */
record SoakFault(double startS, Kind kind, double durationS, int first, int second, double share) {
  /** Kinds of faults. */
  enum Kind {
    /** A controller is killed, and started again when the fault ends. */
    CONTROLLER_KILLED,
    /** A controller's process is stopped with SIGSTOP. */
    CONTROLLER_PAUSED,
    /** Packets from one controller to another are held back. */
    LINK_CUT_ONE_WAY,
    /** Packets between two controllers are held back in both directions. */
    LINK_CUT,
    /** A controller is partitioned from the state service. */
    STATE_CUT,
    /** A controller reaches nothing but the workers of its own zone. */
    CONTROLLER_ISOLATED,
    /** The state service refuses the requests of one controller. */
    STATE_REFUSES,
    /** The state service refuses all requests. */
    STATE_OUTAGE,
    /** The state service delays all requests by up to {@code share} seconds. */
    STATE_SLOW,
    /** Transactions of a controller get no response; some are executed late. */
    WRITES_LOST,
    /** Reports or their responses are lost. */
    REPORTS_LOST,
    /** Duplicates of reports arrive late. */
    REPORTS_DUPLICATED,
    /** Commands or their responses are lost. */
    COMMANDS_LOST,
    /** Commands arrive late. */
    COMMANDS_DELAYED,
    /** Commands arrive on time and once more late. */
    COMMANDS_DUPLICATED,
    /** Workers hang, mostly for about the duration of their lease. */
    WORKERS_HANG,
    /** Messages to workers are lost. */
    WORKERS_INBOUND_LOST,
    /** Messages from workers are lost. */
    WORKERS_OUTBOUND_LOST,
    /** Workers are restarted and lose all state. */
    WORKERS_RESTARTED,
    /** Workers are restarted and hang shortly after for most of their new lease. */
    RESTARTED_WORKERS_HANG,
    /**
     * Workers are restarted; when the fault ends, a controller is killed and started again at once,
     * and receives duplicates of reports from before the workers' restart.
     */
    REPORTS_OF_FORMER_BOOTS
  }

  double endS() {
    return startS + durationS;
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "%7.2f s for %5.2f s  %s %d %d %.2f",
        startS,
        durationS,
        kind,
        first,
        second,
        share);
  }
}
