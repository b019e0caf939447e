package dev.dunefront.load;

import java.util.Random;

/**
 * What becomes of messages between workers and controllers. The shares may be changed at any time
 * by one thread while others read them.
 */
final class MessageFaults {
  /** What becomes of one message. */
  enum Fate {
    ON_TIME,
    /** It never arrives. */
    LOST,
    /** It arrives, and its answer is lost. */
    UNANSWERED,
    /** A command arrives late, unanswered; a report arrives on time and a copy of it late. */
    LATE
  }

  private static final double LEAST_LATE_S = 1;
  private static final double LATE_SPREAD_S = 11;

  private volatile double lostReports;
  private volatile double lateReports;
  private volatile double lostOrders;
  private volatile double lateOrders;

  /** From now on this share of reports, and of their answers, is lost. */
  void loseReports(double share) {
    lostReports = share;
  }

  /** From now on a copy of this share of reports arrives late. */
  void repeatReports(double share) {
    lateReports = share;
  }

  /** From now on this share of commands, and of their answers, is lost. */
  void loseOrders(double share) {
    lostOrders = share;
  }

  /** From now on this share of commands arrives late. */
  void delayOrders(double share) {
    lateOrders = share;
  }

  Fate report(Random random) {
    return draw(random, lostReports, lateReports);
  }

  Fate order(Random random) {
    return draw(random, lostOrders, lateOrders);
  }

  /** How late a late message is, in seconds. */
  double lateS(Random random) {
    return LEAST_LATE_S + LATE_SPREAD_S * random.nextDouble();
  }

  private static Fate draw(Random random, double lost, double late) {
    double drawn = random.nextDouble();
    if (drawn < lost) {
      return random.nextBoolean() ? Fate.LOST : Fate.UNANSWERED;
    }
    return drawn < lost + late ? Fate.LATE : Fate.ON_TIME;
  }
}
