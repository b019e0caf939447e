package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A controller that is cut off from the state service and from the other controllers, but not from
 * its workers.
 */
class IsolatedControllerTest {
  private static final String STATE_SERVICE = "10.2.0.1:1";

  private static World world(List<String> zones) {
    World w = new World(zones, World.ONE_TEAM);
    w.start().pass(2);
    for (int i = 0; i < 12; i++) {
      w.machine("host-" + i, "small", zones.get(i % zones.size()), "node-" + i % zones.size());
    }
    w.pass(6);
    return w;
  }

  /**
   * Drops all messages of a controller except those to and from workers and users; its links become
   * silent.
   */
  private static void isolate(World w, String node) {
    w.lost = World.withoutPeersAndState(node);
    // The response to an open watch is lost as well.
    w.unanswered = (from, to) -> from.equals(node) && to.equals(STATE_SERVICE);
    w.timers.after(5, () -> w.linksSilent(node));
  }

  private static long countMachinesHeldBy(World w, String node) {
    return w.workers.values().stream().filter(m -> w.holder(m.host()).equals(node)).count();
  }

  /**
   * An isolated controller would renew its workers' leases for ever: no other controller could
   * prove that their tasks had ended, and no exit there would be recorded. So its workers must move
   * to other controllers.
   */
  @Test
  void workersMoveToOtherControllersWithoutLosingTasks() {
    World w = world(List.of("a", "a", "a"));
    for (int i = 0; i < 3; i++) {
      assertEquals(201, w.submit("node-" + i, World.job("wk-" + i, 10, 1)).status());
    }
    w.pass(3);
    assertEquals(30, w.running());
    assertTrue(countMachinesHeldBy(w, "node-0") > 0);
    isolate(w, "node-0");
    w.pass(6);
    assertEquals(
        503,
        w.ask("node-0", "GET", "/up", new byte[0]).status(),
        "the health check sends users to other controllers");
    assertEquals(
        503,
        w.submit("node-0", World.job("wk-9", 1, 1)).status(),
        "submissions are refused at once");
    w.pass(30);
    assertEquals(0, countMachinesHeldBy(w, "node-0"));
    assertEquals(30, w.running(), "no lease expired");
    w.finishAll();
    w.pass(6);
    for (int i = 0; i < 3; i++) {
      assertEquals("done", w.poll("node-1", "wk-" + i).state(), "the ends of tasks are recorded");
    }
    int starts = w.workers.values().stream().mapToInt(m -> m.starts().size()).sum();
    assertEquals(30, starts, "no task ran again");
    w.lost = (from, to) -> false;
    w.unanswered = (from, to) -> false;
    w.linksBack("node-0");
    w.pass(8);
    assertEquals(200, w.ask("node-0", "GET", "/up", new byte[0]).status());
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * Behind a zone partition the controller is in the same position, but its workers cannot reach
   * any other controller. They must return to it and stay.
   */
  @Test
  void workersBehindZonePartitionReturnAndStay() {
    World w = world(List.of("a", "b", "b"));
    assertEquals(201, w.submit("node-1", World.job("wk-1", 40, 1)).status());
    w.pass(3);
    int before =
        w.workers.values().stream()
            .filter(m -> w.zoneOf(m).equals("a"))
            .mapToInt(m -> m.running().size())
            .sum();
    assertTrue(before > 0);
    w.cut("a");
    w.pass(6 * World.LEASE_S);
    int after =
        w.workers.values().stream()
            .filter(m -> w.zoneOf(m).equals("a"))
            .mapToInt(m -> m.running().size())
            .sum();
    assertTrue(
        before - after <= 4, "only the tasks of the machine that was released first are lost");
    w.heal();
    w.pass(4);
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * Another controller takes a machine that reported to it once and then returned to its old
   * holder, which cannot know and renews the lease under the old token. A command of the new holder
   * would show the worker the new token: the worker would reject the old holder's responses and
   * lose all its tasks. And if the lease were counted from that one report, it would be considered
   * expired at once.
   */
  @Test
  void machineThatReturnsToItsOldHolderKeepsItsTasks() {
    World w = new World(List.of("a", "a", "a"), World.ONE_TEAM);
    w.start().pass(2);
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
    w.pass(6);
    String oldHolder = w.holder("host-1");
    String other = oldHolder.equals("node-1") ? "node-2" : "node-1";
    assertEquals(201, w.submit(other, World.job("wk-1", 2, 1)).status());
    assertEquals(201, w.submit(other, World.job("wk-2", 2, 1)).status());
    w.pass(2);
    assertEquals(4, m.running().size());
    // An idle machine is released first, so this one stays for a while.
    for (int i = 3;
        w.workers.values().stream().filter(x -> oldHolder.equals(w.holder(x.host()))).count() < 2;
        i++) {
      w.machine("host-" + i, "small", "a", oldHolder);
      w.pass(2);
    }
    isolate(w, oldHolder);
    for (int i = 0; i < 60 && !other.equals(recordedHolder(w)); i++) {
      w.pass(0.25);
      w.hello(other, m.report());
    }
    assertEquals(other, recordedHolder(w), "the machine reported once and was taken");
    w.machine("host-2", "small", "a", other);
    w.pass(1.1 * World.LEASE_S);
    assertEquals(oldHolder, w.holder("host-1"));
    w.cancel(other, "wk-2");
    w.pass(1);
    assertEquals(2, World.running(m, "wk-1"), "the job keeps running");
    w.pass(World.LEASE_S);
    assertEquals(2, World.running(m, "wk-1"), "the job is not lost after another lease");
    assertEquals(List.of(), w.overlaps);
    w.lost = (from, to) -> false;
    w.unanswered = (from, to) -> false;
    w.linksBack(oldHolder);
    w.pass(4);
    assertEquals(List.of(), w.dayEnds());
  }

  private static String recordedHolder(World w) {
    try {
      Document hold = w.state.value("w/h/host-1");
      String holder = hold == null ? "#" : hold.text("holder");
      return holder.substring(0, holder.indexOf('#'));
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * The state service refuses the controller, whose links to the others are down. To the controller
   * this looks like an outage for all, since only the others could inform it otherwise. If it
   * waited for the end of that outage, it would keep its workers until the others return their
   * machines as silent.
   */
  @Test
  void workersMoveWhenStateServiceRefusesTheirController() {
    World w = world(List.of("a", "a", "a"));
    assertEquals(201, w.submit("node-0", World.job("wk-0", 14, 1)).status());
    w.pass(3);
    w.refusedByState.add("node-0");
    w.lost = World.withoutPeers("node-0");
    w.timers.after(5, () -> w.linksSilent("node-0"));
    w.pass(36);
    assertEquals(0, countMachinesHeldBy(w, "node-0"));
    assertEquals(12, w.workers.size(), "no machine was returned as silent");
    int starts = w.workers.values().stream().mapToInt(m -> m.starts().size()).sum();
    assertEquals(14, starts, "no task ran again");
    w.lost = (from, to) -> false;
    w.refusedByState.clear();
    w.linksBack("node-0");
    w.pass(4);
    assertEquals(List.of(), w.dayEnds());
  }

  /** The controller reconnects when some, none or all of its machines have moved. */
  @Test
  void isolatedControllerReconnectsAfterAnyDuration() {
    for (double cutS : new double[] {2, 5, 8, 14, 18, 22, 60, 120}) {
      World w = world(List.of("a", "a", "a"));
      assertEquals(201, w.submit("node-0", World.job("wk-0", 14, 1)).status());
      assertEquals(201, w.submit("node-1", World.job("wk-1", 14, 1)).status());
      w.pass(3);
      isolate(w, "node-0");
      w.pass(cutS);
      w.lost = (from, to) -> false;
      w.unanswered = (from, to) -> false;
      w.linksBack("node-0");
      w.pass(1);
      assertNotEquals(0, w.running());
      assertEquals(List.of(), w.dayEnds(), "cut for " + cutS + " s");
    }
  }

  /**
   * An outage of the state service that affects all controllers is no reason to release workers.
   */
  @Test
  void workersStayDuringGeneralStateServiceOutage() {
    World w = world(List.of("a", "a", "a"));
    long held = countMachinesHeldBy(w, "node-0");
    w.lost = (from, to) -> to.equals(STATE_SERVICE);
    w.pass(8 * World.LEASE_S);
    assertEquals(held, countMachinesHeldBy(w, "node-0"));
    w.lost = (from, to) -> false;
    w.pass(5);
    assertEquals(201, w.submit("node-0", World.job("wk-0", 14, 1)).status());
    assertEquals(List.of(), w.dayEnds());
  }
}
