package dev.dunefront.load;

import org.HdrHistogram.Histogram;

/** Wait times of tasks and response times of submissions, recorded while counting is on. */
final class LatencyRecorder {
  private static final long MAX_MS = 600_000;

  private final Histogram urgent = new Histogram(MAX_MS, 3);
  private final Histogram other = new Histogram(MAX_MS, 3);
  private final Histogram submissions = new Histogram(MAX_MS, 3);
  private boolean counting;
  private long starts;

  synchronized void setCounting(boolean on) {
    counting = on;
  }

  synchronized void taskStarted(InvariantChecker.Job job, double now) {
    if (counting && job != null) {
      starts++;
      (job.urgent() ? urgent : other).recordValue(millis(now - job.submittedAt()));
    }
  }

  synchronized void jobAccepted(double latencyS) {
    if (counting) {
      submissions.recordValue(millis(latencyS));
    }
  }

  synchronized long starts() {
    return starts;
  }

  synchronized double urgentWaitS(double percentile) {
    return urgent.getValueAtPercentile(percentile) / 1000.0;
  }

  synchronized double otherWaitS(double percentile) {
    return other.getValueAtPercentile(percentile) / 1000.0;
  }

  synchronized double submissionLatencyMs(double percentile) {
    return submissions.getValueAtPercentile(percentile);
  }

  private static long millis(double seconds) {
    return Math.max(0, Math.min(MAX_MS, Math.round(seconds * 1000)));
  }
}
