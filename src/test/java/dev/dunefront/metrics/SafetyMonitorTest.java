package dev.dunefront.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.evidence.EndProof;
import dev.dunefront.evidence.Invariant;
import dev.dunefront.evidence.StartRefusal;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What operators read of the decisions on which it rests that no task runs twice. */
class SafetyMonitorTest {
  @Test
  void countsAreExportedByKind() {
    Meters meters = new Meters();
    SafetyMonitor safety = new SafetyMonitor();
    safety.register(meters);
    safety.attemptEnded(EndProof.machineDeleted());
    safety.startRefused(StartRefusal.OTHER_SESSION);
    safety.straySeen();
    safety.straySeen();
    safety.straysResolved(1);
    safety.invariantViolated(Invariant.TWO_PLACEMENTS, "a story");

    String text = meters.scrape();
    assertTrue(text.contains("dunefront_attempts_ended{proof=\"machine_deleted\"} 1.0"), text);
    assertTrue(text.contains("dunefront_starts_refused{reason=\"other_session\"} 1.0"), text);
    assertTrue(text.contains("dunefront_strays_seen 2.0"), text);
    assertTrue(text.contains("dunefront_strays_outstanding 1.0"), text);
    assertTrue(
        text.contains("dunefront_invariants_violated{invariant=\"two_placements\"} 1.0"), text);
    assertEquals(Map.of(Invariant.TWO_PLACEMENTS, 1), safety.violations());
  }
}
