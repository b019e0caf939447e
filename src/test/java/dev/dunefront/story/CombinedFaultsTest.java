package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import java.util.List;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Random combinations of up to four faults of kinds that have broken schedulers, at random times.
 */
class CombinedFaultsTest {
  private static final String STATE_SERVICE = "10.2.0.1:1";
  private static final double TEAM_CPU_LIMIT = 24;

  /**
   * The only large machine and one machine of the small zone are never stopped: in runs without
   * renting nothing replaces them.
   */
  private static final List<String> KEPT_MACHINES = List.of("host-3", "host-9");

  /**
   * Delay after which the cloud lists a stopped machine as failed; until then it lists it as
   * running.
   */
  private static final double LISTED_AS_FAILED_AFTER_S = 30;

  /** Kinds of faults. Each lasts for a random time. */
  enum Fault {
    DELAYED_WRITES,
    REFUSED_THEN_OUTAGE,
    DELAYED_REPORT_COPIES,
    CONTROLLER_ISOLATED,
    CRASH_WITH_SILENT_MACHINES,
    DELAYED_COMMANDS,
    MACHINES_CANNOT_RECEIVE,
    ALL_CONTROLLERS_CRASH,
    PROCESS_PAUSE,
    STATE_SERVICE_REFUSES_CONTROLLER,
    LOST_COMMANDS,
    ZONE_PARTITION,
    WORKERS_RESTART,
    SLOW_STATE_SERVICE,
    GRACEFUL_RESTART,
    CONTROLLER_LINK_DOWN,
    CONTROLLER_CUT_FROM_WORKERS,
    MACHINES_STOP,
    MACHINES_HANG,
    MACHINES_CANNOT_SEND,
    LOST_RESPONSES,
    OLD_REPORTS_AFTER_RESTART,
    REPEATED_CONTROLLER_CRASHES
  }

  private static void injectFault(SimulatedCluster w, Fault fault, Random random) {
    String node = "node-" + random.nextInt(5);
    double forS = 1 + random.nextInt(24);
    switch (fault) {
      case ZONE_PARTITION, WORKERS_RESTART, MACHINES_STOP, MACHINES_HANG, MACHINES_CANNOT_SEND ->
          injectMachineFault(w, fault, random, forS);
      case LOST_RESPONSES -> {
        SimulatedNetwork.DeliveryPolicy before = w.network.deliveryPolicy;
        w.network.deliveryPolicy =
            (from, path, body) ->
                path.equals("/txn") && random.nextInt(8) == 0
                    ? SimulatedNetwork.Delivery.RESPONSE_DROPPED
                    : before.choose(from, path, body);
        w.clock.after(forS, w.network::deliverOnTime);
      }
      case OLD_REPORTS_AFTER_RESTART -> {
        w.machines.replayReportsAtNextStart = to -> random.nextInt(3) == 0;
        w.clock.after(forS, () -> w.machines.replayReportsAtNextStart = to -> false);
        w.clock.after(forS * random.nextDouble(), () -> crash(w, node, random.nextInt(80) / 10.0));
      }
      case REPEATED_CONTROLLER_CRASHES -> {
        for (int i = 0; i < 10; i++) {
          String next = "node-" + random.nextInt(5);
          w.clock.after(i * 1.2, () -> crash(w, next, 0.05 + random.nextInt(20) / 10.0));
        }
      }
      case DELAYED_WRITES -> {
        SimulatedNetwork.DeliveryPolicy before = w.network.deliveryPolicy;
        w.network.deliveryDelayS = 2 + random.nextInt(30);
        w.network.deliveryPolicy =
            (from, path, body) ->
                path.equals("/txn") && random.nextInt(12) == 0
                    ? SimulatedNetwork.Delivery.DELAYED
                    : before.choose(from, path, body);
        w.clock.after(forS, w.network::deliverOnTime);
      }
      case REFUSED_THEN_OUTAGE -> {
        w.network.refusedByStateService.add(node);
        double waitS = 0.3 + random.nextInt(60) / 10.0;
        w.clock.after(waitS, () -> w.stateService.outage(true));
        w.clock.after(waitS + forS, () -> w.stateService.outage(false));
        w.clock.after(
            waitS + forS + random.nextInt(3), () -> w.network.refusedByStateService.remove(node));
      }
      case GRACEFUL_RESTART -> {
        SimulatedCluster.Node n = w.nodes.get(node);
        if (n.up()) {
          n.shutDown();
          startAfter(w, n, 0.6 + random.nextInt(40) / 10.0);
        }
      }
      case CONTROLLER_CUT_FROM_WORKERS ->
          dropMessages(
              w,
              (from, to) -> from.equals(node) && isWorker(to) || to.equals(node) && isWorker(from),
              forS);
      case CONTROLLER_LINK_DOWN -> cutControllerLink(w, node, "node-" + random.nextInt(5), forS);
      case SLOW_STATE_SERVICE -> {
        double worstS = 0.2 + random.nextInt(40) / 10.0;
        w.network.stateServiceDelayS = () -> random.nextDouble() * worstS;
        w.clock.after(forS, () -> w.network.stateServiceDelayS = () -> 0);
      }
      case DELAYED_REPORT_COPIES -> {
        w.machines.duplicateReportDelaysS =
            List.of(0.5 + random.nextInt(30), SimulatedCluster.LEASE_S * 2);
        w.clock.after(forS, () -> w.machines.duplicateReportDelaysS = List.of());
      }
      case CONTROLLER_ISOLATED -> {
        dropMessages(w, SimulatedNetwork.isolatedFromPeersAndState(node), forS);
        w.network.dropResponse = (from, to) -> from.equals(node) && to.equals(STATE_SERVICE);
        w.clock.after(5, () -> w.network.timeOutLinks(node));
        w.clock.after(
            forS,
            () -> {
              w.network.dropResponse = (from, to) -> false;
              w.network.reconnectLinks(node);
            });
      }
      case CRASH_WITH_SILENT_MACHINES -> {
        for (int i = 0; i < 5; i++) {
          String host = "host-" + random.nextInt(10);
          w.machines.isolatedHosts.add(host);
          w.clock.after(forS, () -> w.machines.isolatedHosts.remove(host));
        }
        crash(w, node, 0.05 + random.nextInt(100) / 20.0);
      }
      case DELAYED_COMMANDS -> {
        w.network.heldPath = "/orders";
        w.clock.after(
            forS,
            () -> {
              w.network.heldPath = null;
              w.network.deliverHeld();
            });
      }
      case MACHINES_CANNOT_RECEIVE -> {
        for (int i = 0; i < 4; i++) {
          String host = "host-" + random.nextInt(10);
          w.machines.inboundBlockedHosts.add(host);
          w.clock.after(forS, () -> w.machines.inboundBlockedHosts.remove(host));
        }
      }
      case ALL_CONTROLLERS_CRASH ->
          w.nodes.keySet().forEach(n -> crash(w, n, 0.05 + random.nextInt(120) / 20.0));
      case PROCESS_PAUSE -> {
        if (w.nodes.get(node).up()) {
          w.nodes.get(node).pause(forS);
        }
      }
      case STATE_SERVICE_REFUSES_CONTROLLER -> {
        w.network.refusedByStateService.add(node);
        w.clock.after(forS, () -> w.network.refusedByStateService.remove(node));
      }
      case LOST_COMMANDS -> {
        SimulatedNetwork.DeliveryPolicy before = w.network.deliveryPolicy;
        w.network.deliveryPolicy =
            (from, path, body) ->
                path.equals("/orders") && random.nextInt(3) == 0
                    ? SimulatedNetwork.Delivery.values()[1 + random.nextInt(3)]
                    : before.choose(from, path, body);
        w.clock.after(forS, w.network::deliverOnTime);
      }
    }
  }

  private static void injectMachineFault(
      SimulatedCluster w, Fault fault, Random random, double forS) {
    String host = "host-" + random.nextInt(10);
    if (fault == Fault.MACHINES_HANG) {
      for (int i = 0; i < 4; i++) {
        w.machines.hang("host-" + random.nextInt(10), forS);
      }
      return;
    }
    if (fault == Fault.MACHINES_CANNOT_SEND) {
      String other = "host-" + random.nextInt(10);
      dropMessages(
          w,
          (from, to) ->
              to.startsWith("node-") && (from.equals(host + ":9") || from.equals(other + ":9")),
          forS);
      return;
    }
    if (fault == Fault.ZONE_PARTITION) {
      w.network.partitionZone("b");
      w.clock.after(forS, w.network::healPartition);
      return;
    }
    for (int i = 0; i < 3; i++) {
      FakeWorker m = w.machines.workers.get("host-" + random.nextInt(10) + ":9");
      if (m != null && fault == Fault.WORKERS_RESTART) {
        m.restart();
      } else if (m != null && !KEPT_MACHINES.contains(m.host())) {
        // The machine stops with all its tasks, and no report announces it.
        m.newSession();
        w.machines.isolatedHosts.add(m.host());
        w.clock.after(LISTED_AS_FAILED_AFTER_S, () -> w.cloud.markFailed(m.host()));
      }
    }
    w.machines.isolatedHosts.remove(host);
  }

  /**
   * Blocks the link between two controllers, as a packet filter would; all other controllers reach
   * both.
   */
  private static void cutControllerLink(
      SimulatedCluster w, String first, String second, double forS) {
    dropMessages(
        w,
        (from, to) ->
            from.equals(first) && to.equals(second) || from.equals(second) && to.equals(first),
        forS);
    w.clock.after(5, () -> w.network.timeOutLinks(first));
    w.clock.after(forS, () -> w.network.reconnectLinks(first));
  }

  /** Drops further messages for a while. When that ends, all other message loss ends as well. */
  private static void dropMessages(
      SimulatedCluster w, BiPredicate<String, String> lost, double forS) {
    w.network.dropDelivery = w.network.dropDelivery.or(lost);
    w.clock.after(forS, () -> w.network.dropDelivery = (from, to) -> false);
  }

  private static boolean isWorker(String address) {
    return address.endsWith(":9");
  }

  private static void crash(SimulatedCluster w, String node, double restartAfterS) {
    SimulatedCluster.Node n = w.nodes.get(node);
    if (n.up()) {
      n.crash();
      startAfter(w, n, restartAfterS);
    }
  }

  /** Starts the controller after a delay unless it is already up. */
  private static void startAfter(SimulatedCluster w, SimulatedCluster.Node n, double afterS) {
    w.clock.after(
        afterS,
        () -> {
          if (!n.up()) {
            n.start();
          }
        });
  }

  /** Finishes the first task of some machines, so that tasks end one at a time. */
  private static void finishSomeTasks(SimulatedCluster w, Random random) {
    for (FakeWorker m : w.machines.workers.values()) {
      if (random.nextInt(4) == 0) {
        m.running().stream().limit(1).forEach(t -> m.exit(t, "done"));
      }
    }
  }

  private static void submit(SimulatedCluster w, int n, int node, Random random) {
    int cpus = 1 + random.nextInt(2);
    Document job = SimulatedCluster.job("wk-" + n, 1 + random.nextInt(6), cpus);
    if (random.nextInt(5) == 0) {
      job.put("shape", "daemon");
    }
    switch (random.nextInt(10)) {
      case 0 -> job.put("site", "b");
      case 1 -> job.put("same_place", true);
      case 2 -> job.put("apart", true);
      case 3 -> job.put("flavors", List.of("large"));
      default -> {}
    }
    if (random.nextInt(4) == 0) {
      // The submission is sent twice and the status is polled at all controllers meanwhile.
      new RedundantClients(w).submit(job, node);
    } else {
      w.users.requestWithRetries("POST", "/v1/jobs", job, "wk-" + n, node, 40);
    }
  }

  private static SimulatedCluster simulate(List<Fault> faults, int seed) {
    return simulate(faults, seed, key -> false);
  }

  private static SimulatedCluster simulate(
      List<Fault> faults, int seed, Predicate<String> preconditionIgnored) {
    Random random = new Random(seed);
    SimulatedCluster w =
        SimulatedCluster.withTeamLimit(List.of("a", "a", "a", "b", "b"), TEAM_CPU_LIMIT);
    w.network.ignoreConditionOn = preconditionIgnored;
    if (random.nextBoolean()) {
      w.withRentingDelays(random.nextBoolean() ? 3 : 1, 3);
      w.cloud.capacity(12);
    }
    w.start().advance(2);
    for (int i = 0; i < 10; i++) {
      w.machines.addMachine(
          "host-" + i, i == 3 ? "large" : "small", i < 6 ? "a" : "b", "node-" + i % 5);
    }
    w.advance(4);
    int n = 0;
    for (int i = 0; i < 5; i++) {
      submit(w, n++, i, random);
    }
    w.advance(1.5);
    for (Fault fault : faults) {
      injectFault(w, fault, random);
      for (int i = random.nextInt(5); i >= 0; i--) {
        w.advance(random.nextInt(40) / 10.0);
        submit(w, n++, random.nextInt(5), random);
        String id = "wk-" + random.nextInt(n);
        if (random.nextInt(2) == 0) {
          new RedundantClients(w).cancel(id, random.nextInt(5));
        }
        finishSomeTasks(w, random);
      }
    }
    for (int i = 0; i < 40; i++) {
      w.advance(1);
      String id = "wk-" + random.nextInt(n);
      w.users.requestWithRetries("GET", "/v1/jobs/" + id, null, id, random.nextInt(5), 1);
      if (i % 4 == 0) {
        finishSomeTasks(w, random);
      }
    }
    // The only large machine may have been returned as silent; allow another to be rented.
    w.withRentingDelays(3, 3);
    w.cloud.capacity(6);
    return w;
  }

  @Property(tries = 150, seed = "31", shrinking = ShrinkingMode.BOUNDED)
  void noInvariantBreaksUnderCombinedFaults(
      @ForAll @Size(min = 1, max = 4) List<Fault> faults,
      @ForAll @IntRange(max = 1_000_000) int seed) {
    SimulatedCluster w = simulate(faults, seed);
    if (seed % 4 == 0) {
      w.users.checkStarvationWhileTasksRun();
    }
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  /**
   * Control for the search above: when transactions ignore one precondition, it must find
   * violations.
   */
  @Example
  void searchFindsViolationsWhenAPreconditionIsIgnored() {
    for (String ignored : List.of("w/j/", "w/q/")) {
      boolean found = false;
      for (int seed = 0; seed < 60 && !found; seed++) {
        List<Fault> faults =
            List.of(
                Fault.values()[seed % Fault.values().length],
                Fault.values()[seed / 3 % Fault.values().length]);
        try {
          found =
              !simulate(faults, seed, key -> key.startsWith(ignored))
                  .users
                  .drainAndCheck()
                  .isEmpty();
        } catch (AssertionError e) {
          found = true;
        }
      }
      assertTrue(found, "the search does not detect a missing precondition on " + ignored);
    }
  }
}
