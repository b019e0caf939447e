package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * End-to-end scenarios of the whole cluster: several controllers with fake workers, a fake state
 * service and a fake cloud on a fake clock.
 */
class ClusterScenarioTest {

  /**
   * A finished job is reported done by every controller, also on resubmission, and only its final
   * record is kept.
   */
  @Test
  void everyControllerReportsACompletedJobAsDone() {
    SimulatedCluster w = new SimulatedCluster(3);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-1");
    w.start().advance(2);
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 2, 2)).status());
    w.advance(1);
    assertEquals(Set.of("wk-1/0", "wk-1/1"), new HashSet<>(m.running()));
    assertEquals("running", w.users.poll("node-2", "wk-1").jobStatus());
    m.exit("wk-1/0", "done");
    w.advance(2);
    assertEquals("running", w.users.poll("node-1", "wk-1").jobStatus());
    m.exit("wk-1/1", "done");
    w.advance(3);
    for (String node : w.nodes.keySet()) {
      assertEquals("done", w.users.poll(node, "wk-1").jobStatus());
      assertEquals(200, w.users.submit(node, SimulatedCluster.job("wk-1", 2, 2)).status());
    }
    assertEquals(0, m.taskCount(), "ended tasks are cleared from the machine");
    assertEquals(
        List.of(), w.stateService.keys("t/"), "nothing of a finished job but its end is kept");
  }

  /** A client that resubmits a job to a second controller must not start its tasks twice. */
  @Test
  void resubmissionToAnotherControllerCreatesNoSecondJob() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.start().advance(2);
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1)).status());
    assertEquals(200, w.users.submit("node-1", SimulatedCluster.job("wk-1", 1, 1)).status());
    w.advance(2);
    assertEquals(List.of("wk-1/0#1"), m.starts());
  }

  /**
   * The job record is written and names its claimant, but the response of the state service is
   * lost. The claimant does not know of the claim, and all others see a live claimant, so that the
   * job would never run: 16 jobs of a simulated day waited forever.
   */
  @Test
  void jobWhoseAcceptanceWasUnconfirmedIsClaimed() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.start().advance(2);
    w.network.dropResponse = (from, to) -> from.equals("node-0") && to.equals("10.2.0.1:1");
    assertEquals(503, w.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1)).status());
    w.network.dropResponse = (from, to) -> false;
    assertEquals(200, w.users.submit("node-1", SimulatedCluster.job("wk-1", 1, 1)).status());
    // The watch response was lost as well; the claimant reads the record after the watch times out.
    w.advance(16);
    assertEquals(List.of("wk-1/0#1"), m.starts());
  }

  /** Freed room goes to the task of the highest priority, even if it was submitted last. */
  @Test
  void higherPriorityTaskIsPlacedFirst() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.start().advance(2);
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 4));
    w.advance(1);
    w.users.submit("node-0", SimulatedCluster.job("wk-2", 1, 4));
    w.advance(1);
    w.users.submit("node-1", SimulatedCluster.job("wk-3", 1, 4).put("urgency", "high"));
    w.advance(1);
    m.exit("wk-1/0", "done");
    w.advance(3);
    assertEquals(List.of("wk-3/0"), m.running());
  }

  /** Many waiting small tasks must not keep a job with a large task from being claimed. */
  @Test
  void jobWithALargeTaskIsClaimedBehindManySmallTasks() {
    SimulatedCluster w = new SimulatedCluster(1);
    for (int i = 0; i < 6; i++) {
      w.machines.addMachine("small-" + i, "small", "a", "node-0");
    }
    w.machines.addMachine("large-1", "large", "a", "node-0");
    w.start().advance(2);
    // The machines have 40 CPUs in total, so that 60 of the small tasks wait.
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 100, 1));
    w.advance(1);
    w.users.submit("node-0", SimulatedCluster.job("wk-2", 1, 12));
    w.advance(1);
    assertFalse(
        w.stateService.value("w/j/wk-2").toString().contains("claim=null"),
        "the job is claimed within 1 s");
  }

  /**
   * A high-priority job preempts tasks that started shortly before, but not tasks that have run for
   * 30 s.
   */
  @Test
  void onlyRecentlyStartedTasksArePreempted() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.start().advance(2);
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 4, 1));
    w.advance(2);
    assertEquals(4, m.running().size());
    w.users.submit("node-1", SimulatedCluster.job("wk-2", 2, 1).put("urgency", "high"));
    w.advance(4);
    assertTrue(m.running().containsAll(List.of("wk-2/0", "wk-2/1")));
    assertEquals(4, m.running().size());
    m.exit("wk-2/0", "done");
    m.exit("wk-2/1", "done");
    w.advance(30);
    assertEquals(4, m.running().stream().filter(t -> t.startsWith("wk-1")).count());
    w.users.submit("node-1", SimulatedCluster.job("wk-3", 2, 1).put("urgency", "high"));
    w.advance(5);
    assertEquals(4, m.running().stream().filter(t -> t.startsWith("wk-1")).count());
    assertEquals(List.of(), w.users.overlappingRuns);
  }

  /**
   * A task that is preempted repeatedly delays its job without bound: one task was stopped eleven
   * times and its job missed its deadline.
   */
  @Test
  void preemptedTaskIsNotPreemptedAgain() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.start().advance(2);
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 4, 1));
    w.advance(2);
    w.users.submit("node-1", SimulatedCluster.job("wk-2", 2, 1).put("urgency", "high"));
    w.advance(3);
    assertTrue(m.running().containsAll(List.of("wk-2/0", "wk-2/1")));
    m.exit("wk-2/0", "done");
    m.exit("wk-2/1", "done");
    w.advance(3);
    assertEquals(4, m.running().size());
    List<String> restarted = m.starts().stream().filter(s -> s.endsWith("#2")).toList();
    assertEquals(2, restarted.size(), "two preempted tasks have restarted");
    w.users.submit("node-1", SimulatedCluster.job("wk-3", 4, 1).put("urgency", "high"));
    w.advance(4);
    assertEquals(2, m.running().stream().filter(t -> t.startsWith("wk-3")).count());
    for (String start : restarted) {
      assertTrue(m.running().contains(start.substring(0, start.indexOf('#'))), start);
    }
    assertEquals(List.of(), w.users.overlappingRuns);
  }

  /**
   * A job of 100,000 tasks keeps every stored value below 16 KiB and is deleted completely after
   * its cancellation.
   */
  @Test
  void hugeJobStaysWithinStateServiceLimits() {
    SimulatedCluster w = new SimulatedCluster(2);
    w.machines.addMachine("host-1", "large", "a", "node-0");
    w.start().advance(2);
    assertEquals(
        201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 100_000, 0.001)).status());
    w.advance(20);
    assertFalse(w.stateService.keys("t/wk-1/").isEmpty());
    for (String key : w.stateService.keys("t/wk-1/")) {
      assertTrue(w.stateService.value(key).encode().length < 16 * 1024);
    }
    assertEquals("cancelled", w.users.cancel("node-1", "wk-1").jobStatus());
    w.advance(60);
    assertEquals(List.of(), w.stateService.keys("t/"));
  }

  /**
   * A machine on which every task fails is replaced. A job that fails on every machine costs no
   * machine and does not delay other jobs.
   */
  @Test
  void failuresAreAttributedToTheMachineOrToTheJob() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker bad = w.machines.addMachine("host-1", "large", "a", "node-0");
    w.start().advance(2);
    // Two jobs fail on the only machine, both at first and when they are retried.
    for (String id : List.of("wk-1", "wk-2")) {
      w.users.submit("node-0", SimulatedCluster.job(id, 1, 1));
    }
    for (int i = 0; i < 80; i++) {
      w.advance(1);
      bad.running().forEach(t -> bad.exit(t, "error"));
    }
    assertTrue(w.cloud.deleted("host-1"));

    // With a second machine on which the same jobs succeed, the fault is attributed at once.
    SimulatedCluster u = new SimulatedCluster(2);
    FakeWorker faulty = u.machines.addMachine("host-1", "large", "a", "node-0");
    FakeWorker good = u.machines.addMachine("host-2", "small", "a", "node-1");
    u.start().advance(2);
    for (int i = 0; i < 20; i++) {
      if (i % 3 == 0) {
        u.users.submit("node-0", SimulatedCluster.job("wk-" + i, 5, 1));
      }
      u.advance(1);
      faulty.running().forEach(t -> faulty.exit(t, "error"));
      good.running().forEach(t -> good.exit(t, "done"));
    }
    assertTrue(u.cloud.deleted("host-1"));
    assertFalse(u.cloud.deleted("host-2"));

    SimulatedCluster v = new SimulatedCluster(2);
    FakeWorker a = v.machines.addMachine("host-1", "large", "a", "node-0");
    FakeWorker b = v.machines.addMachine("host-2", "large", "a", "node-1");
    v.start().advance(2);
    v.users.submit("node-0", SimulatedCluster.job("wk-1", 8, 1));
    for (int i = 0; i < 60; i++) {
      v.advance(1);
      for (FakeWorker m : List.of(a, b)) {
        m.running().forEach(t -> m.exit(t, "error"));
      }
    }
    assertFalse(v.cloud.deleted("host-1") || v.cloud.deleted("host-2"));
    assertTrue(
        a.starts().size() + b.starts().size() < 40, "retries of the failing job are limited");
    v.users.submit("node-1", SimulatedCluster.job("wk-2", 1, 1));
    v.advance(3);
    assertEquals(
        1,
        a.running().stream().filter(t -> t.startsWith("wk-2")).count()
            + b.running().stream().filter(t -> t.startsWith("wk-2")).count());
  }

  /**
   * A renting request whose response is lost is retried under its name, so that it does not rent a
   * second machine.
   */
  @Test
  void rentingRequestWithoutAResponseIsRetriedUnderTheSameName() {
    SimulatedCluster w = new SimulatedCluster(2);
    w.cloud.capacity(5);
    w.start().advance(2);
    boolean[] dropping = {true};
    w.network.dropResponse = (from, to) -> to.equals("10.2.0.2:1") && dropping[0];
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1));
    w.advance(9);
    dropping[0] = false;
    w.advance(9);
    assertEquals(1, w.cloud.hostsByRequest().size());
    assertEquals(1, w.cloud.hostsByRequest().values().iterator().next().size());
  }

  /**
   * When a machine and its holder fail together, no controller knows when the lease expired. Only
   * the deletion of the machine proves that its tasks have ended and may be placed again.
   */
  @Test
  void deletingAnUnreachableMachineProvesThatItsTasksEnded() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker a = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.start().advance(2);
    w.users.submit("node-1", SimulatedCluster.job("wk-1", 1, 1));
    w.advance(1);
    assertEquals(1, a.running().size());
    // Machine and holder fail together, so that no controller knows when the lease expired.
    w.machines.isolatedHosts.add("host-1");
    w.nodes.get("node-0").crash();
    w.advance(60);
    assertTrue(w.cloud.deleted("host-1"));
    FakeWorker b = w.machines.addMachine("host-2", "small", "a", "node-1");
    w.advance(5);
    assertEquals(List.of("wk-1/0"), b.running());
  }

  /**
   * Tasks lost with a reclaimed machine are placed again only after its lease expires. In the
   * bordverkauf-wien workload {@code steady}, nearly all late jobs of the second half had lost
   * tasks in this way.
   */
  @Test
  void reclaimNoticeMovesTasksThatCannotFinishInTime() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker a = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.start().advance(2);
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1).put("expect_s", 60.0));
    w.users.submit("node-0", SimulatedCluster.job("wk-2", 1, 1).put("expect_s", 9.0));
    w.advance(5);
    assertEquals(2, a.running().size());
    FakeWorker b = w.machines.addMachine("host-2", "small", "a", "node-1");
    w.advance(1);
    a.setReclaimNotice(6);
    w.advance(2);
    assertEquals(List.of("wk-1/0"), b.running());
    assertEquals(
        List.of("wk-2/0"), a.running(), "the task can finish before the machine is reclaimed");
    a.setReclaimNotice(1);
    w.advance(2);
    assertEquals(List.of(), a.running(), "no task is left on the machine when it is reclaimed");
    assertEquals(Set.of("wk-1/0", "wk-2/0"), new HashSet<>(b.running()));
    assertEquals(List.of(), w.users.overlappingRuns);
  }

  /**
   * A machine that is reclaimed just after its token was raised must not leave its tasks waiting
   * forever. In the bordverkauf-wien workload {@code apart}, two jobs never ended.
   */
  @Test
  void tasksAreReplacedWhenAMachineIsReclaimedAfterItsTokenRise() {
    SimulatedCluster w = new SimulatedCluster(1);
    w.machines.addMachine("host-1", "small", "a", "node-0");
    w.start().advance(2);
    w.network.dropResponse = (from, to) -> to.equals("host-1:9");
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1)).status());
    for (int i = 0; i < 200 && w.stateService.value("w/h/host-1") == null; i++) {
      w.advance(0.05);
    }
    w.machines.isolatedHosts.add("host-1");
    w.cloud.reclaim("host-1");
    FakeWorker b = w.machines.addMachine("host-2", "small", "a", "node-0");
    w.advance(SimulatedCluster.LEASE_S + 4);
    assertEquals(List.of("wk-1/0"), b.running());
  }

  /**
   * Tasks on a machine that is reclaimed while no controller runs must be placed again once their
   * end is proven.
   */
  @Test
  void tasksAreReplacedWhenAMachineWithoutHolderIsReclaimed() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker a = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.start().advance(2);
    w.users.submit("node-1", SimulatedCluster.job("wk-1", 1, 1));
    w.advance(1);
    assertEquals(1, a.running().size());
    // All controllers crash, and the cloud reclaims the machine before any restarts: the machine is
    // not listed, and no holder knows when its lease expired.
    w.nodes.values().forEach(SimulatedCluster.Node::crash);
    w.machines.isolatedHosts.add("host-1");
    w.cloud.reclaim("host-1");
    w.advance(2);
    w.nodes.values().forEach(SimulatedCluster.Node::start);
    FakeWorker b = w.machines.addMachine("host-2", "small", "a", "node-1");
    w.advance(SimulatedCluster.LEASE_S + 3);
    assertEquals(List.of(), b.running(), "the end of the task is not proven yet");
    w.advance(40);
    assertEquals(List.of("wk-1/0"), b.running());
  }

  /**
   * Tasks of a job marked {@code apart} are spread over both zones, and tasks of a job marked
   * {@code same_place} run in one zone.
   */
  @Test
  void zoneConstraintsOfAJobAreHonored() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker a = w.machines.addMachine("host-1", "large", "a", "node-0");
    FakeWorker b = w.machines.addMachine("host-2", "large", "b", "node-1");
    w.start().advance(2);
    w.users.submit(
        "node-0", SimulatedCluster.job("wk-1", 5, 1).put("shape", "daemon").put("apart", true));
    w.advance(6);
    assertEquals(5, a.running().size() + b.running().size());
    assertTrue(a.running().size() <= 3 && b.running().size() <= 3);
    w.users.submit("node-0", SimulatedCluster.job("wk-2", 4, 1).put("same_place", true));
    w.advance(6);
    long inA = a.running().stream().filter(t -> t.startsWith("wk-2")).count();
    assertTrue(inA == 4 || inA == 0);
  }

  /**
   * Tasks that may only run in a zone without machines wait, and must not keep other jobs from the
   * room in the remaining zone.
   */
  @Test
  void spreadTasksWaitForTheirZoneWithoutBlockingOtherJobs() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker a = w.machines.addMachine("host-1", "large", "a", "node-0");
    w.machines.addMachine("host-2", "large", "b", "node-1");
    w.start().advance(2);
    w.users.submit(
        "node-0", SimulatedCluster.job("wk-1", 4, 1).put("shape", "daemon").put("apart", true));
    w.advance(3);
    assertEquals(2, a.running().size());
    w.machines.isolatedHosts.add("host-2");
    w.cloud.reclaim("host-2");
    w.advance(SimulatedCluster.LEASE_S + 4);
    w.users.submit("node-1", SimulatedCluster.job("wk-2", 2, 1));
    w.advance(4);
    assertEquals(2, a.running().stream().filter(t -> t.startsWith("wk-1")).count());
    assertEquals(2, a.running().stream().filter(t -> t.startsWith("wk-2")).count());
    FakeWorker c = w.machines.addMachine("host-3", "large", "b", "node-0");
    w.advance(6);
    assertEquals(2, c.running().stream().filter(t -> t.startsWith("wk-1")).count());
    assertEquals(List.of(), w.users.overlappingRuns);
  }

  /**
   * When the cloud fills a renting request only in part, the missing machines are requested again,
   * since capacity may return.
   */
  @Test
  void partlyFilledRentingRequestIsCompletedLater() {
    SimulatedCluster w = new SimulatedCluster(2);
    w.cloud.capacity(1);
    w.start().advance(2);
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 3, 4));
    w.advance(8);
    assertEquals(1, w.machines.rentedCount());
    w.cloud.capacity(10);
    w.advance(14);
    assertEquals(3, w.machines.rentedCount(), "exactly the machines that are needed");
  }

  /** Requests that can never succeed get a 4xx status, so that clients don't retry them. */
  @Test
  void malformedAndUnsatisfiableRequestsAreRejected() {
    SimulatedCluster w = new SimulatedCluster(1);
    w.start().advance(2);
    assertEquals(400, w.users.request("node-0", "POST", "/v1/jobs", new byte[] {1, 2, 3}).status());
    assertEquals(400, w.users.submit("node-0", SimulatedCluster.job("nonsense", 1, 1)).status());
    assertEquals(400, w.users.submit("node-0", SimulatedCluster.job("wk-1", 0, 1)).status());
    assertEquals(
        400,
        w.users
            .submit("node-0", SimulatedCluster.job("wk-1", 1, 1).put("shape", "choir"))
            .status());
    assertEquals(
        422,
        w.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1).put("owner", "x")).status());
    assertEquals(422, w.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 99)).status());
    assertEquals(404, w.users.poll("node-0", "wk-1").status());
    assertEquals(404, w.users.request("node-0", "GET", "/v2", new byte[0]).status());
    assertEquals(405, w.users.request("node-0", "DELETE", "/v1/jobs/wk-1", new byte[0]).status());
  }
}
