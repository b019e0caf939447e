package dev.dunefront.store;

import dev.dunefront.config.Settings;
import dev.dunefront.store.Store.Urgency;
import java.util.Collection;

/**
 * This controller's part of the requests and changes that the state service serves: two token
 * buckets. All controllers' parts together are the whole rate, and their bursts a part of the
 * service's. What is lent to another controller is taken from here first, so the sum stays.
 */
final class Budget {
  /** So many changes are left for users' requests. */
  private static final double USERS_CHANGES = 1;

  /** How many seconds' worth may be saved up. */
  private static final double BURST_S = 0.8;

  /**
   * What was borrowed and not used is dropped after so long, in seconds: its lender has saved up
   * anew meanwhile, and together they would be more than the service's burst.
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
    // The burst is a part of the common one: all controllers may start at once.
    requests = requestRate * BURST_S;
    changes = changeRate * BURST_S;
    refilledAt = now;
  }

  /** Takes the part that belongs to what this controller asks, beside what the others ask. */
  void share(Store.Use own, Collection<Store.Use> others) {
    requestRate =
        requestShare.of(own.requests(), others.stream().map(Store.Use::requests).toList());
    changeRate = changeShare.of(own.writes(), others.stream().map(Store.Use::writes).toList());
  }

  /** What may be saved up; however small the part, one request at least, or none would ever go. */
  private static double burst(double rate) {
    return Math.max(1, rate * BURST_S);
  }

  /** Time has passed. */
  void refill(double now) {
    double passed = now - refilledAt;
    requests = Math.min(burst(requestRate), requests + passed * requestRate);
    double saved = Math.min(burst(changeRate), changes + passed * changeRate);
    changes = now < borrowedUntil ? Math.max(changes, saved) : saved;
    refilledAt = now;
  }

  /** Whether a request may go out. */
  boolean allowsRequest() {
    return requests >= 1;
  }

  /** Whether so many changes may go out. */
  boolean allowsChanges(Urgency urgency, int count) {
    return changes >= needed(urgency, count);
  }

  /**
   * How many changes must be saved up before so many are sent. Users' may run into debt. All else
   * leaves a little: after a transaction of twenty changes on a part of ten a second each
   * submission would wait for two seconds.
   */
  private double needed(Urgency urgency, int count) {
    return urgency == Urgency.USER
        ? Double.MIN_VALUE
        : Math.min(count + USERS_CHANGES, burst(changeRate));
  }

  /** A request with so many changes goes out. */
  void spend(int count) {
    requests -= 1;
    changes -= count;
  }

  /** Seconds until so many changes are saved up beyond what a user may need. */
  double delayS(int count) {
    return Math.max(0, (count + 1 - changes) / changeRate);
  }

  /** How many changes are lacking before so many may go out. */
  int missing(Urgency urgency, int count) {
    return (int) Math.ceil(Math.max(0, needed(urgency, count) - changes));
  }

  /** Seconds in which so many changes are saved up. */
  double waitS(int count) {
    return count / changeRate;
  }

  /** Gives away up to so many changes, and keeps what a user's request may need. */
  int lend(int asked) {
    int given = (int) Math.max(0, Math.min(asked, Math.floor(changes - USERS_CHANGES)));
    changes -= given;
    return given;
  }

  /** Another controller has given some of its own. */
  void borrow(int count, double now) {
    refill(now);
    changes += count;
    borrowedUntil = now + BORROWED_S;
  }
}
