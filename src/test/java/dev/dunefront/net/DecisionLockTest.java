package dev.dunefront.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DecisionLockTest {
  private final List<String> events = new ArrayList<>();

  private void fail(String why) {
    throw new IllegalStateException(why);
  }

  /** An exception once ended the loop of whoever rents, while its process lived on and answered. */
  @Test
  void exceptionDoesNotStopOtherDecisionsOrActions() {
    DecisionLock decisionLock = new DecisionLock(e -> events.add("failed: " + e.getMessage()));
    decisionLock.run(
        () -> {
          decisionLock.defer(() -> fail("an effect"));
          decisionLock.defer(() -> events.add("the next effect"));
          decisionLock.run(() -> fail("a part"));
          decisionLock.run(() -> events.add("the next part"));
          fail("the rest");
        });
    decisionLock.run(() -> events.add("the next decision"));
    assertEquals(
        List.of(
            "failed: a part",
            "the next part",
            "failed: the rest",
            "failed: an effect",
            "the next effect",
            "the next decision"),
        events);
  }

  @Test
  void stalledLoopIsReported() {
    LoopWatchdog loops = new LoopWatchdog();
    loops.recordIteration("tick", 100, 15);
    loops.recordIteration("watch", 100, 30);
    assertNull(loops.stalledLoop(115));
    assertEquals("tick", loops.stalledLoop(116));
    loops.recordIteration("tick", 116, 15);
    assertNull(loops.stalledLoop(130));
    loops.resetAfterPause(160);
    assertNull(loops.stalledLoop(175), "a whole process that stood still is no stalled loop");
    assertEquals("tick", loops.stalledLoop(176));
  }
}
