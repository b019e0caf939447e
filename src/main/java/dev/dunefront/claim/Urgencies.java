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
public final class Urgencies {
  static final int PRESSING = 0;
  static final int IN_TIME = 1;

  /** What is added to the two above for a job with much left to start. */
  private static final int LARGE = 2;

  static final int LATE = 4;
  private static final int LATE_LARGE = 5;
  static final int LOST = 6;

  private static final double PRESSING_S = 15;
  private static final double LEARN = 0.1;

  /** A job has much left if it is this many times what a job of its class has in all. */
  private static final double MUCH = 1.4;

  private static final double LEAST = 0.3;
  private static final double MOST = 3;

  private final Settings settings;

  /** By class: how long tasks ran, as a multiple of their estimate. */
  private final Map<String, Double> bias = new HashMap<>();

  /** By class: how many tasks a job has. */
  private final Map<String, Double> tasks = new HashMap<>();

  Urgencies(Settings settings) {
    this.settings = settings;
  }

  /** A task of the job has run to its end in this time. */
  void ran(JobSpec spec, double seconds) {
    if (spec.estimateS() > 0) {
      double ratio = Math.max(LEAST, Math.min(MOST, seconds / spec.estimateS()));
      bias.merge(spec.jobClass(), ratio, (old, now) -> old + LEARN * (now - old));
    }
  }

  /** A job has been seen, which tells how large jobs of its class are. */
  void seen(JobSpec spec) {
    tasks.merge(spec.jobClass(), (double) spec.tasks(), (old, now) -> old + LEARN * (now - old));
  }

  int rank(JobSpec spec, int unstarted, double ageS, double fetchS) {
    boolean large = unstarted > MUCH * tasks.getOrDefault(spec.jobClass(), 1e9);

    List<Double> aims = aims(spec);
    double needs = runS(spec) + fetchS;
    for (int i = 0; i < aims.size(); i++) {
      double slack = aims.get(i) - ageS - needs;
      if (slack >= 0) {
        if (i > 0) {
          return large ? LATE_LARGE : LATE;
        }
        return (slack < PRESSING_S ? PRESSING : IN_TIME) + (large ? LARGE : 0);
      }
    }
    return aims.isEmpty() ? IN_TIME + (large ? LARGE : 0) : LOST;
  }

  /** How long the job's tasks are expected to run. */
  public double runS(JobSpec spec) {
    return spec.estimateS() * bias.getOrDefault(spec.jobClass(), 1.0);
  }

  /**
   * How long a job of this age may still wait if its tasks then need so long: by the first aim that
   * can still be met; null if there is none.
   */
  public Double slackS(JobSpec spec, double ageS, double needsS) {
    for (double aim : aims(spec)) {
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
    for (Settings.StartAim a : settings.startAims()) {
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
    Double left = slackS(spec, ageS, runS(spec));
    return left != null ? left : any || !aims(spec).isEmpty() ? slack : 0;
  }

  /** The ages at which a job should be done, soonest first. */
  private List<Double> aims(JobSpec spec) {
    List<Double> aims = new ArrayList<>();
    for (Settings.Objective o : settings.objectives()) {
      if (o.jobClass().equals(spec.jobClass())) {
        if (o.withinS() != null) {
          aims.add(o.withinS());
        } else if (spec.deadlineS() != null) {
          aims.add(o.deadlineTimes() * spec.deadlineS());
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
