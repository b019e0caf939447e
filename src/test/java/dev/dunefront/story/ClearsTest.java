package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.standin.FakeWorker;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Clears ride along with what goes to a worker anyway, and arrive in the end whatever is lost. */
class ClearsTest {
  private static final int MACHINES = 8;
  private static final int TASKS = 24;

  private static World world() {
    World w = new World(2);
    w.start().pass(2);
    for (int i = 0; i < MACHINES; i++) {
      w.machine("host-" + i, "small", "a", "node-" + i % 2);
    }
    w.pass(6);
    return w;
  }

  /** Runs a job to its end; says how many direct commands only cleared what had ended. */
  private static int commands(World w, String job) {
    int[] commands = {0};
    w.tap =
        (from, path, body) -> {
          boolean clearsAlone = body.contains("clear") && !body.contains("verb=run");
          commands[0] += path.equals("/orders") && clearsAlone ? 1 : 0;
        };
    assertEquals(201, w.submit("node-0", World.job(job, TASKS, 1)).status());
    w.pass(2);
    assertEquals(TASKS, w.running());
    // One after the other, so that each has an end of its own to be told of.
    for (FakeWorker m : List.copyOf(w.workers.values())) {
      for (String task : m.running()) {
        m.exit(task, "done");
        w.pass(0.5);
      }
    }
    w.pass(4);
    assertEquals("done", w.poll("node-1", job).state());
    return commands[0];
  }

  private static int known(World w) {
    return w.workers.values().stream().mapToInt(FakeWorker::taskCount).sum();
  }

  @Test
  void anEndCostsNoCommandOfItsOwn() {
    World w = world();
    int commands = commands(w, "wk-1");
    w.pass(3 * World.REPORT_S);
    assertEquals(0, known(w), "all that ended is cleared");
    assertEquals(0, commands, "commands that only cleared");
  }

  /** Answers to reports may be lost, also many of them; what they carried is sent again. */
  @Test
  void aClearThatWasLostWithItsAnswerIsSentAgain() {
    World w = world();
    commands(w, "wk-1");
    assertEquals(201, w.submit("node-0", World.job("wk-2", TASKS, 1)).status());
    w.pass(2);
    assertEquals(TASKS, w.running());
    // From now on reports arrive and their answers do not, but direct commands do.
    w.finishAll();
    w.pass(0.5);
    String deaf = List.copyOf(w.workers.values()).get(0).host();
    w.deaf.add(deaf);
    w.pass(3);
    w.deaf.clear();
    w.pass(8);
    assertEquals(0, known(w));
    assertEquals("done", w.poll("node-1", "wk-2").state());
    assertEquals(List.of(), w.overlaps);
  }

  /**
   * A task comes back to the machine on which its last attempt failed: no clear ends the new one.
   */
  @Test
  void aClearNeverEndsALaterAttempt() {
    World w = new World(1);
    w.start().pass(2);
    FakeWorker only = w.machine("host-0", "small", "a", "node-0");
    w.pass(6);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 1, 1)).status());
    w.pass(2);
    assertEquals(List.of("wk-1/0"), only.running());
    only.exit("wk-1/0", "error");
    for (int i = 0; i < 120 && only.running().isEmpty(); i++) {
      w.pass(1);
    }
    assertEquals(List.of("wk-1/0"), only.running());
    w.pass(5);
    assertEquals(List.of("wk-1/0"), only.running(), "it runs on");
    assertEquals(2, only.starts().size());
    w.finishAll();
    w.pass(4);
    assertEquals("done", w.poll("node-0", "wk-1").state());
  }
}
