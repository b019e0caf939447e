package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.book.HoldTable;
import dev.dunefront.peer.Message;
import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/**
 * Messages that arrive after the state they were based on has changed, and state service records
 * that are overwritten by others.
 */
class DelayedMessageTest {

  /**
   * A start that the holder has denied must stay refused after the holder has released the machine
   * and taken it back under the same token. Otherwise a start that was delayed by a broken link
   * would run beside the attempt that was placed on the strength of that denial.
   */
  @Test
  void deniedAttemptStaysRefusedWhenMachineReturnsToItsHolder() {
    World w = new World(List.of("a", "a", "b"), World.ONE_TEAM);
    FakeWorker a = w.machine("host-1", "small", "b", "node-0");
    w.nodes.get("node-0").start();
    w.nodes.get("node-1").start();
    w.pass(8);
    assertEquals("node-0", w.holder("host-1"), "no controller of the machine's zone is up");
    // From the start request on, all messages about room on that machine are held back.
    w.late =
        m ->
            m instanceof Message.StartTask s && s.host().equals("host-1")
                || m instanceof Message.Offer o && o.host().equals("host-1") && w.heldCount() > 0;
    assertEquals(201, w.submit("node-1", World.job("wk-1", 1, 1)).status());
    w.pass(3);
    assertTrue(w.heldCount() > 0, "the start is held back, and the attempt is denied meanwhile");
    FakeWorker b = w.machine("host-2", "small", "a", "node-0");
    for (int i = 0; i < 60 && b.running().isEmpty(); i++) {
      w.pass(1);
    }
    assertEquals(List.of("wk-1/0"), b.running());
    // The controller in the machine's zone starts, is assigned the machine, and cannot be reached
    // by it.
    w.lost = (from, to) -> from.equals("host-1:9") && to.equals("node-2");
    long token = a.token();
    w.nodes.get("node-2").start();
    for (String next : List.of("node-2", "node-0")) {
      for (int i = 0; i < 100 && !next.equals(w.holder("host-1")); i++) {
        w.pass(0.1);
      }
      assertEquals(next, w.holder("host-1"));
    }
    w.pass(World.REPORT_S);
    assertEquals(token, a.token(), "the hold is kept without a write");
    w.deliverHeld();
    w.pass(4);
    assertEquals(List.of(), a.starts());
    assertEquals(List.of(), w.overlaps);
  }

  /**
   * A paused claimant sends messages it had decided on before it learns that another controller has
   * claimed its jobs. Its stop would end a task that the new claimant has placed, its clear would
   * make the worker drop an exit before it is recorded, and its start would run a task twice.
   */
  @Test
  void messagesOfFormerClaimantChangeNothing() throws MalformedMessageException {
    World w = new World(3);
    FakeWorker a = w.machine("host-1", "small", "a", "node-0");
    w.start().pass(3);
    assertEquals(201, w.submit("node-1", World.job("wk-1", 2, 1)).status());
    w.pass(2);
    assertEquals(2, a.running().size());
    long term = w.state.value("w/j/wk-1").count("term");
    w.nodes.get("node-1").crash();
    w.pass(World.LEASE_S + 4);
    assertEquals(
        term + 1,
        w.state.value("w/j/wk-1").count("term"),
        "another controller has claimed the job");
    FakeWorker b = w.machine("host-2", "small", "a", "node-0");
    w.pass(4);
    assertEquals("node-0", w.holder("host-2"));

    w.say("node-1", "node-0", new Message.StopTask("host-1", term, "wk-1", 0, 1, 0));
    w.say("node-1", "node-0", new Message.StartTask(0, "host-2", b.token(), 1, term, "wk-1", 0, 1));
    w.pass(3);
    assertEquals(2, a.running().size());
    assertEquals(List.of(), b.starts());

    w.refusedByState.addAll(List.of("node-0", "node-2"));
    a.exit("wk-1/0", "done");
    w.pass(World.REPORT_S + 0.1);
    w.say("node-1", "node-0", new Message.ClearTask("host-1", term, "wk-1", 0, 1));
    w.pass(2);
    w.refusedByState.clear();
    w.pass(3);
    w.finishAll();
    w.pass(5);
    assertEquals("done", w.poll("node-0", "wk-1").state());
    assertEquals(2, a.starts().size() + b.starts().size(), "no task was run again");
  }

  /**
   * The key that names the current incarnation of a controller changes to another incarnation while
   * the controller is serving, because a write that was sent earlier arrives late. If the key
   * stayed that way, all others would consider the controller dead for good.
   */
  @Test
  void nodeKeyWithAnotherIncarnationIsRewritten() throws MalformedMessageException {
    World w = new World(2);
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
    w.start().pass(3);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 2, 1)).status());
    w.pass(1);
    String incarnation = w.state.value("w/n/node-0").text("inc");
    w.writeState("w/n/node-0", Document.create().put("inc", "node-0#1"));
    w.pass(1);
    assertEquals(incarnation, w.state.value("w/n/node-0").text("inc"));
    w.finishAll();
    w.pass(4);
    assertEquals("done", w.poll("node-1", "wk-1").state());
    assertEquals(2, m.starts().size());
  }

  /**
   * An earlier incarnation of a controller wrote its key without receiving the response, and the
   * write arrives while the next incarnation is serving. If it were applied, the other controllers
   * would read the dead incarnation, take over its jobs, and treat the controller as gone when that
   * incarnation's lease ends.
   */
  @Test
  void delayedNodeKeyWriteOfEarlierIncarnationIsRefused() throws MalformedMessageException {
    World w = new World(3);
    w.machine("host-1", "small", "a", "node-0");
    w.start().pass(3);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 2, 1)).status());
    w.pass(1);
    w.nodes.get("node-0").crash();
    int before = w.state.writes("w/n/node-0");
    int[] puts = new int[1];
    w.lateS = 2.2;
    w.fates =
        (from, path, body) ->
            path.equals("/txn") && body.contains("put=w/n/node-0") && puts[0]++ == 0
                ? World.Fate.LATE
                : World.Fate.ON_TIME;
    w.nodes.get("node-0").start();
    w.pass(1.9);
    String incarnation = w.state.value("w/n/node-0").text("inc");
    w.pass(1);
    assertEquals(2, puts[0], "the first write had no response, the second had one");
    assertEquals(incarnation, w.state.value("w/n/node-0").text("inc"));
    assertEquals(1, w.state.writes("w/n/node-0") - before, "the delayed write was refused");
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * A copy of a report arrives from a partitioned zone whose controller has lost its lease and
   * still receives the machine's reports. If another controller took the machine because of the
   * copy, its holder would have to give it up when the partition ends.
   */
  @Test
  void reportCopyDoesNotMoveMachineFromItsReachableHolder() {
    World w = new World(List.of("a", "a", "b"), World.ONE_TEAM);
    w.start().pass(2);
    FakeWorker m = w.machine("host-1", "small", "b", "node-2");
    w.pass(6);
    assertEquals("node-2", w.holder("host-1"));
    byte[] report = m.report();
    w.pass(1);
    w.cut("b");
    for (int i = 0; i < 2 * World.LEASE_S; i++) {
      w.pass(1);
      w.hello("node-" + i % 2, report);
    }
    assertEquals(List.of(), w.state.keys("w/h/"));
    w.heal();
    w.pass(4);
    assertEquals("node-2", w.holder("host-1"));
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * A holder that is refused by the state service loses its machine to another controller. The
   * claimant still receives only the former holder's messages, which eventually report the
   * machine's lease as expired. That report must not end the attempts.
   */
  @Test
  void leaseExpiryReportedByFormerHolderIsNoProof() {
    assertEquals(List.of(), overlapsWithFormerHolder(false));
    assertNotEquals(
        List.of(),
        overlapsWithFormerHolder(true),
        "without the precondition the scenario must produce overlaps");
  }

  private static List<String> overlapsWithFormerHolder(boolean ignorePrecondition) {
    World w = new World(4);
    w.start().pass(2);
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
    w.pass(6);
    String former = w.holder("host-1");
    int f = Integer.parseInt(former.substring("node-".length()));
    String next = "node-" + (f + 1) % 4;
    String claimant = "node-" + (f + 2) % 4;
    assertEquals(201, w.submit(claimant, World.job("wk-1", 2, 1)).status());
    w.pass(2);
    assertEquals(2, m.running().size());
    w.unconditional = key -> ignorePrecondition && key.startsWith("w/h/");
    w.refusedByState.add(former);
    w.lost =
        (from, to) ->
            from.equals("host-1:9") && to.equals(former)
                || from.equals(former) && to.equals("host-1:9")
                || from.equals(next) && to.equals(claimant)
                || from.equals(claimant) && to.equals(next);
    w.timers.after(5, () -> w.linksSilent(next));
    for (int i = 2; i < 8; i++) {
      w.machine("host-" + i, "small", "a", claimant);
    }
    w.pass(2 * World.LEASE_S);
    assertEquals(next, w.holder("host-1"));
    return w.overlaps;
  }

  /**
   * A machine's lease expires, and while that is being recorded the cloud confirms the machine's
   * deletion. The first proof is then no longer valid, and the second arrived while the first was
   * being recorded. It must not be skipped, or the task would count as placed for good.
   */
  @Test
  void deletionConfirmedWhileLeaseExpiryIsRecordedCounts() {
    World w = World.limited(3, 2);
    w.start().pass(2);
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
    w.pass(5);
    assertEquals(201, w.submit("node-1", World.job("wk-1", 1, 2)).status());
    w.pass(2);
    assertEquals(1, m.running().size());
    BooleanSupplier intercepted =
        w.strikeOnce(
            "t/wk-1/0",
            World.Fate.LOST,
            from -> {
              Document dead = HoldTable.writeDeleted(w.timers.wallClockMs(), "x");
              w.timers.after(0.05, () -> w.writeState("w/h/host-1", dead));
            });
    w.silent.add("host-1");
    w.timers.after(5, () -> w.cloud.reclaim("host-1"));
    FakeWorker next = w.machine("host-2", "small", "a", "node-0");
    w.pass(2 * World.LEASE_S);
    assertTrue(
        intercepted.getAsBoolean(),
        "the lease has expired, and the write that records it was intercepted");
    w.pass(10);
    assertEquals(1, next.running().size());
    assertEquals(List.of(), w.dayEnds());
  }
}
