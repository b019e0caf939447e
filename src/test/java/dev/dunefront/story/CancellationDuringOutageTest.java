package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.peer.Message;
import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Cancellations around an outage: the state service refuses one controller, another controller
 * accepts cancellations, and then the state service is down for all for longer than cancelled tasks
 * may live, while workers report to the refused controller.
 */
class CancellationDuringOutageTest {
  private static SimulatedCluster world() {
    SimulatedCluster w = new SimulatedCluster(5);
    w.start().advance(2);
    for (int i = 0; i < 10; i++) {
      w.machines.addMachine("host-" + i, "small", "a", "node-" + i % 5);
    }
    w.advance(5);
    return w;
  }

  /**
   * Two jobs of node-0, one of them a service, and an array of node-1, which are to be cancelled,
   * and an array that is not.
   */
  private static List<String> submitJobs(SimulatedCluster w, int round) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      String id = "wk-" + round + i;
      Document job = SimulatedCluster.job(id, 6, 1).put("shape", i == 1 ? "daemon" : "sweep");
      assertEquals(201, w.users.submit(i == 2 ? "node-1" : "node-0", job).status());
      ids.add(id);
    }
    w.advance(2);
    return ids;
  }

  /**
   * The sequence of the users' incident: one controller is refused for less and for more than its
   * lease before the general outage begins.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void cancelledTasksStopDuringOutage(
      @ForAll @IntRange(min = 0, max = 3) int refusedNumber,
      @ForAll boolean longerThanItsLease,
      @ForAll boolean longerThanTasksMayLive) {
    SimulatedCluster w = world();
    String refused = "node-" + refusedNumber;
    for (int round = 1; round <= 2; round++) {
      List<String> ids = submitJobs(w, round);
      List<String> toCancel = ids.subList(0, 3);
      w.network.refusedByStateService.add(refused);
      w.advance(longerThanItsLease ? 6 : 0.5);
      for (String id : toCancel) {
        w.users.cancelRequestedJobs.add(id);
        w.users.requestWithRetries(
            "POST", "/v1/jobs/" + id + "/abort", null, id, refusedNumber + 1, 60);
      }
      w.advance(0.2);
      w.stateService.outage(true);
      w.advance(6);
      for (String id : toCancel) {
        assertEquals(0, w.machines.runningCount(id), id + " keeps running during the outage");
      }
      w.advance(longerThanTasksMayLive ? 24 : 2);
      w.stateService.outage(false);
      w.advance(1);
      w.network.refusedByStateService.clear();
      w.advance(15);
      for (String id : toCancel) {
        assertEquals("cancelled", w.users.poll(refused, id).jobStatus());
      }
      assertEquals(
          6, w.machines.runningCount(ids.get(3)), "the job that was not cancelled keeps running");
      w.machines.completeAllTasks();
      w.advance(4);
    }
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  /**
   * A job is submitted and ends while the replica of one controller is stale; that controller
   * receives the cancellation but not the end of the job. It must not broadcast the cancellation
   * for good, not even while an older cancellation is rightly pending because its machine cannot be
   * reached.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void cancellationIsForgottenWithoutJobEndedMessage(@ForAll boolean olderCancellationPending) {
    SimulatedCluster w = new SimulatedCluster(5);
    w.start().advance(4);
    if (olderCancellationPending) {
      w.machines.addMachine("host-1", "small", "a", "node-0");
      w.advance(5);
      assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-2", 1, 4)).status());
      w.advance(2);
      assertEquals(1, w.machines.runningCount("wk-2"));
      // The machine receives no command, and its reports keep its lease alive, so its task is not
      // proved to have ended.
      w.network.deliveryPolicy =
          (from, path, body) ->
              path.equals("/orders")
                  ? SimulatedNetwork.Delivery.DROPPED
                  : SimulatedNetwork.Delivery.ON_TIME;
      assertEquals(503, w.users.cancel("node-1", "wk-2").status());
      w.advance(4);
    }
    w.network.refusedByStateService.add("node-4");
    w.network.holdPeerMessage = message -> message instanceof Message.JobEnded;
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 6, 1)).status());
    w.advance(2);
    w.users.cancel("node-1", "wk-1");
    w.advance(2);
    assertEquals("cancelled", w.users.poll("node-0", "wk-1").jobStatus());
    // By then the open watch has been abandoned, and with it the changes it would have returned.
    w.advance(15);
    int older = olderCancellationPending ? 1 : 0;
    assertEquals(older + 1, waitingCancellations(w, "node-4"));
    w.network.refusedByStateService.clear();
    w.advance(20);
    assertEquals(older, waitingCancellations(w, "node-4"));
  }

  private static int waitingCancellations(SimulatedCluster w, String node) {
    String name = "dunefront_cancellations_waiting ";
    String text = w.nodes.get(node).metrics();
    int at = text.indexOf("\n" + name) + 1 + name.length();
    return (int) Double.parseDouble(text.substring(at, text.indexOf('\n', at)));
  }

  /** What prevents the refused holder from stopping the tasks on its machine. */
  enum Obstacle {
    /**
     * The cancellation message to the holder is lost, and so are the stops that follow; its links
     * are reconnected later, when the claimant has crashed.
     */
    CANCELLATION_LOST,
    /** A command had no response, and the token cannot be raised without the state service. */
    COMMAND_UNANSWERED,
    /**
     * The start of a task arrives after the cancellation, from a claimant that has crashed by then.
     */
    START_DELAYED,
    /** The machine can send and receive only later on. */
    MACHINE_CUT_OFF
  }

  /**
   * The holder is refused by the state service, a second controller claims the job, and a third
   * receives the cancellation. Whatever the obstacle, no task of the job is on the machine 12 s
   * into the outage.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void cancelledTasksStopDespiteObstacle(@ForAll Obstacle obstacle) {
    SimulatedCluster w = new SimulatedCluster(5);
    w.start().advance(2);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.advance(5);
    String holder = w.machines.holderOf("host-1");
    List<String> others = new ArrayList<>(w.nodes.keySet());
    others.remove(holder);
    w.network.refusedByStateService.add(holder);
    if (obstacle == Obstacle.COMMAND_UNANSWERED) {
      w.network.deliveryPolicy =
          (from, path, body) ->
              body.contains("verb=run")
                  ? SimulatedNetwork.Delivery.RESPONSE_DROPPED
                  : SimulatedNetwork.Delivery.ON_TIME;
    }
    if (obstacle == Obstacle.START_DELAYED) {
      w.network.holdPeerMessage = message -> message instanceof Message.StartTask;
    }
    assertEquals(201, w.users.submit(others.get(0), SimulatedCluster.job("wk-1", 3, 1)).status());
    w.advance(0.7);
    if (obstacle == Obstacle.MACHINE_CUT_OFF) {
      w.network.dropDelivery = (from, to) -> from.equals("host-1:9") || to.equals("host-1:9");
      w.clock.after(4, () -> w.network.dropDelivery = (from, to) -> false);
    }
    if (obstacle == Obstacle.CANCELLATION_LOST) {
      w.network.holdPeerMessage =
          message -> message instanceof Message.JobCancelled || message instanceof Message.StopTask;
    }
    assertEquals(503, w.users.cancel(others.get(1), "wk-1").status());
    w.stateService.outage(true);
    if (obstacle == Obstacle.CANCELLATION_LOST) {
      w.nodes.get(others.get(0)).crash();
      w.clock.after(
          3,
          () -> {
            w.network.holdPeerMessage = message -> false;
            w.network.reconnectLinks(holder);
          });
    }
    if (obstacle == Obstacle.START_DELAYED) {
      w.nodes.get(others.get(0)).crash();
      w.advance(1);
      w.network.deliverHeld();
      w.network.holdPeerMessage = message -> false;
    }
    w.advance(12);
    assertEquals(List.of(), m.running());
    w.advance(20);
    w.stateService.outage(false);
    w.network.refusedByStateService.clear();
    w.network.deliverOnTime();
    if (!w.nodes.get(others.get(0)).up()) {
      w.nodes.get(others.get(0)).start();
    }
    w.advance(20);
    assertEquals("cancelled", w.users.poll(others.get(1), "wk-1").jobStatus());
    assertEquals(List.of(), w.users.drainAndCheck());
  }
}
