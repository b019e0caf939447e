package dev.dunefront.load;

import java.util.Random;

/**
 * What becomes of messages between workers and controllers. The shares may be changed at any time
 * by one thread while others read them.
 */
final class MessageFaults {
  /** What becomes of one message. */
  enum Delivery {
    ON_TIME,
    /** It never arrives. */
    LOST,
    /** It arrives, and its answer is lost. */
    RESPONSE_LOST,
    /** A command arrives late, unanswered; a report arrives on time and a copy of it late. */
    DELAYED
  }

  private static final double MIN_DELAY_S = 1;
  private static final double DELAY_SPREAD_S = 11;

  private volatile double lostReportShare;
  private volatile double duplicatedReportShare;
  private volatile double lostCommandShare;
  private volatile double delayedCommandShare;

  /** From now on this share of reports, and of their answers, is lost. */
  void loseReports(double share) {
    lostReportShare = share;
  }

  /** From now on a copy of this share of reports arrives late. */
  void duplicateReports(double share) {
    duplicatedReportShare = share;
  }

  /** From now on this share of commands, and of their answers, is lost. */
  void loseCommands(double share) {
    lostCommandShare = share;
  }

  /** From now on this share of commands arrives late. */
  void delayCommands(double share) {
    delayedCommandShare = share;
  }

  Delivery drawForReport(Random random) {
    return draw(random, lostReportShare, duplicatedReportShare);
  }

  Delivery drawForCommand(Random random) {
    return draw(random, lostCommandShare, delayedCommandShare);
  }

  /** How late a late message is, in seconds. */
  double drawDelayS(Random random) {
    return MIN_DELAY_S + DELAY_SPREAD_S * random.nextDouble();
  }

  private static Delivery draw(Random random, double lost, double late) {
    double drawn = random.nextDouble();
    if (drawn < lost) {
      return random.nextBoolean() ? Delivery.LOST : Delivery.RESPONSE_LOST;
    }
    return drawn < lost + late ? Delivery.DELAYED : Delivery.ON_TIME;
  }
}
