package dev.dunefront.metrics;

import dev.dunefront.evidence.EndProof;
import dev.dunefront.evidence.Invariant;
import dev.dunefront.evidence.StartRefusal;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Counts the decisions on which it rests that no task runs twice: how attempts were proven over,
 * which starts were refused, and which attempts were seen that no record names. Guarded by the
 * controller's lock.
 */
public final class SafetyMonitor {
  private static final System.Logger LOG = System.getLogger(SafetyMonitor.class.getName());

  private final Map<EndProof.Kind, Integer> endsByProof = new EnumMap<>(EndProof.Kind.class);
  private final Map<StartRefusal, Integer> refusals = new EnumMap<>(StartRefusal.class);
  private final Map<Invariant, Integer> violations = new EnumMap<>(Invariant.class);
  private double maxProofAgeS;
  private int straysSeen;
  private int straysResolved;

  /** An attempt was proven over. */
  public void attemptEnded(EndProof proof) {
    endsByProof.merge(proof.kind(), 1, Integer::sum);
    if (proof.conditional()) {
      maxProofAgeS = Math.max(maxProofAgeS, proof.basis().ageS());
    }
  }

  /** A start was refused. */
  public void startRefused(StartRefusal reason) {
    refusals.merge(reason, 1, Integer::sum);
  }

  /** An attempt that no record names has been seen for the first time. */
  public void straySeen() {
    straysSeen++;
  }

  /** So many of them are gone, or nothing more is known of it here. */
  public void straysResolved(int count) {
    straysResolved += count;
  }

  /**
   * An invariant does not hold; the caller leaves out the step that would break it. Everything else
   * goes on.
   *
   * @param facts what is known of it, for the log
   */
  public void invariantViolated(Invariant invariant, String facts) {
    violations.merge(invariant, 1, Integer::sum);
    LOG.log(Level.ERROR, "invariant violated: {0}: {1}", invariant, facts);
  }

  /** How often each invariant was found not to hold. */
  public Map<Invariant, Integer> violations() {
    return Collections.unmodifiableMap(violations);
  }

  /** Registers all counts. */
  public void register(Meters meters) {
    meters.gauges("dunefront.attempts.ended", () -> labelledValues("proof", endsByProof));
    meters.gauges("dunefront.starts.refused", () -> labelledValues("reason", refusals));
    meters.gauges("dunefront.invariants.violated", () -> labelledValues("invariant", violations));
    meters.gauge("dunefront.proofs.oldest.ms", () -> (int) Math.round(maxProofAgeS * 1000));
    meters.gauge("dunefront.strays.seen", () -> straysSeen);
    meters.gauge("dunefront.strays.outstanding", () -> straysSeen - straysResolved);
  }

  private static <K extends Enum<K>> List<Meters.LabelledValue> labelledValues(
      String label, Map<K, Integer> counts) {
    List<Meters.LabelledValue> rows = new ArrayList<>();
    counts.forEach(
        (key, count) ->
            rows.add(
                new Meters.LabelledValue(
                    Map.of(label, key.name().toLowerCase(Locale.ROOT)), count)));
    return rows;
  }
}
