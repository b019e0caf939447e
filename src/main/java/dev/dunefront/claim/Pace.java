package dev.dunefront.claim;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Which machines are much slower than others. Tasks of one job run about alike, whatever their
 * owner expected, so one that takes far longer than all its siblings tells of its machine; two such
 * runs without a usual one between them count. One is not enough: some jobs' tasks differ much by
 * themselves, and a large machine passed over for nothing costs more than a slow one used.
 */
final class Pace {
  /**
   * Run times of a job's tasks that have ended, the latest of them, without the far longer ones.
   */
  static final class Runs {
    private static final int KEPT = 15;
    private static final int ENOUGH = 5;
    private final double[] last = new double[KEPT];
    private int count;

    void add(double seconds) {
      last[count++ % KEPT] = seconds;
    }

    /** How many times the usual this run is; 0 while there are too few to tell. */
    double ratio(double seconds) {
      if (count < ENOUGH) {
        return 0;
      }
      double[] sorted = Arrays.copyOf(last, Math.min(count, KEPT));
      Arrays.sort(sorted);
      boolean stands = seconds > LONGER * sorted[sorted.length - 1];
      double ratio = seconds / sorted[sorted.length / 2];
      return stands ? ratio : Math.min(ratio, SLOW);
    }
  }

  /** A run of more than this many times the usual is far longer, if it is longer than all. */
  static final double SLOW = 1.6;

  private static final double LONGER = 1.3;
  private static final double USUAL = 1.4;

  /** A machine counts as slow for so long after the last slow run was seen on it. */
  private static final double REMEMBERED_S = 60;

  private static final int SEEN = 2;

  private record Slow(int runs, double last) {}

  private final Map<String, Slow> slow = new HashMap<>();

  /** Whether a run of this many times the usual is worth telling others. */
  boolean tells(String host, double ratio) {
    return ratio > SLOW || ratio > 0 && ratio < USUAL && slow.containsKey(host);
  }

  void heard(String host, double ratio, double now) {
    if (ratio > SLOW) {
      Slow s = slow.get(host);
      slow.put(host, new Slow(s == null || now - s.last > REMEMBERED_S ? 1 : s.runs + 1, now));
    } else {
      slow.remove(host);
    }
  }

  boolean slow(String host, double now) {
    Slow s = slow.get(host);
    return s != null && s.runs >= SEEN && now - s.last < REMEMBERED_S;
  }
}
