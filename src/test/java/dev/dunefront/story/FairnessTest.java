package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.config.Tunables;
import dev.dunefront.standin.FakeWorker;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Whatever else waits, every job begins in time; guests have what is idle and give way. */
class FairnessTest {
  private static final double BEGIN_S = 60;

  private static World world(int machines) {
    World w = new World(2);
    w.tunables = Tunables.withOverrides(Map.of("idle_boots", 1000.0, "begin_s", BEGIN_S));
    w.start().pass(2);
    for (int i = 0; i < machines; i++) {
      w.machine("host-" + i, "small", "a", "node-" + i % 2);
    }
    w.pass(5);
    return w;
  }

  /** Tasks end after some seconds, never all at once. */
  private static void someEnd(World w, int second) {
    for (FakeWorker m : w.workers.values()) {
      List<String> running = m.running();
      if (!running.isEmpty()) {
        m.exit(running.get(second % running.size()), "done");
      }
    }
  }

  private static boolean begun(World w, String job) {
    return w.workers.values().stream()
        .flatMap(m -> m.starts().stream())
        .anyMatch(s -> s.startsWith(job + "/"));
  }

  /** A task that takes a whole machine, of the lowest priority, below a stream of urgent ones. */
  @Example
  void theLargestAndLeastUrgentBeginsBelowAStreamOfUrgentWork() {
    World w = world(4);
    for (int i = 0; i < 3; i++) {
      w.submit("node-" + i % 2, World.job("wk-" + i, 60, 1).put("urgency", "high"));
    }
    w.pass(1);
    w.submit("node-0", World.job("wk-900", 3, 4).put("urgency", "best_effort"));
    w.submit("node-1", World.job("wk-901", 3, 3).put("urgency", "normal"));
    int next = 3;
    for (int second = 0; second < BEGIN_S; second++) {
      if (second % 4 == 0) {
        w.submit("node-" + next % 2, World.job("wk-" + next++, 20, 1).put("urgency", "high"));
      }
      w.pass(1);
      someEnd(w, second);
    }
    assertTrue(begun(w, "wk-900"), "the whole machine");
    assertTrue(begun(w, "wk-901"));
    assertEquals(List.of(), w.overlaps);
  }

  /**
   * Random loads of mixed sizes and priorities beside a stream of urgent work: everything that fits
   * begins within the bound.
   */
  @Property(tries = 20, seed = "28", shrinking = ShrinkingMode.BOUNDED)
  void everyJobThatFitsBeginsWithinTheBound(
      @ForAll @Size(min = 8, max = 16) List<@IntRange(max = 479) Integer> jobs) {
    World w = world(4);
    String[] urgencies = {"critical", "high", "normal", "best_effort"};
    Map<String, Double> since = new HashMap<>();
    int next = 0;
    for (int second = 0; second < 2 * BEGIN_S + 30; second++) {
      if (second % 3 == 0 && next < jobs.size()) {
        int j = jobs.get(next);
        String id = "wk-" + next++;
        w.submit(
            "node-" + j % 2,
            World.job(id, 1 + j / 16, 1 + j % 4).put("urgency", urgencies[j / 4 % 4]));
        since.put(id, w.timers.now());
      }
      if (second % 4 == 0) {
        w.submit("node-0", World.job("wk-9" + second, 20, 1).put("urgency", "high"));
      }
      w.pass(1);
      someEnd(w, second);
      since.keySet().removeIf(id -> begun(w, id));
      since.forEach(
          (id, at) -> assertTrue(w.timers.now() - at < BEGIN_S, id + " has not begun in time"));
    }
  }

  /**
   * Tasks of the lowest priority that can save have what lies idle, and give way to whatever comes,
   * however long they have run. Before, they held the room for their whole run.
   */
  @Example
  void guestsHaveWhatIsIdleAndGiveWayToHosts() {
    World w = world(4);
    w.submit(
        "node-0",
        World.job("wk-1", 40, 1)
            .put("urgency", "best_effort")
            .put("snapshot_every_s", 30.0)
            .put("snapshot_s", 3.0));
    w.pass(3);
    assertEquals(16, w.running(), "all that is idle");
    w.pass(40);
    w.submit("node-1", World.job("wk-2", 10, 1));
    w.pass(6);
    long hosts =
        w.workers.values().stream()
            .flatMap(m -> m.running().stream())
            .filter(t -> t.startsWith("wk-2/"))
            .count();
    assertEquals(10, hosts);
    assertEquals(16, w.running());
    for (int second = 0; second < 40; second++) {
      w.pass(1);
      someEnd(w, second);
    }
    assertEquals("done", w.poll("node-0", "wk-2").state());
    assertEquals(List.of(), w.dayEnds(), "and in the end the guests' are run as well");
  }

  /**
   * In the middle of a busy day room that is free is not idle: what comes next takes it. Guests
   * that had taken it would have to run for a while and to save before they leave it.
   */
  @Example
  void guestsLeaveFreeWhatIsAboutToBeWanted() {
    World w = world(4);
    int next = 0;
    int waited = 0;
    for (int second = 0; second < 90; second++) {
      if (second == 20) {
        w.submit(
            "node-0",
            World.job("wk-900", 40, 1)
                .put("urgency", "best_effort")
                .put("snapshot_every_s", 30.0)
                .put("snapshot_s", 3.0));
      }
      String id = "wk-" + next;
      if (second % 3 == 0) {
        w.submit("node-" + next++ % 2, World.job(id, 2, 1));
      }
      w.pass(1);
      if (second % 3 == 0 && second > 30) {
        waited += begun(w, id) ? 0 : 1;
      }
      for (FakeWorker m : w.workers.values()) {
        // Hosts' tasks run for five seconds or so, guests' for long.
        for (String task : m.running()) {
          if (!task.startsWith("wk-900/") && second % 5 == 4) {
            m.exit(task, "done");
          }
        }
      }
    }
    assertTrue(waited <= 10, waited + " of 19 jobs waited; 16 do if guests take all that is free");
    assertTrue(begun(w, "wk-900"), "and guests have what is idle all the same");
    long guests =
        w.workers.values().stream()
            .flatMap(m -> m.running().stream())
            .filter(t -> t.startsWith("wk-900/"))
            .count();
    assertTrue(guests >= 4, guests + " guests run");
  }
}
