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

/** The parts of the state service's rate, and what controllers lend each other of them. */
class RateLimiterTest {
  private static final double RATE = 90;
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
    int given = lender.lend(missing);
    assertEquals(4, given, "a change is kept for a user");
    assertEquals(0, lender.lend(1));
    borrower.borrow(given, 0);
    assertEquals(1, borrower.missingWrites(RequestPriority.CORE, 4));
  }

  @Test
  void unusedBorrowedTokensExpire() {
    RateLimiter borrower = new RateLimiter(settings(), 0);
    borrower.borrow(20, 0);
    assertEquals(0, borrower.missingWrites(RequestPriority.CORE, 4));
    borrower.refill(RateLimiter.BORROWED_TTL_S / 2);
    assertEquals(24, borrower.lend(100), "it is there for a moment");
    borrower.borrow(24, RateLimiter.BORROWED_TTL_S / 2);
    borrower.refill(2 * RateLimiter.BORROWED_TTL_S);
    assertEquals(4, borrower.lend(100), "and then there is the own part alone");
  }

  /**
   * However controllers spend, lend and borrow, and however long a loan is on its way: in no
   * stretch of time do they send more than the service allows, which is its rate and a second's
   * worth.
   */
  @Property(tries = 60, seed = "1100")
  void controllersTogetherStayWithinTheServiceRate(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 14) int busy) {
    Random random = new Random(seed);
    List<RateLimiter> all = new ArrayList<>();
    for (int i = 0; i < CONTROLLERS; i++) {
      all.add(new RateLimiter(settings(), 0));
    }
    double allowance = RATE;
    double step = 0.01;
    ArrayDeque<double[]> loans = new ArrayDeque<>();
    int sent = 0;
    for (double now = 0; now < 8; now += step) {
      allowance = Math.min(RATE, allowance + step * RATE);
      double time = now;
      all.forEach(b -> b.refill(time));
      while (!loans.isEmpty() && loans.peek()[0] <= now) {
        double[] loan = loans.poll();
        all.get((int) loan[1]).borrow((int) loan[2], now);
      }
      for (int i = 0; i < busy; i++) {
        int changes = 1 + random.nextInt(4);
        if (random.nextInt(4) == 0 && all.get(i).allowsWrites(RequestPriority.CORE, changes)) {
          all.get(i).consume(changes);
          allowance -= changes;
          sent += changes;
        } else if (random.nextInt(10) == 0) {
          int given = all.get(random.nextInt(CONTROLLERS)).lend(1 + random.nextInt(5));
          loans.add(new double[] {now + random.nextDouble() * WriteLoans.LOAN_TIMEOUT_S, i, given});
        }
      }
      assertTrue(allowance >= 0, "429 at " + now);
    }
    assertTrue(sent > 0);
  }
}
