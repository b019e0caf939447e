package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.MalformedMessageException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Controllers that join and leave for good while work runs. */
class JoiningTest {
  private static final int MACHINES = 60;

  private int submitted;

  /** Work comes and goes; users' requests reach any controller that is up. */
  private void work(World w, int seconds) {
    for (int s = 0; s < seconds; s++) {
      if (s % 4 == 0) {
        String node = w.nodes.values().stream().filter(World.Node::up).findFirst().get().name;
        World.Said said = w.submit(node, World.job("wk-" + ++submitted, 20, 1));
        assertTrue(said != null && (said.status() == 201 || said.status() == 503));
      }
      w.pass(1);
      if (s % 6 == 5) {
        w.finishAll();
      }
    }
  }

  /** How many machines report to each controller. */
  private static Map<String, Integer> held(World w) {
    Map<String, Integer> held = new HashMap<>();
    w.workers.values().forEach(m -> held.merge(w.holder(m.host()), 1, Integer::sum));
    return held;
  }

  private static List<String> roster(World w) throws MalformedMessageException {
    return w.state.value("w/roster").texts("nodes").stream().sorted().toList();
  }

  private void endAll(World w) {
    for (int s = 0; s < 40; s++) {
      w.pass(1);
      w.finishAll();
    }
    assertEquals(0, w.running());
    assertEquals(List.of(), w.state.keys("w/j/"), "all that was accepted has ended");
    assertEquals(List.of(), w.overlaps);
  }

  @Test
  void fromThreeToSevenAndBackWhileWorkRuns() throws MalformedMessageException {
    World w = new World(List.of("a", "b", "a"), World.ONE_TEAM);
    w.start().pass(3);
    for (int i = 0; i < MACHINES; i++) {
      w.machine("host-" + i, "small", i % 2 == 0 ? "a" : "b", "node-" + i % 3);
    }
    work(w, 10);
    for (String zone : List.of("b", "a", "b", "a")) {
      w.add(zone);
    }
    // One after the other is restarted with settings that name all seven, or started.
    for (World.Node n : w.nodes.values()) {
      if (n.up()) {
        n.crash();
        work(w, 3);
      }
      n.start();
      work(w, 8);
    }
    work(w, 120);
    assertEquals(7, roster(w).size());
    Map<String, Integer> held = held(w);
    assertEquals(7, held.size(), "each has its part: " + held);
    assertTrue(w.state.keys("w/h/").size() < MACHINES, "and most of it without a record");

    for (int i = 3; i < 7; i++) {
      w.strike("node-" + i);
    }
    for (World.Node n : List.copyOf(w.nodes.values())) {
      n.crash();
      work(w, 3);
      if (roster(w).indexOf(n.name) < 3 && Integer.parseInt(n.name.substring(5)) < 3) {
        n.start();
      }
      work(w, 8);
    }
    work(w, 160);
    assertEquals(List.of("node-0", "node-1", "node-2"), roster(w));
    assertEquals(3, held(w).size());
    endAll(w);
  }

  /**
   * A controller with old settings does not hear that the roster has changed, nor of the one that
   * has joined, to which machines of its own have gone. Their lease is over for all that it knows,
   * and it has claimed what runs there: its proof must not count.
   */
  @Test
  void whoHasNotHeardOfTheNewRosterProvesNothingByTheOldOne() throws MalformedMessageException {
    World w = new World(3);
    w.start().pass(3);
    for (int i = 0; i < 120; i++) {
      w.machine("host-" + i, "small", "a", "node-" + i % 3);
    }
    w.pass(8);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 480, 1)).status());
    w.pass(4);
    assertEquals(480, w.running());
    List<String> its =
        w.workers.values().stream()
            .map(FakeWorker::host)
            .filter(host -> w.holder(host).equals("node-0"))
            .toList();
    w.add("a");
    for (String node : List.of("node-1", "node-2", "node-3")) {
      if (w.nodes.get(node).up()) {
        w.nodes.get(node).crash();
        w.pass(1);
      }
      w.nodes.get(node).start();
      w.pass(6);
    }
    w.fates =
        (from, path, body) ->
            from.equals("node-0") && path.startsWith("/watch")
                ? World.Fate.LOST
                : World.Fate.ON_TIME;
    w.pass(25);
    assertEquals(4, roster(w).size());
    w.lost = (from, to) -> to.equals("node-0") && from.startsWith("host-");
    w.pass(World.LEASE_S + 6);
    long moved =
        its.stream()
            .filter(h -> w.holder(h).equals("node-3") && w.state.value("w/h/" + h) == null)
            .count();
    assertTrue(moved > 3, moved + " are held by the new one without a record");
    // Room for whatever would be placed again.
    for (int i = 120; i < 160; i++) {
      w.machine("host-" + i, "small", "a", "node-" + i % 3);
    }
    w.pass(15);
    assertEquals(List.of(), w.overlaps);
    assertEquals(480, w.running(), "nothing was lost either");
  }

  /** The roster changes while its news reaches some of the controllers long after the others. */
  @Test
  void noMachineIsHeldTwiceWhileOldAndNewDisagree() throws MalformedMessageException {
    for (String late : List.of("node-0", "node-1", "node-2", "node-3")) {
      World w = new World(3);
      w.start().pass(3);
      for (int i = 0; i < 20; i++) {
        w.machine("host-" + i, "small", "a", "node-" + i % 3);
      }
      work(w, 8);
      w.add("a");
      for (World.Node n : w.nodes.values()) {
        if (n.up()) {
          n.crash();
          w.pass(2);
        }
        n.start();
        work(w, 6);
      }
      // It hears nothing of what is written, though all else reaches it.
      w.fates =
          (from, path, body) ->
              from.equals(late) && path.startsWith("/watch") ? World.Fate.LOST : World.Fate.ON_TIME;
      work(w, 40);
      w.fates = (from, path, body) -> World.Fate.ON_TIME;
      work(w, 20);
      assertEquals(4, roster(w).size(), late + " hears late");
      assertEquals(List.of(), w.overlaps, late + " hears late");
      for (FakeWorker m : w.workers.values()) {
        assertTrue(w.nodes.get(w.holder(m.host())).up());
      }
      endAll(w);
    }
  }
}
