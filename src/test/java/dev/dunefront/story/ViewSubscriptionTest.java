package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.config.Tunables;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.ViewDetail;
import dev.dunefront.standin.FakeWorker;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/**
 * Controllers subscribe to capacity changes while they search for room: the messages that this
 * saves, and recovery from a subscription that is lost, delayed, duplicated or sent by an earlier
 * incarnation.
 */
class ViewSubscriptionTest {
  private static final int MACHINES = 60;

  /** Covers a repeated subscription, a search, an offer and a start, in seconds. */
  private static final double RECOVERY_S = 3;

  /** Longer than a subscription lasts unless it is repeated, in seconds. */
  private static final double SUBSCRIPTION_EXPIRY_S = 3;

  private static SimulatedCluster startCluster(int controllers) {
    SimulatedCluster cluster = new SimulatedCluster(controllers);
    cluster.start().advance(2);
    for (int i = 0; i < MACHINES; i++) {
      cluster.machines.addMachine("host-" + i, "small", "a", "node-" + i % controllers);
    }
    cluster.advance(8);
    return cluster;
  }

  /**
   * Returns the number of messages between controllers per task, for a few jobs that are submitted
   * one after the other and run to their end.
   */
  private static double messagesPerTask(int controllers) {
    SimulatedCluster cluster = startCluster(controllers);
    int idleBefore = cluster.network.peerMessageCount;
    cluster.advance(20);
    int idle = cluster.network.peerMessageCount - idleBefore;
    int before = cluster.network.peerMessageCount;
    int jobs = 6;
    int tasks = 40;
    for (int i = 0; i < jobs; i++) {
      cluster.users.submit("node-" + i % controllers, SimulatedCluster.job("wk-" + i, tasks, 1));
      cluster.advance(2);
    }
    cluster.machines.completeAllTasks();
    cluster.advance(8);
    int started = cluster.machines.workers.values().stream().mapToInt(m -> m.starts().size()).sum();
    assertEquals(jobs * tasks, started);
    return (double) (cluster.network.peerMessageCount - before - idle) / started;
  }

  /**
   * If every change were sent to every controller, each additional controller would add three
   * messages per task.
   */
  @Test
  void messagesPerTaskHardlyGrowWithControllers() {
    double few = messagesPerTask(3);
    double many = messagesPerTask(9);
    assertTrue(
        many < 1.5 * few, few + " messages per task with 3 controllers, " + many + " with 9");
  }

  /**
   * Returns a cluster that is full except for what the test frees. A new job then waits at one
   * controller, with wants at a few of the many machines.
   */
  private static SimulatedCluster startFullCluster() {
    SimulatedCluster cluster = startCluster(2);
    assertEquals(
        201, cluster.users.submit("node-1", SimulatedCluster.job("wk-1", MACHINES, 4)).status());
    cluster.advance(3);
    assertEquals(MACHINES, cluster.machines.runningCount());
    return cluster;
  }

  /** Frees a machine of the other controller for which the job has no want queued. */
  private static void freeMachineWithoutWant(SimulatedCluster cluster, List<String> wantedHosts) {
    for (FakeWorker m : cluster.machines.workers.values()) {
      if (cluster.machines.holderOf(m.host()).equals("node-1") && !wantedHosts.contains(m.host())) {
        m.running().forEach(t -> m.exit(t, "done"));
        return;
      }
    }
  }

  private static List<String> recordWantHosts(SimulatedCluster cluster) {
    List<String> hosts = new ArrayList<>();
    Predicate<Message> previousFilter = cluster.network.holdPeerMessage;
    cluster.network.holdPeerMessage =
        m -> {
          if (m instanceof Message.Want want && want.count() > 0) {
            hosts.add(want.host());
          }
          return previousFilter.test(m);
        };
    return hosts;
  }

  @Test
  void lostSubscriptionIsResent() {
    SimulatedCluster cluster = startFullCluster();
    cluster.network.holdPeerMessage =
        m ->
            m instanceof Message.ViewSubscription subscription
                && subscription.detail() != ViewDetail.STATUS;
    List<String> wantedHosts = recordWantHosts(cluster);
    assertEquals(201, cluster.users.submit("node-0", SimulatedCluster.job("wk-2", 1, 4)).status());
    cluster.advance(1);
    assertTrue(cluster.network.heldCount() > 0, "no subscription was sent");
    assertEquals(0, cluster.machines.runningCount("wk-2"));
    cluster.network.holdPeerMessage = m -> false;
    freeMachineWithoutWant(cluster, wantedHosts);
    cluster.advance(RECOVERY_S);
    assertEquals(1, cluster.machines.runningCount("wk-2"));
  }

  @Test
  void staleSubscriptionIsCorrected() {
    SimulatedCluster cluster = startFullCluster();
    List<String> wantedHosts = recordWantHosts(cluster);
    assertEquals(201, cluster.users.submit("node-0", SimulatedCluster.job("wk-2", 1, 4)).status());
    cluster.advance(0.5);
    cluster.network.deliverPeerMessage(
        "node-0", "node-1", new Message.ViewSubscription(ViewDetail.STATUS));
    cluster.advance(0.1);
    freeMachineWithoutWant(cluster, wantedHosts);
    cluster.advance(RECOVERY_S);
    assertEquals(1, cluster.machines.runningCount("wk-2"));
  }

  @Test
  void duplicateSubscriptionSendsNoViewsAgain() {
    SimulatedCluster cluster = startFullCluster();
    cluster.network.deliverPeerMessage(
        "node-0", "node-1", new Message.ViewSubscription(ViewDetail.STATUS));
    cluster.advance(0.01);
    cluster.network.deliverPeerMessage(
        "node-0", "node-1", new Message.ViewSubscription(ViewDetail.FULL));
    cluster.advance(0.01);
    int[] views = {0};
    cluster.network.holdPeerMessage =
        m -> {
          views[0] += m instanceof Message.MachineView ? 1 : 0;
          return false;
        };
    cluster.network.deliverPeerMessage(
        "node-0", "node-1", new Message.ViewSubscription(ViewDetail.FULL));
    assertEquals(0, views[0]);
  }

  @Test
  void restartedControllerReceivesAllViewsDespiteOldSubscription() {
    SimulatedCluster cluster = startFullCluster();
    cluster.machines.completeAllTasks();
    cluster.advance(3);
    cluster.nodes.get("node-0").crash();
    cluster.network.deliverPeerMessage(
        "node-0", "node-1", new Message.ViewSubscription(ViewDetail.STATUS));
    cluster.advance(1);
    cluster.nodes.get("node-0").start();
    cluster.advance(4);
    assertEquals(
        201, cluster.users.submit("node-0", SimulatedCluster.job("wk-2", MACHINES, 4)).status());
    cluster.advance(1);
    assertEquals(MACHINES, cluster.machines.runningCount("wk-2"));
  }

  /**
   * Sends full views once between all controllers, so that expired views show all machines as full
   * and no recently started task.
   */
  private static void sendFullViewsToAll(SimulatedCluster cluster) {
    for (String from : cluster.nodes.keySet()) {
      for (String to : cluster.nodes.keySet()) {
        cluster.network.deliverPeerMessage(from, to, new Message.ViewSubscription(ViewDetail.FULL));
      }
    }
    cluster.advance(SUBSCRIPTION_EXPIRY_S);
  }

  /**
   * The time since which a machine is idle is sent to the holder of the rent duty alone; its
   * successor has to subscribe to it.
   */
  @Test
  void nextRentDutyHolderReturnsIdleMachines() {
    SimulatedCluster cluster = new SimulatedCluster(3);
    cluster.tunables = Tunables.withOverrides(Map.of("idle_boots", 1.0, "spare", 0.0));
    cluster.start().advance(2);
    for (int i = 0; i < 6; i++) {
      cluster.machines.addMachine("host-" + i, "small", "a", "node-" + i % 3);
    }
    cluster.advance(4);
    // A claimant receives updates on its tasks and thereby on their machines, so the job is
    // submitted to the holder of the rent duty.
    String rentHolder = cluster.recordedNode("w/u/rent");
    assertEquals(
        201, cluster.users.submit(rentHolder, SimulatedCluster.job("wk-1", 24, 1)).status());
    cluster.advance(4);
    assertEquals(24, cluster.machines.runningCount());
    sendFullViewsToAll(cluster);
    cluster.machines.completeAllTasks();
    cluster.advance(2);
    cluster.nodes.get(rentHolder).crash();
    cluster.advance(30);
    assertEquals(0, cluster.machines.workers.size(), "idle machines are not returned");
    assertEquals(List.of(), cluster.machines.deletedWhileInUse);
  }

  /**
   * Recently started tasks on a full machine are not free room; they are sent only to controllers
   * that subscribe to full views.
   */
  @Test
  void urgentTaskPreemptsOnMachinesThatStayFull() {
    SimulatedCluster cluster = new SimulatedCluster(2);
    cluster.start().advance(2);
    FakeWorker m = cluster.machines.addMachine("host-1", "small", "a", "node-0");
    cluster.advance(4);
    String rentHolder = cluster.recordedNode("w/u/rent");
    String otherNode = rentHolder.equals("node-0") ? "node-1" : "node-0";
    assertEquals(
        201, cluster.users.submit(rentHolder, SimulatedCluster.job("wk-1", 8, 1)).status());
    cluster.advance(25);
    assertEquals(4, m.running().size());
    sendFullViewsToAll(cluster);
    m.exit(m.running().get(0), "done");
    cluster.advance(2.5);
    assertEquals(4, m.running().size(), "the next task has not taken the free room");
    assertEquals(
        201,
        cluster
            .users
            .submit(otherNode, SimulatedCluster.job("wk-2", 1, 1).put("urgency", "high"))
            .status());
    cluster.advance(4);
    assertEquals(1, cluster.machines.runningCount("wk-2"));
    assertEquals(List.of(), cluster.users.overlappingRuns);
  }
}
