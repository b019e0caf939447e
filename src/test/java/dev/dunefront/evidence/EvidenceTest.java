package dev.dunefront.evidence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.evidence.Freshness.Worth;
import dev.dunefront.evidence.Isolation.Step;
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
    // Session 3, serial 40 from a response to orders, 38 from a report, token 7.
    Freshness known = new Freshness(3, 40, 38, 7);
    assertEquals(Worth.NEW, known.of(report(3, 41, 7)));
    assertEquals(Worth.NEW, known.of(report(4, 1, 7)));
    assertEquals(Worth.NEW, known.of(report(3, 41, 8)));
    assertEquals(
        Worth.OVERTAKEN, known.of(report(3, 39, 7)), "the later response to orders arrived first");
    assertEquals(Worth.COPY, known.of(report(3, 38, 7)));
    assertEquals(Worth.COPY, known.of(report(3, 2, 7)));
    assertEquals(Worth.COPY, known.of(report(2, 99, 7)));
    assertEquals(
        Worth.COPY, known.of(report(4, 1, 6)), "the worker has reported a higher token before");
    assertEquals(Worth.NEW, Freshness.NONE.of(report(1, 1, 0)));
  }

  @Test
  void aResponseWithALowerSessionSerialOrTokenProvesARestart() {
    Freshness known = new Freshness(3, 40, 38, 7);
    assertFalse(known.begunAnew(report(3, 41, 7)));
    assertFalse(known.begunAnew(report(5, 1, 8)));
    assertTrue(known.begunAnew(report(1, 2, 0)));
    assertTrue(known.begunAnew(report(3, 5, 7)));
    assertTrue(
        known.begunAnew(report(3, 50, 6)), "a worker keeps its highest token until it restarts");
    assertFalse(Freshness.NONE.begunAnew(report(1, 1, 0)));
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
    Freshness without = Freshness.NONE;
    Freshness with = Freshness.NONE;
    int next = 0;
    for (int i = 0; i < history.size(); i++) {
      without = without.reported(history.get(i));
      assertEquals(Worth.NEW, with.of(history.get(i)));
      with = with.reported(history.get(i));
      for (int n = 0; n < 3 && next < copies.size(); n++, next++) {
        Report copy = history.get(copies.get(next) % (i + 1));
        assertEquals(Worth.COPY, with.of(copy));
      }
      assertEquals(without, with);
    }
  }

  @Test
  void aMachineThatFlapsHasLongerProbationEachTime() {
    Responsiveness machine = Responsiveness.GOOD;
    double now = 100;
    double before = 0;
    for (int failure = 1; failure <= 4; failure++) {
      machine = machine.suspected(now);
      assertFalse(machine.trusted());
      assertTrue(machine.asks(now));
      machine = machine.asked(now, 1).unanswered(now + 1);
      assertTrue(machine.deaf());
      assertFalse(machine.asks(now + 1.5), "the next status request waits for the pause");
      assertTrue(machine.asks(now + 2.5));
      machine = machine.answered(now + 3);
      assertFalse(machine.trusted());
      assertFalse(machine.deaf());
      double waited = 0;
      while (!machine.trusted()) {
        waited += 0.5;
        machine = machine.passed(now + 3 + waited, 2, 20);
      }
      assertTrue(waited > before, "probation is longer than the last time");
      before = waited;
      now += 60;
    }
    assertEquals(
        Responsiveness.GOOD, machine.passed(now + 1000, 2, 20), "old failures are forgotten");
  }

  @Test
  void aMachineThatWasOnlySuspectedIsTrustedAtOnce() {
    Responsiveness machine = Responsiveness.GOOD.suspected(5).asked(5, 1).answered(5.01);
    assertTrue(machine.trusted());
    assertEquals(0, machine.lapses());
  }

  @Test
  void anIsolatedControllerRedirectsOneMachineAndTheOthersOnlyIfItStaysAway() {
    Isolation isolation = Isolation.NOT.passed(10, true, 4, 20);
    assertEquals(Step.STAY, isolation.passed(15, true, 4, 20).step());
    isolation = isolation.passed(21, true, 4, 20);
    assertEquals(Step.TRY, isolation.step());
    isolation = isolation.sent("h", 21);
    assertEquals(Step.WAIT, isolation.passed(30, true, 4, 20).step());
    Isolation back = isolation.reported("h", 40);
    assertEquals(Step.STAY, back.step());
    assertEquals(
        Step.STAY,
        back.passed(55, true, 4, 20).step(),
        "the delay before the next trial is longer");
    assertEquals(Step.GO, isolation.passed(44, true, 4, 20).step());
    assertEquals(
        Isolation.NOT, isolation.passed(30, false, 4, 20), "another controller is reachable again");
    assertEquals(
        Isolation.NOT, Isolation.NOT.passed(10, true, 0, 20), "there is no other controller");
  }
}
