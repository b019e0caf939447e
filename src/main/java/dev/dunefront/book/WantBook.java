package dev.dunefront.book;

import dev.dunefront.wire.Resources;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The queue of wants of one machine. Free room is offered to the highest priority first, within a
 * priority to the lowest rank, then round-robin across controllers, and first-come within a
 * controller. For a want that has waited long, room is reserved: no want that comes after it in
 * this order is served before it.
 */
final class WantBook {
  /** Number of ranks within a priority. */
  static final int RANKS = 7;

  private static final int PRIORITIES = 4;

  /** A queued request of a controller for room for tasks of one job. */
  static final class Want {
    final String node;
    final String job;
    final double queuedAt;
    int priority;
    int rank;
    Resources size;
    int count;

    Want(String node, String job, int priority, double queuedAt) {
      this.node = node;
      this.job = job;
      this.priority = priority;
      this.queuedAt = queuedAt;
    }
  }

  /** In order of arrival. */
  private final List<Want> wants = new ArrayList<>();

  /** For each priority, the controllers in the order in which they are served next. */
  private final List<List<String>> rotations = new ArrayList<>();

  WantBook() {
    for (int i = 0; i < PRIORITIES; i++) {
      rotations.add(new ArrayList<>());
    }
  }

  /** Adds or updates the want of a controller for a job; a count of 0 removes it. */
  void put(String node, String job, int priority, int rank, Resources size, int count, double now) {
    Want want = null;
    for (Iterator<Want> iterator = wants.iterator(); iterator.hasNext() && want == null; ) {
      Want existing = iterator.next();
      if (existing.node.equals(node) && existing.job.equals(job)) {
        want = existing;
        if (count <= 0) {
          iterator.remove();
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
   * Chooses the want that is served next and lowers its count by one; at 0 it is removed. Returns
   * null if no want fits, or if the room is reserved for a want that has been queued since before
   * {@code reserveBefore}.
   *
   * @param room free room of the machine
   * @param total total room of the machine
   */
  Want take(Resources room, Resources total, double reserveBefore) {
    Want best = null;
    int bestPosition = 0;
    Want reserving = null;
    for (Want w : wants) {
      if (best != null && servingOrder(w) > servingOrder(best)) {
        continue;
      }
      if (w.size.fitsIn(room)) {
        int position = rotations.get(w.priority).indexOf(w.node);
        if (best == null || servingOrder(w) < servingOrder(best) || position < bestPosition) {
          best = w;
          bestPosition = position;
        }
      } else if (w.queuedAt < reserveBefore
          && w.size.fitsIn(total)
          && (reserving == null || servingOrder(w) < servingOrder(reserving))) {
        reserving = w;
      }
    }
    if (best == null || reserving != null && servingOrder(reserving) < servingOrder(best)) {
      return null;
    }
    List<String> ring = rotations.get(best.priority);
    ring.add(ring.remove(bestPosition));
    if (--best.count <= 0) {
      wants.remove(best);
    }
    return best;
  }

  /** Position of a want's priority and rank in the serving order; lower ones are served first. */
  private static int servingOrder(Want w) {
    return w.priority * RANKS + w.rank;
  }
}
