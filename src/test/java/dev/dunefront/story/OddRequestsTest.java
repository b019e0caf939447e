package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.wire.Document;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/** Users repeat, cancel what is over, and send what lacks a field or can never run. */
class OddRequestsTest {
  private static final List<String> MAY_BE_ABSENT = List.of("flavors", "site", "due_s");

  /** Every field of a submission, with a value that it cannot have. */
  private static Map<String, Object> impossible() {
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

  private static Document whole(String id) {
    return World.job(id, 1, 1).put("flavors", List.of("small")).put("site", "a").put("due_s", 90.0);
  }

  private static int status(World w, Document job) {
    return w.ask("node-1", "POST", "/v1/jobs", job.encode()).status();
  }

  @Example
  void whatLacksAFieldOrHasAWrongOneIsMalformed() {
    World w = World.of(1);
    assertEquals(201, w.submit("node-0", whole("wk-1")).status());
    for (var field : impossible().entrySet()) {
      String name = field.getKey();
      Document wrong = whole("wk-2").put(name, field.getValue());
      assertEquals(400, status(w, wrong), name + " is wrong");
      if (!MAY_BE_ABSENT.contains(name)) {
        Document lacking = whole("wk-3").put(name, null);
        assertEquals(400, status(w, lacking), name + " is missing");
      }
    }
    assertEquals(0, w.state.keys("w/j/wk-2").size() + w.state.keys("w/j/wk-3").size());
    assertEquals(404, w.poll("node-0", "wk-2").status());
    for (String name : MAY_BE_ABSENT) {
      String id = "wk-4" + MAY_BE_ABSENT.indexOf(name);
      assertEquals(201, w.submit("node-2", whole(id).put(name, null)).status(), name);
    }
    assertEquals(4, w.accepted.size());
    assertEquals(List.of(), w.dayEnds());
  }

  /** In each state of a job, at each controller: the same job is known, and what is over stays. */
  @Example
  void whatIsRepeatedIsKnownAndWhatIsOverStaysSo() {
    World w = World.of(2);
    for (String id : List.of("wk-1", "wk-2", "wk-3")) {
      assertEquals(201, w.submit("node-0", World.job(id, 1, 1)).status());
    }
    w.pass(2);
    w.workers.values().forEach(m -> m.exit("wk-1/0", "done"));
    assertEquals("cancelled", w.cancel("node-1", "wk-2").state());
    w.pass(3);
    Map<String, String> over = Map.of("wk-1", "done", "wk-2", "cancelled");
    for (String node : w.nodes.keySet()) {
      over.forEach(
          (id, state) -> {
            assertEquals(200, w.submit(node, World.job(id, 1, 1)).status());
            assertEquals(state, w.submit(node, World.job(id, 1, 1)).state());
            assertEquals(state, w.poll(node, id).state());
            w.cancelled.add("wk-2");
            World.Said said = w.ask(node, "POST", "/v1/jobs/" + id + "/abort", new byte[0]);
            assertEquals(200, said.status());
            assertEquals(state, said.state());
          });
      World.Said known = w.submit(node, World.job("wk-3", 1, 1));
      assertEquals(200, known.status());
      assertEquals("running", w.poll(node, "wk-3").state());
      // A known job is never refused, whatever is said of it now.
      assertEquals(200, w.submit(node, World.job("wk-3", 1, 99)).status());
      assertEquals(200, w.submit(node, World.job("wk-1", 1, 1).put("owner", "x")).status());
      assertEquals(404, w.poll(node, "wk-77").status());
      assertEquals(404, w.ask(node, "POST", "/v1/jobs/wk-77/abort", new byte[0]).status());
      assertEquals(422, w.submit(node, World.job("wk-5", 1, 99)).status());
      assertEquals(422, w.submit(node, World.job("wk-5", 1, 1).put("owner", "x")).status());
      Document nowhere = World.job("wk-5", 1, 1).put("flavors", List.of("huge"));
      assertEquals(422, w.submit(node, nowhere).status());
      assertEquals(422, w.submit(node, World.job("wk-5", 1, 1).put("site", "z")).status());
    }
    assertEquals(List.of(), w.dayEnds());
  }
}
