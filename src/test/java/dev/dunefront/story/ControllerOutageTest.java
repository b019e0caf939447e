package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;

/**
 * Outages of controllers as seen in operation: pauses and full or partial partitions, for seconds
 * to minutes, once and twice in a row. After each, no job is lost, all jobs run and no task runs
 * twice.
 */
class ControllerOutageTest {
  private static final String STATE_SERVICE_ADDRESS = "10.2.0.1:1";

  private static SimulatedCluster startCluster() {
    SimulatedCluster cluster = SimulatedCluster.withSmallMachines(9);
    for (int i = 0; i < 6; i++) {
      assertEquals(
          201,
          cluster.users.submit("node-" + i % 3, SimulatedCluster.job("wk-" + i, 5, 1)).status());
    }
    cluster.advance(2);
    assertEquals(30, cluster.machines.runningCount());
    return cluster;
  }

  /** Submits and completes jobs at the unaffected controllers while time advances. */
  private static void advanceUnderLoad(SimulatedCluster cluster, double seconds) {
    int jobCount = cluster.users.acceptedJobs.size();
    for (double s = 0; s < seconds; s += 4) {
      cluster.users.submit(
          "node-" + (1 + jobCount % 2), SimulatedCluster.job("wk-1" + jobCount++, 3, 1));
      cluster.advance(Math.min(4, seconds - s));
      cluster.machines.completeAllTasks();
    }
  }

  /**
   * Pauses shorter and longer than the node lease, the lease of the workers and the time limit of a
   * cancellation.
   */
  @Test
  void controllerPausesOnceOrTwice() {
    for (double pauseS : new double[] {2, 7, 10, 25, 30}) {
      for (boolean twice : new boolean[] {false, true}) {
        SimulatedCluster cluster = startCluster();
        cluster.users.cancel("node-1", "wk-5");
        cluster.nodes.get("node-0").pause(pauseS);
        advanceUnderLoad(cluster, pauseS + 0.5);
        if (twice) {
          cluster.nodes.get("node-0").pause(pauseS);
          advanceUnderLoad(cluster, pauseS + 1);
        }
        assertEquals(List.of(), cluster.users.drainAndCheck(), pauseS + " s, twice: " + twice);
        assertEquals("cancelled", cluster.users.poll("node-0", "wk-5").jobStatus());
      }
    }
  }

  /**
   * A controller pauses during a request: while it renews its lease, writes a placement or sends a
   * command to a worker.
   */
  @Test
  void controllerPausesDuringRequest() {
    for (String step : List.of("/touch", "put=t/", "/orders", "put=w/h/", "put=u/rent")) {
      SimulatedCluster cluster = startCluster().withRentingDelays(5, 4);
      boolean[] paused = {false};
      cluster.network.deliveryPolicy =
          (from, path, body) -> {
            if (!paused[0]
                && from.equals("node-0")
                && (path.endsWith(step) || body.contains(step))) {
              paused[0] = true;
              cluster.clock.after(0.001, () -> cluster.nodes.get("node-0").pause(11));
            }
            return SimulatedNetwork.Delivery.ON_TIME;
          };
      cluster.users.submit("node-0", SimulatedCluster.job("wk-20", 30, 1));
      advanceUnderLoad(cluster, 24);
      cluster.network.deliverOnTime();
      assertEquals(List.of(), cluster.users.drainAndCheck(), "during a request with " + step);
    }
  }

  /**
   * A controller loses the state service, the workers, its peers or several of them; packets are
   * dropped, or held and delivered when the partition heals.
   */
  @Test
  void controllerIsPartiallyPartitioned() {
    BiPredicate<String, String> stateServiceRequests =
        (from, to) -> from.equals("node-0") && to.equals(STATE_SERVICE_ADDRESS);
    BiPredicate<String, String> workerLinks =
        (from, to) ->
            from.equals("node-0") && to.startsWith("host-")
                || to.equals("node-0") && from.startsWith("host-");
    BiPredicate<String, String> peerLinks =
        (from, to) ->
            from.equals("node-0") && to.startsWith("node-")
                || to.equals("node-0") && from.startsWith("node-");
    List<BiPredicate<String, String>> partitions =
        List.of(
            stateServiceRequests,
            workerLinks,
            stateServiceRequests.or(workerLinks).or(peerLinks),
            peerLinks,
            stateServiceRequests.or(peerLinks));
    for (int kind = 0; kind < partitions.size(); kind++) {
      for (double partitionS : new double[] {5, 20, 60}) {
        for (boolean held : new boolean[] {false, true}) {
          SimulatedCluster cluster = startCluster();
          BiPredicate<String, String> partition = partitions.get(kind);
          if (held) {
            cluster.network.holdRequest =
                (from, to) -> partition.test(from, to) && !to.startsWith("node-");
            cluster.network.dropDelivery =
                (from, to) -> partition.test(from, to) && to.startsWith("node-");
          } else {
            cluster.network.dropDelivery = partition;
          }
          cluster.network.dropResponse = partition.and(stateServiceRequests);
          cluster.clock.after(5, () -> cluster.network.timeOutLinks("node-0"));
          advanceUnderLoad(cluster, partitionS);
          if (kind == 0 && partitionS > 10) {
            assertEquals(503, cluster.users.request("node-0", "GET", "/up", new byte[0]).status());
          }
          cluster.network.holdRequest = (from, to) -> false;
          cluster.network.dropDelivery = (from, to) -> false;
          cluster.network.dropResponse = (from, to) -> false;
          cluster.network.deliverHeld();
          cluster.network.reconnectLinks("node-0");
          cluster.advance(2);
          assertEquals(
              List.of(),
              cluster.users.drainAndCheck(),
              "partition " + kind + " for " + partitionS + " s, held: " + held);
          assertEquals(200, cluster.users.request("node-0", "GET", "/up", new byte[0]).status());
        }
      }
    }
  }

  /** A controller that alone has lost the state service refuses requests of users at once. */
  @Test
  void controllerWithoutStateServiceRejectsRequestsAtOnce() {
    SimulatedCluster cluster = startCluster();
    cluster.network.dropDelivery =
        (from, to) -> from.equals("node-0") && to.equals(STATE_SERVICE_ADDRESS);
    cluster.network.dropResponse =
        (from, to) -> from.equals("node-0") && to.equals(STATE_SERVICE_ADDRESS);
    cluster.advance(4);
    double requestedAtS = cluster.clock.now();
    assertEquals(503, cluster.users.submit("node-0", SimulatedCluster.job("wk-9", 1, 1)).status());
    double elapsedS = cluster.clock.now() - requestedAtS;
    assertEquals(503, cluster.users.request("node-0", "GET", "/up", new byte[0]).status());
    requestedAtS = cluster.clock.now();
    assertEquals(201, cluster.users.submit("node-1", SimulatedCluster.job("wk-9", 1, 1)).status());
    assertTrue(
        elapsedS <= cluster.clock.now() - requestedAtS + 0.01,
        "the refusal takes longer than a successful request");
  }

  /** The holder of the rent duty pauses for 90 seconds and continues with outdated state. */
  @Test
  void rentDutyHolderPausesForNinetySeconds() {
    SimulatedCluster cluster = startCluster().withRentingDelays(5, 4);
    SimulatedCluster.Node node = cluster.nodes.get(cluster.recordedNode("w/u/rent"));
    node.pause(90);
    for (int i = 0; i < 10; i++) {
      String otherNode = node.name.equals("node-1") ? "node-2" : "node-1";
      cluster.users.submit(otherNode, SimulatedCluster.job("wk-5" + i, 2, 1));
      cluster.advance(9);
      cluster.machines.completeAllTasks();
    }
    cluster.advance(3);
    assertEquals(List.of(), cluster.users.drainAndCheck());
    assertEquals(List.of(), cluster.machines.deletedWhileInUse);
  }
}
