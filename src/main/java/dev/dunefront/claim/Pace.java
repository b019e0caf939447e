package dev.dunefront.claim;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * How long tasks of a job run, and which machines are much slower than others. Tasks of one job run
 * about alike, whatever their owner expected, so one that takes far longer than its siblings tells
 * of its machine.
 */
final class Pace {
  /** Run times of a job's tasks that have ended, the latest of them. */
  static final class Runs {
    private static final int KEPT = 15;
    private static final int ENOUGH = 3;
    private final double[] last = new double[KEPT];
    private int count;

    void add(double seconds) {
      last[count++ % KEPT] = seconds;
    }

    /** The middle one, or 0 while there are too few. */
    double typicalS() {
      if (count < ENOUGH) {
        return 0;
      }
      double[] sorted = Arrays.copyOf(last, Math.min(count, KEPT));
      Arrays.sort(sorted);
      return sorted[sorted.length / 2];
    }
  }

  /** Siblings differ by less than this. */
  private static final double SLOW = 1.6;

  private static final double NORMAL = 1.4;

  /** A machine counts as slow for so long after a slow run was seen on it. */
  private static final double REMEMBERED_S = 60;

  private final Map<String, Double> slowSince = new HashMap<>();

  /** Whether a run of this time tells something new of the machine that others should hear. */
  boolean tells(String host, double ratio, double now) {
    return ratio > SLOW || ratio < NORMAL && slow(host, now);
  }

  void heard(String host, double ratio, double now) {
    if (ratio > SLOW) {
      slowSince.put(host, now);
    } else {
      slowSince.remove(host);
    }
  }

  boolean slow(String host, double now) {
    Double since = slowSince.get(host);
    return since != null && now - since < REMEMBERED_S;
  }
}
