package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.MalformedMessageException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Controllers join and leave the roster permanently while jobs run. */
class ControllerMembershipTest {
  private static final int MACHINES = 60;

  private int submittedJobs;

  /**
   * Submits jobs and completes tasks for some seconds; requests are sent to any controller that is
   * up.
   */
  private void runWorkload(SimulatedCluster cluster, int seconds) {
    for (int s = 0; s < seconds; s++) {
      if (s % 4 == 0) {
        String node =
            cluster.nodes.values().stream()
                .filter(SimulatedCluster.Node::up)
                .findFirst()
                .get()
                .name;
        SimulatedUsers.ApiResponse response =
            cluster.users.submit(node, SimulatedCluster.job("wk-" + ++submittedJobs, 20, 1));
        assertTrue(response != null && (response.status() == 201 || response.status() == 503));
      }
      cluster.advance(1);
      if (s % 6 == 5) {
        cluster.machines.completeAllTasks();
      }
    }
  }

  /** Returns the number of machines that report to each controller. */
  private static Map<String, Integer> machinesPerController(SimulatedCluster cluster) {
    Map<String, Integer> machineCounts = new HashMap<>();
    cluster
        .machines
        .workers
        .values()
        .forEach(m -> machineCounts.merge(cluster.machines.holderOf(m.host()), 1, Integer::sum));
    return machineCounts;
  }

  private static List<String> rosterNodes(SimulatedCluster cluster)
      throws MalformedMessageException {
    return cluster.stateService.value("w/roster").texts("nodes").stream().sorted().toList();
  }

  private void finishAllJobs(SimulatedCluster cluster) {
    for (int s = 0; s < 40; s++) {
      cluster.advance(1);
      cluster.machines.completeAllTasks();
    }
    assertEquals(0, cluster.machines.runningCount());
    assertEquals(List.of(), cluster.stateService.keys("w/j/"), "accepted jobs have not ended");
    assertEquals(List.of(), cluster.users.overlappingRuns);
  }

  @Test
  void growsFromThreeToSevenControllersAndShrinksBackUnderLoad() throws MalformedMessageException {
    SimulatedCluster cluster =
        new SimulatedCluster(List.of("a", "b", "a"), SimulatedCluster.ONE_TEAM);
    cluster.start().advance(3);
    for (int i = 0; i < MACHINES; i++) {
      cluster.machines.addMachine("host-" + i, "small", i % 2 == 0 ? "a" : "b", "node-" + i % 3);
    }
    runWorkload(cluster, 10);
    for (String zone : List.of("b", "a", "b", "a")) {
      cluster.addController(zone);
    }
    // Restarts one controller after the other with settings that name all seven, or starts it.
    for (SimulatedCluster.Node n : cluster.nodes.values()) {
      if (n.up()) {
        n.crash();
        runWorkload(cluster, 3);
      }
      n.start();
      runWorkload(cluster, 8);
    }
    runWorkload(cluster, 120);
    assertEquals(7, rosterNodes(cluster).size());
    Map<String, Integer> machineCounts = machinesPerController(cluster);
    assertEquals(7, machineCounts.size(), "not every controller holds machines: " + machineCounts);
    assertTrue(cluster.stateService.keys("w/h/").size() < MACHINES, "every machine has a record");

    for (int i = 3; i < 7; i++) {
      cluster.removeFromSettings("node-" + i);
    }
    for (SimulatedCluster.Node n : List.copyOf(cluster.nodes.values())) {
      n.crash();
      runWorkload(cluster, 3);
      if (rosterNodes(cluster).indexOf(n.name) < 3 && Integer.parseInt(n.name.substring(5)) < 3) {
        n.start();
      }
      runWorkload(cluster, 8);
    }
    runWorkload(cluster, 160);
    assertEquals(List.of("node-0", "node-1", "node-2"), rosterNodes(cluster));
    assertEquals(3, machinesPerController(cluster).size());
    finishAllJobs(cluster);
  }

  /**
   * A controller with old settings receives neither the changed roster nor the address of the new
   * controller, to which some of its machines have moved. From its own view their lease has
   * expired, and it has the claim of the job that runs there: its proof that the tasks have ended
   * must not be accepted.
   */
  @Test
  void controllerWithStaleRosterCannotProveTaskEnds() throws MalformedMessageException {
    SimulatedCluster cluster = new SimulatedCluster(3);
    cluster.start().advance(3);
    for (int i = 0; i < 120; i++) {
      cluster.machines.addMachine("host-" + i, "small", "a", "node-" + i % 3);
    }
    cluster.advance(8);
    assertEquals(
        201, cluster.users.submit("node-0", SimulatedCluster.job("wk-1", 480, 1)).status());
    cluster.advance(4);
    assertEquals(480, cluster.machines.runningCount());
    List<String> ownHosts =
        cluster.machines.workers.values().stream()
            .map(FakeWorker::host)
            .filter(host -> cluster.machines.holderOf(host).equals("node-0"))
            .toList();
    cluster.addController("a");
    for (String node : List.of("node-1", "node-2", "node-3")) {
      if (cluster.nodes.get(node).up()) {
        cluster.nodes.get(node).crash();
        cluster.advance(1);
      }
      cluster.nodes.get(node).start();
      cluster.advance(6);
    }
    cluster.network.deliveryPolicy =
        (from, path, body) ->
            from.equals("node-0") && path.startsWith("/watch")
                ? SimulatedNetwork.Delivery.DROPPED
                : SimulatedNetwork.Delivery.ON_TIME;
    cluster.advance(25);
    assertEquals(4, rosterNodes(cluster).size());
    cluster.network.dropDelivery = (from, to) -> to.equals("node-0") && from.startsWith("host-");
    cluster.advance(SimulatedCluster.LEASE_S + 6);
    long moved =
        ownHosts.stream()
            .filter(
                h ->
                    cluster.machines.holderOf(h).equals("node-3")
                        && cluster.stateService.value("w/h/" + h) == null)
            .count();
    assertTrue(moved > 3, moved + " machines are held by the new controller without a record");
    // Room for tasks that would wrongly be placed again.
    for (int i = 120; i < 160; i++) {
      cluster.machines.addMachine("host-" + i, "small", "a", "node-" + i % 3);
    }
    cluster.advance(15);
    assertEquals(List.of(), cluster.users.overlappingRuns);
    assertEquals(480, cluster.machines.runningCount(), "tasks were lost");
  }

  /**
   * The update of the roster reaches one controller long after the others; no machine may be held
   * by two controllers meanwhile.
   */
  @Test
  void noMachineIsHeldTwiceWhileRosterUpdateIsDelayed() throws MalformedMessageException {
    for (String delayedNode : List.of("node-0", "node-1", "node-2", "node-3")) {
      SimulatedCluster cluster = new SimulatedCluster(3);
      cluster.start().advance(3);
      for (int i = 0; i < 20; i++) {
        cluster.machines.addMachine("host-" + i, "small", "a", "node-" + i % 3);
      }
      runWorkload(cluster, 8);
      cluster.addController("a");
      for (SimulatedCluster.Node n : cluster.nodes.values()) {
        if (n.up()) {
          n.crash();
          cluster.advance(2);
        }
        n.start();
        runWorkload(cluster, 6);
      }
      // Its watches are lost, so it receives no writes; all other messages reach it.
      cluster.network.deliveryPolicy =
          (from, path, body) ->
              from.equals(delayedNode) && path.startsWith("/watch")
                  ? SimulatedNetwork.Delivery.DROPPED
                  : SimulatedNetwork.Delivery.ON_TIME;
      runWorkload(cluster, 40);
      cluster.network.deliverOnTime();
      runWorkload(cluster, 20);
      assertEquals(4, rosterNodes(cluster).size(), delayedNode + " receives the roster late");
      assertEquals(
          List.of(), cluster.users.overlappingRuns, delayedNode + " receives the roster late");
      for (FakeWorker m : cluster.machines.workers.values()) {
        assertTrue(cluster.nodes.get(cluster.machines.holderOf(m.host())).up());
      }
      finishAllJobs(cluster);
    }
  }
}
