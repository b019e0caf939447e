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

/** Words that come when what they rest on no longer holds, and facts that others overwrite. */
class LateWordsTest {

  /**
   * What a holder has called gone stays refused when it lets go of the machine and takes it back
   * under its old token. Were that forgotten on the way, a start that a broken link held back would
   * be carried out beside the attempt that was placed on the proof.
   */
  @Test
  void whatWasCalledGoneStaysRefusedWhenTheMachineComesBack() {
    World w = new World(List.of("a", "a", "b"), World.ONE_TEAM);
    FakeWorker a = w.machine("host-1", "small", "b", "node-0");
    w.nodes.get("node-0").start();
    w.nodes.get("node-1").start();
    w.pass(8);
    assertEquals("node-0", w.holder("host-1"), "the controller of its zone is not there");
    // From its start on all that concerns the room of that machine is held back.
    w.late =
        m ->
            m instanceof Message.StartTask s && s.host().equals("host-1")
                || m instanceof Message.Offer o && o.host().equals("host-1") && w.heldCount() > 0;
    assertEquals(201, w.submit("node-1", World.job("wk-1", 1, 1)).status());
    w.pass(3);
    assertTrue(w.heldCount() > 0, "its start is held back, and it is called gone meanwhile");
    FakeWorker b = w.machine("host-2", "small", "a", "node-0");
    for (int i = 0; i < 60 && b.running().isEmpty(); i++) {
      w.pass(1);
    }
    assertEquals(List.of("wk-1/0"), b.running());
    // The controller of its zone is back, is given the machine, and cannot be reached by it.
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
    assertEquals(token, a.token(), "held on without a write");
    w.deliverHeld();
    w.pass(4);
    assertEquals(List.of(), a.starts());
    assertEquals(List.of(), w.overlaps);
  }

  /**
   * A claimant that stood still sends what it had decided before it learns that another has claimed
   * its jobs. Its stop would end what the other has placed, its clear would let the worker forget
   * an end before it is recorded, and its start would run a task twice.
   */
  @Test
  void wordsOfAFormerClaimantChangeNothing() throws MalformedMessageException {
    World w = new World(3);
    FakeWorker a = w.machine("host-1", "small", "a", "node-0");
    w.start().pass(3);
    assertEquals(201, w.submit("node-1", World.job("wk-1", 2, 1)).status());
    w.pass(2);
    assertEquals(2, a.running().size());
    long term = w.state.value("w/j/wk-1").count("term");
    w.nodes.get("node-1").crash();
    w.pass(World.LEASE_S + 4);
    assertEquals(term + 1, w.state.value("w/j/wk-1").count("term"), "another has claimed it");
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
    assertEquals(2, a.starts().size() + b.starts().size(), "nothing was run again");
  }

  /**
   * The key that says which incarnation of a controller lives shows another name while it serves: a
   * write of an earlier try has come late. To all others it would be dead for ever.
   */
  @Test
  void aNodeKeyThatShowsAnotherNameIsWrittenAgain() throws MalformedMessageException {
    World w = new World(2);
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
    w.start().pass(3);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 2, 1)).status());
    w.pass(1);
    String name = w.state.value("w/n/node-0").text("inc");
    w.writeState("w/n/node-0", Document.create().put("inc", "node-0#1"));
    w.pass(1);
    assertEquals(name, w.state.value("w/n/node-0").text("inc"));
    w.finishAll();
    w.pass(4);
    assertEquals("done", w.poll("node-1", "wk-1").state());
    assertEquals(2, m.starts().size());
  }

  /**
   * A life of a controller that has just ended wrote its key without hearing of it; that write
   * comes when the next life serves. Were it taken, the others would see the dead life's name, take
   * its jobs, and lose sight of the controller when that life's lease ends.
   */
  @Test
  void aKeyWrittenLateByAnEarlierLifeChangesNothing() throws MalformedMessageException {
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
    String name = w.state.value("w/n/node-0").text("inc");
    w.pass(1);
    assertEquals(2, puts[0], "the first had no answer, the second had");
    assertEquals(name, w.state.value("w/n/node-0").text("inc"));
    assertEquals(1, w.state.writes("w/n/node-0") - before, "the late one was refused");
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * A copy of a report comes from a zone that is cut off, whose controller has lost its lease and
   * goes on hearing the machine. Were the machine taken for that, its holder would have to let go
   * of it when the cut ends.
   */
  @Test
  void aCopyMovesNoMachineThatItsHolderStillHears() {
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
   * A holder that the state service refuses loses its machine, which another takes; the claimant
   * hears the former holder alone, which in time calls the machine's lease over.
   */
  @Test
  void aLeaseCalledOverByAFormerHolderProvesNothing() {
    assertEquals(List.of(), overlapsByAFormerHolder(false));
    assertNotEquals(List.of(), overlapsByAFormerHolder(true), "the story is about that condition");
  }

  private static List<String> overlapsByAFormerHolder(boolean unconditional) {
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
    w.unconditional = key -> unconditional && key.startsWith("w/h/");
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
   * A machine's lease is over, and while that is recorded the cloud confirms the machine's end. The
   * first proof no longer holds then, and the second came while the first was believed: it must not
   * be passed over for that, or the task would count as placed for ever.
   */
  @Test
  void anEndThatIsConfirmedWhileAnotherProofOfItIsRecordedCounts() {
    World w = World.limited(3, 2);
    w.start().pass(2);
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
    w.pass(5);
    assertEquals(201, w.submit("node-1", World.job("wk-1", 1, 2)).status());
    w.pass(2);
    assertEquals(1, m.running().size());
    BooleanSupplier struck =
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
    assertTrue(struck.getAsBoolean(), "the lease is over, and that was about to be recorded");
    w.pass(10);
    assertEquals(1, next.running().size());
    assertEquals(List.of(), w.dayEnds());
  }
}
