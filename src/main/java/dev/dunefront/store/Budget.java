package dev.dunefront.store;

import dev.dunefront.config.Settings;
import dev.dunefront.store.Store.Urgency;
import java.util.Collection;

/**
 * Limits this controller's requests and writes to the state service with two token buckets. The
 * rates of all controllers add up to the limit of the service, and their bursts to a part of its
 * burst. Tokens lent to another controller are deducted here first, so the sum stays within the
 * limit.
 */
final class Budget {
  /** Write tokens that are kept for user requests. */
  private static final double USERS_CHANGES = 1;

  /** Capacity of a bucket, in seconds of its rate. */
  private static final double BURST_S = 0.8;

  /**
   * Seconds after which unused borrowed write tokens expire. By then the lender has refilled its
   * bucket, and both together would exceed the burst of the service.
   */
  static final double BORROWED_S = 0.15;

  private final Share requestShare;
  private final Share changeShare;
  private double requestRate;
  private double changeRate;
  private double requests;
  private double changes;
  private double refilledAt;
  private double borrowedUntil = Double.NEGATIVE_INFINITY;

  Budget(Settings settings, double now) {
    requestShare = new Share(settings.stateLimits().rps(), settings.controllers());
    changeShare = new Share(settings.stateLimits().writeRps(), settings.controllers());
    requestRate = requestShare.equalPart();
    changeRate = changeShare.equalPart();
    // Starts with this controller's share of the burst: all controllers may start at once.
    requests = requestRate * BURST_S;
    changes = changeRate * BURST_S;
    refilledAt = now;
  }

  /** Sets the rates from the usage of this controller and of the other live ones. */
  void share(Store.Use own, Collection<Store.Use> others) {
    requestRate =
        requestShare.of(own.requests(), others.stream().map(Store.Use::requests).toList());
    changeRate = changeShare.of(own.writes(), others.stream().map(Store.Use::writes).toList());
  }

  /**
   * Capacity of a bucket with this rate. It is at least 1: a bucket that never holds a whole token
   * would block every request.
   */
  private static double burst(double rate) {
    return Math.max(1, rate * BURST_S);
  }

  /** Refills both buckets for the time since the last call. */
  void refill(double now) {
    double elapsedS = now - refilledAt;
    requests = Math.min(burst(requestRate), requests + elapsedS * requestRate);
    double refilled = Math.min(burst(changeRate), changes + elapsedS * changeRate);
    changes = now < borrowedUntil ? Math.max(changes, refilled) : refilled;
    refilledAt = now;
  }

  /** Whether a request may be sent now. */
  boolean allowsRequest() {
    return requests >= 1;
  }

  /** Whether a request with {@code count} writes may be sent now. */
  boolean allowsChanges(Urgency priority, int count) {
    return changes >= needed(priority, count);
  }

  /**
   * Write tokens that the bucket must hold before a request with {@code count} writes is sent. User
   * requests may overdraw the bucket. Others leave one token: after a transaction of 20 writes at a
   * rate of 10 writes per second, each submission would otherwise wait 2 seconds.
   */
  private double needed(Urgency priority, int count) {
    return priority == Urgency.USER
        ? Double.MIN_VALUE
        : Math.min(count + USERS_CHANGES, burst(changeRate));
  }

  /** Deducts a request with {@code count} writes. */
  void spend(int count) {
    requests -= 1;
    changes -= count;
  }

  /**
   * Seconds until {@code count} writes can be sent without the token reserved for user requests.
   */
  double delayS(int count) {
    return Math.max(0, (count + 1 - changes) / changeRate);
  }

  /** Write tokens missing before a request with {@code count} writes may be sent, rounded up. */
  int missing(Urgency priority, int count) {
    return (int) Math.ceil(Math.max(0, needed(priority, count) - changes));
  }

  /** Seconds in which the bucket gains {@code count} write tokens. */
  double waitS(int count) {
    return count / changeRate;
  }

  /**
   * Deducts up to {@code requested} write tokens for another controller, but keeps those reserved
   * for user requests. Returns the number deducted.
   */
  int lend(int requested) {
    int lent = (int) Math.max(0, Math.min(requested, Math.floor(changes - USERS_CHANGES)));
    changes -= lent;
    return lent;
  }

  /** Adds write tokens received from another controller. */
  void borrow(int count, double now) {
    refill(now);
    changes += count;
    borrowedUntil = now + BORROWED_S;
  }
}
