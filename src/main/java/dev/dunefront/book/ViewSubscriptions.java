package dev.dunefront.book;

import dev.dunefront.peer.ViewDetail;
import java.util.HashMap;
import java.util.Map;

/**
 * How much detail each controller subscribes to for the machines held here. A controller without a
 * current subscription receives everything: a lost, late or outdated subscription may cost extra
 * messages until it is renewed, but it never hides free room permanently.
 */
final class ViewSubscriptions {
  /** Lifetime of a subscription, in seconds. It is renewed several times within that. */
  static final double SUBSCRIPTION_TTL_S = 10;

  private record Subscription(ViewDetail detail, double receivedAt) {}

  private final Map<String, Subscription> byNode = new HashMap<>();

  /**
   * A controller subscribes to a level of detail.
   *
   * @return whether it now receives more than before
   */
  boolean subscribe(String node, ViewDetail detail, double now) {
    ViewDetail before = detailFor(node, now);
    byNode.put(node, new Subscription(detail, now));
    return detail.compareTo(before) > 0;
  }

  /** The level of detail that a controller receives at this time. */
  ViewDetail detailFor(String node, double now) {
    Subscription subscription = byNode.get(node);
    return subscription == null || now - subscription.receivedAt > SUBSCRIPTION_TTL_S
        ? ViewDetail.FULL
        : subscription.detail;
  }

  /** The connection to a controller has closed. */
  void remove(String node) {
    byNode.remove(node);
  }
}
