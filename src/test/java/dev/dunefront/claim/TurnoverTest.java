package dev.dunefront.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** For how many urgent tasks preemption is necessary. */
class TurnoverTest {
  private static final double ALL_OBJECTIVES_MISSED = Double.POSITIVE_INFINITY;

  /** Checks how many of the waiting tasks would not have started at their latest start time. */
  private static void assertShortage(
      int expected, int need, long needOfAll, double slotsPerS, double leftS) {
    assertEquals(
        expected,
        Turnover.shortage(need, needOfAll, slotsPerS, leftS),
        need + " of " + needOfAll + ", " + slotsPerS + " slots per second, " + leftS + " s left");
  }

  @Test
  void subtractsCompletionsExpectedInTime() {
    assertShortage(0, 20, 20, 10, 5);
    assertShortage(0, 20, 20, 5.6, 5);
    assertShortage(15, 20, 20, 2, 5);
    assertShortage(20, 20, 20, 2, 1);
    assertShortage(20, 20, 20, 0, 5);
    assertShortage(20, 20, 20, 10, 0);
    assertShortage(20, 20, 20, 10, -2);
  }

  /** At one or two completions per second, it is uncertain whether they occur in time. */
  @Test
  void discountsSmallCompletionRates() {
    assertShortage(3, 4, 4, 1, 5);
    assertShortage(0, 400, 400, 100, 5);
    assertShortage(136, 400, 400, 60, 4.83);
  }

  /** Guards against double counting: each controller would otherwise expect all completions. */
  @Test
  void sharesCompletionsInProportionToWaitingTasks() {
    assertShortage(0, 20, 100, 30, 5);
    assertShortage(13, 20, 100, 10, 5);
    assertShortage(20, 20, 100, 0, 5);
    assertShortage(15, 20, 7, 2, 5);
  }

  @Test
  void requestsNothingWithoutBenefit() {
    assertShortage(0, 20, 20, 0, ALL_OBJECTIVES_MISSED);
    assertShortage(0, 0, 20, 0, 0);
    assertShortage(0, -3, 20, 0, 0);
  }
}
