package dev.dunefront.book;

import dev.dunefront.wire.Size;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The wants parked on one machine. Room goes to the highest priority first, round-robin across
 * controllers within it, first-come within a controller.
 */
final class WantBook {
  static final class Want {
    final String node;
    final String job;
    final int priority;
    Size size;
    int count;

    Want(String node, String job, int priority, Size size, int count) {
      this.node = node;
      this.job = job;
      this.priority = priority;
      this.size = size;
      this.count = count;
    }
  }

  /** In order of arrival. */
  private final List<Want> wants = new ArrayList<>();

  /** For each priority the controllers in the order in which they are next served. */
  private final List<List<String>> rings =
      List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());

  void park(String node, String job, int priority, Size size, int count) {
    for (Iterator<Want> i = wants.iterator(); i.hasNext(); ) {
      Want w = i.next();
      if (w.node.equals(node) && w.job.equals(job)) {
        w.size = size;
        w.count = count;
        if (count <= 0) {
          i.remove();
        }
        return;
      }
    }
    if (count > 0) {
      wants.add(new Want(node, job, priority, size, count));
      List<String> ring = rings.get(priority);
      if (!ring.contains(node)) {
        ring.add(0, node);
      }
    }
  }

  void drop(String node) {
    wants.removeIf(w -> w.node.equals(node));
    rings.forEach(r -> r.remove(node));
  }

  void dropJob(String job) {
    wants.removeIf(w -> w.job.equals(job));
  }

  boolean isEmpty() {
    return wants.isEmpty();
  }

  int size() {
    return wants.size();
  }

  /** The want that is served next from this room, taken down by one; null if none fits. */
  Want take(Size room) {
    for (int priority = 0; priority < rings.size(); priority++) {
      List<String> ring = rings.get(priority);
      for (int i = 0; i < ring.size(); i++) {
        String node = ring.get(i);
        Want w = first(priority, node, room);
        if (w != null) {
          ring.remove(i);
          ring.add(node);
          if (--w.count <= 0) {
            wants.remove(w);
          }
          return w;
        }
      }
    }
    return null;
  }

  private Want first(int priority, String node, Size room) {
    for (Want w : wants) {
      if (w.priority == priority && w.node.equals(node) && w.size.fits(room)) {
        return w;
      }
    }
    return null;
  }
}
