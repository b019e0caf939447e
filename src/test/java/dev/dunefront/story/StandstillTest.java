package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.standin.WorkerStandIn;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Controllers that stand still while their clocks run on, and what they believe when they wake. */
class StandstillTest {

  /**
   * A placement is recorded with the worker's session. Its claimant hears of the record late, and
   * by then the worker is in its next session: were the start carried out there, the later session
   * would count as the proof that the attempt is gone, and the task would run twice.
   */
  @Test
  void aStartRecordedForOneSessionIsNotCarriedOutInTheNext() {
    World w = new World(2);
    WorkerStandIn a = w.machine("host-1", "small", "a", "node-0");
    w.start().pass(3);
    assertEquals("node-0", w.holder("host-1"));
    assertEquals(201, w.submit("node-1", World.job("wk-1", 1, 1)).status());
    // The state service takes the placement, but its claimant does not hear so.
    w.unanswered = (from, to) -> from.equals("node-1") && to.equals("10.2.0.1:1");
    w.pass(1);
    w.silent.add("host-1");
    w.pass(World.LEASE_S + 2);
    w.silent.clear();
    w.pass(3);
    WorkerStandIn b = w.machine("host-2", "small", "a", "node-0");
    w.pass(2);
    assertEquals(List.of(), a.starts(), "the story is about a start that is still to come");
    w.unanswered = (from, to) -> false;
    w.pass(10);
    assertEquals(1, a.running().size() + b.running().size());
    assertEquals(1, a.starts().size() + b.starts().size(), "the recorded attempt never started");
    assertEquals(List.of(), w.overlaps);
  }
}
