package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.wire.Document;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Jobs whose records are close to the state service's limit on a value, because they name many
 * machine types. Several of them exceed its limit on a transaction.
 */
class LargeRecordTest {
  private static final double VALUE_KB = 32;
  private SimulatedCluster cluster;

  private void startCluster(int machines) {
    // With a team limit the job's record is written together with the states of its tasks.
    cluster = SimulatedCluster.withTeamLimit(3, 10_000);
    cluster.valueKb = VALUE_KB;
    cluster.start().advance(2);
    for (int i = 0; i < machines; i++) {
      cluster.machines.addMachine("host-" + i, "large", "a", "node-" + i % 3);
    }
    cluster.advance(5);
  }

  /** A job of tasks of 3 CPUs that may run on this many types besides the existing ones. */
  private static Document largeJob(String id, int tasks, int otherTypes) {
    List<Object> types = new ArrayList<>();
    for (int i = 0; i < otherTypes; i++) {
      types.add("another-type-" + (1000 + i));
    }
    types.add("large");
    types.add("small");
    return SimulatedCluster.job(id, tasks, 3).put("flavors", types);
  }

  private void assertAllDone(int jobs) {
    for (int i = 0; i < 12; i++) {
      cluster.machines.completeAllTasks();
      cluster.advance(4);
    }
    for (int i = 0; i < jobs; i++) {
      assertEquals("done", cluster.users.poll("node-2", "wk-" + i).jobStatus(), "wk-" + i);
    }
    assertEquals(0, cluster.stateService.malformedTxns(), "transactions that were too large");
    assertEquals(List.of(), cluster.users.overlappingRuns);
  }

  // Guards against left_waiting: a takeover over 64 KiB is repeated for ever, and others wait.
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void jobsOfACrashedControllerAreTakenOverWhateverTheSizeOfTheirRecords(
      @ForAll @IntRange(max = 2) int size, @ForAll boolean back) {
    startCluster(3);
    int otherTypes = new int[] {150, 500, 1400}[size];
    int jobs = 16;
    for (int i = 0; i < jobs; i++) {
      int types = i % 5 == 4 ? 0 : otherTypes;
      assertEquals(
          201, cluster.users.submit("node-0", largeJob("wk-" + i, 4, types)).status(), "wk-" + i);
      cluster.advance(0.1);
    }
    cluster.advance(2);
    cluster.nodes.get("node-0").crash();
    if (back) {
      cluster.advance(4);
      cluster.nodes.get("node-0").start();
    }
    cluster.advance(12);
    assertAllDone(jobs);
  }

  // Guards against left_waiting: the record and the task states of one job exceed 64 KiB together.
  @Example
  void jobWithALargeRecordAndManyTasksOnManyMachinesEnds() {
    startCluster(0);
    String name = "a-machine-with-a-rather-long-name-in-the-catalog-of-the-cloud-";
    for (int i = 0; i < 800; i++) {
      cluster.machines.addMachine(name + i, "small", "a", "node-" + i % 3);
    }
    cluster.advance(8);
    assertEquals(201, cluster.users.submit("node-0", largeJob("wk-0", 1000, 1400)).status());
    cluster.advance(6);
    cluster.nodes.get("node-0").crash();
    cluster.advance(12);
    assertAllDone(1);
  }

  // Guards against a record that is accepted and can then never be written again.
  @Example
  void jobThatCannotBeStoredIsRejectedWithAReason() {
    startCluster(1);
    assertEquals(422, cluster.users.submit("node-1", largeJob("wk-0", 1, 1700)).status());
    assertEquals(0, cluster.stateService.malformedTxns());
  }
}
