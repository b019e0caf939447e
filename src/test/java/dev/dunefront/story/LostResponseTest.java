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
  private static World runScenario(World.Fates fates) {
    World w = World.limited(3, 10).renting(2, 3);
    w.cloud.capacity(2);
    w.start().pass(2);
    for (int i = 0; i < 3; i++) {
      w.machine("host-" + i, "small", "a", "node-" + i);
    }
    w.pass(4);
    w.fates = fates;
    Crowd users = new Crowd(w);
    users.submit(World.job("wk-1", 3, 1), 0);
    users.submit(World.job("wk-2", 4, 2), 1);
    w.pass(0.7);
    users.submit(World.job("wk-3", 2, 1).put("shape", "daemon"), 2);
    w.pass(0.8);
    users.cancel("wk-2", 0);
    w.workers.values().forEach(m -> m.exit("wk-1/0", "done"));
    w.pass(1.6);
    w.nodes.get("node-1").crash();
    users.submit(World.job("wk-4", 3, 2), 0);
    w.pass(1.1);
    users.cancel("wk-3", 2);
    w.nodes.get("node-1").start();
    w.silent.add("host-2");
    w.workers.values().forEach(m -> m.exit("wk-1/1", "done"));
    w.pass(2.4);
    users.cancel("wk-4", 1);
    w.pass(6);
    w.silent.clear();
    w.finishAll();
    w.pass(20);
    return w;
  }

  private static void checkFinalState(World w) {
    w.fates = (from, path, body) -> World.Fate.ON_TIME;
    for (String id : w.cancelled) {
      for (String node : w.nodes.keySet()) {
        assertEquals("cancelled", w.poll(node, id).state(), id + " at " + node);
      }
    }
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * Loses the response to each transaction of the scenario in turn, together with that of a
   * transaction up to three later.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void noInvariantBreaksWhicheverResponsesAreLost(
      @ForAll @IntRange(max = TRANSACTIONS) int first, @ForAll @IntRange(max = 3) int gap) {
    int[] n = {0};
    World w =
        runScenario(
            (from, path, body) -> {
              if (!path.equals("/txn")) {
                return World.Fate.ON_TIME;
              }
              int i = n[0]++;
              return i == first || i == first + gap ? World.Fate.UNANSWERED : World.Fate.ON_TIME;
            });
    assertTrue(n[0] > TRANSACTIONS, "the scenario has only " + n[0] + " transactions");
    checkFinalState(w);
  }

  /** Loses every third response to one of the controllers for the whole scenario. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void noInvariantBreaksWhenOneControllerLosesEveryThirdResponse(
      @ForAll @IntRange(max = 2) int node, @ForAll @IntRange(max = 2) int offset) {
    int[] n = {0};
    World w =
        runScenario(
            (from, path, body) ->
                path.equals("/txn") && from.equals("node-" + node) && n[0]++ % 3 == offset
                    ? World.Fate.UNANSWERED
                    : World.Fate.ON_TIME);
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
    World w = new World(3);
    w.start().pass(2);
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
    w.pass(5);
    String holder = w.holder("host-1");
    List<String> others = w.nodes.keySet().stream().filter(n -> !n.equals(holder)).toList();
    assertEquals(201, w.submit(holder, World.job("wk-1", 2, 1)).status());
    w.pass(2);
    assertEquals(2, m.running().size());
    assertTrue(
        w.state.value("w/j/wk-1").text("claim").startsWith(holder),
        "the holder also has the claim");
    w.refusedByState.add(holder);
    w.fates =
        (from, path, body) ->
            body.contains("CANCELLED") ? World.Fate.UNANSWERED : World.Fate.ON_TIME;
    assertEquals(503, w.cancel(others.get(0), "wk-1").status());
    assertEquals("CANCELLED", w.state.value("w/j/wk-1").text("status"));
    w.fates = (from, path, body) -> World.Fate.ON_TIME;
    if (repeated) {
      w.nodes.get(others.get(0)).crash();
      assertEquals(503, w.cancel(others.get(1), "wk-1").status());
    }
    w.state.outage(true);
    w.pass(6);
    assertEquals(List.of(), m.running());
    w.state.outage(false);
    w.refusedByState.clear();
    w.pass(5);
    assertEquals("cancelled", w.poll(others.get(1), "wk-1").state());
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * The response to the write that accepts a job is lost. The replica shows the record long before
   * the request would time out, so the user is answered and the job starts at once.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void submissionIsAnsweredThoughItsWriteResponseIsLost(@ForAll boolean cancelled) {
    World w = World.of(2);
    w.fates =
        (from, path, body) ->
            path.equals("/txn") && body.contains("put=w/j/wk-1")
                ? World.Fate.UNANSWERED
                : World.Fate.ON_TIME;
    double since = w.timers.now();
    World.Said response = w.submit("node-0", World.job("wk-1", 2, 1));
    assertEquals(201, response.status());
    assertTrue(w.timers.now() - since < 0.5, "answered after " + (w.timers.now() - since));
    w.fates = (from, path, body) -> World.Fate.ON_TIME;
    if (cancelled) {
      w.cancel("node-1", "wk-1");
      w.pass(3);
      assertEquals("cancelled", w.poll("node-0", "wk-1").state());
      assertEquals(0, w.running());
    } else {
      w.pass(0.6);
      assertEquals(2, w.running(), "the job starts without waiting for its claim to be discovered");
    }
    assertEquals(List.of(), w.dayEnds());
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
    World w = new World(3);
    w.start().pass(2);
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
    w.pass(6);
    String former = w.holder("host-1");
    BooleanSupplier intercepted =
        w.strikeOnce(
            "put=w/h/host-1",
            World.Fate.ANSWERED_LATE,
            from -> {
              String next =
                  w.nodes.keySet().stream().filter(n -> !n.equals(from)).findFirst().get();
              Document hold =
                  Document.create().put("holder", w.incarnation("w/n/" + next)).put("baton", 50);
              w.timers.after(0.2, () -> w.writeState("w/h/host-1", hold));
            });
    World.Fates holdWrites = w.fates;
    w.fates =
        (from, path, body) ->
            write == HoldWrite.TOKEN_RAISED
                    && body.contains("verb=run")
                    && !intercepted.getAsBoolean()
                ? World.Fate.UNANSWERED
                : holdWrites.of(from, path, body);
    if (write == HoldWrite.MACHINE_TAKEN) {
      // The holder crashes and another controller takes the machine.
      w.nodes.get(former).crash();
      w.timers.after(12, () -> w.nodes.get(former).start());
    }
    String user = w.nodes.keySet().stream().filter(n -> !n.equals(former)).findFirst().get();
    assertEquals(201, w.submit(user, World.job("wk-1", 2, 1)).status());
    w.pass(4 * World.LEASE_S);
    assertTrue(intercepted.getAsBoolean(), "the hold was written");
    assertTrue(m.token() >= 50, "the worker must have its holder's token, but has " + m.token());
    assertEquals(2, m.running().size());
    assertEquals(List.of(), w.dayEnds());
  }
}
