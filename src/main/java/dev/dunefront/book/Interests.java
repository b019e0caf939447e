package dev.dunefront.book;

import dev.dunefront.peer.Detail;
import java.util.HashMap;
import java.util.Map;

/**
 * How much detail each controller subscribes to for the machines held here. A controller without a
 * current subscription receives everything: a lost, late or outdated subscription may cost extra
 * messages until it is renewed, but it never hides free room permanently.
 */
final class Interests {
  /** Lifetime of a subscription, in seconds. It is renewed several times within that. */
  static final double LAPSE_S = 10;

  private record Declared(Detail detail, double at) {}

  private final Map<String, Declared> byNode = new HashMap<>();

  /**
   * A controller subscribes to a level of detail.
   *
   * @return whether it now receives more than before
   */
  boolean declared(String node, Detail detail, double now) {
    Detail before = of(node, now);
    byNode.put(node, new Declared(detail, now));
    return detail.compareTo(before) > 0;
  }

  /** The level of detail that a controller receives at this time. */
  Detail of(String node, double now) {
    Declared subscription = byNode.get(node);
    return subscription == null || now - subscription.at > LAPSE_S
        ? Detail.LOAD
        : subscription.detail;
  }

  /** The connection to a controller has closed. */
  void gone(String node) {
    byNode.remove(node);
  }
}
