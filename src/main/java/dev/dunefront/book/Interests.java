package dev.dunefront.book;

import dev.dunefront.peer.Detail;
import java.util.HashMap;
import java.util.Map;

/**
 * How much each controller wants to hear of the machines held here. Whoever has not said so lately
 * is told everything: a subscription that is lost, late or from a former life may cost messages or
 * a moment until it is repeated, but it hides room from nobody for good.
 */
final class Interests {
  /** A declaration counts for so long; it is repeated several times meanwhile. Seconds. */
  static final double LAPSE_S = 10;

  private record Declared(Detail detail, double at) {}

  private final Map<String, Declared> byNode = new HashMap<>();

  /**
   * A controller says how much it wants to hear.
   *
   * @return whether that is more than it was told until now
   */
  boolean declared(String node, Detail detail, double now) {
    Detail before = of(node, now);
    byNode.put(node, new Declared(detail, now));
    return detail.compareTo(before) > 0;
  }

  /** What a controller is to be told at this time. */
  Detail of(String node, double now) {
    Declared said = byNode.get(node);
    return said == null || now - said.at > LAPSE_S ? Detail.LOAD : said.detail;
  }

  /** A controller's link is gone. */
  void gone(String node) {
    byNode.remove(node);
  }
}
