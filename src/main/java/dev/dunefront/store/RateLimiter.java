package dev.dunefront.store;

import dev.dunefront.config.Settings;
import dev.dunefront.store.StateStore.RequestPriority;
import java.util.Collection;

/**
 * This controller's part of the requests and changes that the state service serves: two token
 * buckets. All controllers' parts together are the whole rate, and their bursts a part of the
 * service's. What is lent to another controller is taken from here first, so the sum stays.
 */
final class RateLimiter {
  /** So many changes are left for users' requests. */
  private static final double RESERVED_USER_WRITES = 1;

  /** How many seconds' worth may be saved up. */
  private static final double BURST_S = 0.8;

  /**
   * What was borrowed and not used is dropped after so long, in seconds: its lender has saved up
   * anew meanwhile, and together they would be more than the service's burst.
   */
  static final double BORROWED_TTL_S = 0.15;

  private final FairShare requestShare;
  private final FairShare writeShare;
  private double requestsPerS;
  private double writesPerS;
  private double requestTokens;
  private double writeTokens;
  private double refilledAt;
  private double borrowedUntil = Double.NEGATIVE_INFINITY;

  RateLimiter(Settings settings, double now) {
    requestShare = new FairShare(settings.stateLimits().rps(), settings.controllerCount());
    writeShare = new FairShare(settings.stateLimits().writeRps(), settings.controllerCount());
    requestsPerS = requestShare.equalShare();
    writesPerS = writeShare.equalShare();
    // The burst is a part of the common one: all controllers may start at once.
    requestTokens = requestsPerS * BURST_S;
    writeTokens = writesPerS * BURST_S;
    refilledAt = now;
  }

  /** Takes the part that belongs to what this controller asks, beside what the others ask. */
  void updateRates(StateStore.Usage own, Collection<StateStore.Usage> others) {
    requestsPerS =
        requestShare.allocate(
            own.requestsPerS(), others.stream().map(StateStore.Usage::requestsPerS).toList());
    writesPerS =
        writeShare.allocate(
            own.writesPerS(), others.stream().map(StateStore.Usage::writesPerS).toList());
  }

  /** What may be saved up; however small the part, one request at least, or none would ever go. */
  private static double burstCapacity(double rate) {
    return Math.max(1, rate * BURST_S);
  }

  /** Time has passed. */
  void refill(double now) {
    double passed = now - refilledAt;
    requestTokens = Math.min(burstCapacity(requestsPerS), requestTokens + passed * requestsPerS);
    double saved = Math.min(burstCapacity(writesPerS), writeTokens + passed * writesPerS);
    writeTokens = now < borrowedUntil ? Math.max(writeTokens, saved) : saved;
    refilledAt = now;
  }

  /** Whether a request may go out. */
  boolean allowsRequest() {
    return requestTokens >= 1;
  }

  /** Whether so many changes may go out. */
  boolean allowsWrites(RequestPriority urgency, int count) {
    return writeTokens >= requiredWriteTokens(urgency, count);
  }

  /**
   * How many changes must be saved up before so many are sent. Users' may run into debt. All else
   * leaves a little: after a transaction of twenty changes on a part of ten a second each
   * submission would wait for two seconds.
   */
  private double requiredWriteTokens(RequestPriority urgency, int count) {
    return urgency == RequestPriority.USER
        ? Double.MIN_VALUE
        : Math.min(count + RESERVED_USER_WRITES, burstCapacity(writesPerS));
  }

  /** A request with so many changes goes out. */
  void consume(int count) {
    requestTokens -= 1;
    writeTokens -= count;
  }

  /** Seconds until so many changes are saved up beyond what a user may need. */
  double writeDelayS(int count) {
    return Math.max(0, (count + 1 - writeTokens) / writesPerS);
  }

  /** How many changes are lacking before so many may go out. */
  int missingWrites(RequestPriority urgency, int count) {
    return (int) Math.ceil(Math.max(0, requiredWriteTokens(urgency, count) - writeTokens));
  }

  /** Seconds in which so many changes are saved up. */
  double refillTimeS(int count) {
    return count / writesPerS;
  }

  /** Gives away up to so many changes, and keeps what a user's request may need. */
  int lend(int asked) {
    int given = (int) Math.max(0, Math.min(asked, Math.floor(writeTokens - RESERVED_USER_WRITES)));
    writeTokens -= given;
    return given;
  }

  /** Another controller has given some of its own. */
  void borrow(int count, double now) {
    refill(now);
    writeTokens += count;
    borrowedUntil = now + BORROWED_TTL_S;
  }
}
