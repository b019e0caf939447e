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
 * How long tasks run is learned from those that ended, for owners' estimates are biased.
 */
final class Urgencies {
  static final int PRESSING = 0;
  static final int IN_TIME = 1;
  static final int LATE = 2;
  static final int LOST = 3;

  private static final double PRESSING_S = 15;
  private static final double LEARN = 0.1;
  private static final double LEAST = 0.3;
  private static final double MOST = 3;

  private final Settings settings;

  /** By class: how long tasks ran, as a multiple of their estimate. */
  private final Map<String, Double> bias = new HashMap<>();

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

  int rank(JobSpec spec, double ageS, double fetchS) {
    List<Double> aims = aims(spec);
    double needs = spec.estimateS() * bias.getOrDefault(spec.jobClass(), 1.0) + fetchS;
    for (int i = 0; i < aims.size(); i++) {
      double slack = aims.get(i) - ageS - needs;
      if (slack >= 0) {
        return i > 0 ? LATE : slack < PRESSING_S ? PRESSING : IN_TIME;
      }
    }
    return aims.isEmpty() ? IN_TIME : LOST;
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
