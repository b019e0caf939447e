package dev.dunefront.evidence;

import dev.dunefront.peer.Message;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Whether a machine is faulty, by the jobs whose tasks have failed on it since anything was done
 * there. A failure has two explanations, a faulty machine and a job with a mistake, which fails
 * wherever it runs. A job that runs elsewhere speaks against the machine; one of which nothing has
 * been done yet speaks half as much, and nothing at all once it has failed on a second machine. So
 * several mistaken jobs that come together put no healthy machine in quarantine, and a machine that
 * fails everything is found among them.
 *
 * @param weightsByJob by job what it says, as in {@link Message.FailureReport}
 */
public record FailureScore(Map<String, Integer> weightsByJob) {
  /** Nothing has failed. */
  public static final FailureScore NONE = new FailureScore(Map.of());

  /** Two jobs that run elsewhere, or four of which nothing is known. */
  private static final int FAULTY_SCORE = 2 * Message.FailureReport.PROVEN;

  public FailureScore {
    weightsByJob = Map.copyOf(weightsByJob);
  }

  /** A job has failed here, or what is known of it has changed. */
  public FailureScore withFailure(String job, int weight) {
    Map<String, Integer> next = new HashMap<>(weightsByJob);
    if (weight == Message.FailureReport.WITHDRAWN) {
      next.remove(job);
    } else {
      next.merge(job, weight, Math::max);
    }
    return new FailureScore(next);
  }

  public Set<String> failedJobs() {
    return weightsByJob.keySet();
  }

  public boolean faulty() {
    return weightsByJob.values().stream().mapToInt(Integer::intValue).sum() >= FAULTY_SCORE;
  }
}
