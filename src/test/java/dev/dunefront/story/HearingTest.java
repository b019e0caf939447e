package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Reports that come although their machine hears nothing, and such as come long after. */
class HearingTest {
  /**
   * It goes round the controllers with its reports. Each would write its hold anew, show its room,
   * and lose what is placed there.
   */
  @Test
  void aThirdOfAllMachinesIsHeardAndDoesNotHear() {
    World w = World.of(30);
    for (int i = 0; i < 6; i++) {
      assertEquals(201, w.submit("node-" + i % 3, World.job("wk-" + i, 15, 1)).status());
    }
    w.pass(3);
    assertEquals(90, w.running());
    int holds = w.state.writes("w/h/");
    for (int i = 0; i < 10; i++) {
      w.deaf.add("host-" + i);
    }
    w.pass(2 * World.LEASE_S);
    // What ran there ended with its lease and is placed again, elsewhere.
    int[] starts = new int[10];
    for (int i = 0; i < 10; i++) {
      starts[i] = w.workers.get("host-" + i + ":9").starts().size();
      assertEquals(List.of(), w.workers.get("host-" + i + ":9").running());
    }
    w.pass(World.LEASE_S);
    assertEquals(80, w.running(), "all room of the others is in use");
    int written = w.state.writes("w/h/") - holds;
    assertTrue(written <= 10, written + " holds written for ten machines that go round");
    w.deaf.clear();
    w.pass(3 * World.LEASE_S);
    assertEquals(90, w.running());
    assertEquals(30, w.workers.size(), "none was returned");
    for (int i = 0; i < 10; i++) {
      assertTrue(
          w.workers.get("host-" + i + ":9").starts().size() >= starts[i], "it is used again");
    }
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * Its holder learns of its new session by an answer to an order and not by a report. The lease of
   * that session has only begun: counted from the last report of the earlier one it would be called
   * over at once, and what was started in it meanwhile be placed a second time.
   */
  @Test
  void aSessionLearnedOfByAnAnswerLives() {
    World w = World.of(1);
    FakeWorker m = w.workers.get("host-0:9");
    assertEquals(201, w.submit("node-0", World.job("wk-1", 4, 1)).status());
    w.pass(2);
    assertEquals(4, m.running().size());
    // Nothing that it says arrives any more, while orders and their answers do.
    w.lost = (from, to) -> from.equals("host-0:9");
    for (int i = 0; i < 200 && !m.running().isEmpty(); i++) {
      w.pass(0.05);
    }
    // Its lease has run out, and its holder does not know so yet: it sends a stop.
    w.user("POST", "/v1/jobs/wk-1/abort", null, "wk-1", 0, 20);
    w.cancelled.add("wk-1");
    w.user("POST", "/v1/jobs", World.job("wk-2", 4, 1), "wk-2", 1, 20);
    for (int i = 0; i < 20 && m.running().isEmpty(); i++) {
      w.pass(0.02);
    }
    assertEquals(4, m.running().size(), "the holder has learned of the session, and uses it");
    w.machine("host-1", "small", "a", "node-1");
    w.pass(World.LEASE_S - 1);
    assertEquals(List.of(), w.overlaps);
    w.lost = (from, to) -> false;
    assertEquals(List.of(), w.dayEnds());
  }

  @Test
  void aMachineThatNeverHearsAgainIsReturned() {
    World w = World.of(6);
    w.deaf.add("host-1");
    w.pass(200);
    assertTrue(w.cloud.deleted("host-1"));
    for (int i : new int[] {0, 2, 3, 4, 5}) {
      assertFalse(w.cloud.deleted("host-" + i));
    }
  }

  /** What is done where copies of all reports come again and again, and where none do. */
  @Test
  void lateCopiesOfReportsChangeNothing() {
    double without = untilPlacedAgain(List.of());
    double with = untilPlacedAgain(List.of(0.3, 2.0, World.LEASE_S, World.LEASE_S * 3));
    assertTrue(with < without + 2, with + " s with copies, " + without + " s without");
  }

  /** How long it takes from the death of a machine until what ran there runs elsewhere. */
  private static double untilPlacedAgain(List<Double> copiesAfterS) {
    World w = World.of(3);
    w.copiesAfterS = copiesAfterS;
    assertEquals(201, w.submit("node-0", World.job("wk-1", 8, 1)).status());
    w.pass(4 * World.LEASE_S);
    assertEquals(8, w.running());
    int holds = w.state.writes("w/h/");
    FakeWorker dead =
        w.workers.values().stream().filter(m -> !m.running().isEmpty()).findFirst().orElseThrow();
    Set<String> lost = new HashSet<>(dead.running());
    w.silent.add(dead.host());
    double since = w.timers.now();
    while (w.timers.now() - since < 10 * World.LEASE_S) {
      w.pass(0.5);
      Set<String> elsewhere = new HashSet<>();
      w.workers.values().stream()
          .filter(m -> m != dead)
          .forEach(m -> elsewhere.addAll(m.running()));
      if (elsewhere.containsAll(lost)) {
        break;
      }
    }
    double took = w.timers.now() - since;
    w.pass(2 * World.LEASE_S);
    assertEquals(holds, w.state.writes("w/h/"), "no hold is taken or raised for a copy");
    // It hung, and the lease that it takes for its own is over.
    w.silent.clear();
    assertEquals(List.of(), w.dayEnds());
    assertEquals(copiesAfterS.isEmpty(), w.copies == 0);
    return took;
  }

  /** A controller that has just begun remembers no serial. */
  @Test
  void lateCopiesMeetControllersThatHaveJustBegun() {
    World w = World.of(6);
    w.copiesAfterS = List.of(1.0, World.LEASE_S, World.LEASE_S * 2);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 20, 1)).status());
    w.pass(4);
    w.nodes.values().forEach(World.Node::crash);
    w.silent.add("host-1");
    w.pass(1);
    w.nodes.values().forEach(World.Node::start);
    w.pass(World.LEASE_S * 2);
    w.nodes.get("node-1").crash();
    w.pass(0.2);
    w.nodes.get("node-1").start();
    w.pass(World.LEASE_S * 2);
    assertEquals(20, w.running() - w.workers.get("host-1:9").running().size());
    w.silent.clear();
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * A machine restarts at once and counts its sessions and serials from the beginning. Its reports
   * look like copies of old ones, and its lost tasks must not be taken for running ones.
   */
  @Test
  void aWorkerThatBeginsAnewIsBelievedAfterAQuestion() {
    World w = World.of(3);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 12, 1)).status());
    w.pass(30);
    assertEquals(12, w.running());
    FakeWorker m = w.workers.get("host-1:9");
    m.restart();
    assertEquals(8, w.running());
    w.pass(2 * World.LEASE_S);
    assertEquals(12, w.running());
    m.restart();
    w.copiesAfterS = List.of(2.0);
    w.pass(2 * World.LEASE_S);
    assertEquals(12, w.running());
    assertEquals(List.of(), w.dayEnds());
  }
}
