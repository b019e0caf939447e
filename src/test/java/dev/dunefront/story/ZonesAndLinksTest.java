package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import dev.dunefront.wire.TaskId;
import dev.dunefront.wire.WorkerCommand;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Machines and zones that are lost, links that are slow or carry one way alone. */
class ZonesAndLinksTest {
  private static World world() {
    World w = new World(List.of("a", "a", "b"), World.ONE_TEAM);
    w.start().pass(2);
    for (int i = 0; i < 8; i++) {
      w.machine("host-" + i, "small", i % 2 == 0 ? "a" : "b", i % 2 == 0 ? "node-0" : "node-2");
    }
    w.pass(6);
    return w;
  }

  private static long zones(World w, String job) {
    return w.workers.values().stream()
        .filter(m -> World.running(m, job) > 0)
        .map(w::zoneOf)
        .distinct()
        .count();
  }

  /**
   * Workers reach no controller, while direct commands still reach them. Such a command renews no
   * lease: what runs there ends with it and is run elsewhere, not before; what is cancelled
   * meanwhile is stopped at once.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void workersReachNobodyAndCommandsReachThem(@ForAll boolean leaderEnds, @ForAll boolean longer) {
    World w = world();
    assertEquals(201, w.submit("node-0", World.job("wk-1", 12, 1)).status());
    assertEquals(201, w.submit("node-1", World.job("wk-2", 4, 1)).status());
    w.pass(3);
    assertEquals(16, w.running());
    w.lost = (from, to) -> from.startsWith("host-") && to.startsWith("node-") && mute(from);
    w.timers.after(longer ? 25 : World.LEASE_S - 2, () -> w.lost = (from, to) -> false);
    w.pass(1);
    Crowd users = new Crowd(w);
    users.cancel("wk-2", 1);
    if (leaderEnds) {
      w.pass(0.3);
      w.nodes.get("node-0").crash();
      w.timers.after(2, () -> w.nodes.get("node-0").start());
    }
    w.pass(2);
    if (!leaderEnds) {
      assertEquals(0, w.running("wk-2"), "stopped by a command");
    }
    w.pass(2.5 * World.LEASE_S);
    assertEquals(12, w.running("wk-1"), "there is room elsewhere");
    assertEquals("cancelled", w.poll("node-2", "wk-2").state());
    w.pass(10);
    assertEquals(List.of(), w.dayEnds());
  }

  private static boolean mute(String endpoint) {
    return endpoint.startsWith("host-0") || endpoint.startsWith("host-1");
  }

  /** What binds a job to places. */
  enum Bound {
    TO_A_ZONE,
    ARRAY_IN_ONE_PLACE,
    SERVICE_IN_ONE_PLACE,
    APART
  }

  /** What becomes of machines of the zone. */
  enum Loss {
    SILENT_FOR_GOOD,
    CUT_FOR_A_WHILE,
    BEGUN_ANEW,
    HANG
  }

  /**
   * Jobs that are bound to one zone, or to any one, lose machines, and go on in the right place,
   * also while what they lost may still run there.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void boundJobsLoseMachines(@ForAll Bound bound, @ForAll Loss loss, @ForAll boolean leaderEnds) {
    World w = world();
    Document job = World.job("wk-1", 6, 1);
    switch (bound) {
      case TO_A_ZONE -> job.put("site", "b");
      case ARRAY_IN_ONE_PLACE -> job.put("same_place", true);
      case SERVICE_IN_ONE_PLACE -> job.put("same_place", true).put("shape", "daemon");
      case APART -> job.put("apart", true);
    }
    assertEquals(201, w.submit("node-0", job).status());
    w.pass(3);
    assertEquals(6, w.running("wk-1"));
    List<FakeWorker> used =
        w.workers.values().stream().filter(m -> !m.running().isEmpty()).limit(1).toList();
    for (FakeWorker m : used) {
      switch (loss) {
        case SILENT_FOR_GOOD -> w.silent.add(m.host());
        case CUT_FOR_A_WHILE -> {
          w.silent.add(m.host());
          w.timers.after(World.LEASE_S + 3, () -> w.silent.remove(m.host()));
        }
        case BEGUN_ANEW -> m.restart();
        case HANG -> w.hang(m.host(), World.LEASE_S + 3);
      }
    }
    if (leaderEnds) {
      w.nodes.get("node-0").crash();
      w.timers.after(1, () -> w.nodes.get("node-0").start());
    }
    for (int i = 0; i < 250; i++) {
      w.pass(0.1);
      long places = zones(w, "wk-1");
      assertTrue(places <= (bound == Bound.APART ? 2 : 1), "in " + places + " zones");
      if (bound == Bound.APART) {
        assertTrue(inZone(w, "a") <= 3 && inZone(w, "b") <= 3, "half of them at most in each");
      }
    }
    assertEquals(6, w.running("wk-1"));
    if (bound == Bound.TO_A_ZONE) {
      assertEquals(6, inZone(w, "b"));
    }
    assertEquals(List.of(), w.dayEnds());
  }

  private static int inZone(World w, String zone) {
    return w.workers.values().stream()
        .filter(m -> w.zoneOf(m).equals(zone))
        .mapToInt(m -> World.running(m, "wk-1"))
        .sum();
  }

  /** A zone with workers and a controller is cut off for longer than the lease. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void aZoneWithAControllerIsCutOff(
      @ForAll boolean cancelled, @ForAll @IntRange(max = 2) int ends) {
    World w = world();
    assertEquals(201, w.submit("node-0", World.job("wk-1", 12, 1)).status());
    assertEquals(201, w.submit("node-2", World.job("wk-2", 12, 1)).status());
    w.pass(3);
    assertEquals(24, w.running());
    w.cut("b");
    w.pass(2);
    Crowd users = new Crowd(w);
    if (cancelled) {
      w.cancelled.add("wk-1");
      w.user("POST", "/v1/jobs/wk-1/abort", null, "wk-1", 0, 40);
      w.user("POST", "/v1/jobs/wk-1/abort", null, "wk-1", 1, 40);
    }
    if (ends > 0) {
      w.nodes.get("node-" + (ends - 1)).crash();
      w.timers.after(3, () -> w.nodes.get("node-" + (ends - 1)).start());
    }
    w.pass(2.5 * World.LEASE_S);
    w.heal();
    w.pass(12);
    users.look("wk-1", 5);
    w.pass(8);
    if (cancelled) {
      assertEquals("cancelled", w.poll("node-2", "wk-1").state());
    }
    assertEquals(cancelled ? 12 : 24, w.running());
    assertEquals(List.of(), w.dayEnds());
  }

  /** There is more work than room, urgent and not, and every message is slow. */
  @Example
  void moreWorkThanRoomOverSlowLinks() {
    World w = world();
    int[] n = {0};
    double[] slow = {0.3, 0.05, 0.6, 0.1, 0.9};
    w.stateSlowS = () -> slow[n[0]++ % slow.length];
    for (int i = 0; i < 10; i++) {
      w.user("POST", "/v1/jobs", World.job("wk-" + i, 12, 1), "wk-" + i, i, 40);
    }
    w.pass(20);
    assertEquals(32, w.running(), "all room is used");
    for (int i = 10; i < 14; i++) {
      Document job = World.job("wk-" + i, 4, 1).put("urgency", i % 2 == 0 ? "high" : "critical");
      w.user("POST", "/v1/jobs", job, "wk-" + i, i, 40);
    }
    w.pass(3);
    for (int i = 0; i < 6; i++) {
      w.workers
          .values()
          .forEach(m -> m.running().stream().limit(1).forEach(t -> m.exit(t, "done")));
      w.pass(6);
    }
    for (int i = 10; i < 14; i++) {
      String id = "wk-" + i + "/";
      assertTrue(
          w.workers.values().stream()
              .anyMatch(m -> m.starts().stream().anyMatch(s -> s.startsWith(id))),
          id + " is urgent and has not begun");
    }
    w.stateSlowS = () -> 0;
    assertEquals(List.of(), w.dayEnds());
  }

  /** A check that finds nothing must be one that could. */
  @Example
  void theCheckNoticesWhatIsInAWrongPlace() throws MalformedMessageException {
    Map<String, Document> specs = new HashMap<>();
    PlacementCheck check = new PlacementCheck(specs);
    specs.put("wk-1", World.job("wk-1", 4, 1).put("site", "b"));
    specs.put("wk-2", World.job("wk-2", 4, 1).put("same_place", true));
    specs.put("wk-3", World.job("wk-3", 4, 1).put("apart", true));
    specs.put("wk-4", World.job("wk-4", 4, 1).put("flavors", List.of("large")));
    FakeWorker a = new FakeWorker("host-1", "host-1:9", "small", "a");
    FakeWorker b = new FakeWorker("host-2", "host-2:9", "small", "b");
    run(a, "wk-2", 0);
    run(a, "wk-3", 0, 1);
    run(b, "wk-3", 2, 3);
    run(b, "wk-1", 0);
    check.look(List.of(a, b));
    assertEquals(List.of(), check.wrong);
    run(a, "wk-1", 1);
    run(b, "wk-2", 1);
    run(a, "wk-3", 2);
    run(a, "wk-4", 0);
    check.look(List.of(a, b));
    assertEquals(4, check.wrong.size(), check.wrong.toString());
  }

  private static void run(FakeWorker m, String job, int... numbers)
      throws MalformedMessageException {
    List<WorkerCommand> orders = new ArrayList<>();
    for (int n : numbers) {
      orders.add(new WorkerCommand.Run(new TaskId(job, n), 1));
    }
    assertEquals(200, m.handleCommands(WorkerCommand.directRequest(1, 1, orders)).status());
  }
}
