package dev.dunefront.load;

import org.HdrHistogram.Histogram;

/** How long tasks and submissions have waited, in milliseconds, since counting began. */
final class StartLog {
  private static final long MOST_MS = 600_000;

  private final Histogram urgent = new Histogram(MOST_MS, 3);
  private final Histogram others = new Histogram(MOST_MS, 3);
  private final Histogram submissions = new Histogram(MOST_MS, 3);
  private boolean counting;
  private long starts;

  synchronized void count(boolean on) {
    counting = on;
  }

  synchronized void started(RuleChecker.Job job, double now) {
    if (counting && job != null) {
      starts++;
      (job.urgent() ? urgent : others).recordValue(millis(now - job.submittedAt()));
    }
  }

  synchronized void accepted(double tookS) {
    if (counting) {
      submissions.recordValue(millis(tookS));
    }
  }

  synchronized long starts() {
    return starts;
  }

  synchronized double urgentS(double percentile) {
    return urgent.getValueAtPercentile(percentile) / 1000.0;
  }

  synchronized double othersS(double percentile) {
    return others.getValueAtPercentile(percentile) / 1000.0;
  }

  synchronized double submissionMs(double percentile) {
    return submissions.getValueAtPercentile(percentile);
  }

  private static long millis(double seconds) {
    return Math.max(0, Math.min(MOST_MS, Math.round(seconds * 1000)));
  }
}
