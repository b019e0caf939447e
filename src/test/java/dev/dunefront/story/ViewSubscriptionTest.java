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

  private static World startCluster(int controllers) {
    World cluster = new World(controllers);
    cluster.start().pass(2);
    for (int i = 0; i < MACHINES; i++) {
      cluster.machine("host-" + i, "small", "a", "node-" + i % controllers);
    }
    cluster.pass(8);
    return cluster;
  }

  /**
   * Returns the number of messages between controllers per task, for a few jobs that are submitted
   * one after the other and run to their end.
   */
  private static double messagesPerTask(int controllers) {
    World cluster = startCluster(controllers);
    int idleBefore = cluster.messages;
    cluster.pass(20);
    int idle = cluster.messages - idleBefore;
    int before = cluster.messages;
    int jobs = 6;
    int tasks = 40;
    for (int i = 0; i < jobs; i++) {
      cluster.submit("node-" + i % controllers, World.job("wk-" + i, tasks, 1));
      cluster.pass(2);
    }
    cluster.finishAll();
    cluster.pass(8);
    int started = cluster.workers.values().stream().mapToInt(m -> m.starts().size()).sum();
    assertEquals(jobs * tasks, started);
    return (double) (cluster.messages - before - idle) / started;
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
  private static World startFullCluster() {
    World cluster = startCluster(2);
    assertEquals(201, cluster.submit("node-1", World.job("wk-1", MACHINES, 4)).status());
    cluster.pass(3);
    assertEquals(MACHINES, cluster.running());
    return cluster;
  }

  /** Frees a machine of the other controller for which the job has no want queued. */
  private static void freeMachineWithoutWant(World cluster, List<String> wantedHosts) {
    for (FakeWorker m : cluster.workers.values()) {
      if (cluster.holder(m.host()).equals("node-1") && !wantedHosts.contains(m.host())) {
        m.running().forEach(t -> m.exit(t, "done"));
        return;
      }
    }
  }

  private static List<String> recordWantHosts(World cluster) {
    List<String> hosts = new ArrayList<>();
    Predicate<Message> previousFilter = cluster.late;
    cluster.late =
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
    World cluster = startFullCluster();
    cluster.late =
        m ->
            m instanceof Message.ViewSubscription subscription
                && subscription.detail() != ViewDetail.STATUS;
    List<String> wantedHosts = recordWantHosts(cluster);
    assertEquals(201, cluster.submit("node-0", World.job("wk-2", 1, 4)).status());
    cluster.pass(1);
    assertTrue(cluster.heldCount() > 0, "no subscription was sent");
    assertEquals(0, cluster.running("wk-2"));
    cluster.late = m -> false;
    freeMachineWithoutWant(cluster, wantedHosts);
    cluster.pass(RECOVERY_S);
    assertEquals(1, cluster.running("wk-2"));
  }

  @Test
  void staleSubscriptionIsCorrected() {
    World cluster = startFullCluster();
    List<String> wantedHosts = recordWantHosts(cluster);
    assertEquals(201, cluster.submit("node-0", World.job("wk-2", 1, 4)).status());
    cluster.pass(0.5);
    cluster.say("node-0", "node-1", new Message.ViewSubscription(ViewDetail.STATUS));
    cluster.pass(0.1);
    freeMachineWithoutWant(cluster, wantedHosts);
    cluster.pass(RECOVERY_S);
    assertEquals(1, cluster.running("wk-2"));
  }

  @Test
  void duplicateSubscriptionSendsNoViewsAgain() {
    World cluster = startFullCluster();
    cluster.say("node-0", "node-1", new Message.ViewSubscription(ViewDetail.STATUS));
    cluster.pass(0.01);
    cluster.say("node-0", "node-1", new Message.ViewSubscription(ViewDetail.FULL));
    cluster.pass(0.01);
    int[] views = {0};
    cluster.late =
        m -> {
          views[0] += m instanceof Message.MachineView ? 1 : 0;
          return false;
        };
    cluster.say("node-0", "node-1", new Message.ViewSubscription(ViewDetail.FULL));
    assertEquals(0, views[0]);
  }

  @Test
  void restartedControllerReceivesAllViewsDespiteOldSubscription() {
    World cluster = startFullCluster();
    cluster.finishAll();
    cluster.pass(3);
    cluster.nodes.get("node-0").crash();
    cluster.say("node-0", "node-1", new Message.ViewSubscription(ViewDetail.STATUS));
    cluster.pass(1);
    cluster.nodes.get("node-0").start();
    cluster.pass(4);
    assertEquals(201, cluster.submit("node-0", World.job("wk-2", MACHINES, 4)).status());
    cluster.pass(1);
    assertEquals(MACHINES, cluster.running("wk-2"));
  }

  /**
   * Sends full views once between all controllers, so that expired views show all machines as full
   * and no recently started task.
   */
  private static void sendFullViewsToAll(World cluster) {
    for (String from : cluster.nodes.keySet()) {
      for (String to : cluster.nodes.keySet()) {
        cluster.say(from, to, new Message.ViewSubscription(ViewDetail.FULL));
      }
    }
    cluster.pass(SUBSCRIPTION_EXPIRY_S);
  }

  /**
   * The time since which a machine is idle is sent to the holder of the rent duty alone; its
   * successor has to subscribe to it.
   */
  @Test
  void nextRentDutyHolderReturnsIdleMachines() {
    World cluster = new World(3);
    cluster.tunables = Tunables.withOverrides(Map.of("idle_boots", 1.0, "spare", 0.0));
    cluster.start().pass(2);
    for (int i = 0; i < 6; i++) {
      cluster.machine("host-" + i, "small", "a", "node-" + i % 3);
    }
    cluster.pass(4);
    // A claimant receives updates on its tasks and thereby on their machines, so the job is
    // submitted to the holder of the rent duty.
    String rentHolder = cluster.named("w/u/rent");
    assertEquals(201, cluster.submit(rentHolder, World.job("wk-1", 24, 1)).status());
    cluster.pass(4);
    assertEquals(24, cluster.running());
    sendFullViewsToAll(cluster);
    cluster.finishAll();
    cluster.pass(2);
    cluster.nodes.get(rentHolder).crash();
    cluster.pass(30);
    assertEquals(0, cluster.workers.size(), "idle machines are not returned");
    assertEquals(List.of(), cluster.misused);
  }

  /**
   * Recently started tasks on a full machine are not free room; they are sent only to controllers
   * that subscribe to full views.
   */
  @Test
  void urgentTaskPreemptsOnMachinesThatStayFull() {
    World cluster = new World(2);
    cluster.start().pass(2);
    FakeWorker m = cluster.machine("host-1", "small", "a", "node-0");
    cluster.pass(4);
    String rentHolder = cluster.named("w/u/rent");
    String otherNode = rentHolder.equals("node-0") ? "node-1" : "node-0";
    assertEquals(201, cluster.submit(rentHolder, World.job("wk-1", 8, 1)).status());
    cluster.pass(25);
    assertEquals(4, m.running().size());
    sendFullViewsToAll(cluster);
    m.exit(m.running().get(0), "done");
    cluster.pass(2.5);
    assertEquals(4, m.running().size(), "the next task has not taken the free room");
    assertEquals(
        201, cluster.submit(otherNode, World.job("wk-2", 1, 1).put("urgency", "high")).status());
    cluster.pass(4);
    assertEquals(1, cluster.running("wk-2"));
    assertEquals(List.of(), cluster.overlaps);
  }
}
