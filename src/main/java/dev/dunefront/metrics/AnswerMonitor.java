package dev.dunefront.metrics;

import dev.dunefront.evidence.AnswerEvidence;
import dev.dunefront.evidence.AnswerRefusal;
import java.util.EnumMap;
import java.util.Map;

/**
 * Counts the answers to users that report a job's status, by evidence, and the refused requests, by
 * reason. Guarded by the controller's decision lock.
 */
public final class AnswerMonitor {
  private final Map<AnswerEvidence, Integer> answers = new EnumMap<>(AnswerEvidence.class);
  private final Map<AnswerRefusal, Integer> refusals = new EnumMap<>(AnswerRefusal.class);

  /** Counts an answer that reports a job's status. */
  public void answered(AnswerEvidence evidence) {
    answers.merge(evidence, 1, Integer::sum);
  }

  /** Counts a refused request. */
  public void refused(AnswerRefusal reason) {
    refusals.merge(reason, 1, Integer::sum);
  }

  /** Registers all counts as gauges. */
  public void register(Meters meters) {
    meters.countsGauge("dunefront.answers", "evidence", answers);
    meters.countsGauge("dunefront.answers.refused", "reason", refusals);
  }
}
