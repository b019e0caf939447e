package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.config.Tunables;
import dev.dunefront.story.SimulatedNetwork.Delivery;
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
      Delivery record,
      Delivery call,
      Delivery nextRecord,
      Replacement replacement,
      boolean preconditions) {
    SimulatedCluster w = new SimulatedCluster(2).withRentingDelays(100, 4);
    w.cloud.capacity(50);
    if (!preconditions) {
      w.network.ignoreConditionOn = key -> key.equals("u/rent") || key.equals(RENT);
    }
    w.start().advance(3);
    String first = w.recordedNode(RENT);
    String second = first.equals("node-0") ? "node-1" : "node-0";
    int[] matched = new int[3];
    w.network.deliveryPolicy =
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
          return Delivery.ON_TIME;
        };
    w.users.submit(second, SimulatedCluster.job("wk-1", MACHINES_NEEDED, 4));
    w.advance(55);
    return w.machines.rentedCount();
  }

  private static void replace(SimulatedCluster w, String node, Replacement replacement) {
    switch (replacement) {
      case NONE -> {}
      // Delayed by 3 ms, so that the record is in transit or has just been written.
      case CRASH -> w.clock.after(0.003, () -> w.nodes.get(node).crash());
      case PAUSE_OF_6_S -> w.clock.after(0.003, () -> w.nodes.get(node).pause(6));
      case PAUSE_OF_30_S -> w.clock.after(0.003, () -> w.nodes.get(node).pause(30));
      case UNNOTICED_LEASE_LOSS -> {
        // The lease ends, and the notifications of that do not reach the holder for 12 s.
        w.nodes.get(node).expireLease();
        SimulatedNetwork.DeliveryPolicy before = w.network.deliveryPolicy;
        w.network.deliveryPolicy =
            (from, path, body) ->
                from.equals(node) && (path.startsWith("/watch") || path.endsWith("/touch"))
                    ? Delivery.DROPPED
                    : before.choose(from, path, body);
        w.clock.after(12, () -> w.network.deliveryPolicy = before);
      }
    }
  }

  /** Exhaustive: all fates of three messages and all five kinds of replacement. */
  @Property(generation = GenerationMode.EXHAUSTIVE, tries = 700)
  void nothingIsRentedTwiceUnderAnyMessageFate(
      @ForAll Delivery record,
      @ForAll Delivery call,
      @ForAll Delivery nextRecord,
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
    for (Delivery record : Delivery.values()) {
      for (Delivery call : Delivery.values()) {
        for (Replacement replacement : Replacement.values()) {
          if (countRentedMachines(record, call, Delivery.ON_TIME, replacement, false)
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
    SimulatedCluster w = new SimulatedCluster(3).withRentingDelays(5, 4);
    w.tunables = Tunables.withOverrides(Map.of("idle_boots", 2.0, "idle_warm_s", 0.0));
    w.cloud.capacity(60);
    w.start().advance(3);
    for (int fault : faults) {
      w.clock.after(
          fault % 250 / 10.0,
          () -> injectFault(w, "node-" + fault / 250 % 3, fault / 750 % 4, 2 + fault % 17));
    }
    for (int second = 0; second < 40; second++) {
      if (second % 8 == 0) {
        // If the chosen controller is down, the user submits to the next one that is up.
        int node = firstUpController(w, second);
        w.users.submit("node-" + node, SimulatedCluster.job("wk-" + second, 3, 2));
      }
      w.advance(1);
      if (second % 5 == 4) {
        w.machines.completeAllTasks();
      }
    }
    for (int second = 0; second < 110; second++) {
      w.advance(1);
      if (second % 5 == 4) {
        w.machines.completeAllTasks();
      }
    }
    assertEquals(List.of(), w.machines.deletedWhileInUse);
    assertEquals(List.of(), w.users.overlappingRuns);
    assertEquals(0, w.machines.runningCount(), "all accepted tasks have ended");
    assertEquals(List.of(), w.stateService.keys("w/j/"), "the end of every job is recorded");
    assertEquals(0, w.machines.workers.size(), "all machines are returned");
  }

  private static int firstUpController(SimulatedCluster w, int from) {
    for (int i = 0; i < 3; i++) {
      if (w.nodes.get("node-" + (from + i) % 3).up()) {
        return (from + i) % 3;
      }
    }
    return 0;
  }

  private static void injectFault(SimulatedCluster w, String node, int kind, int forS) {
    SimulatedCluster.Node n = w.nodes.get(node);
    if (!n.up()) {
      return;
    }
    switch (kind) {
      case 0 -> {
        n.crash();
        w.clock.after(forS, n::start);
      }
      case 1 -> n.pause(forS);
      case 2 -> n.expireLease();
      default -> {
        w.network.refusedByStateService.add(node);
        w.clock.after(forS, () -> w.network.refusedByStateService.remove(node));
      }
    }
  }
}
