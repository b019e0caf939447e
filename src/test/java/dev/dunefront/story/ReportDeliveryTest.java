package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Reports from machines that cannot receive anything, and copies of reports that arrive long after
 * they were sent.
 */
class ReportDeliveryTest {
  /**
   * A machine that cannot receive sends its reports to one controller after the other. The failure:
   * each controller rewrites the hold, offers the machine's room and loses what is placed there.
   */
  @Test
  void oneThirdOfMachinesCannotReceive() {
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
    // The tasks on those machines ended with their leases and are placed again elsewhere.
    int[] starts = new int[10];
    for (int i = 0; i < 10; i++) {
      starts[i] = w.workers.get("host-" + i + ":9").starts().size();
      assertEquals(List.of(), w.workers.get("host-" + i + ":9").running());
    }
    w.pass(World.LEASE_S);
    assertEquals(80, w.running(), "all room of the other machines is in use");
    int holdWrites = w.state.writes("w/h/") - holds;
    assertTrue(
        holdWrites <= 10, holdWrites + " hold writes for ten machines that change controllers");
    w.deaf.clear();
    w.pass(3 * World.LEASE_S);
    assertEquals(90, w.running());
    assertEquals(30, w.workers.size(), "no machine was returned");
    for (int i = 0; i < 10; i++) {
      assertTrue(
          w.workers.get("host-" + i + ":9").starts().size() >= starts[i],
          "the machine is used again");
    }
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * The holder learns of a machine's new session from the response to a command, not from a report.
   * The lease of that session has only begun. If it were counted from the last report of the
   * earlier session, it would be considered expired at once, and tasks started in the new session
   * would be placed a second time.
   */
  @Test
  void sessionLearnedFromCommandResponseHasAFullLease() {
    World w = World.of(1);
    FakeWorker m = w.workers.get("host-0:9");
    assertEquals(201, w.submit("node-0", World.job("wk-1", 4, 1)).status());
    w.pass(2);
    assertEquals(4, m.running().size());
    // Messages from the machine are lost, while commands to it and their responses arrive.
    w.lost = (from, to) -> from.equals("host-0:9");
    for (int i = 0; i < 200 && !m.running().isEmpty(); i++) {
      w.pass(0.05);
    }
    // The machine's lease has expired and its holder, which does not know that yet, sends a stop.
    w.user("POST", "/v1/jobs/wk-1/abort", null, "wk-1", 0, 20);
    w.cancelled.add("wk-1");
    w.user("POST", "/v1/jobs", World.job("wk-2", 4, 1), "wk-2", 1, 20);
    for (int i = 0; i < 20 && m.running().isEmpty(); i++) {
      w.pass(0.02);
    }
    assertEquals(4, m.running().size(), "the holder knows the new session and places tasks in it");
    w.machine("host-1", "small", "a", "node-1");
    w.pass(World.LEASE_S - 1);
    assertEquals(List.of(), w.overlaps);
    w.lost = (from, to) -> false;
    assertEquals(List.of(), w.dayEnds());
  }

  @Test
  void machineThatNeverReceivesAgainIsReturned() {
    World w = World.of(6);
    w.deaf.add("host-1");
    w.pass(200);
    assertTrue(w.cloud.deleted("host-1"));
    for (int i : new int[] {0, 2, 3, 4, 5}) {
      assertFalse(w.cloud.deleted("host-" + i));
    }
  }

  /** Tasks are placed again equally fast with and without delayed copies of all reports. */
  @Test
  void delayedReportCopiesChangeNothing() {
    double withoutCopiesS = replacementTimeS(List.of());
    double withCopiesS = replacementTimeS(List.of(0.3, 2.0, World.LEASE_S, World.LEASE_S * 3));
    assertTrue(
        withCopiesS < withoutCopiesS + 2,
        withCopiesS + " s with copies, " + withoutCopiesS + " s without");
  }

  /** Seconds from the loss of a machine until its tasks run elsewhere. */
  private static double replacementTimeS(List<Double> copiesAfterS) {
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
    double elapsedS = w.timers.now() - since;
    w.pass(2 * World.LEASE_S);
    assertEquals(
        holds, w.state.writes("w/h/"), "no hold is taken and no token raised because of a copy");
    // The machine hung, and its own lease has expired by now.
    w.silent.clear();
    assertEquals(List.of(), w.dayEnds());
    assertEquals(copiesAfterS.isEmpty(), w.copies == 0);
    return elapsedS;
  }

  /**
   * A restarted controller remembers no report serial, so that it cannot recognize delayed copies
   * by it.
   */
  @Test
  void delayedReportCopiesAfterControllerRestartChangeNothing() {
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
   * A machine restarts at once and counts its sessions and serials from the beginning, so its
   * reports look like copies of old ones. Its lost tasks must not be taken for running ones.
   */
  @Test
  void restartedWorkerIsAcceptedAfterStatusCheck() {
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
