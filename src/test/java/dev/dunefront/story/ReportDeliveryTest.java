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
    SimulatedCluster w = SimulatedCluster.withSmallMachines(30);
    for (int i = 0; i < 6; i++) {
      assertEquals(
          201, w.users.submit("node-" + i % 3, SimulatedCluster.job("wk-" + i, 15, 1)).status());
    }
    w.advance(3);
    assertEquals(90, w.machines.runningCount());
    int holds = w.stateService.writes("w/h/");
    for (int i = 0; i < 10; i++) {
      w.machines.inboundBlockedHosts.add("host-" + i);
    }
    w.advance(2 * SimulatedCluster.LEASE_S);
    // The tasks on those machines ended with their leases and are placed again elsewhere.
    int[] starts = new int[10];
    for (int i = 0; i < 10; i++) {
      starts[i] = w.machines.workers.get("host-" + i + ":9").starts().size();
      assertEquals(List.of(), w.machines.workers.get("host-" + i + ":9").running());
    }
    w.advance(SimulatedCluster.LEASE_S);
    assertEquals(80, w.machines.runningCount(), "all room of the other machines is in use");
    int holdWrites = w.stateService.writes("w/h/") - holds;
    assertTrue(
        holdWrites <= 10, holdWrites + " hold writes for ten machines that change controllers");
    w.machines.inboundBlockedHosts.clear();
    w.advance(3 * SimulatedCluster.LEASE_S);
    assertEquals(90, w.machines.runningCount());
    assertEquals(30, w.machines.workers.size(), "no machine was returned");
    for (int i = 0; i < 10; i++) {
      assertTrue(
          w.machines.workers.get("host-" + i + ":9").starts().size() >= starts[i],
          "the machine is used again");
    }
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  /**
   * The holder learns of a machine's new session from the response to a command, not from a report.
   * The lease of that session has only begun. If it were counted from the last report of the
   * earlier session, it would be considered expired at once, and tasks started in the new session
   * would be placed a second time.
   */
  @Test
  void sessionLearnedFromCommandResponseHasAFullLease() {
    SimulatedCluster w = SimulatedCluster.withSmallMachines(1);
    FakeWorker m = w.machines.workers.get("host-0:9");
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 4, 1)).status());
    w.advance(2);
    assertEquals(4, m.running().size());
    // Messages from the machine are lost, while commands to it and their responses arrive.
    w.network.dropDelivery = (from, to) -> from.equals("host-0:9");
    for (int i = 0; i < 200 && !m.running().isEmpty(); i++) {
      w.advance(0.05);
    }
    // The machine's lease has expired and its holder, which does not know that yet, sends a stop.
    w.users.requestWithRetries("POST", "/v1/jobs/wk-1/abort", null, "wk-1", 0, 20);
    w.users.cancelRequestedJobs.add("wk-1");
    w.users.requestWithRetries(
        "POST", "/v1/jobs", SimulatedCluster.job("wk-2", 4, 1), "wk-2", 1, 20);
    for (int i = 0; i < 20 && m.running().isEmpty(); i++) {
      w.advance(0.02);
    }
    assertEquals(4, m.running().size(), "the holder knows the new session and places tasks in it");
    w.machines.addMachine("host-1", "small", "a", "node-1");
    w.advance(SimulatedCluster.LEASE_S - 1);
    assertEquals(List.of(), w.users.overlappingRuns);
    w.network.dropDelivery = (from, to) -> false;
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  @Test
  void machineThatNeverReceivesAgainIsReturned() {
    SimulatedCluster w = SimulatedCluster.withSmallMachines(6);
    w.machines.inboundBlockedHosts.add("host-1");
    w.advance(200);
    assertTrue(w.cloud.deleted("host-1"));
    for (int i : new int[] {0, 2, 3, 4, 5}) {
      assertFalse(w.cloud.deleted("host-" + i));
    }
  }

  /** Tasks are placed again equally fast with and without delayed copies of all reports. */
  @Test
  void delayedReportCopiesChangeNothing() {
    double withoutCopiesS = replacementTimeS(List.of());
    double withCopiesS =
        replacementTimeS(List.of(0.3, 2.0, SimulatedCluster.LEASE_S, SimulatedCluster.LEASE_S * 3));
    assertTrue(
        withCopiesS < withoutCopiesS + 2,
        withCopiesS + " s with copies, " + withoutCopiesS + " s without");
  }

  /** Seconds from the loss of a machine until its tasks run elsewhere. */
  private static double replacementTimeS(List<Double> copiesAfterS) {
    SimulatedCluster w = SimulatedCluster.withSmallMachines(3);
    w.machines.duplicateReportDelaysS = copiesAfterS;
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 8, 1)).status());
    w.advance(4 * SimulatedCluster.LEASE_S);
    assertEquals(8, w.machines.runningCount());
    int holds = w.stateService.writes("w/h/");
    FakeWorker dead =
        w.machines.workers.values().stream()
            .filter(m -> !m.running().isEmpty())
            .findFirst()
            .orElseThrow();
    Set<String> lost = new HashSet<>(dead.running());
    w.machines.isolatedHosts.add(dead.host());
    double since = w.clock.now();
    while (w.clock.now() - since < 10 * SimulatedCluster.LEASE_S) {
      w.advance(0.5);
      Set<String> elsewhere = new HashSet<>();
      w.machines.workers.values().stream()
          .filter(m -> m != dead)
          .forEach(m -> elsewhere.addAll(m.running()));
      if (elsewhere.containsAll(lost)) {
        break;
      }
    }
    double elapsedS = w.clock.now() - since;
    w.advance(2 * SimulatedCluster.LEASE_S);
    assertEquals(
        holds,
        w.stateService.writes("w/h/"),
        "no hold is taken and no token raised because of a copy");
    // The machine hung, and its own lease has expired by now.
    w.machines.isolatedHosts.clear();
    assertEquals(List.of(), w.users.drainAndCheck());
    assertEquals(copiesAfterS.isEmpty(), w.machines.duplicateReportCount == 0);
    return elapsedS;
  }

  /**
   * A restarted controller remembers no report serial, so that it cannot recognize delayed copies
   * by it.
   */
  @Test
  void delayedReportCopiesAfterControllerRestartChangeNothing() {
    SimulatedCluster w = SimulatedCluster.withSmallMachines(6);
    w.machines.duplicateReportDelaysS =
        List.of(1.0, SimulatedCluster.LEASE_S, SimulatedCluster.LEASE_S * 2);
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 20, 1)).status());
    w.advance(4);
    w.nodes.values().forEach(SimulatedCluster.Node::crash);
    w.machines.isolatedHosts.add("host-1");
    w.advance(1);
    w.nodes.values().forEach(SimulatedCluster.Node::start);
    w.advance(SimulatedCluster.LEASE_S * 2);
    w.nodes.get("node-1").crash();
    w.advance(0.2);
    w.nodes.get("node-1").start();
    w.advance(SimulatedCluster.LEASE_S * 2);
    // The silent machine may have been returned by now, as it is without copies of its reports.
    assertEquals(
        20,
        w.machines.workers.values().stream()
            .filter(m -> !m.host().equals("host-1"))
            .mapToInt(m -> m.running().size())
            .sum());
    w.machines.isolatedHosts.clear();
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  /**
   * A machine restarts at once and counts its sessions and serials from the beginning, so its
   * reports look like copies of old ones. Its lost tasks must not be taken for running ones.
   */
  @Test
  void restartedWorkerIsAcceptedAfterStatusCheck() {
    SimulatedCluster w = SimulatedCluster.withSmallMachines(3);
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 12, 1)).status());
    w.advance(30);
    assertEquals(12, w.machines.runningCount());
    FakeWorker m = w.machines.workers.get("host-1:9");
    m.restart();
    assertEquals(8, w.machines.runningCount());
    w.advance(2 * SimulatedCluster.LEASE_S);
    assertEquals(12, w.machines.runningCount());
    m.restart();
    w.machines.duplicateReportDelaysS = List.of(2.0);
    w.advance(2 * SimulatedCluster.LEASE_S);
    assertEquals(12, w.machines.runningCount());
    assertEquals(List.of(), w.users.drainAndCheck());
  }
}
