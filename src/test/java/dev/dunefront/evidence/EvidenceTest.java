package dev.dunefront.evidence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.evidence.Isolation.Phase;
import dev.dunefront.evidence.ReportSequence.Classification;
import dev.dunefront.wire.Report;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tables of observations and the decisions that follow from them. */
class EvidenceTest {
  private static Report report(long session, long serial, long token) {
    return new Report("h", "h:9", "t", "a", false, session, serial, token, null, List.of());
  }

  @Test
  void classifiesReportsBySessionSerialAndToken() {
    // Session 3, serial 40 from a response to commands, 38 from a report, token 7.
    ReportSequence known = new ReportSequence(3, 40, 38, 7);
    assertEquals(Classification.NEW, known.classify(report(3, 41, 7)));
    assertEquals(Classification.NEW, known.classify(report(4, 1, 7)));
    assertEquals(Classification.NEW, known.classify(report(3, 41, 8)));
    assertEquals(
        Classification.OVERTAKEN,
        known.classify(report(3, 39, 7)),
        "the later response to commands arrived first");
    assertEquals(Classification.STALE, known.classify(report(3, 38, 7)));
    assertEquals(Classification.STALE, known.classify(report(3, 2, 7)));
    assertEquals(Classification.STALE, known.classify(report(2, 99, 7)));
    assertEquals(
        Classification.STALE,
        known.classify(report(4, 1, 6)),
        "the worker has reported a higher token before");
    assertEquals(Classification.NEW, ReportSequence.NONE.classify(report(1, 1, 0)));
  }

  @Test
  void aResponseWithALowerSessionSerialOrTokenProvesARestart() {
    ReportSequence known = new ReportSequence(3, 40, 38, 7);
    assertFalse(known.provesRestart(report(3, 41, 7)));
    assertFalse(known.provesRestart(report(5, 1, 8)));
    assertTrue(known.provesRestart(report(1, 2, 0)));
    assertTrue(known.provesRestart(report(3, 5, 7)));
    assertTrue(
        known.provesRestart(report(3, 50, 6)),
        "a worker keeps its highest token until it restarts");
    assertFalse(ReportSequence.NONE.provesRestart(report(1, 1, 0)));
  }

  /**
   * Stale duplicates of reports, inserted anywhere into any history, never change the known state.
   */
  @Property(tries = 500, seed = "28")
  void staleReportsChangeNothing(
      @ForAll @Size(max = 40) List<@IntRange(max = 3) Integer> steps,
      @ForAll @Size(max = 60) List<@IntRange(max = 1000) Integer> copies) {
    List<Report> history = new ArrayList<>();
    long session = 1;
    long serial = 0;
    long token = 1;
    for (int step : steps) {
      session += step == 3 ? 1 : 0;
      serial = step == 3 ? 1 : serial + 1 + step;
      token += step == 2 ? 1 : 0;
      history.add(report(session, serial, token));
    }
    ReportSequence without = ReportSequence.NONE;
    ReportSequence with = ReportSequence.NONE;
    int next = 0;
    for (int i = 0; i < history.size(); i++) {
      without = without.afterReport(history.get(i));
      assertEquals(Classification.NEW, with.classify(history.get(i)));
      with = with.afterReport(history.get(i));
      for (int n = 0; n < 3 && next < copies.size(); n++, next++) {
        Report copy = history.get(copies.get(next) % (i + 1));
        assertEquals(Classification.STALE, with.classify(copy));
      }
      assertEquals(without, with);
    }
  }

  @Test
  void aMachineThatFlapsHasLongerProbationEachTime() {
    Responsiveness machine = Responsiveness.INITIAL;
    double now = 100;
    double before = 0;
    for (int failure = 1; failure <= 4; failure++) {
      machine = machine.suspected(now);
      assertFalse(machine.trusted());
      assertTrue(machine.checkDue(now));
      machine = machine.checkSent(now, 1).unanswered(now + 1);
      assertTrue(machine.unresponsive());
      assertFalse(machine.checkDue(now + 1.5), "the next status request waits for the pause");
      assertTrue(machine.checkDue(now + 2.5));
      machine = machine.answered(now + 3);
      assertFalse(machine.trusted());
      assertFalse(machine.unresponsive());
      double waited = 0;
      while (!machine.trusted()) {
        waited += 0.5;
        machine = machine.advance(now + 3 + waited, 2, 20);
      }
      assertTrue(waited > before, "probation is longer than the last time");
      before = waited;
      now += 60;
    }
    assertEquals(
        Responsiveness.INITIAL, machine.advance(now + 1000, 2, 20), "old failures are forgotten");
  }

  @Test
  void aMachineThatWasOnlySuspectedIsTrustedAtOnce() {
    Responsiveness machine = Responsiveness.INITIAL.suspected(5).checkSent(5, 1).answered(5.01);
    assertTrue(machine.trusted());
    assertEquals(0, machine.failures());
  }

  @Test
  void anIsolatedControllerRedirectsOneMachineAndTheOthersOnlyIfItStaysAway() {
    Isolation isolation = Isolation.NOT_ISOLATED.advance(10, true, 4, 20);
    assertEquals(Phase.KEEP_WORKERS, isolation.advance(15, true, 4, 20).phase());
    isolation = isolation.advance(21, true, 4, 20);
    assertEquals(Phase.SEND_TRIAL, isolation.phase());
    isolation = isolation.trialSent("h", 21);
    assertEquals(Phase.AWAIT_TRIAL, isolation.advance(30, true, 4, 20).phase());
    Isolation back = isolation.reportReceived("h", 40);
    assertEquals(Phase.KEEP_WORKERS, back.phase());
    assertEquals(
        Phase.KEEP_WORKERS,
        back.advance(55, true, 4, 20).phase(),
        "the delay before the next trial is longer");
    assertEquals(Phase.EVACUATE, isolation.advance(44, true, 4, 20).phase());
    assertEquals(
        Isolation.NOT_ISOLATED,
        isolation.advance(30, false, 4, 20),
        "another controller is reachable again");
    assertEquals(
        Isolation.NOT_ISOLATED,
        Isolation.NOT_ISOLATED.advance(10, true, 0, 20),
        "there is no other controller");
  }
}
