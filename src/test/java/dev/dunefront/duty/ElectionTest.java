package dev.dunefront.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import dev.dunefront.duty.Election.Candidate;
import dev.dunefront.duty.Election.Sight;
import dev.dunefront.duty.Election.Step;
import dev.dunefront.wire.Doc;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which controller takes a vacant duty, and when a holder hands it over. */
class ElectionTest {
  private static final DutyRecord VACANT = DutyRecord.VACANT;

  private static Candidate keepsUp(String node, int duties) {
    return new Candidate(node + "#1", duties, 0, true);
  }

  private static Step next(
      DutyRecord post,
      String self,
      List<Candidate> live,
      double vacantS,
      double heldS,
      double unfitS) {
    return Election.next(new Sight(Duty.RENT, post, self, live, vacantS, heldS, unfitS));
  }

  @Test
  void whoeverRanksFirstTakesAVacantDutyAtOnceAndTheOthersOneAfterAnother() {
    List<Candidate> live = List.of(keepsUp("a", 0), keepsUp("b", 0), keepsUp("c", 0));
    List<Integer> takers = new ArrayList<>();
    for (double s : new double[] {0, Election.RANK_S + 0.01, 2 * Election.RANK_S + 0.01}) {
      int n = 0;
      for (Candidate c : live) {
        n += next(VACANT, c.incarnation(), live, s, 0, 0).equals(Step.TAKE) ? 1 : 0;
      }
      takers.add(n);
    }
    assertEquals(List.of(1, 2, 3), takers);
  }

  @Test
  void whoeverHasNoDutyAndKeepsUpComesFirst() {
    Candidate busy = keepsUp("a", 1);
    Candidate late = new Candidate("b#1", 0, Election.BEHIND_S, true);
    Candidate idle = keepsUp("c", 0);
    List<Candidate> live = List.of(busy, late, idle);
    assertEquals(Step.TAKE, next(VACANT, "c#1", live, 0, 0, 0));
    assertEquals(Step.WAIT, next(VACANT, "a#1", live, 0, 0, 0));
    assertEquals(Step.WAIT, next(VACANT, "b#1", live, Election.RANK_S * 1.5, 0, 0));
    assertEquals(Step.TAKE, next(VACANT, "b#1", live, Election.RANK_S * 2, 0, 0));
  }

  @Test
  void theDrawGivesDifferentDutiesToDifferentControllers() {
    Set<String> first = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      List<Candidate> live = List.of(keepsUp("a" + i, 0), keepsUp("b" + i, 0));
      for (Duty d : Duty.values()) {
        for (Candidate c : live) {
          if (Election.next(new Sight(d, VACANT, c.incarnation(), live, 0, 0, 0))
              .equals(Step.TAKE)) {
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
  void nobodyIsPutOutOfADutyAndNobodyWithoutALeaseTakesOne() {
    List<Candidate> live = List.of(keepsUp("a", 1), keepsUp("b", 0));
    assertEquals(Step.WAIT, next(new DutyRecord("a#1", 7), "b#1", live, 0, 0, 0));
    assertEquals(Step.WAIT, next(new DutyRecord("", 7), "b#1", live, 0, 0, 0));
    assertEquals(Step.WAIT, next(VACANT, null, live, 100, 0, 0));
    assertEquals(Step.WAIT, next(VACANT, "x#1", live, 100, 0, 0), "not among the live controllers");
  }

  @Test
  void whoeverCannotDoItHandsItToOneWhoCan() {
    Candidate self = new Candidate("a#1", 1, 2, true);
    Candidate good = keepsUp("b", 1);
    Candidate unreachable = new Candidate("c#1", 0, 0, false);
    Candidate late = new Candidate("d#1", 0, 1, true);
    DutyRecord mine = new DutyRecord("a#1", 7);
    double held = Election.LEAST_HELD_S;
    double unfit = Election.UNFIT_S + 0.1;
    List<Candidate> live = List.of(self, good, unreachable, late);
    assertEquals("b#1", next(mine, "a#1", live, 0, held, unfit).to());
    assertEquals(Step.WAIT, next(mine, "a#1", live, 0, held, Election.UNFIT_S / 2));
    assertEquals(
        Step.WAIT,
        next(mine, "a#1", live, 0, held / 2, unfit),
        "minimum hold time, or the duty would circulate");
    assertEquals(Step.WAIT, next(mine, "a#1", List.of(self, unreachable, late), 0, held, unfit));
  }

  @Test
  void whoeverHasTwoMoreThanAnotherGivesOneAway() {
    DutyRecord mine = new DutyRecord("a#1", 7);
    double held = Election.LEAST_HELD_S;
    List<Candidate> uneven = List.of(keepsUp("a", 2), keepsUp("b", 0));
    assertEquals("b#1", next(mine, "a#1", uneven, 0, held, 0).to());
    List<Candidate> even = List.of(keepsUp("a", 2), keepsUp("b", 1));
    assertEquals(Step.WAIT, next(mine, "a#1", even, 0, held, 0));
  }

  @Test
  void aRecordNamesItsHolderAndItsTermIsItsStamp() {
    assertEquals(new DutyRecord("a#3", 41), DutyRecord.read(DutyRecord.write("a#3", "m"), 41));
    assertEquals(VACANT, DutyRecord.read(null, 99));
    DutyRecord garbled = DutyRecord.read(Doc.of().put("inc", 3), 5);
    assertEquals(5, garbled.term());
    assertEquals(false, garbled.vacant(), "held by an unknown holder until its lease expires");
    assertNull(Duty.of("no such"));
  }
}
