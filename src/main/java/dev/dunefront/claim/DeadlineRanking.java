package dev.dunefront.claim;

import dev.dunefront.config.Settings;
import dev.dunefront.wire.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Ranks jobs of one priority by what is still to be won: those that would miss their aim if they
 * waited, those that have time, those that have missed their first aim, those that have missed all.
 * Where there is too little room for all, jobs with much left to start come after those with
 * little: a few large ones would make many late. How long tasks run, and how many a job of a class
 * has, is learned, for owners' estimates are biased.
 */
public final class DeadlineRanking {
  static final int AT_RISK = 0;
  static final int ON_TIME = 1;

  /** What is added to the two above for a job with much left to start. */
  private static final int LARGE_JOB_OFFSET = 2;

  static final int LATE = 4;
  private static final int LATE_LARGE = 5;
  static final int MISSED_ALL = 6;

  private static final double AT_RISK_SLACK_S = 15;
  private static final double LEARNING_RATE = 0.1;

  /** A job has much left if it is this many times what a job of its class has in all. */
  private static final double LARGE_JOB_FACTOR = 1.4;

  private static final double MIN_BIAS = 0.3;
  private static final double MAX_BIAS = 3;

  private final Settings settings;

  /** By class: how long tasks ran, as a multiple of their estimate. */
  private final Map<String, Double> estimateBias = new HashMap<>();

  /** By class: how many tasks a job has. */
  private final Map<String, Double> meanTasks = new HashMap<>();

  DeadlineRanking(Settings settings) {
    this.settings = settings;
  }

  /** A task of the job has run to its end in this time. */
  void taskCompleted(JobSpec spec, double seconds) {
    if (spec.estimateS() > 0) {
      double ratio = Math.max(MIN_BIAS, Math.min(MAX_BIAS, seconds / spec.estimateS()));
      estimateBias.merge(spec.jobClass(), ratio, (old, now) -> old + LEARNING_RATE * (now - old));
    }
  }

  /** A job has been seen, which tells how large jobs of its class are. */
  void jobSeen(JobSpec spec) {
    meanTasks.merge(
        spec.jobClass(), (double) spec.tasks(), (old, now) -> old + LEARNING_RATE * (now - old));
  }

  int rank(JobSpec spec, int unstarted, double ageS, double fetchS) {
    boolean large = unstarted > LARGE_JOB_FACTOR * meanTasks.getOrDefault(spec.jobClass(), 1e9);

    List<Double> aims = objectiveAgesS(spec);
    double needs = expectedRunS(spec) + fetchS;
    for (int i = 0; i < aims.size(); i++) {
      double slack = aims.get(i) - ageS - needs;
      if (slack >= 0) {
        if (i > 0) {
          return large ? LATE_LARGE : LATE;
        }
        return (slack < AT_RISK_SLACK_S ? AT_RISK : ON_TIME) + (large ? LARGE_JOB_OFFSET : 0);
      }
    }
    return aims.isEmpty() ? ON_TIME + (large ? LARGE_JOB_OFFSET : 0) : MISSED_ALL;
  }

  /** How long the job's tasks are expected to run. */
  public double expectedRunS(JobSpec spec) {
    return spec.estimateS() * estimateBias.getOrDefault(spec.jobClass(), 1.0);
  }

  /**
   * How long a job of this age may still wait if its tasks then need so long: by the first aim that
   * can still be met; null if there is none.
   */
  public Double slackS(JobSpec spec, double ageS, double needsS) {
    for (double aim : objectiveAgesS(spec)) {
      if (aim - ageS - needsS >= 0) {
        return aim - ageS - needsS;
      }
    }
    return null;
  }

  /**
   * How long tasks of a job of this age may still wait until they start, by the next aim that is
   * not passed: first those for their start, then those for the job's end, which leave its run time
   * less. Infinite if all are passed; 0 if nothing is said, and for replicas, which are missed
   * every second.
   */
  public double startSlackS(JobSpec spec, double ageS) {
    if (spec.service()) {
      return 0;
    }
    boolean any = false;
    double slack = Double.POSITIVE_INFINITY;
    for (Settings.StartObjective a : settings.startObjectives()) {
      if (a.jobClass() == null || a.jobClass().equals(spec.jobClass())) {
        any = true;
        if (a.withinS() > ageS) {
          slack = Math.min(slack, a.withinS() - ageS);
        }
      }
    }
    if (slack < Double.POSITIVE_INFINITY) {
      return slack;
    }
    Double left = slackS(spec, ageS, expectedRunS(spec));
    return left != null ? left : any || !objectiveAgesS(spec).isEmpty() ? slack : 0;
  }

  /** The ages at which a job should be done, soonest first. */
  private List<Double> objectiveAgesS(JobSpec spec) {
    List<Double> aims = new ArrayList<>();
    for (Settings.CompletionObjective o : settings.objectives()) {
      if (o.jobClass().equals(spec.jobClass())) {
        if (o.withinS() != null) {
          aims.add(o.withinS());
        } else if (spec.deadlineS() != null) {
          aims.add(o.deadlineFactor() * spec.deadlineS());
        }
      }
    }
    if (aims.isEmpty() && spec.deadlineS() != null) {
      aims.add(spec.deadlineS());
    }
    aims.sort(null);
    return aims;
  }
}
