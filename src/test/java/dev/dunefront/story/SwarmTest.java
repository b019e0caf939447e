package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** One-task jobs come four a second for minutes, a quarter of them cancelled. */
class SwarmTest {
  private static final int SECONDS = 120;
  private static final double RUN_S = 6;

  @Example
  void fourJobsASecondAreServedWithinTheStatesLimits() {
    World w = new World(3);
    // As a small deployment has it, for all controllers together.
    w.writeRps = 50;
    w.rps = 250;
    w.start().pass(2);
    for (int i = 0; i < 12; i++) {
      w.machine("host-" + i, "small", "a", "node-" + i % 3);
    }
    w.pass(5);
    int before = w.state.writes("");
    List<Integer> waiting = new ArrayList<>();
    int n = 0;
    for (int second = 0; second < SECONDS; second++) {
      for (int i = 0; i < 4; i++) {
        String id = "wk-" + n;
        w.user("POST", "/v1/jobs", World.job(id, 1, 1), id, n, 40);
        if (n % 4 == 3) {
          String cancelled = "wk-" + (n - 2);
          w.cancelled.add(cancelled);
          w.user("POST", "/v1/jobs/" + cancelled + "/abort", null, cancelled, n + 1, 40);
        }
        n++;
        w.pass(0.25);
        w.user("GET", "/v1/jobs/" + id, null, id, n, 1);
      }
      if (second % 20 == 10) {
        String urgent = "wk-9" + second;
        int at = second;
        w.user("POST", "/v1/jobs", World.job(urgent, 2, 1).put("urgency", "high"), urgent, n, 40);
        w.timers.after(
            4, () -> assertTrue(begun(w, urgent + "/"), urgent + " has not begun at " + at));
      }
      for (FakeWorker m : w.workers.values()) {
        m.running().forEach(t -> endLater(w, m, t));
      }
      waiting.add(waiting(w));
    }
    double each = (double) (w.state.writes("") - before) / n;
    assertTrue(each < 6, each + " changes for each job");
    int early = waiting.subList(20, 40).stream().mapToInt(i -> i).sum();
    int late = waiting.subList(SECONDS - 20, SECONDS).stream().mapToInt(i -> i).sum();
    assertTrue(late <= 2 * early + 80, "the queue grows: " + waiting);
    w.pass(10);
    assertEquals(n + SECONDS / 20, w.accepted.size());
    assertEquals(0, waiting(w), "all have begun");
    assertEquals(List.of(), w.dayEnds());
  }

  private static void endLater(World w, FakeWorker m, String task) {
    w.timers.after(RUN_S, () -> m.exit(task, "done"));
  }

  private static boolean begun(World w, String prefix) {
    return w.workers.values().stream()
        .anyMatch(m -> m.starts().stream().anyMatch(s -> s.startsWith(prefix)));
  }

  /** Accepted jobs that nobody cancelled and that have not begun. */
  private static int waiting(World w) {
    List<String> begun = new ArrayList<>();
    for (FakeWorker m : w.workers.values()) {
      m.starts().forEach(s -> begun.add(s.substring(0, s.indexOf('/'))));
    }
    return (int)
        w.accepted.keySet().stream()
            .filter(id -> !w.cancelled.contains(id) && !begun.contains(id))
            .count();
  }
}
