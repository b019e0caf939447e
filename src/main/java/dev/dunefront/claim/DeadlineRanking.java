package dev.dunefront.claim;

import dev.dunefront.config.Settings;
import dev.dunefront.wire.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Ranks jobs of one priority by the objectives that they can still meet: first those that would
 * miss their first objective if they waited, then those with time left, those that have missed the
 * first objective, and those that have missed all. Under scarcity, jobs with many tasks left to
 * start rank after those with few, because a few large jobs would make many others late. Run times
 * and numbers of tasks are learned per job class, because the owners' estimates are biased.
 */
public final class DeadlineRanking {
  /** Would miss its first objective by waiting {@link #AT_RISK_SLACK_S} longer. */
  static final int AT_RISK = 0;

  /** Has time left, or no objective. */
  static final int ON_TIME = 1;

  /** Added to the two ranks above for a job with many tasks left to start. */
  private static final int LARGE_JOB_OFFSET = 2;

  /** Has missed its first objective, but can still meet a later one. */
  static final int LATE = 4;

  private static final int LATE_LARGE = 5;

  /** Can no longer meet any objective. */
  static final int MISSED_ALL = 6;

  private static final double AT_RISK_SLACK_S = 15;

  /** Weight of a new observation in the moving averages. */
  private static final double LEARNING_RATE = 0.1;

  /** A job is large if its unstarted tasks exceed its class's mean task count by this factor. */
  private static final double LARGE_JOB_FACTOR = 1.4;

  /** Bounds of a single observed ratio of run time to estimate. */
  private static final double MIN_BIAS = 0.3;

  private static final double MAX_BIAS = 3;

  private final Settings settings;

  /** Moving average of run time divided by estimate, by job class. */
  private final Map<String, Double> estimateBias = new HashMap<>();

  /** Moving average of the number of tasks per job, by job class. */
  private final Map<String, Double> meanTasks = new HashMap<>();

  DeadlineRanking(Settings settings) {
    this.settings = settings;
  }

  /** Learns from the run time of a completed task. */
  void taskCompleted(JobSpec spec, double seconds) {
    if (spec.estimateS() > 0) {
      double ratio = Math.max(MIN_BIAS, Math.min(MAX_BIAS, seconds / spec.estimateS()));
      estimateBias.merge(
          spec.jobClass(), ratio, (mean, observed) -> mean + LEARNING_RATE * (observed - mean));
    }
  }

  /** Learns from the number of tasks of a new job. */
  void jobSeen(JobSpec spec) {
    meanTasks.merge(
        spec.jobClass(),
        (double) spec.tasks(),
        (mean, observed) -> mean + LEARNING_RATE * (observed - mean));
  }

  /** The rank of a job of this age; lower ranks are served first. */
  int rank(JobSpec spec, int unstarted, double ageS, double fetchS) {
    boolean large = unstarted > LARGE_JOB_FACTOR * meanTasks.getOrDefault(spec.jobClass(), 1e9);

    List<Double> objectives = objectiveAgesS(spec);
    double neededS = expectedRunS(spec) + fetchS;
    for (int i = 0; i < objectives.size(); i++) {
      double slack = objectives.get(i) - ageS - neededS;
      if (slack >= 0) {
        if (i > 0) {
          return large ? LATE_LARGE : LATE;
        }
        return (slack < AT_RISK_SLACK_S ? AT_RISK : ON_TIME) + (large ? LARGE_JOB_OFFSET : 0);
      }
    }
    return objectives.isEmpty() ? ON_TIME + (large ? LARGE_JOB_OFFSET : 0) : MISSED_ALL;
  }

  /** The expected run time of the job's tasks, in seconds: the estimate times the learned bias. */
  public double expectedRunS(JobSpec spec) {
    return spec.estimateS() * estimateBias.getOrDefault(spec.jobClass(), 1.0);
  }

  /**
   * How long a job of this age may still wait, by the first objective that it can still meet if its
   * tasks then take {@code needsS}; null if there is none.
   */
  public Double slackS(JobSpec spec, double ageS, double needsS) {
    for (double objectiveS : objectiveAgesS(spec)) {
      if (objectiveS - ageS - needsS >= 0) {
        return objectiveS - ageS - needsS;
      }
    }
    return null;
  }

  /**
   * How long tasks of a job of this age may still wait before they start, by the next objective
   * that can be met: first start objectives, then finish objectives less the expected run time.
   * Infinite if all are missed; 0 if there are none, and for service replicas, whose absence
   * matters at once.
   */
  public double startSlackS(JobSpec spec, double ageS) {
    if (spec.service()) {
      return 0;
    }
    boolean anyObjective = false;
    double slack = Double.POSITIVE_INFINITY;
    for (Settings.StartObjective objective : settings.startObjectives()) {
      if (objective.jobClass() == null || objective.jobClass().equals(spec.jobClass())) {
        anyObjective = true;
        if (objective.withinS() > ageS) {
          slack = Math.min(slack, objective.withinS() - ageS);
        }
      }
    }
    if (slack < Double.POSITIVE_INFINITY) {
      return slack;
    }
    Double left = slackS(spec, ageS, expectedRunS(spec));
    return left != null ? left : anyObjective || !objectiveAgesS(spec).isEmpty() ? slack : 0;
  }

  /** The ages in seconds at which the job's finish objectives and deadline expire, ascending. */
  private List<Double> objectiveAgesS(JobSpec spec) {
    List<Double> objectives = new ArrayList<>();
    for (Settings.CompletionObjective objective : settings.objectives()) {
      if (objective.jobClass().equals(spec.jobClass())) {
        if (objective.withinS() != null) {
          objectives.add(objective.withinS());
        } else if (spec.deadlineS() != null) {
          objectives.add(objective.deadlineFactor() * spec.deadlineS());
        }
      }
    }
    if (objectives.isEmpty() && spec.deadlineS() != null) {
      objectives.add(spec.deadlineS());
    }
    objectives.sort(null);
    return objectives;
  }
}
