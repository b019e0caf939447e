package dev.dunefront.store;

import dev.dunefront.config.Settings;
import dev.dunefront.store.StateStore.RequestPriority;
import java.util.Collection;

/**
 * Limits this controller's requests and writes to the state service with two token buckets. The
 * rates of all controllers add up to the limit of the service, and their bursts to a part of its
 * burst. Tokens lent to another controller are deducted here first, so the sum stays within the
 * limit.
 */
final class RateLimiter {
  /** Write tokens that are kept for user requests. */
  private static final double RESERVED_USER_WRITES = 1;

  /** Capacity of a bucket, in seconds of its rate. */
  private static final double BURST_S = 0.8;

  /**
   * Seconds after which unused borrowed write tokens expire. By then the lender has refilled its
   * bucket, and both together would exceed the burst of the service.
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
    // Starts with this controller's share of the burst: all controllers may start at once.
    requestTokens = requestsPerS * BURST_S;
    writeTokens = writesPerS * BURST_S;
    refilledAt = now;
  }

  /** Sets the rates from the usage of this controller and of the other live ones. */
  void updateRates(StateStore.Usage own, Collection<StateStore.Usage> others) {
    requestsPerS =
        requestShare.allocate(
            own.requestsPerS(), others.stream().map(StateStore.Usage::requestsPerS).toList());
    writesPerS =
        writeShare.allocate(
            own.writesPerS(), others.stream().map(StateStore.Usage::writesPerS).toList());
  }

  /**
   * Capacity of a bucket with this rate. It is at least 1: a bucket that never holds a whole token
   * would block every request.
   */
  private static double burstCapacity(double rate) {
    return Math.max(1, rate * BURST_S);
  }

  /** Refills both buckets for the time since the last call. */
  void refill(double now) {
    double elapsedS = now - refilledAt;
    requestTokens = Math.min(burstCapacity(requestsPerS), requestTokens + elapsedS * requestsPerS);
    double refilled = Math.min(burstCapacity(writesPerS), writeTokens + elapsedS * writesPerS);
    writeTokens = now < borrowedUntil ? Math.max(writeTokens, refilled) : refilled;
    refilledAt = now;
  }

  /** Whether a request may be sent now. */
  boolean allowsRequest() {
    return requestTokens >= 1;
  }

  /** Whether a request with {@code count} writes may be sent now. */
  boolean allowsWrites(RequestPriority priority, int count) {
    return writeTokens >= requiredWriteTokens(priority, count);
  }

  /**
   * Write tokens that the bucket must hold before a request with {@code count} writes is sent. User
   * requests may overdraw the bucket. Others leave one token: after a transaction of 20 writes at a
   * rate of 10 writes per second, each submission would otherwise wait 2 seconds.
   */
  private double requiredWriteTokens(RequestPriority priority, int count) {
    return priority == RequestPriority.USER
        ? Double.MIN_VALUE
        : Math.min(count + RESERVED_USER_WRITES, burstCapacity(writesPerS));
  }

  /** Deducts a request with {@code count} writes. */
  void consume(int count) {
    requestTokens -= 1;
    writeTokens -= count;
  }

  /**
   * Seconds until {@code count} writes can be sent without the token reserved for user requests.
   */
  double writeDelayS(int count) {
    return Math.max(0, (count + 1 - writeTokens) / writesPerS);
  }

  /** Write tokens missing before a request with {@code count} writes may be sent, rounded up. */
  int missingWrites(RequestPriority priority, int count) {
    return (int) Math.ceil(Math.max(0, requiredWriteTokens(priority, count) - writeTokens));
  }

  /** Seconds in which the bucket gains {@code count} write tokens. */
  double refillTimeS(int count) {
    return count / writesPerS;
  }

  /**
   * Deducts up to {@code requested} write tokens for another controller, but keeps those reserved
   * for user requests. Returns the number deducted.
   */
  int lend(int requested) {
    int lent =
        (int) Math.max(0, Math.min(requested, Math.floor(writeTokens - RESERVED_USER_WRITES)));
    writeTokens -= lent;
    return lent;
  }

  /** Adds write tokens received from another controller. */
  void borrow(int count, double now) {
    refill(now);
    writeTokens += count;
    borrowedUntil = now + BORROWED_TTL_S;
  }
}
