package dev.dunefront.load;

import java.util.Random;

/**
 * Fault injection for messages between workers and controllers. One thread may change the shares (0
 * to 1) at any time while others read them.
 */
final class MessageFaults {
  /** How one message is delivered. */
  enum Delivery {
    ON_TIME,
    /** The message never arrives. */
    LOST,
    /** The message arrives, and its response is lost. */
    RESPONSE_LOST,
    /** A command arrives late and without response; a report arrives on time, a duplicate late. */
    DELAYED,
    /** A command arrives on time, and a duplicate of it late. */
    DUPLICATED
  }

  private static final double MIN_DELAY_S = 1;
  private static final double DELAY_SPREAD_S = 11;

  private volatile double lostReportShare;
  private volatile double duplicatedReportShare;
  private volatile double lostCommandShare;
  private volatile double delayedCommandShare;
  private volatile double duplicatedCommandShare;

  /** Sets the share of reports that are lost or whose responses are lost. */
  void loseReports(double share) {
    lostReportShare = share;
  }

  /** Sets the share of reports of which a duplicate arrives late. */
  void duplicateReports(double share) {
    duplicatedReportShare = share;
  }

  /** Sets the share of commands that are lost or whose responses are lost. */
  void loseCommands(double share) {
    lostCommandShare = share;
  }

  /** Sets the share of commands that arrive late. */
  void delayCommands(double share) {
    delayedCommandShare = share;
  }

  /** Sets the share of commands of which a duplicate arrives late. */
  void duplicateCommands(double share) {
    duplicatedCommandShare = share;
  }

  Delivery drawForReport(Random random) {
    return draw(random, lostReportShare, duplicatedReportShare);
  }

  Delivery drawForCommand(Random random) {
    Delivery delivery = draw(random, lostCommandShare, delayedCommandShare);
    return delivery == Delivery.ON_TIME && random.nextDouble() < duplicatedCommandShare
        ? Delivery.DUPLICATED
        : delivery;
  }

  /** Draws the delay of a late message, in seconds. */
  double drawDelayS(Random random) {
    return MIN_DELAY_S + DELAY_SPREAD_S * random.nextDouble();
  }

  private static Delivery draw(Random random, double lostShare, double delayedShare) {
    double drawn = random.nextDouble();
    if (drawn < lostShare) {
      return random.nextBoolean() ? Delivery.LOST : Delivery.RESPONSE_LOST;
    }
    return drawn < lostShare + delayedShare ? Delivery.DELAYED : Delivery.ON_TIME;
  }
}
