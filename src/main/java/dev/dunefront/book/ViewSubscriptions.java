package dev.dunefront.book;

import dev.dunefront.peer.ViewDetail;
import java.util.HashMap;
import java.util.Map;

/**
 * How much each controller wants to hear of the machines held here. Whoever has not said so lately
 * is told everything: a subscription that is lost, late or from a former life may cost messages or
 * a moment until it is repeated, but it hides room from nobody for good.
 */
final class ViewSubscriptions {
  /** A declaration counts for so long; it is repeated several times meanwhile. Seconds. */
  static final double SUBSCRIPTION_TTL_S = 10;

  private record Subscription(ViewDetail detail, double receivedAt) {}

  private final Map<String, Subscription> byNode = new HashMap<>();

  /**
   * A controller says how much it wants to hear.
   *
   * @return whether that is more than it was told until now
   */
  boolean subscribe(String node, ViewDetail detail, double now) {
    ViewDetail before = detailFor(node, now);
    byNode.put(node, new Subscription(detail, now));
    return detail.compareTo(before) > 0;
  }

  /** What a controller is to be told at this time. */
  ViewDetail detailFor(String node, double now) {
    Subscription said = byNode.get(node);
    return said == null || now - said.receivedAt > SUBSCRIPTION_TTL_S
        ? ViewDetail.FULL
        : said.detail;
  }

  /** A controller's link is gone. */
  void remove(String node) {
    byNode.remove(node);
  }
}
