package dev.dunefront.metrics;

import dev.dunefront.evidence.EndProof;
import dev.dunefront.evidence.Invariant;
import dev.dunefront.evidence.StartRefusal;
import java.lang.System.Logger.Level;
import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

/**
 * Counts the decisions that ensure that no task runs twice: how attempts were proven to have ended,
 * which starts were refused, and how many strays were seen; and the violations of all invariants. A
 * stray is an attempt on a machine that no record names. Guarded by the controller's decision lock.
 */
public final class SafetyMonitor {
  private static final System.Logger LOG = System.getLogger(SafetyMonitor.class.getName());

  private final Map<EndProof.Kind, Integer> endsByProof = new EnumMap<>(EndProof.Kind.class);
  private final Map<StartRefusal, Integer> refusals = new EnumMap<>(StartRefusal.class);
  private final Map<Invariant, Integer> violations = new EnumMap<>(Invariant.class);
  private double maxProofAgeS;
  private int straysSeen;
  private int straysResolved;

  /** Counts a proof that an attempt has ended. */
  public void attemptEnded(EndProof proof) {
    endsByProof.merge(proof.kind(), 1, Integer::sum);
    if (proof.conditional()) {
      maxProofAgeS = Math.max(maxProofAgeS, proof.basis().ageS());
    }
  }

  /** Counts a refused start. */
  public void startRefused(StartRefusal reason) {
    refusals.merge(reason, 1, Integer::sum);
  }

  /** Counts a stray at its first sighting. */
  public void straySeen() {
    straysSeen++;
  }

  /** Counts strays that have ended, or that this controller no longer tracks. */
  public void straysResolved(int count) {
    straysResolved += count;
  }

  /**
   * Counts and logs the violation of an invariant. The caller skips the step that would violate it
   * and continues with everything else.
   *
   * @param details what is known about it, for the log
   */
  public void invariantViolated(Invariant invariant, String details) {
    violations.merge(invariant, 1, Integer::sum);
    LOG.log(Level.ERROR, "invariant violated: {0}: {1}", invariant, details);
  }

  /** Number of violations found of each invariant; one without violations is absent. */
  public Map<Invariant, Integer> violations() {
    return Collections.unmodifiableMap(violations);
  }

  /** Registers all counts as gauges. */
  public void register(Meters meters) {
    meters.countsGauge("dunefront.attempts.ended", "proof", endsByProof);
    meters.countsGauge("dunefront.starts.refused", "reason", refusals);
    meters.countsGauge("dunefront.invariants.violated", "invariant", violations);
    meters.gauge("dunefront.proofs.oldest.ms", () -> (int) Math.round(maxProofAgeS * 1000));
    meters.gauge("dunefront.strays.seen", () -> straysSeen);
    meters.gauge("dunefront.strays.outstanding", () -> straysSeen - straysResolved);
  }
}
