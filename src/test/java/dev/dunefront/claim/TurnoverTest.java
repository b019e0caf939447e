package dev.dunefront.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** For how many urgent tasks preemption is necessary. */
class TurnoverTest {
  private static final double LATE = Double.POSITIVE_INFINITY;

  /** Checks how many of the waiting tasks would not have started at their latest start time. */
  private static void asks(int expected, int need, long needOfAll, double slotsPerS, double leftS) {
    assertEquals(
        expected,
        Turnover.shortage(need, needOfAll, slotsPerS, leftS),
        need + " of " + needOfAll + ", " + slotsPerS + " slots per second, " + leftS + " s left");
  }

  @Test
  void whatEndsByItselfInTimeIsCountedFirst() {
    asks(0, 20, 20, 10, 5);
    asks(0, 20, 20, 5.6, 5);
    asks(15, 20, 20, 2, 5);
    asks(20, 20, 20, 2, 1);
    asks(20, 20, 20, 0, 5);
    asks(20, 20, 20, 10, 0);
    asks(20, 20, 20, 10, -2);
  }

  /** At one or two completions per second, it is uncertain whether they occur in time. */
  @Test
  void whereFewTasksEndLessOfItIsCountedOn() {
    asks(3, 4, 4, 1, 5);
    asks(0, 400, 400, 100, 5);
    asks(136, 400, 400, 60, 4.83);
  }

  /** Guards against double counting: each controller would otherwise expect all completions. */
  @Test
  void itGoesToAllThatWaitInTheProportionOfTheirNumbers() {
    asks(0, 20, 100, 30, 5);
    asks(13, 20, 100, 10, 5);
    asks(20, 20, 100, 0, 5);
    asks(15, 20, 7, 2, 5);
  }

  @Test
  void nothingGivesWayWhereNothingIsWonByIt() {
    asks(0, 20, 20, 0, LATE);
    asks(0, 0, 20, 0, 0);
    asks(0, -3, 20, 0, 0);
  }
}
