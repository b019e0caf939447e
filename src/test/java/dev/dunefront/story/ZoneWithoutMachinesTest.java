package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.wire.Document;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;

/** Jobs wait for machines that do not exist, beside equal jobs that other machines could run. */
class ZoneWithoutMachinesTest {
  /** What binds the jobs to the machines that are missing. */
  enum Bound {
    TO_A_ZONE,
    TO_A_TYPE
  }

  private static Document job(String id, Bound bound, boolean existing) {
    Document job = SimulatedCluster.job(id, 1, 2);
    return bound == Bound.TO_A_ZONE
        ? job.put("site", existing ? "a" : "b")
        : job.put("flavors", List.of(existing ? "small" : "large"));
  }

  // Guards against left_waiting: jobs that can start nowhere keep equal ones from being claimed.
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void jobsThatCanStartNowhereKeepNoOtherJobWaiting(
      @ForAll Bound bound, @ForAll boolean overdueStart) {
    SimulatedCluster cluster =
        new SimulatedCluster(List.of("a", "b", "b"), "[[facts.teams]]\nname = \"t\"\n");
    cluster.cloud.capacity(0);
    cluster.start().advance(2);
    for (int i = 0; i < 3; i++) {
      cluster.machines.addMachine("host-" + i, "small", "a", "node-" + i);
    }
    cluster.advance(4);
    for (int i = 0; i < 60; i++) {
      assertEquals(
          201, cluster.users.submit("node-" + i % 3, job("wk-1" + i, bound, false)).status());
    }
    cluster.advance(overdueStart ? 200 : 2);
    for (int i = 0; i < 6; i++) {
      assertEquals(
          201, cluster.users.submit("node-" + i % 3, job("wk-2" + i, bound, true)).status());
    }
    cluster.advance(20);
    assertEquals(6, cluster.machines.runningCount(), "tasks run on the empty machines");
  }
}
