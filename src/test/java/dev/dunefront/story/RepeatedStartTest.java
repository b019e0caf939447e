package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.standin.FakeWorker;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** A start command that was carried out and answered is delivered once more, late. */
class RepeatedStartTest {
  /** How the attempt ended that the command started. */
  enum End {
    FAILED,
    DONE,
    CANCELLED
  }

  // Guards against ran_twice and ran_cancelled: a copy of a start runs a cleared attempt again.
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void copyOfAStartDoesNotRunAnAttemptThatHasEnded(
      @ForAll End end,
      @ForAll boolean otherTaskRuns,
      @ForAll boolean answersLost,
      @ForAll @IntRange(max = 2) int delay) {
    SimulatedCluster cluster = new SimulatedCluster(3);
    cluster.start().advance(2);
    FakeWorker worker = cluster.machines.addMachine("host-1", "small", "a", "node-0");
    cluster.advance(4);
    if (otherTaskRuns) {
      // Its report keeps changing, so that clears are sent with different messages.
      cluster.users.submit("node-2", SimulatedCluster.job("wk-2", 1, 1));
      cluster.advance(2);
    }
    cluster.network.deliveryDelayS = new double[] {6, 10, 25}[delay];
    cluster.network.deliveryPolicy =
        (from, path, body) ->
            body.contains("verb=run") && body.contains("wk-1/0")
                ? SimulatedNetwork.Delivery.DUPLICATED
                : SimulatedNetwork.Delivery.ON_TIME;
    assertEquals(201, cluster.users.submit("node-1", SimulatedCluster.job("wk-1", 1, 1)).status());
    cluster.advance(1);
    assertEquals(1, starts(worker));
    cluster.network.deliverOnTime();
    FakeWorker other = cluster.machines.addMachine("host-2", "small", "a", "node-1");
    if (answersLost) {
      // The clear has to be sent in a request of its own.
      cluster.network.dropDelivery = (from, to) -> from.equals("host-1:9");
      cluster.clock.after(5, () -> cluster.network.dropDelivery = (from, to) -> false);
    }
    switch (end) {
      case FAILED -> worker.exit("wk-1/0", "error");
      case DONE -> worker.exit("wk-1/0", "done");
      case CANCELLED -> cluster.users.cancel("node-1", "wk-1");
    }
    cluster.advance(40);

    assertEquals(List.of(), cluster.users.overlappingRuns);
    assertEquals(1, starts(worker), "the copy starts nothing");
    assertEquals(end == End.FAILED ? 1 : 0, starts(other));
    cluster.machines.completeAllTasks();
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }

  private static int starts(FakeWorker worker) {
    return (int) worker.starts().stream().filter(start -> start.startsWith("wk-1/0#")).count();
  }
}
