package dev.dunefront.load;

import java.util.Locale;

/**
 * One fault of a soak run.
 *
 * @param startS when it begins, in seconds after the first jobs
 * @param kind what happens
 * @param durationS how long it lasts
 * @param first the controller that it meets, or the first worker
 * @param second the other controller of a link, or how many workers it meets
 * @param share part of the messages that it meets
 */
record SoakFault(double startS, Kind kind, double durationS, int first, int second, double share) {
  /** What happens. */
  enum Kind {
    /** A controller is killed, and started again at the end. */
    CONTROLLER_KILLED,
    /** A controller's process stands still. */
    CONTROLLER_PAUSED,
    /** Nothing from one controller reaches another. */
    LINK_CUT_ONE_WAY,
    /** Nothing between two controllers arrives. */
    LINK_CUT,
    /** A controller does not reach the state service. */
    STATE_CUT,
    /** A controller is alone with the workers of its zone. */
    CONTROLLER_ISOLATED,
    /** The state service refuses one controller. */
    STATE_REFUSES,
    /** The state service refuses everybody. */
    STATE_OUTAGE,
    /** The state service answers everybody late; the share is the most that it is late, in s. */
    STATE_SLOW,
    /** Transactions of a controller have no answer; some are carried out late. */
    WRITES_LOST,
    REPORTS_LOST,
    /** Copies of reports arrive late. */
    REPORTS_DUPLICATED,
    COMMANDS_LOST,
    COMMANDS_DELAYED,
    /** Workers hang for about as long as their lease lasts. */
    WORKERS_HANG,
    WORKERS_INBOUND_LOST,
    WORKERS_OUTBOUND_LOST,
    /** Workers are restarted and know nothing any more. */
    WORKERS_RESTARTED
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
