package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * What a fleet meets: a thousand machines, zones of every kind, and cuts whose packets are held.
 */
class FleetTest {
  private static final int MACHINES = 1000;
  private static final String LIMITED =
      "[[facts.teams]]\nname = \"t\"\ncpus = 100.0\ncpus_max = 50000.0\n";

  private static List<String> runningIn(World w, String zone) {
    return w.workers.values().stream()
        .filter(m -> w.zoneOf(m).equals(zone))
        .flatMap(m -> m.running().stream())
        .toList();
  }

  /** Lets tasks end every few seconds until all jobs are done, and says how long that took. */
  private static int untilDone(World w, int jobs, int mostS) {
    for (int second = 0; second < mostS; second++) {
      w.pass(1);
      if (second % 4 == 3) {
        w.finishAll();
      }
      boolean all = true;
      for (int i = 0; i < jobs && all; i++) {
        World.Said said = w.poll("node-" + i % w.nodes.size(), "wk-" + i);
        all = said != null && said.status() == 200 && said.state().equals("done");
      }
      if (all) {
        return second;
      }
    }
    throw new AssertionError("not all jobs are done after " + mostS + " s");
  }

  /**
   * Inside the cut, leases are answered and what runs goes on; outside, nothing is placed again
   * that may still run inside. When the cut ends, what was held arrives from all machines at once.
   */
  @Test
  void aZoneThatIsCutOffFromEverythingLosesNothing() {
    for (double cutS :
        new double[] {3, World.LEASE_S / 2, World.LEASE_S * 1.5, World.LEASE_S * 4}) {
      World w = new World(List.of("a", "a", "b", "b"), World.ONE_TEAM);
      w.start().pass(2);
      for (int i = 0; i < 20; i++) {
        w.machine("host-" + i, "small", i % 2 == 0 ? "a" : "b", "node-" + i % 4);
      }
      w.pass(6);
      for (int i = 0; i < 8; i++) {
        assertEquals(201, w.submit("node-" + i % 4, World.job("wk-" + i, 14, 1)).status());
      }
      w.pass(1.5);
      List<String> inside = runningIn(w, "b");
      assertTrue(inside.size() > 10, inside + " run inside");
      w.cut("b");
      w.pass(cutS);
      List<String> still = runningIn(w, "b");
      assertTrue(still.containsAll(inside), "what ran inside goes on through " + cutS + " s");
      assertEquals(List.of(), w.overlaps, "during a cut of " + cutS + " s");
      w.heal();
      untilDone(w, 8, 60);
      assertEquals(List.of(), w.overlaps, "after a cut of " + cutS + " s");
    }
  }

  /** Zones with controllers and no machines, and machines where there is no controller. */
  @Test
  void anyNumberOfZonesAndControllersServes() {
    for (List<String> zones :
        List.of(
            List.of("a", "a"),
            List.of("a", "b", "c"),
            List.of("a", "a", "b", "c", "d"),
            List.of("c", "c", "d"),
            List.of("a", "b", "c", "d", "a", "b", "c", "d", "a"))) {
      World w = new World(zones, World.ONE_TEAM);
      w.start().pass(2);
      for (int i = 0; i < 24; i++) {
        w.machine("host-" + i, "small", i % 3 == 0 ? "a" : "b", "node-" + i % zones.size());
      }
      w.pass(6);
      for (int i = 0; i < 6; i++) {
        assertEquals(
            201, w.submit("node-" + i % zones.size(), World.job("wk-" + i, 16, 1)).status());
      }
      w.pass(3);
      assertEquals(96, w.running(), "all run with controllers in " + zones);
      w.nodes.get("node-0").crash();
      w.pass(3);
      w.nodes.get("node-0").start();
      untilDone(w, 6, 40);
      assertEquals(List.of(), w.overlaps, zones.toString());
    }
  }

  /** A thousand machines: most controllers stand still, then all crash at once, and all return. */
  @Test
  void aThousandMachinesOutliveStandstillsAndACrashOfAll() {
    World w = new World(5, LIMITED);
    w.start().pass(2);
    for (int i = 0; i < MACHINES; i++) {
      w.machine("host-" + i, "small", "a", "node-" + i % 5);
    }
    w.pass(8);
    for (int i = 0; i < 6; i++) {
      assertEquals(201, w.submit("node-" + i % 5, World.job("wk-" + i, 100, 1)).status());
    }
    w.pass(3);
    assertEquals(600, w.running());
    for (int i = 0; i < 3; i++) {
      w.nodes.get("node-" + i).standStill(World.LEASE_S / 2);
    }
    w.pass(World.LEASE_S / 2 + 3);
    assertEquals(600, w.running(), "no lease ran out");
    w.nodes.values().forEach(World.Node::crash);
    w.pass(3);
    w.nodes.values().forEach(World.Node::start);
    w.pass(World.LEASE_S);
    assertEquals(600, w.running(), "no lease ran out");
    for (FakeWorker m : w.workers.values()) {
      assertEquals(m.running().size(), m.starts().size(), "nothing was started again");
    }
    untilDone(w, 6, 20);
    assertEquals(List.of(), w.overlaps);
  }

  /**
   * At full size, both at once: a third of a zone hears nothing, and while it goes round, all
   * controllers end and are back within a fifth of a second, three times.
   */
  @Test
  void aThirdOfAZoneIsDeafWhileControllersComeBackAtOnce() {
    World w = new World(List.of("a", "a", "a", "b", "b"), LIMITED);
    w.start().pass(2);
    for (int i = 0; i < MACHINES; i++) {
      w.machine("host-" + i, "small", i % 5 < 3 ? "a" : "b", "node-" + i % 5);
    }
    w.pass(8);
    for (int i = 0; i < 10; i++) {
      assertEquals(201, w.submit("node-" + i % 5, World.job("wk-" + i, 120, 1)).status());
    }
    w.pass(5);
    assertEquals(1200, w.running());
    int holds = w.state.writes("w/h/");
    int deaf = 0;
    for (int i = 0; i < MACHINES; i += 5) {
      w.deaf.add("host-" + i);
      deaf++;
    }
    w.pass(4);
    for (int round = 0; round < 3; round++) {
      w.nodes.values().forEach(World.Node::crash);
      w.pass(0.2);
      w.nodes.values().forEach(World.Node::start);
      w.pass(4);
    }
    w.pass(World.LEASE_S);
    int written = w.state.writes("w/h/") - holds;
    assertTrue(written <= 2 * deaf, written + " holds written for " + deaf + " deaf machines");
    w.deaf.clear();
    w.pass(2 * World.LEASE_S);
    assertEquals(1200, w.running(), "what was lost runs again");
    assertEquals(List.of(), w.dayEnds());
  }
}
