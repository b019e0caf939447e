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

/** Tables of what is believed. */
class EvidenceTest {
  private static Report report(long session, long serial, long token) {
    return new Report("h", "h:9", "t", "a", false, session, serial, token, null, List.of());
  }

  @Test
  void whatAReportIsWorth() {
    // Session 3, serial 40 from an answer to orders, 38 from a report, token 7 shown.
    ReportSequence known = new ReportSequence(3, 40, 38, 7);
    assertEquals(Classification.NEW, known.classify(report(3, 41, 7)));
    assertEquals(Classification.NEW, known.classify(report(4, 1, 7)));
    assertEquals(Classification.NEW, known.classify(report(3, 41, 8)));
    assertEquals(
        Classification.OVERTAKEN,
        known.classify(report(3, 39, 7)),
        "the answer to orders came first");
    assertEquals(Classification.STALE, known.classify(report(3, 38, 7)));
    assertEquals(Classification.STALE, known.classify(report(3, 2, 7)));
    assertEquals(Classification.STALE, known.classify(report(2, 99, 7)));
    assertEquals(
        Classification.STALE, known.classify(report(4, 1, 6)), "it has shown a higher token since");
    assertEquals(Classification.NEW, ReportSequence.NONE.classify(report(1, 1, 0)));
  }

  @Test
  void onlyAnAnswerToAQuestionShowsThatAWorkerHasBegunAnew() {
    ReportSequence known = new ReportSequence(3, 40, 38, 7);
    assertFalse(known.provesRestart(report(3, 41, 7)));
    assertFalse(known.provesRestart(report(5, 1, 8)));
    assertTrue(known.provesRestart(report(1, 2, 0)));
    assertTrue(known.provesRestart(report(3, 5, 7)));
    assertTrue(known.provesRestart(report(3, 50, 6)), "no worker forgets a token");
    assertFalse(ReportSequence.NONE.provesRestart(report(1, 1, 0)));
  }

  /** Any multiset of copies, added anywhere to any history, changes nothing that is believed. */
  @Property(tries = 500, seed = "28")
  void copiesChangeNothing(
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
      without = without.reported(history.get(i));
      assertEquals(Classification.NEW, with.classify(history.get(i)));
      with = with.reported(history.get(i));
      for (int n = 0; n < 3 && next < copies.size(); n++, next++) {
        Report copy = history.get(copies.get(next) % (i + 1));
        assertEquals(Classification.STALE, with.classify(copy));
      }
      assertEquals(without, with);
    }
  }

  @Test
  void aMachineThatFlapsIsTrustedMoreSlowly() {
    Responsiveness h = Responsiveness.INITIAL;
    double now = 100;
    double before = 0;
    for (int lapse = 1; lapse <= 4; lapse++) {
      h = h.suspected(now);
      assertFalse(h.trusted());
      assertTrue(h.checkDue(now));
      h = h.checkSent(now, 1).unanswered(now + 1);
      assertTrue(h.unresponsive());
      assertFalse(h.checkDue(now + 1.5), "it is not asked all the time");
      assertTrue(h.checkDue(now + 2.5));
      h = h.answered(now + 3);
      assertFalse(h.trusted());
      assertFalse(h.unresponsive());
      double waited = 0;
      while (!h.trusted()) {
        waited += 0.5;
        h = h.advance(now + 3 + waited, 2, 20);
      }
      assertTrue(waited > before, "longer than the last time");
      before = waited;
      now += 60;
    }
    assertEquals(
        Responsiveness.INITIAL, h.advance(now + 1000, 2, 20), "what was long ago is forgiven");
  }

  @Test
  void whoWasOnlySuspectedIsTrustedAtOnce() {
    Responsiveness h = Responsiveness.INITIAL.suspected(5).checkSent(5, 1).answered(5.01);
    assertTrue(h.trusted());
    assertEquals(0, h.failures());
  }

  @Test
  void whoIsAloneSendsOneAheadAndTheOthersOnlyIfItStaysAway() {
    Isolation a = Isolation.NOT_ISOLATED.advance(10, true, 4, 20);
    assertEquals(Phase.KEEP_WORKERS, a.advance(15, true, 4, 20).phase());
    a = a.advance(21, true, 4, 20);
    assertEquals(Phase.SEND_TRIAL, a.phase());
    a = a.trialSent("h", 21);
    assertEquals(Phase.AWAIT_TRIAL, a.advance(30, true, 4, 20).phase());
    Isolation back = a.reportReceived("h", 40);
    assertEquals(Phase.KEEP_WORKERS, back.phase());
    assertEquals(
        Phase.KEEP_WORKERS, back.advance(55, true, 4, 20).phase(), "the next trial waits longer");
    assertEquals(Phase.EVACUATE, a.advance(44, true, 4, 20).phase());
    assertEquals(Isolation.NOT_ISOLATED, a.advance(30, false, 4, 20), "somebody is heard again");
    assertEquals(
        Isolation.NOT_ISOLATED,
        Isolation.NOT_ISOLATED.advance(10, true, 0, 20),
        "there is nobody else");
  }
}
