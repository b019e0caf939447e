package dev.dunefront.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import dev.dunefront.duty.ElectionPolicy.Candidate;
import dev.dunefront.duty.ElectionPolicy.Decision;
import dev.dunefront.duty.ElectionPolicy.Observation;
import dev.dunefront.wire.Document;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which controller takes a vacant duty, and when a holder hands it over. */
class ElectionPolicyTest {
  private static final DutyRecord VACANT = DutyRecord.VACANT;

  private static Candidate punctual(String node, int duties) {
    return new Candidate(node + "#1", duties, 0, true);
  }

  private static Decision decide(
      DutyRecord dutyRecord,
      String self,
      List<Candidate> live,
      double vacantS,
      double heldS,
      double unfitS) {
    return ElectionPolicy.decide(
        new Observation(Duty.RENT, dutyRecord, self, live, vacantS, heldS, unfitS));
  }

  @Test
  void candidatesTakeAVacantDutyInOrderOfRank() {
    List<Candidate> live = List.of(punctual("a", 0), punctual("b", 0), punctual("c", 0));
    List<Integer> takers = new ArrayList<>();
    for (double s :
        new double[] {
          0, ElectionPolicy.RANK_DELAY_S + 0.01, 2 * ElectionPolicy.RANK_DELAY_S + 0.01
        }) {
      int n = 0;
      for (Candidate c : live) {
        n += decide(VACANT, c.incarnation(), live, s, 0, 0).equals(Decision.TAKE) ? 1 : 0;
      }
      takers.add(n);
    }
    assertEquals(List.of(1, 2, 3), takers);
  }

  @Test
  void candidateWithoutDutiesAndWithPunctualTimersRanksFirst() {
    Candidate busy = punctual("a", 1);
    Candidate late = new Candidate("b#1", 0, ElectionPolicy.SLOW_TIMER_LAG_S, true);
    Candidate idle = punctual("c", 0);
    List<Candidate> live = List.of(busy, late, idle);
    assertEquals(Decision.TAKE, decide(VACANT, "c#1", live, 0, 0, 0));
    assertEquals(Decision.WAIT, decide(VACANT, "a#1", live, 0, 0, 0));
    assertEquals(
        Decision.WAIT, decide(VACANT, "b#1", live, ElectionPolicy.RANK_DELAY_S * 1.5, 0, 0));
    assertEquals(Decision.TAKE, decide(VACANT, "b#1", live, ElectionPolicy.RANK_DELAY_S * 2, 0, 0));
  }

  @Test
  void tieBreakDistributesDutiesOverControllers() {
    Set<String> first = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      List<Candidate> live = List.of(punctual("a" + i, 0), punctual("b" + i, 0));
      for (Duty d : Duty.values()) {
        for (Candidate c : live) {
          if (ElectionPolicy.decide(new Observation(d, VACANT, c.incarnation(), live, 0, 0, 0))
              .equals(Decision.TAKE)) {
            first.add(d + c.incarnation().substring(0, 1));
          }
        }
      }
    }
    assertEquals(
        2 * Duty.values().length,
        first.size(),
        "each duty goes to either controller in some draws");
  }

  @Test
  void heldDutyIsNotTakenAndNoLeaseMeansNoDuty() {
    List<Candidate> live = List.of(punctual("a", 1), punctual("b", 0));
    assertEquals(Decision.WAIT, decide(new DutyRecord("a#1", 7), "b#1", live, 0, 0, 0));
    assertEquals(Decision.WAIT, decide(new DutyRecord("", 7), "b#1", live, 0, 0, 0));
    assertEquals(Decision.WAIT, decide(VACANT, null, live, 100, 0, 0));
    assertEquals(
        Decision.WAIT, decide(VACANT, "x#1", live, 100, 0, 0), "not among the live controllers");
  }

  @Test
  void unfitHolderHandsOverToAFitController() {
    Candidate self = new Candidate("a#1", 1, 2, true);
    Candidate good = punctual("b", 1);
    Candidate unreachable = new Candidate("c#1", 0, 0, false);
    Candidate late = new Candidate("d#1", 0, 1, true);
    DutyRecord mine = new DutyRecord("a#1", 7);
    double held = ElectionPolicy.MIN_HELD_S;
    double unfit = ElectionPolicy.UNFIT_HANDOVER_DELAY_S + 0.1;
    List<Candidate> live = List.of(self, good, unreachable, late);
    assertEquals("b#1", decide(mine, "a#1", live, 0, held, unfit).newHolder());
    assertEquals(
        Decision.WAIT,
        decide(mine, "a#1", live, 0, held, ElectionPolicy.UNFIT_HANDOVER_DELAY_S / 2));
    assertEquals(
        Decision.WAIT,
        decide(mine, "a#1", live, 0, held / 2, unfit),
        "minimum hold time, or the duty would circulate");
    assertEquals(
        Decision.WAIT, decide(mine, "a#1", List.of(self, unreachable, late), 0, held, unfit));
  }

  @Test
  void holderWithTwoMoreDutiesHandsOneOver() {
    DutyRecord mine = new DutyRecord("a#1", 7);
    double held = ElectionPolicy.MIN_HELD_S;
    List<Candidate> uneven = List.of(punctual("a", 2), punctual("b", 0));
    assertEquals("b#1", decide(mine, "a#1", uneven, 0, held, 0).newHolder());
    List<Candidate> even = List.of(punctual("a", 2), punctual("b", 1));
    assertEquals(Decision.WAIT, decide(mine, "a#1", even, 0, held, 0));
  }

  @Test
  void recordNamesItsHolderAndUsesItsRevisionAsTerm() {
    assertEquals(new DutyRecord("a#3", 41), DutyRecord.read(DutyRecord.write("a#3", "m"), 41));
    assertEquals(VACANT, DutyRecord.read(null, 99));
    DutyRecord garbled = DutyRecord.read(Document.create().put("inc", 3), 5);
    assertEquals(5, garbled.term());
    assertEquals(false, garbled.vacant(), "held by an unknown holder until its lease expires");
    assertNull(Duty.ofLabel("no such"));
  }
}
