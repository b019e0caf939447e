package dev.dunefront.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DecisionLockTest {
  private final List<String> said = new ArrayList<>();

  private void fail(String why) {
    throw new IllegalStateException(why);
  }

  /** An exception once ended the loop of whoever rents, while its process lived on and answered. */
  @Test
  void whatFailsEndsItselfAndNothingElse() {
    DecisionLock decisionLock = new DecisionLock(e -> said.add("failed: " + e.getMessage()));
    decisionLock.run(
        () -> {
          decisionLock.then(() -> fail("an effect"));
          decisionLock.then(() -> said.add("the next effect"));
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
            "failed: an effect",
            "the next effect",
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
    assertNull(loops.stalled(175), "a whole process that stood still is no stalled loop");
    assertEquals("tick", loops.stalled(176));
  }
}
