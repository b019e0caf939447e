package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A controller that has lost the state service and the other controllers, but not its workers. */
class AloneTest {
  private static final String STATE = "10.2.0.1:1";

  private static World world(List<String> zones) {
    World w = new World(zones, World.ONE_TEAM);
    w.start().pass(2);
    for (int i = 0; i < 12; i++) {
      w.machine("host-" + i, "small", zones.get(i % zones.size()), "node-" + i % zones.size());
    }
    w.pass(6);
    return w;
  }

  /** What it hears and says is lost, but for its workers and users; its links fall silent. */
  private static void cutOff(World w, String node) {
    w.lost = World.withoutPeersAndState(node);
    // An open watch is cut off as well.
    w.unanswered = (from, to) -> from.equals(node) && to.equals(STATE);
    w.timers.after(5, () -> w.linksSilent(node));
  }

  private static long heldBy(World w, String node) {
    return w.workers.values().stream().filter(m -> w.holder(m.host()).equals(node)).count();
  }

  /**
   * It would renew their leases for ever, nobody outside could prove anything gone, and what ends
   * there would never be recorded.
   */
  @Test
  void itsWorkersGoToOthersAndNothingTheyRunIsLost() {
    World w = world(List.of("a", "a", "a"));
    for (int i = 0; i < 3; i++) {
      assertEquals(201, w.submit("node-" + i, World.job("wk-" + i, 10, 1)).status());
    }
    w.pass(3);
    assertEquals(30, w.running());
    assertTrue(heldBy(w, "node-0") > 0);
    cutOff(w, "node-0");
    w.pass(6);
    assertEquals(503, w.ask("node-0", "GET", "/up", new byte[0]).status(), "users go elsewhere");
    assertEquals(503, w.submit("node-0", World.job("wk-9", 1, 1)).status(), "and are told at once");
    w.pass(30);
    assertEquals(0, heldBy(w, "node-0"));
    assertEquals(30, w.running(), "no lease ran out");
    w.finishAll();
    w.pass(6);
    for (int i = 0; i < 3; i++) {
      assertEquals("done", w.poll("node-1", "wk-" + i).state(), "what ends is recorded");
    }
    int starts = w.workers.values().stream().mapToInt(m -> m.starts().size()).sum();
    assertEquals(30, starts, "nothing ran again");
    w.lost = (from, to) -> false;
    w.unanswered = (from, to) -> false;
    w.linksBack("node-0");
    w.pass(8);
    assertEquals(200, w.ask("node-0", "GET", "/up", new byte[0]).status());
    assertEquals(List.of(), w.dayEnds());
  }

  /** Behind a cut with its zone it looks the same to it: there its workers reach nobody else. */
  @Test
  void behindACutItsWorkersComeBackAndStay() {
    World w = world(List.of("a", "b", "b"));
    assertEquals(201, w.submit("node-1", World.job("wk-1", 40, 1)).status());
    w.pass(3);
    int inside =
        w.workers.values().stream()
            .filter(m -> w.zoneOf(m).equals("a"))
            .mapToInt(m -> m.running().size())
            .sum();
    assertTrue(inside > 0);
    w.cut("a");
    w.pass(6 * World.LEASE_S);
    int left =
        w.workers.values().stream()
            .filter(m -> w.zoneOf(m).equals("a"))
            .mapToInt(m -> m.running().size())
            .sum();
    assertTrue(inside - left <= 4, "no more is lost than what ran on the machine sent ahead");
    w.heal();
    w.pass(4);
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * Another controller takes a machine that came round, which then goes back to its old holder;
   * that one cannot know, and renews its lease under the old token. An order of the new holder
   * would show the worker the new token: it would drop the old holder's answers, and lose all that
   * it runs; and counted from the report that came round its lease would be called over at once.
   */
  @Test
  void aMachineThatWentBackToItsOldHolderKeepsWhatItRuns() {
    World w = new World(List.of("a", "a", "a"), World.ONE_TEAM);
    w.start().pass(2);
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
    w.pass(6);
    String old = w.holder("host-1");
    String other = old.equals("node-1") ? "node-2" : "node-1";
    assertEquals(201, w.submit(other, World.job("wk-1", 2, 1)).status());
    assertEquals(201, w.submit(other, World.job("wk-2", 2, 1)).status());
    w.pass(2);
    assertEquals(4, m.running().size());
    // An idle one is sent ahead first, so that this one stays for a while.
    for (int i = 3;
        w.workers.values().stream().filter(x -> old.equals(w.holder(x.host()))).count() < 2;
        i++) {
      w.machine("host-" + i, "small", "a", old);
      w.pass(2);
    }
    cutOff(w, old);
    for (int i = 0; i < 60 && !other.equals(heldByRecord(w)); i++) {
      w.pass(0.25);
      w.hello(other, m.report());
    }
    assertEquals(other, heldByRecord(w), "it came round once, and was taken");
    w.machine("host-2", "small", "a", other);
    w.pass(1.1 * World.LEASE_S);
    assertEquals(old, w.holder("host-1"));
    w.cancel(other, "wk-2");
    w.pass(1);
    assertEquals(2, World.running(m, "wk-1"), "it runs on");
    w.pass(World.LEASE_S);
    assertEquals(2, World.running(m, "wk-1"), "and is not lost");
    assertEquals(List.of(), w.overlaps);
    w.lost = (from, to) -> false;
    w.unanswered = (from, to) -> false;
    w.linksBack(old);
    w.pass(4);
    assertEquals(List.of(), w.dayEnds());
  }

  private static String heldByRecord(World w) {
    try {
      Document hold = w.state.value("w/h/host-1");
      String holder = hold == null ? "#" : hold.text("holder");
      return holder.substring(0, holder.indexOf('#'));
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * The same, told by the state service that it is refused: nothing distinguishes that from an
   * outage for all but the others, and these it cannot hear. It would keep its workers until the
   * others return their machines as silent.
   */
  @Test
  void refusedByTheStateServiceItsWorkersGoToOthersAsWell() {
    World w = world(List.of("a", "a", "a"));
    assertEquals(201, w.submit("node-0", World.job("wk-0", 14, 1)).status());
    w.pass(3);
    w.refusedByState.add("node-0");
    w.lost = World.withoutPeers("node-0");
    w.timers.after(5, () -> w.linksSilent("node-0"));
    w.pass(36);
    assertEquals(0, heldBy(w, "node-0"));
    assertEquals(12, w.workers.size(), "none was returned as silent");
    int starts = w.workers.values().stream().mapToInt(m -> m.starts().size()).sum();
    assertEquals(14, starts, "nothing ran again");
    w.lost = (from, to) -> false;
    w.refusedByState.clear();
    w.linksBack("node-0");
    w.pass(4);
    assertEquals(List.of(), w.dayEnds());
  }

  /** It comes back while half of its machines have gone, and while none has. */
  @Test
  void itReturnsWhateverOthersHaveTakenMeanwhile() {
    for (double cutS : new double[] {2, 5, 8, 14, 18, 22, 60, 120}) {
      World w = world(List.of("a", "a", "a"));
      assertEquals(201, w.submit("node-0", World.job("wk-0", 14, 1)).status());
      assertEquals(201, w.submit("node-1", World.job("wk-1", 14, 1)).status());
      w.pass(3);
      cutOff(w, "node-0");
      w.pass(cutS);
      w.lost = (from, to) -> false;
      w.unanswered = (from, to) -> false;
      w.linksBack("node-0");
      w.pass(1);
      assertNotEquals(0, w.running());
      assertEquals(List.of(), w.dayEnds(), "cut for " + cutS + " s");
    }
  }

  /** An outage of the state service that all share is no reason to send anybody away. */
  @Test
  void inAnOutageForAllEverybodyStays() {
    World w = world(List.of("a", "a", "a"));
    long held = heldBy(w, "node-0");
    w.lost = (from, to) -> to.equals(STATE);
    w.pass(8 * World.LEASE_S);
    assertEquals(held, heldBy(w, "node-0"));
    w.lost = (from, to) -> false;
    w.pass(5);
    assertEquals(201, w.submit("node-0", World.job("wk-0", 14, 1)).status());
    assertEquals(List.of(), w.dayEnds());
  }
}
