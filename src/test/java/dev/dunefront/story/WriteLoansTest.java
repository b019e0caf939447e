package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.peer.Message;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/**
 * With many controllers each has a small part of the state service's rate; idle ones lend theirs.
 */
class WriteLoansTest {
  private static final int CONTROLLERS = 10;
  private static final int TASKS = 120;

  private static World world(Predicate<Message> late) {
    World w = World.limited(CONTROLLERS, 100_000);
    w.writeRps = 40;
    w.start().pass(2);
    for (int i = 0; i < TASKS / 4; i++) {
      w.machine("host-" + i, "small", "a", "node-" + i % CONTROLLERS);
    }
    w.pass(10);
    w.late = late;
    return w;
  }

  /** Seconds until all tasks of jobs run that come to one controller, one after the other. */
  private static double startedAfter(World w) {
    double since = w.timers.now();
    for (int i = 0; i < 4; i++) {
      assertEquals(201, w.submit("node-3", World.job("wk-" + i, TASKS / 4, 1)).status());
    }
    while (w.running() < TASKS && w.timers.now() - since < 20) {
      w.pass(0.01);
    }
    assertEquals(TASKS, w.running());
    return w.timers.now() - since;
  }

  @Test
  void aBusyControllerStartsSoonerWithWhatOthersLeaveUnused() {
    double alone = startedAfter(world(m -> m instanceof Message.LoanRequest));
    double lent = startedAfter(world(m -> false));
    assertTrue(lent < 0.7 * alone, lent + " s with loans, " + alone + " s without");
  }
}
