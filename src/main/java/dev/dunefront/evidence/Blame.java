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
 * @param weights weight of the evidence by job, as in {@link Message.Blame}
 */
public record Blame(Map<String, Integer> weights) {
  /** No task has failed. */
  public static final Blame NONE = new Blame(Map.of());

  /**
   * The score of a faulty machine: two jobs that run on other machines, or four of which no task
   * has completed yet.
   */
  private static final int FAULTY = 2 * Message.Blame.PROVEN;

  public Blame {
    weights = Map.copyOf(weights);
  }

  /**
   * Returns the score after a task of the job has failed on this machine, or after the weight of
   * the job has changed.
   */
  public Blame by(String job, int weight) {
    Map<String, Integer> next = new HashMap<>(weights);
    if (weight == Message.Blame.WITHDRAWN) {
      next.remove(job);
    } else {
      next.merge(job, weight, Math::max);
    }
    return new Blame(next);
  }

  public Set<String> jobs() {
    return weights.keySet();
  }

  public boolean faulty() {
    return weights.values().stream().mapToInt(Integer::intValue).sum() >= FAULTY;
  }
}
