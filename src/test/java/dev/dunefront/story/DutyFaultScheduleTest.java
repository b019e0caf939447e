package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.config.Tunables;
import dev.dunefront.story.World.Fate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Two successive holders of the renting duty, run on the real decision code: every fate of the
 * ledger record and of the cloud call, combined with every way in which the first holder can be
 * replaced.
 */
class DutyFaultScheduleTest {
  private static final String RENT = "w/u/rent";
  private static final int MACHINES_NEEDED = 2;

  /** How the first holder is replaced during its first rental. */
  enum Replacement {
    NONE,
    CRASH,
    PAUSE_OF_6_S,
    PAUSE_OF_30_S,
    UNNOTICED_LEASE_LOSS
  }

  private static int countRentedMachines(
      Fate record, Fate call, Fate nextRecord, Replacement replacement, boolean preconditions) {
    World w = new World(2).renting(100, 4);
    w.cloud.capacity(50);
    if (!preconditions) {
      w.unconditional = key -> key.equals("u/rent") || key.equals(RENT);
    }
    w.start().pass(3);
    String first = w.named(RENT);
    String second = first.equals("node-0") ? "node-1" : "node-0";
    int[] matched = new int[3];
    w.fates =
        (from, path, body) -> {
          boolean ledgerWrite = path.equals("/txn") && body.contains("put=u/rent");
          if (from.equals(first) && ledgerWrite && matched[0]++ == 0) {
            replace(w, first, replacement);
            return record;
          }
          if (path.equals("/machines") && matched[1]++ == 0) {
            return call;
          }
          if (from.equals(second) && ledgerWrite && matched[2]++ == 0) {
            return nextRecord;
          }
          return Fate.ON_TIME;
        };
    w.submit(second, World.job("wk-1", MACHINES_NEEDED, 4));
    w.pass(55);
    return w.hired();
  }

  private static void replace(World w, String node, Replacement replacement) {
    switch (replacement) {
      case NONE -> {}
      // Delayed by 3 ms, so that the record is in transit or has just been written.
      case CRASH -> w.timers.after(0.003, () -> w.nodes.get(node).crash());
      case PAUSE_OF_6_S -> w.timers.after(0.003, () -> w.nodes.get(node).standStill(6));
      case PAUSE_OF_30_S -> w.timers.after(0.003, () -> w.nodes.get(node).standStill(30));
      case UNNOTICED_LEASE_LOSS -> {
        // The lease ends, and the notifications of that do not reach the holder for 12 s.
        w.nodes.get(node).loseLease();
        World.Fates before = w.fates;
        w.fates =
            (from, path, body) ->
                from.equals(node) && (path.startsWith("/watch") || path.endsWith("/touch"))
                    ? Fate.LOST
                    : before.of(from, path, body);
        w.timers.after(12, () -> w.fates = before);
      }
    }
  }

  /** Exhaustive: all fates of three messages and all five kinds of replacement. */
  @Property(generation = GenerationMode.EXHAUSTIVE, tries = 700)
  void nothingIsRentedTwiceUnderAnyMessageFate(
      @ForAll Fate record,
      @ForAll Fate call,
      @ForAll Fate nextRecord,
      @ForAll Replacement replacement) {
    assertEquals(MACHINES_NEEDED, countRentedMachines(record, call, nextRecord, replacement, true));
  }

  /**
   * Control for the exhaustive search: when transactions ignore the preconditions, it must find
   * machines rented twice.
   */
  @Example
  void searchFindsMachinesRentedTwiceWithoutPreconditions() {
    List<String> found = new ArrayList<>();
    for (Fate record : Fate.values()) {
      for (Fate call : Fate.values()) {
        for (Replacement replacement : Replacement.values()) {
          if (countRentedMachines(record, call, Fate.ON_TIME, replacement, false)
              > MACHINES_NEEDED) {
            found.add(record + " " + call + " " + replacement);
          }
        }
      }
    }
    assertTrue(!found.isEmpty(), "the search does not detect a missing fence");
  }

  /**
   * Random faults in any order on three controllers with a changing workload: all work finishes and
   * no machine in use is deleted.
   */
  @Property(tries = 60, seed = "21", shrinking = ShrinkingMode.BOUNDED)
  void allWorkEndsAndNoMachineInUseIsDeletedUnderRandomFaults(
      @ForAll @Size(max = 5) List<@IntRange(min = 0, max = 4_999) Integer> faults) {
    World w = new World(3).renting(5, 4);
    w.tunables = Tunables.withOverrides(Map.of("idle_boots", 2.0, "idle_warm_s", 0.0));
    w.cloud.capacity(60);
    w.start().pass(3);
    for (int fault : faults) {
      w.timers.after(
          fault % 250 / 10.0,
          () -> injectFault(w, "node-" + fault / 250 % 3, fault / 750 % 4, 2 + fault % 17));
    }
    for (int second = 0; second < 40; second++) {
      if (second % 8 == 0) {
        // If the chosen controller is down, the user submits to the next one that is up.
        int node = firstUpController(w, second);
        w.submit("node-" + node, World.job("wk-" + second, 3, 2));
      }
      w.pass(1);
      if (second % 5 == 4) {
        w.finishAll();
      }
    }
    for (int second = 0; second < 110; second++) {
      w.pass(1);
      if (second % 5 == 4) {
        w.finishAll();
      }
    }
    assertEquals(List.of(), w.misused);
    assertEquals(List.of(), w.overlaps);
    assertEquals(0, w.running(), "all accepted tasks have ended");
    assertEquals(List.of(), w.state.keys("w/j/"), "the end of every job is recorded");
    assertEquals(0, w.workers.size(), "all machines are returned");
  }

  private static int firstUpController(World w, int from) {
    for (int i = 0; i < 3; i++) {
      if (w.nodes.get("node-" + (from + i) % 3).up()) {
        return (from + i) % 3;
      }
    }
    return 0;
  }

  private static void injectFault(World w, String node, int kind, int forS) {
    World.Node n = w.nodes.get(node);
    if (!n.up()) {
      return;
    }
    switch (kind) {
      case 0 -> {
        n.crash();
        w.timers.after(forS, n::start);
      }
      case 1 -> n.standStill(forS);
      case 2 -> n.loseLease();
      default -> {
        w.refusedByState.add(node);
        w.timers.after(forS, () -> w.refusedByState.remove(node));
      }
    }
  }
}
