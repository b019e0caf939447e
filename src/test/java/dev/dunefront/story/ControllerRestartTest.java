package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Controllers that restart or take over: they meet old reports, new machines, outages of the state
 * service, and further restarts in quick succession.
 */
class ControllerRestartTest {
  private static World world() {
    World w = World.limited(3, 24);
    w.start().pass(2);
    for (int i = 0; i < 6; i++) {
      w.machine("host-" + i, "small", "a", "node-" + i % 3);
    }
    w.pass(5);
    return w;
  }

  /** When the old reports were created. */
  enum ReportTime {
    BEFORE_ANY_TASK_RAN,
    WHILE_TASKS_RAN,
    IN_AN_EARLIER_SESSION,
    BEFORE_THE_WORKER_RESTARTED
  }

  /** What has happened to the machines while no controller was up. */
  enum MachineChange {
    NONE,
    TASKS_ENDED,
    SESSION_ENDED,
    MACHINES_SILENT,
    REPORTS_LOST
  }

  /**
   * Old reports of all machines reach every controller just after it has restarted and knows no
   * machine, before or after the machines' current reports, repeatedly. They must not change which
   * tasks count as running.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void oldReportsAfterControllerRestartChangeNothing(
      @ForAll ReportTime reportTime,
      @ForAll MachineChange change,
      @ForAll boolean all,
      @ForAll @IntRange(max = 2) int delay)
      throws Exception {
    World w = world();
    Crowd users = new Crowd(w);
    List<FakeWorker> machines = List.copyOf(w.workers.values());
    List<byte[]> reports = new ArrayList<>();
    if (reportTime == ReportTime.BEFORE_ANY_TASK_RAN) {
      machines.forEach(m -> reports.add(m.report()));
    }
    for (int i = 0; i < 4; i++) {
      users.submit(World.job("wk-" + i, 5, 1), i);
    }
    w.pass(3);
    if (reportTime != ReportTime.BEFORE_ANY_TASK_RAN) {
      machines.forEach(m -> reports.add(m.report()));
    }
    if (reportTime == ReportTime.IN_AN_EARLIER_SESSION) {
      machines.forEach(FakeWorker::newSession);
      w.pass(5);
    } else if (reportTime == ReportTime.BEFORE_THE_WORKER_RESTARTED) {
      machines.forEach(FakeWorker::restart);
      w.pass(5);
    }
    users.cancel("wk-0", 1);
    w.pass(0.01);
    List<World.Node> restarted = new ArrayList<>(w.nodes.values());
    if (!all) {
      restarted.remove(2);
    }
    restarted.forEach(World.Node::crash);
    switch (change) {
      case NONE -> {}
      case TASKS_ENDED -> w.finishAll();
      case SESSION_ENDED -> machines.forEach(FakeWorker::newSession);
      case MACHINES_SILENT -> {
        machines.forEach(m -> w.silent.add(m.host()));
        w.timers.after(12, w.silent::clear);
      }
      case REPORTS_LOST -> {
        w.lost = (from, to) -> from.startsWith("host-");
        w.timers.after(12, () -> w.lost = (from, to) -> false);
      }
    }
    w.pass(1);
    restarted.forEach(World.Node::start);
    w.pass(new double[] {0.2, 0.6, 2.5}[delay]);
    for (int i = 0; i < 3; i++) {
      w.nodes.keySet().forEach(n -> reports.forEach(r -> w.hello(n, r)));
      w.pass(1.7);
    }
    w.pass(20);
    w.nodes.keySet().forEach(n -> reports.forEach(r -> w.hello(n, r)));
    w.pass(10);
    assertEquals("cancelled", w.poll("node-1", "wk-0").state());
    assertEquals(
        change == MachineChange.TASKS_ENDED ? 0 : 15, w.running(), "all remaining tasks run");
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * A machine with a task hangs for good and is listed as running when all controllers restart. The
   * only report that arrives is an old one, from before its token was raised. The controller that
   * takes the hold because of that report must not wait for the machine to report again.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void machineWithOnlyAnOldReportIsReturned(@ForAll boolean cancelled) {
    World w = world();
    FakeWorker m = w.workers.get("host-1:9");
    byte[] oldReport = m.report();
    w.fates =
        (from, path, body) ->
            body.contains("verb=run") ? World.Fate.UNANSWERED : World.Fate.ON_TIME;
    assertEquals(201, w.submit("node-0", World.job("wk-1", 24, 1)).status());
    w.pass(2);
    w.fates = (from, path, body) -> World.Fate.ON_TIME;
    w.pass(4);
    assertEquals(24, w.running());
    w.silent.add("host-1");
    w.nodes.values().forEach(World.Node::crash);
    if (cancelled) {
      w.cancelled.add("wk-1");
      w.user("POST", "/v1/jobs/wk-1/abort", null, "wk-1", 1, 90);
    }
    w.pass(1);
    w.nodes.values().forEach(World.Node::start);
    w.pass(1);
    w.nodes.keySet().forEach(n -> w.hello(n, oldReport));
    w.pass(100);
    assertTrue(
        w.cloud.deleted("host-1"),
        "the machine is returned, which proves that its tasks have ended");
    if (cancelled) {
      assertEquals("cancelled", w.poll("node-0", "wk-1").state());
    }
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * New machines are up one second after they were requested, long before the cloud lists them,
   * while state service writes are slow and the renting controller crashes. The machines must not
   * be rented a second time.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void rentingControllerCrashesWhileMachinesBootFastAndWritesLag(
      @ForAll @IntRange(max = 9) int when,
      @ForAll boolean restartsSoon,
      @ForAll boolean responsesLost) {
    World w = new World(3).renting(1, 6);
    w.cloud.capacity(12);
    w.start().pass(3);
    String renter = w.named("w/u/rent");
    double[] writeDelaysS = {0.02, 0.7, 0.2, 1.1, 0.4};
    int[] n = {0};
    w.stateSlowS = () -> writeDelaysS[n[0]++ % writeDelaysS.length];
    w.fates =
        (from, path, body) ->
            responsesLost && path.equals("/txn") && n[0] % 5 == 2
                ? World.Fate.UNANSWERED
                : World.Fate.ON_TIME;
    Crowd users = new Crowd(w);
    users.submit(World.job("wk-1", 8, 2), 0);
    users.submit(World.job("wk-2", 8, 1), 1);
    w.pass(0.4 * when);
    String crashed = renter == null ? "node-0" : renter;
    w.nodes.get(crashed).crash();
    if (restartsSoon) {
      w.pass(0.3);
      w.nodes.get(crashed).start();
    }
    w.pass(14);
    w.stateSlowS = () -> 0;
    w.fates = (from, path, body) -> World.Fate.ON_TIME;
    w.pass(20);
    // Six machines suffice. One or two extra machines are known to be rented occasionally; renting
    // twice would give twelve.
    assertTrue(w.hired() <= 8, w.hired() + " machines were rented");
    assertEquals(16, w.running(), "all tasks run");
    assertEquals(List.of(), w.misused);
    if (!restartsSoon) {
      w.nodes.get(crashed).start();
    }
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * Controllers crash ten times in two minutes, in some cases with an outage of the state service
   * in the middle.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void controllersCrashTenTimesAlsoDuringAnOutage(
      @ForAll @IntRange(max = 2) int restartDelay, @ForAll boolean outage) {
    World w = world();
    Crowd users = new Crowd(w);
    int n = 0;
    for (int change = 0; change < 10; change++) {
      users.submit(World.job("wk-" + n, 2 + change % 3, 1), change);
      if (change % 3 == 2 && w.accepted.containsKey("wk-" + (n - 1))) {
        users.cancel("wk-" + (n - 1), change);
      }
      n++;
      World.Node node = w.nodes.get("node-" + change % 3);
      if (node.up()) {
        node.crash();
        w.timers.after(new double[] {0.1, 3, 9}[restartDelay], node::start);
      }
      if (outage && change == 4) {
        w.state.outage(true);
        w.timers.after(25, () -> w.state.outage(false));
      }
      w.pass(12);
      if (change % 2 == 1) {
        w.workers
            .values()
            .forEach(m -> m.running().stream().limit(1).forEach(t -> m.exit(t, "done")));
      }
    }
    w.pass(10);
    for (String id : w.cancelled) {
      assertEquals("cancelled", w.poll("node-0", id).state());
    }
    assertEquals(List.of(), w.dayEnds());
  }

  /** All controllers are down for longer than a lease, so that the workers have ended all tasks. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void allControllersAreDownForLongerThanALease(@ForAll boolean outage, @ForAll boolean cancelled) {
    World w = world();
    for (int i = 0; i < 4; i++) {
      assertEquals(201, w.submit("node-" + i % 3, World.job("wk-" + i, 4, 1)).status());
    }
    w.pass(3);
    if (cancelled) {
      w.cancelled.add("wk-0");
      w.user("POST", "/v1/jobs/wk-0/abort", null, "wk-0", 1, 40);
      w.pass(0.005);
    }
    w.nodes.values().forEach(World.Node::crash);
    w.state.outage(outage);
    w.pass(World.LEASE_S + 4);
    assertEquals(0, w.running(), "the workers' leases have expired");
    w.nodes.values().forEach(World.Node::start);
    w.pass(outage ? 5 : 0);
    w.state.outage(false);
    w.pass(12);
    assertEquals(cancelled ? 12 : 16, w.running());
    w.rest();
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * All controllers restart while machines with long tasks are unreachable or cannot receive
   * commands.
   */
  @Example
  void controllersRestartWhileMachinesAreUnreachable() {
    for (boolean cannotReceive : List.of(true, false)) {
      World w = world();
      assertEquals(201, w.submit("node-0", World.job("wk-1", 20, 1)).status());
      w.pass(3);
      for (int i = 0; i < 3; i++) {
        (cannotReceive ? w.deaf : w.silent).add("host-" + i);
      }
      w.nodes.values().forEach(World.Node::crash);
      w.pass(0.5);
      w.nodes.values().forEach(World.Node::start);
      w.pass(4);
      w.deaf.clear();
      w.silent.clear();
      w.pass(20);
      assertEquals(20, w.running("wk-1"));
      assertEquals(List.of(), w.dayEnds());
    }
  }
}
