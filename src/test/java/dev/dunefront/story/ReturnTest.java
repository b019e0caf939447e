package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.config.Tunables;
import dev.dunefront.standin.FakeWorker;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Idle machines are returned, and nothing that is placed meets a deletion. */
class ReturnTest {
  private static World world() {
    World w = new World(2);
    // Machines of the stand-in's cloud boot in 5 s.
    w.tunables = Tunables.withOverrides(Map.of("idle_boots", 2.0));
    return w;
  }

  /** Lets time pass until a deletion is sent, and holds it back. */
  private static void holdDeletion(World w) {
    w.heldPath = "/machines/delete";
    for (int i = 0; i < 100 && w.heldCount() == 0; i++) {
      w.pass(0.25);
    }
    assertTrue(w.heldCount() > 0, "the deletion is on its way");
  }

  @Test
  void anIdleMachineIsReturnedAndOneAtWorkIsNot() {
    World w = world();
    FakeWorker a = w.machine("host-1", "small", "a", "node-0");
    w.start().pass(2);
    w.submit("node-0", World.job("wk-1", 1, 1));
    w.pass(1);
    FakeWorker b = w.machine("host-2", "small", "a", "node-1");
    w.pass(8);
    assertFalse(w.cloud.deleted("host-2"), "another may come at any moment");
    w.pass(10);
    assertTrue(w.cloud.deleted("host-2"));
    assertEquals(List.of("wk-1/0"), a.running());
    assertEquals(List.of(), b.starts());
    a.exit("wk-1/0", "done");
    w.pass(20);
    assertTrue(w.cloud.deleted("host-1"));
    assertEquals("done", w.poll("node-1", "wk-1").state());
  }

  /** The deletion takes its time; the machine takes nothing from before it is sent. */
  @Test
  void workThatComesWhileAMachineIsReturnedIsNotPlacedThere() {
    World w = world();
    FakeWorker a = w.machine("host-1", "small", "a", "node-0");
    w.start().pass(2);
    holdDeletion(w);
    w.submit("node-0", World.job("wk-1", 1, 1));
    w.pass(3);
    assertEquals(List.of(), a.starts(), "closed before the cloud was asked");
    w.heldPath = null;
    w.deliverHeld();
    assertTrue(w.cloud.deleted("host-1"));
    w.machine("host-2", "small", "a", "node-1");
    w.pass(10);
    assertEquals("running", w.poll("node-0", "wk-1").state());
    assertEquals(List.of(), w.overlaps);
  }

  /**
   * The deletion is on its way when all controllers end. Whoever rents next finds it on record and
   * keeps the machine closed until the cloud has answered, so that nothing runs there when the late
   * one arrives.
   */
  @Test
  void aReturnMeetsTheEndOfAllControllersAndAPlacement() {
    World w = world();
    FakeWorker a = w.machine("host-1", "small", "a", "node-0");
    w.start().pass(2);
    holdDeletion(w);
    w.nodes.values().forEach(World.Node::crash);
    w.pass(1);
    w.nodes.values().forEach(World.Node::start);
    w.pass(6);
    w.submit("node-0", World.job("wk-1", 1, 1));
    w.pass(3);
    assertEquals(List.of(), a.starts(), "it is closed to the next life as well");
    w.heldPath = null;
    w.deliverHeld();
    assertEquals(List.of(), w.misused);
    FakeWorker b = w.machine("host-2", "small", "a", "node-1");
    w.pass(8);
    assertEquals(List.of("wk-1/0"), b.running());
    assertEquals(List.of(), w.overlaps);
  }

  @Test
  void aMachineThatIsNotReturnedAfterAllOpensAgain() {
    World w = world();
    FakeWorker a = w.machine("host-1", "small", "a", "node-0");
    w.start().pass(2);
    w.lost = (from, to) -> to.equals("10.2.0.2:1");
    w.pass(14);
    w.submit("node-0", World.job("wk-1", 1, 1));
    w.pass(12);
    assertEquals(List.of("wk-1/0"), a.running());
    w.lost = (from, to) -> false;
    w.pass(20);
    assertFalse(w.cloud.deleted("host-1"));
  }
}
