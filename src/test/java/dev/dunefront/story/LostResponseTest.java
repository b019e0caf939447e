package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import java.util.List;
import java.util.function.BooleanSupplier;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Transactions that are carried out while their response is lost: the writer does not know the
 * outcome, while other controllers read the written data and act on it. Users poll all controllers
 * throughout.
 */
class LostResponseTest {
  /** Number of transactions in the scenario below; it writes little new data after these. */
  private static final int TRANSACTIONS = 20;

  /**
   * Runs the scenario: jobs are submitted, finish and are cancelled; a machine and a controller are
   * lost; further machines boot.
   */
  private static SimulatedCluster runScenario(SimulatedNetwork.DeliveryPolicy fates) {
    SimulatedCluster w = SimulatedCluster.withTeamLimit(3, 10).withRentingDelays(2, 3);
    w.cloud.capacity(2);
    w.start().advance(2);
    for (int i = 0; i < 3; i++) {
      w.machines.addMachine("host-" + i, "small", "a", "node-" + i);
    }
    w.advance(4);
    w.network.deliveryPolicy = fates;
    RedundantClients users = new RedundantClients(w);
    users.submit(SimulatedCluster.job("wk-1", 3, 1), 0);
    users.submit(SimulatedCluster.job("wk-2", 4, 2), 1);
    w.advance(0.7);
    users.submit(SimulatedCluster.job("wk-3", 2, 1).put("shape", "daemon"), 2);
    w.advance(0.8);
    users.cancel("wk-2", 0);
    w.machines.workers.values().forEach(m -> m.exit("wk-1/0", "done"));
    w.advance(1.6);
    w.nodes.get("node-1").crash();
    users.submit(SimulatedCluster.job("wk-4", 3, 2), 0);
    w.advance(1.1);
    users.cancel("wk-3", 2);
    w.nodes.get("node-1").start();
    w.machines.isolatedHosts.add("host-2");
    w.machines.workers.values().forEach(m -> m.exit("wk-1/1", "done"));
    w.advance(2.4);
    users.cancel("wk-4", 1);
    w.advance(6);
    w.machines.isolatedHosts.clear();
    w.machines.completeAllTasks();
    w.advance(20);
    return w;
  }

  private static void checkFinalState(SimulatedCluster w) {
    w.network.deliverOnTime();
    for (String id : w.users.cancelRequestedJobs) {
      for (String node : w.nodes.keySet()) {
        assertEquals("cancelled", w.users.poll(node, id).jobStatus(), id + " at " + node);
      }
    }
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  /**
   * Loses the response to each transaction of the scenario in turn, together with that of a
   * transaction up to three later.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void noInvariantBreaksWhicheverResponsesAreLost(
      @ForAll @IntRange(max = TRANSACTIONS) int first, @ForAll @IntRange(max = 3) int gap) {
    int[] n = {0};
    SimulatedCluster w =
        runScenario(
            (from, path, body) -> {
              if (!path.equals("/txn")) {
                return SimulatedNetwork.Delivery.ON_TIME;
              }
              int i = n[0]++;
              return i == first || i == first + gap
                  ? SimulatedNetwork.Delivery.RESPONSE_DROPPED
                  : SimulatedNetwork.Delivery.ON_TIME;
            });
    assertTrue(n[0] > TRANSACTIONS, "the scenario has only " + n[0] + " transactions");
    checkFinalState(w);
  }

  /** Loses every third response to one of the controllers for the whole scenario. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void noInvariantBreaksWhenOneControllerLosesEveryThirdResponse(
      @ForAll @IntRange(max = 2) int node, @ForAll @IntRange(max = 2) int offset) {
    int[] n = {0};
    SimulatedCluster w =
        runScenario(
            (from, path, body) ->
                path.equals("/txn") && from.equals("node-" + node) && n[0]++ % 3 == offset
                    ? SimulatedNetwork.Delivery.RESPONSE_DROPPED
                    : SimulatedNetwork.Delivery.ON_TIME);
    checkFinalState(w);
  }

  /**
   * The response to the write of a cancellation is lost, so its writer does not know that there is
   * a cancellation to broadcast; or the writer has crashed and the request is repeated at another
   * controller. The machine's holder, which also has the claim, is refused by the state service,
   * which then fails for all. Without the broadcast the tasks would run for as long as the outage
   * lasts. Whichever controller finds the cancellation recorded broadcasts it.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void cancellationIsBroadcastThoughItsWriteResponseIsLost(@ForAll boolean repeated)
      throws Exception {
    SimulatedCluster w = new SimulatedCluster(3);
    w.start().advance(2);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.advance(5);
    String holder = w.machines.holderOf("host-1");
    List<String> others = w.nodes.keySet().stream().filter(n -> !n.equals(holder)).toList();
    assertEquals(201, w.users.submit(holder, SimulatedCluster.job("wk-1", 2, 1)).status());
    w.advance(2);
    assertEquals(2, m.running().size());
    assertTrue(
        w.stateService.value("w/j/wk-1").text("claim").startsWith(holder),
        "the holder also has the claim");
    w.network.refusedByStateService.add(holder);
    w.network.deliveryPolicy =
        (from, path, body) ->
            body.contains("CANCELLED")
                ? SimulatedNetwork.Delivery.RESPONSE_DROPPED
                : SimulatedNetwork.Delivery.ON_TIME;
    assertEquals(503, w.users.cancel(others.get(0), "wk-1").status());
    assertEquals("CANCELLED", w.stateService.value("w/j/wk-1").text("status"));
    w.network.deliverOnTime();
    if (repeated) {
      w.nodes.get(others.get(0)).crash();
      assertEquals(503, w.users.cancel(others.get(1), "wk-1").status());
    }
    w.stateService.outage(true);
    w.advance(6);
    assertEquals(List.of(), m.running());
    w.stateService.outage(false);
    w.network.refusedByStateService.clear();
    w.advance(5);
    assertEquals("cancelled", w.users.poll(others.get(1), "wk-1").jobStatus());
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  /**
   * The response to the write that accepts a job is lost. The replica shows the record long before
   * the request would time out, so the user is answered and the job starts at once.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void submissionIsAnsweredThoughItsWriteResponseIsLost(@ForAll boolean cancelled) {
    SimulatedCluster w = SimulatedCluster.withSmallMachines(2);
    w.network.deliveryPolicy =
        (from, path, body) ->
            path.equals("/txn") && body.contains("put=w/j/wk-1")
                ? SimulatedNetwork.Delivery.RESPONSE_DROPPED
                : SimulatedNetwork.Delivery.ON_TIME;
    double since = w.clock.now();
    SimulatedUsers.ApiResponse response =
        w.users.submit("node-0", SimulatedCluster.job("wk-1", 2, 1));
    assertEquals(201, response.status());
    assertTrue(w.clock.now() - since < 0.5, "answered after " + (w.clock.now() - since));
    w.network.deliverOnTime();
    if (cancelled) {
      w.users.cancel("node-1", "wk-1");
      w.advance(3);
      assertEquals("cancelled", w.users.poll("node-0", "wk-1").jobStatus());
      assertEquals(0, w.machines.runningCount());
    } else {
      w.advance(0.6);
      assertEquals(
          2,
          w.machines.runningCount(),
          "the job starts without waiting for its claim to be discovered");
    }
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  /** The hold write whose response is late. */
  enum HoldWrite {
    TOKEN_RAISED,
    MACHINE_TAKEN
  }

  /**
   * The response to the write of a hold is late, and by then another controller has taken the
   * machine, which the replica has shown. If the writer relied on the response, it would keep the
   * machine for good: its worker would be answered, and nothing could be recorded there.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void machineTakenDuringUnacknowledgedHoldWriteChangesHolder(@ForAll HoldWrite write) {
    SimulatedCluster w = new SimulatedCluster(3);
    w.start().advance(2);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.advance(6);
    String former = w.machines.holderOf("host-1");
    BooleanSupplier intercepted =
        w.network.faultFirstTransaction(
            "put=w/h/host-1",
            SimulatedNetwork.Delivery.RESPONSE_DELAYED,
            from -> {
              String next =
                  w.nodes.keySet().stream().filter(n -> !n.equals(from)).findFirst().get();
              Document hold =
                  Document.create()
                      .put("holder", w.recordedIncarnation("w/n/" + next))
                      .put("baton", 50);
              w.clock.after(0.2, () -> w.writeState("w/h/host-1", hold));
            });
    SimulatedNetwork.DeliveryPolicy holdWrites = w.network.deliveryPolicy;
    w.network.deliveryPolicy =
        (from, path, body) ->
            write == HoldWrite.TOKEN_RAISED
                    && body.contains("verb=run")
                    && !intercepted.getAsBoolean()
                ? SimulatedNetwork.Delivery.RESPONSE_DROPPED
                : holdWrites.choose(from, path, body);
    if (write == HoldWrite.MACHINE_TAKEN) {
      // The holder crashes and another controller takes the machine.
      w.nodes.get(former).crash();
      w.clock.after(12, () -> w.nodes.get(former).start());
    }
    String user = w.nodes.keySet().stream().filter(n -> !n.equals(former)).findFirst().get();
    assertEquals(201, w.users.submit(user, SimulatedCluster.job("wk-1", 2, 1)).status());
    w.advance(4 * SimulatedCluster.LEASE_S);
    assertTrue(intercepted.getAsBoolean(), "the hold was written");
    assertTrue(m.token() >= 50, "the worker must have its holder's token, but has " + m.token());
    assertEquals(2, m.running().size());
    assertEquals(List.of(), w.users.drainAndCheck());
  }
}
