package dev.dunefront.evidence;

import dev.dunefront.peer.Message;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether a machine is faulty, from the jobs whose tasks have failed on it since a task
 * last completed there. A failure has two explanations: a faulty machine, or a faulty job, which
 * fails on every machine. A job that runs on other machines counts fully against the machine. A job
 * of which no task has completed yet counts half, and not at all once it has failed on a second
 * machine. Several faulty jobs at the same time therefore do not quarantine a healthy machine, and
 * a machine on which everything fails is still detected among them.
 *
 * @param weightsByJob weight of the evidence by job, as in {@link Message.FailureReport}
 */
public record FailureScore(Map<String, Integer> weightsByJob) {
  /** No task has failed. */
  public static final FailureScore NONE = new FailureScore(Map.of());

  /**
   * The score of a faulty machine: two jobs that run on other machines, or four of which no task
   * has completed yet.
   */
  private static final int FAULTY_SCORE = 2 * Message.FailureReport.PROVEN;

  public FailureScore {
    weightsByJob = Map.copyOf(weightsByJob);
  }

  /**
   * Returns the score after a task of the job has failed on this machine, or after the weight of
   * the job has changed.
   */
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
