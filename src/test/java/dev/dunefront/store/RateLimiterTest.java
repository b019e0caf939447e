package dev.dunefront.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.config.InvalidSettingException;
import dev.dunefront.config.Settings;
import dev.dunefront.store.StateStore.RequestPriority;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Shares of the state service's rate limit, and loans between controllers. */
class RateLimiterTest {
  private static final double WRITES_PER_S = 90;
  private static final int CONTROLLERS = 14;

  private static Settings settings() {
    StringBuilder text =
        new StringBuilder(
            """
            host_name = "node-0"
            site = "a"
            listen = "127.0.0.1:1"
            peer_bind = "127.0.0.1:2"
            [outside]
            cloud = "127.0.0.1:3"
            state = "127.0.0.1:4"
            [facts.workers]
            report_s = 4.0
            lease_s = 22.0
            cancel_s = 42.0
            [facts.state]
            rps = 250.0
            write_rps = 90.0
            value_kb = 32.0
            txn_ops = 32
            [facts.cloud]
            rps = 6.0
            list_lag_s = 4.0
            [facts.limits]
            cores = 1.0
            memory_mb = 256.0
            fd_limit = 500
            """);
    for (int i = 1; i < CONTROLLERS; i++) {
      text.append("[[others]]\nhost_name = \"node-").append(i);
      text.append("\"\nsite = \"a\"\naddress = \"127.0.0.1:9\"\n");
    }
    try {
      return Settings.parse(text.toString());
    } catch (InvalidSettingException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void lendingTakesTokensFromTheLenderFirst() {
    RateLimiter lender = new RateLimiter(settings(), 0);
    RateLimiter borrower = new RateLimiter(settings(), 0);
    borrower.consume(5);
    int missing = borrower.missingWrites(RequestPriority.CORE, 4);
    assertEquals(5, missing);
    int lent = lender.lend(missing);
    assertEquals(4, lent, "one token is kept for users");
    assertEquals(0, lender.lend(1));
    borrower.borrow(lent, 0);
    assertEquals(1, borrower.missingWrites(RequestPriority.CORE, 4));
  }

  @Test
  void unusedBorrowedTokensExpire() {
    RateLimiter borrower = new RateLimiter(settings(), 0);
    borrower.borrow(20, 0);
    assertEquals(0, borrower.missingWrites(RequestPriority.CORE, 4));
    borrower.refill(RateLimiter.BORROWED_TTL_S / 2);
    assertEquals(24, borrower.lend(100), "borrowed tokens are usable for a short time");
    borrower.borrow(24, RateLimiter.BORROWED_TTL_S / 2);
    borrower.refill(2 * RateLimiter.BORROWED_TTL_S);
    assertEquals(4, borrower.lend(100), "only the own share is left after they expire");
  }

  /**
   * For any sequence of requests and loans, and any delay of loans, the controllers together never
   * exceed the limit of the service: its rate, with a burst of one second's worth.
   */
  @Property(tries = 60, seed = "1100")
  void controllersTogetherStayWithinTheServiceRate(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 14) int busyControllers) {
    Random random = new Random(seed);
    List<RateLimiter> limiters = new ArrayList<>();
    for (int i = 0; i < CONTROLLERS; i++) {
      limiters.add(new RateLimiter(settings(), 0));
    }
    double allowance = WRITES_PER_S;
    double stepS = 0.01;
    ArrayDeque<double[]> loans = new ArrayDeque<>();
    int sent = 0;
    for (double now = 0; now < 8; now += stepS) {
      allowance = Math.min(WRITES_PER_S, allowance + stepS * WRITES_PER_S);
      double time = now;
      limiters.forEach(limiter -> limiter.refill(time));
      while (!loans.isEmpty() && loans.peek()[0] <= now) {
        double[] loan = loans.poll();
        limiters.get((int) loan[1]).borrow((int) loan[2], now);
      }
      for (int i = 0; i < busyControllers; i++) {
        int writes = 1 + random.nextInt(4);
        if (random.nextInt(4) == 0 && limiters.get(i).allowsWrites(RequestPriority.CORE, writes)) {
          limiters.get(i).consume(writes);
          allowance -= writes;
          sent += writes;
        } else if (random.nextInt(10) == 0) {
          int lent = limiters.get(random.nextInt(CONTROLLERS)).lend(1 + random.nextInt(5));
          loans.add(new double[] {now + random.nextDouble() * WriteLoans.LOAN_TIMEOUT_S, i, lent});
        }
      }
      assertTrue(allowance >= 0, "the service would answer 429 at " + now);
    }
    assertTrue(sent > 0);
  }
}
