package dev.dunefront.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DecisionLockTest {
  private final List<String> said = new ArrayList<>();

  private void fail(String message) {
    throw new IllegalStateException(message);
  }

  /**
   * Guards against an exception that ends a loop, such as the renting of machines, while the
   * process keeps running and responding.
   */
  @Test
  void whatFailsEndsItselfAndNothingElse() {
    DecisionLock decisionLock = new DecisionLock(e -> said.add("failed: " + e.getMessage()));
    decisionLock.run(
        () -> {
          decisionLock.then(() -> fail("an action"));
          decisionLock.then(() -> said.add("the next action"));
          decisionLock.run(() -> fail("a part"));
          decisionLock.run(() -> said.add("the next part"));
          fail("the rest");
        });
    decisionLock.run(() -> said.add("the next decision"));
    assertEquals(
        List.of(
            "failed: a part",
            "the next part",
            "failed: the rest",
            "failed: an action",
            "the next action",
            "the next decision"),
        said);
  }

  @Test
  void aLoopThatNoLongerTurnsIsNamed() {
    Loops loops = new Loops();
    loops.turned("tick", 100, 15);
    loops.turned("watch", 100, 30);
    assertNull(loops.stalled(115));
    assertEquals("tick", loops.stalled(116));
    loops.turned("tick", 116, 15);
    assertNull(loops.stalled(130));
    loops.stoodStill(160);
    assertNull(loops.stalled(175), "a pause of the whole process is not a stalled loop");
    assertEquals("tick", loops.stalled(176));
  }
}
