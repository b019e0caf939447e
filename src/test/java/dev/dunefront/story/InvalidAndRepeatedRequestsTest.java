package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.wire.Document;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/**
 * Users repeat requests, cancel jobs that have ended, and submit jobs that lack a field or can
 * never run.
 */
class InvalidAndRepeatedRequestsTest {
  private static final List<String> OPTIONAL_FIELDS = List.of("flavors", "site", "due_s");

  /** Returns every field of a submission with an invalid value. */
  private static Map<String, Object> invalidFieldValues() {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("id", 7);
    fields.put("batchclass", 1.5);
    fields.put("owner", true);
    fields.put("shape", "choir");
    fields.put("urgency", "soon");
    fields.put("pieces", 0);
    fields.put("vcpus", -1.0);
    fields.put("cards", "none");
    fields.put("ram_gb", List.of());
    fields.put("bundle", 3);
    fields.put("size_gb", "much");
    fields.put("flavors", "small");
    fields.put("site", 1);
    fields.put("same_place", "yes");
    fields.put("apart", 0);
    fields.put("loaners", "no");
    fields.put("expect_s", false);
    fields.put("snapshot_every_s", -0.1);
    fields.put("snapshot_s", "3");
    fields.put("due_s", "tomorrow");
    return fields;
  }

  private static Document jobWithAllFields(String id) {
    return SimulatedCluster.job(id, 1, 1)
        .put("flavors", List.of("small"))
        .put("site", "a")
        .put("due_s", 90.0);
  }

  private static int submitStatus(SimulatedCluster cluster, Document job) {
    return cluster.users.request("node-1", "POST", "/v1/jobs", job.encode()).status();
  }

  @Example
  void missingOrInvalidFieldsAreRejected() {
    SimulatedCluster cluster = SimulatedCluster.withSmallMachines(1);
    assertEquals(201, cluster.users.submit("node-0", jobWithAllFields("wk-1")).status());
    for (var field : invalidFieldValues().entrySet()) {
      String name = field.getKey();
      Document invalid = jobWithAllFields("wk-2").put(name, field.getValue());
      assertEquals(400, submitStatus(cluster, invalid), name + " is invalid");
      if (!OPTIONAL_FIELDS.contains(name)) {
        Document incomplete = jobWithAllFields("wk-3").put(name, null);
        assertEquals(400, submitStatus(cluster, incomplete), name + " is missing");
      }
    }
    assertEquals(
        0,
        cluster.stateService.keys("w/j/wk-2").size()
            + cluster.stateService.keys("w/j/wk-3").size());
    assertEquals(404, cluster.users.poll("node-0", "wk-2").status());
    for (String name : OPTIONAL_FIELDS) {
      String id = "wk-4" + OPTIONAL_FIELDS.indexOf(name);
      assertEquals(
          201, cluster.users.submit("node-2", jobWithAllFields(id).put(name, null)).status(), name);
    }
    assertEquals(4, cluster.users.acceptedJobs.size());
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }

  /**
   * In each state of a job and at each controller, a repeated submission finds the same job, and a
   * final state does not change.
   */
  @Example
  void repeatedRequestsAreIdempotentAndFinalStatesStay() {
    SimulatedCluster cluster = SimulatedCluster.withSmallMachines(2);
    for (String id : List.of("wk-1", "wk-2", "wk-3")) {
      assertEquals(201, cluster.users.submit("node-0", SimulatedCluster.job(id, 1, 1)).status());
    }
    cluster.advance(2);
    cluster.machines.workers.values().forEach(m -> m.exit("wk-1/0", "done"));
    assertEquals("cancelled", cluster.users.cancel("node-1", "wk-2").jobStatus());
    cluster.advance(3);
    Map<String, String> finalStates = Map.of("wk-1", "done", "wk-2", "cancelled");
    for (String node : cluster.nodes.keySet()) {
      finalStates.forEach(
          (id, state) -> {
            assertEquals(200, cluster.users.submit(node, SimulatedCluster.job(id, 1, 1)).status());
            assertEquals(
                state, cluster.users.submit(node, SimulatedCluster.job(id, 1, 1)).jobStatus());
            assertEquals(state, cluster.users.poll(node, id).jobStatus());
            cluster.users.cancelRequestedJobs.add("wk-2");
            SimulatedUsers.ApiResponse response =
                cluster.users.request(node, "POST", "/v1/jobs/" + id + "/abort", new byte[0]);
            assertEquals(200, response.status());
            assertEquals(state, response.jobStatus());
          });
      SimulatedUsers.ApiResponse repeated =
          cluster.users.submit(node, SimulatedCluster.job("wk-3", 1, 1));
      assertEquals(200, repeated.status());
      assertEquals("running", cluster.users.poll(node, "wk-3").jobStatus());
      // A submission that repeats a known id is never refused, whatever its other fields contain.
      assertEquals(200, cluster.users.submit(node, SimulatedCluster.job("wk-3", 1, 99)).status());
      assertEquals(
          200,
          cluster
              .users
              .submit(node, SimulatedCluster.job("wk-1", 1, 1).put("owner", "x"))
              .status());
      assertEquals(404, cluster.users.poll(node, "wk-77").status());
      assertEquals(
          404, cluster.users.request(node, "POST", "/v1/jobs/wk-77/abort", new byte[0]).status());
      assertEquals(422, cluster.users.submit(node, SimulatedCluster.job("wk-5", 1, 99)).status());
      assertEquals(
          422,
          cluster
              .users
              .submit(node, SimulatedCluster.job("wk-5", 1, 1).put("owner", "x"))
              .status());
      Document unknownFlavor = SimulatedCluster.job("wk-5", 1, 1).put("flavors", List.of("huge"));
      assertEquals(422, cluster.users.submit(node, unknownFlavor).status());
      assertEquals(
          422,
          cluster.users.submit(node, SimulatedCluster.job("wk-5", 1, 1).put("site", "z")).status());
    }
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }
}
