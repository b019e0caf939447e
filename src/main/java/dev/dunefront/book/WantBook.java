package dev.dunefront.book;

import dev.dunefront.wire.Resources;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The wants parked on one machine. Room goes to the highest priority first, within it to the lowest
 * rank, then round-robin across controllers, first-come within a controller. Once a want has waited
 * long, room gathers for it: nothing that comes after it is served before.
 */
final class WantBook {
  /** Ranks within a priority. */
  static final int RANKS = 7;

  private static final int PRIORITIES = 4;

  static final class Want {
    final String node;
    final String job;
    final double queuedAt;
    int priority;
    int rank;
    Resources size;
    int count;

    Want(String node, String job, int priority, double since) {
      this.node = node;
      this.job = job;
      this.priority = priority;
      this.queuedAt = since;
    }
  }

  /** In order of arrival. */
  private final List<Want> wants = new ArrayList<>();

  /** For each priority the controllers in the order in which they are next served. */
  private final List<List<String>> rotations = new ArrayList<>();

  WantBook() {
    for (int i = 0; i < PRIORITIES; i++) {
      rotations.add(new ArrayList<>());
    }
  }

  void put(String node, String job, int priority, int rank, Resources size, int count, double now) {
    Want want = null;
    for (Iterator<Want> i = wants.iterator(); i.hasNext() && want == null; ) {
      Want w = i.next();
      if (w.node.equals(node) && w.job.equals(job)) {
        want = w;
        if (count <= 0) {
          i.remove();
        }
      }
    }
    if (count <= 0) {
      return;
    }
    if (want == null) {
      want = new Want(node, job, priority, now);
      wants.add(want);
    }
    if (!rotations.get(priority).contains(node)) {
      rotations.get(priority).add(0, node);
    }
    want.priority = priority;
    want.rank = rank;
    want.size = size;
    want.count = count;
  }

  void removeController(String node) {
    wants.removeIf(w -> w.node.equals(node));
    rotations.forEach(r -> r.remove(node));
  }

  void removeJob(String job) {
    wants.removeIf(w -> w.job.equals(job));
  }

  boolean isEmpty() {
    return wants.isEmpty();
  }

  /**
   * The want that is served next from this room, taken down by one; null if there is none, or if
   * the room gathers for one that has been parked since before {@code gatherBefore}.
   */
  Want take(Resources room, Resources whole, double gatherBefore) {
    Want best = null;
    int bestTurn = 0;
    Want gatherer = null;
    for (Want w : wants) {
      if (best != null && servingOrder(w) > servingOrder(best)) {
        continue;
      }
      if (w.size.fitsIn(room)) {
        int turn = rotations.get(w.priority).indexOf(w.node);
        if (best == null || servingOrder(w) < servingOrder(best) || turn < bestTurn) {
          best = w;
          bestTurn = turn;
        }
      } else if (w.queuedAt < gatherBefore
          && w.size.fitsIn(whole)
          && (gatherer == null || servingOrder(w) < servingOrder(gatherer))) {
        gatherer = w;
      }
    }
    if (best == null || gatherer != null && servingOrder(gatherer) < servingOrder(best)) {
      return null;
    }
    List<String> ring = rotations.get(best.priority);
    ring.add(ring.remove(bestTurn));
    if (--best.count <= 0) {
      wants.remove(best);
    }
    return best;
  }

  /** Wants of a lower level are served before all of a higher one. */
  private static int servingOrder(Want w) {
    return w.priority * RANKS + w.rank;
  }
}
