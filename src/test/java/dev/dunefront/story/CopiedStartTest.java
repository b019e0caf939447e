package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.story.SimulatedCluster.Node;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * A start command was carried out and answered. A controller or the machine restarts and is back
 * within a second, and a copy of the command reaches the machine around that moment.
 */
class CopiedStartTest {
  /** What has become of the task when the copy arrives. */
  enum Task {
    RUNS,
    MOVED,
    CANCELLED
  }

  /** Which controllers restart. */
  enum Restart {
    HOLDER,
    CLAIMANT,
    ALL
  }

  /** Time from the start command to its copy, in seconds. */
  private static final double COPY_DELAY_S = 12;

  /** Times of the restart after the copy's arrival, in seconds; negative ones are before it. */
  private static final double[] RESTART_OFFSETS_S = {-1.5, -0.9, -0.5, -0.2, -0.05, -0.01, 0.01};

  private SimulatedCluster cluster;
  private FakeWorker worker;
  private FakeWorker other;
  private double startSentAt;

  /** Lets a task run on host-1 whose start command will be delivered once more. */
  private void startTask() {
    startSentAt = Double.NaN;
    cluster = new SimulatedCluster(3);
    cluster.start().advance(2);
    worker = cluster.machines.addMachine("host-1", "small", "a", "node-0");
    cluster.advance(4);
    cluster.network.deliveryDelayS = COPY_DELAY_S;
    cluster.network.deliveryPolicy =
        (from, path, body) -> {
          if (!Double.isNaN(startSentAt) || !body.contains("verb=run")) {
            return SimulatedNetwork.Delivery.ON_TIME;
          }
          startSentAt = cluster.clock.now();
          return SimulatedNetwork.Delivery.DUPLICATED;
        };
    assertEquals(201, cluster.users.submit("node-1", SimulatedCluster.job("wk-1", 1, 1)).status());
    cluster.advance(1);
    assertEquals(List.of("wk-1/0#1"), worker.starts());
    other = cluster.machines.addMachine("host-2", "small", "a", "node-1");
    cluster.advance(3);
  }

  private void bring(Task task) {
    if (task == Task.MOVED) {
      worker.exit("wk-1/0", "error");
      cluster.advance(4);
      assertEquals(List.of("wk-1/0"), other.running());
    } else if (task == Task.CANCELLED) {
      assertEquals(200, cluster.users.cancel("node-1", "wk-1").status());
      cluster.advance(2);
    }
  }

  private void advanceTo(double time) {
    cluster.advance(time - cluster.clock.now());
  }

  /** Checks the rules half a minute after the copy. */
  private void assertRunsOnce(Task task) {
    advanceTo(startSentAt + COPY_DELAY_S + 30);
    assertEquals(List.of(), cluster.users.overlappingRuns);
    assertEquals(List.of(), cluster.users.operationHistory.violations);
    int running = worker.running().size() + other.running().size();
    assertEquals(task == Task.CANCELLED ? 0 : 1, running);
    cluster.machines.completeAllTasks();
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }

  // Guards against ran_twice and ran_cancelled: a copy of a start meets a restarted controller.
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void copyOfAStartRunsNothingTwiceWhenControllersAreBackWithinASecond(
      @ForAll Task task, @ForAll Restart restart, @ForAll @IntRange(max = 6) int offset) {
    startTask();
    bring(task);
    advanceTo(startSentAt + COPY_DELAY_S + RESTART_OFFSETS_S[offset]);
    String holder = cluster.machines.holderOf("host-1");
    for (Node node : List.copyOf(cluster.nodes.values())) {
      if (restart == Restart.ALL
          || restart == Restart.HOLDER && node.name.equals(holder)
          || restart == Restart.CLAIMANT && node.name.equals("node-1")) {
        node.crash();
        cluster.clock.after(0.7, node::start);
      }
    }
    assertRunsOnce(task);
  }

  // Guards against ran_twice: a copy of a start runs its attempt again in the machine's next boot.
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void copyOfAStartRunsTheRecordedAttemptAloneWhenTheMachineIsBackWithinASecond(
      @ForAll @IntRange(max = 6) int offset) {
    machineRestarts(Task.RUNS, RESTART_OFFSETS_S[offset]);
    assertRunsOnce(Task.RUNS);
  }

  // Guards against ran_twice: a copy of a start reaches the next boot after the task was moved.
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void copyOfAStartOfAMovedTaskDoesNotRunWhenTheMachineIsBackWithinASecond(
      @ForAll @IntRange(max = 6) int offset) {
    machineRestarts(Task.MOVED, RESTART_OFFSETS_S[offset]);
    assertRunsOnce(Task.MOVED);
  }

  // Guards against ran_cancelled: a copy of a start reaches the next boot after a cancellation.
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void copyOfAStartOfACancelledTaskDoesNotRunWhenTheMachineIsBackWithinASecond(
      @ForAll @IntRange(max = 6) int offset) {
    machineRestarts(Task.CANCELLED, RESTART_OFFSETS_S[offset]);
    assertRunsOnce(Task.CANCELLED);
  }

  // Guards against ran_twice: a restarted machine gets no new token before a write is answered.
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void copyOfAStartDoesNotRunOnceTheRestartIsKnownThoughTheStateServiceIsSlow(@ForAll Task task) {
    startTask();
    bring(task);
    advanceTo(startSentAt + COPY_DELAY_S - 1.5);
    cluster.network.stateServiceDelayS = () -> 1;
    cluster.machines.restart(worker);
    cluster.machines.deliverReport(cluster.machines.holderOf("host-1"), worker.report());
    cluster.clock.after(0.01, () -> cluster.machines.isolatedHosts.add("host-1"));
    cluster.clock.after(1.4, () -> cluster.machines.isolatedHosts.remove("host-1"));
    advanceTo(startSentAt + COPY_DELAY_S + 0.1);
    assertEquals(1, worker.starts().size(), "the copy runs nothing");
    cluster.network.stateServiceDelayS = () -> 0;
    assertRunsOnce(task);
  }

  private void machineRestarts(Task task, double offsetS) {
    startTask();
    bring(task);
    advanceTo(startSentAt + COPY_DELAY_S + offsetS);
    cluster.machines.restart(worker);
    assertTrue(cluster.clock.now() < startSentAt + COPY_DELAY_S + 0.1);
  }
}
