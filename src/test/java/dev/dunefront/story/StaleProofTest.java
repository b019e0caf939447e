package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.peer.Message;
import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * A machine hangs for about as long as its lease lasts and goes on in its next session, in which
 * its holder deals room at once. What was said of the session before proves nothing for what is
 * placed in this one.
 */
class StaleProofTest {
  private static final double CPUS_OF_A_MACHINE = 4;

  /** Longer than it takes until a worker has reported and its holder has told of it. */
  private static final double SLOW_WRITE_S = 1.6;

  /** A tick of the claimant, and the time after which a stop is sent again. */
  private static final double STOPPED_S = 3;

  /**
   * The order of the incident, fixed by hand: the new session's room is offered, taken and started
   * while the claimant's last view of the machine is still that of the lease that was over.
   */
  @Test
  void aLeaseThatWasOverProvesNothingForTheNextSession() {
    World w = World.of(1);
    FakeWorker hangs = w.workers.get("host-0:9");
    String holder = fill(w, hangs);

    boolean[] leaseOver = {false};
    w.late =
        m -> {
          leaseOver[0] |= m instanceof Message.MachineView v && v.leaseExpired();
          return m instanceof Message.MachineView v
              && v.host().equals("host-0")
              && v.session() == 2;
        };
    w.hung.add("host-0");
    while (!leaseOver[0]) {
      w.pass(0.01);
    }
    w.pass(0.05);
    w.hung.remove("host-0");
    w.pass(0.5);
    assertEquals(List.of("wk-2/0"), hangs.running(), "placed in the machine's next session");
    FakeWorker other = w.machine("host-1", "small", "a", holder);
    w.pass(4);
    w.late = m -> false;
    w.deliverHeld();
    w.pass(4);

    assertEquals(List.of(), w.overlaps);
    assertEquals(List.of("wk-1/0#2"), other.starts(), "the other runs on where it was placed");
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * A machine in its second session begins anew, in its first, and is given work while the
   * claimant's last view is still of the life before. The later session of a former life is not
   * later than this one.
   */
  @Test
  void theLaterSessionOfAFormerLifeProvesNothing() {
    World w = World.of(1);
    FakeWorker machine = w.workers.get("host-0:9");
    w.hang("host-0", World.LEASE_S + 2);
    w.pass(World.LEASE_S + 5);
    String holder = fill(w, machine);

    w.late =
        m -> m instanceof Message.MachineView v && v.host().equals("host-0") && v.session() < 2;
    machine.restart();
    w.pass(4);
    assertEquals(List.of("wk-2/0"), machine.running(), "placed in the first session");
    w.machine("host-1", "small", "a", holder);
    w.pass(4);
    w.late = m -> false;
    w.deliverHeld();
    w.pass(4);

    assertEquals(List.of(), w.overlaps);
    assertEquals(List.of("wk-2/0"), machine.running());
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * The order of the incident by chance: nothing is held back but what the network and the
   * gathering of changes hold back anyway. No task ends here, so whatever is started in a next
   * session has to stay.
   */
  @Test
  void machinesThatHangForALeaseRunNothingTwice() {
    List<String> wrong = new ArrayList<>();
    for (long seed = 1; seed <= 60; seed++) {
      for (String found : machinesHang(seed)) {
        wrong.add("seed " + seed + ": " + found);
      }
    }
    assertEquals(List.of(), wrong);
  }

  private static List<String> machinesHang(long seed) {
    Random random = new Random(seed);
    int machines = 6;
    World w = new World(3);
    w.start().pass(2);
    for (int i = 0; i < machines; i++) {
      // Each reports in a phase of its own, as against the controllers' ticks.
      w.pass(random.nextDouble());
      w.machine("host-" + i, "small", "a", "node-" + i % 3);
    }
    w.pass(5);
    assertEquals(201, w.submit("node-0", World.job("wk-1", machines, CPUS_OF_A_MACHINE)).status());
    w.pass(3);
    assertEquals(machines, w.running());
    for (int i = 0; i < 3; i++) {
      assertEquals(201, w.submit("node-" + i, World.job("wk-2" + i, machines, 2)).status());
    }
    w.pass(3 + random.nextDouble());
    for (int i = 0; i < machines; i++) {
      w.hang("host-" + i, World.LEASE_S - 0.5 + 1.5 * random.nextDouble());
    }
    w.pass(World.LEASE_S - 0.5);
    w.workers.values().forEach(m -> m.starts().clear());
    w.pass(8);
    List<String> wrong = new ArrayList<>(w.overlaps);
    for (FakeWorker m : w.workers.values()) {
      List<String> running = m.running();
      for (String start : m.starts()) {
        if (!running.contains(start.substring(0, start.indexOf('#')))) {
          wrong.add(start + " was started on " + m.host() + " and given up");
        }
      }
    }
    return wrong;
  }

  /**
   * A machine shows an attempt that no record names, just while its claimant has a write under way,
   * and nothing else ever changes on that machine. It has to be stopped all the same.
   */
  @Test
  void anAttemptThatNoRecordNamesIsStoppedAlthoughItWasShownDuringAWrite()
      throws MalformedMessageException {
    World w = World.of(1);
    FakeWorker runs = w.workers.get("host-0:9");
    assertEquals(201, w.submit("node-0", World.job("wk-1", 3, 1)).status());
    w.pass(2);
    assertEquals(3, runs.running().size());
    FakeWorker shows = w.machine("host-1", "small", "a", "node-1");
    w.pass(4);

    boolean[] writing = {false};
    w.tap = (from, path, body) -> writing[0] |= path.equals("/txn") && body.contains("t/wk-1/0");
    w.stateSlowS = () -> SLOW_WRITE_S;
    runs.exit("wk-1/1", "done");
    while (!writing[0]) {
      w.pass(0.01);
    }
    startUnrecorded(shows, "wk-1/1");
    w.pass(SLOW_WRITE_S);
    w.stateSlowS = () -> 0;
    w.pass(STOPPED_S);

    assertEquals(List.of(), shows.running());
    assertEquals(2, runs.running().size());
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * The same while the job changes hands: the machine is told of to the next claimant before that
   * has read what is recorded.
   */
  @Test
  void anAttemptThatNoRecordNamesIsStoppedAlthoughItWasShownDuringATakeover()
      throws MalformedMessageException {
    World w = World.of(1);
    FakeWorker runs = w.workers.get("host-0:9");
    String holder = w.holder("host-0");
    String claimant = anotherThan(holder);
    assertEquals(201, w.submit(claimant, World.job("wk-1", 3, 1)).status());
    w.pass(2);
    runs.exit("wk-1/1", "done");
    w.pass(4);
    FakeWorker shows = w.machine("host-1", "small", "a", holder);
    w.pass(4);
    assertEquals(2, w.running());

    w.nodes.get(claimant).crash();
    startUnrecorded(shows, "wk-1/1");
    int[] reads = {0};
    w.fates =
        (from, path, body) ->
            path.startsWith("/keys?") && path.contains("t/wk-1") && reads[0]++ == 0
                ? World.Fate.LOST
                : World.Fate.ON_TIME;
    while (reads[0] < 2) {
      // The next claimant reads what is recorded, and has to ask twice.
      w.pass(0.01);
    }
    w.pass(0.5);
    assertEquals(List.of(), shows.running());
    assertEquals(2, runs.running().size());
    assertEquals(List.of(), w.dayEnds());
  }

  private static String anotherThan(String node) {
    return node.equals("node-0") ? "node-1" : "node-0";
  }

  /** A command that nobody has recorded reaches a worker. */
  private static void startUnrecorded(FakeWorker worker, String task)
      throws MalformedMessageException {
    Document start = Document.create().put("verb", "run").put("piece", task).put("try_no", 9);
    Document command =
        Document.create()
            .put("baton", worker.token())
            .put("tenure", 1)
            .put("orders", List.of(start));
    assertEquals(200, worker.handleCommands(command.encode()).status());
  }

  /** A job of its holder's fills the only machine, and one of another controller waits for it. */
  private static String fill(World w, FakeWorker machine) {
    String holder = w.holder(machine.host());
    String claimant = anotherThan(holder);
    assertEquals(201, w.submit(holder, World.job("wk-1", 1, CPUS_OF_A_MACHINE)).status());
    w.pass(2);
    assertEquals(201, w.submit(claimant, World.job("wk-2", 1, CPUS_OF_A_MACHINE)).status());
    w.pass(2);
    assertEquals(List.of("wk-1/0"), machine.running(), "the other waits in the machine's book");
    return holder;
  }
}
