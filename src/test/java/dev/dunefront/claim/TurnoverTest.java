package dev.dunefront.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** For how many urgent tasks others are to give way. */
class TurnoverTest {
  private static final double ALL_OBJECTIVES_MISSED = Double.POSITIVE_INFINITY;

  /** Of 20 tasks that wait here, what would still wait when it is too late. */
  private static void assertShortage(
      int expected, int need, long needOfAll, double slotsPerS, double leftS) {
    assertEquals(
        expected,
        Turnover.shortage(need, needOfAll, slotsPerS, leftS),
        need + " of " + needOfAll + ", " + slotsPerS + " a second, " + leftS + " s left");
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

  /** One or two ends in a second: whether they come in time is chance. */
  @Test
  void discountsSmallCompletionRates() {
    assertShortage(3, 4, 4, 1, 5);
    assertShortage(0, 400, 400, 100, 5);
    assertShortage(136, 400, 400, 60, 4.83);
  }

  /** All that wait share it, or each would count on all of it. */
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
