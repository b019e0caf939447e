package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Jobs are cancelled in the seconds in which one controller's work changes hands. */
class ChangingHandsTest {
  private static final Pattern JOB = Pattern.compile("put=w/j/(wk-[0-9]+)");

  private static List<String> jobsIn(String body) {
    List<String> ids = new ArrayList<>();
    for (Matcher m = JOB.matcher(body); m.find(); ) {
      ids.add(m.group(1));
    }
    return ids;
  }

  /**
   * Jobs are taken over in one transaction, whose answer is lost; until its fate is known one of
   * them is cancelled. Whoever has the claim then must go by the record as it is, not as it was
   * written: there is no task whose end would make it look again.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void aJobCancelledWhileItsTakeoverIsUnclearEnds(@ForAll @IntRange(max = 3) int which) {
    World w = new World(3);
    w.start().pass(3);
    for (int i = 0; i < 8; i++) {
      assertEquals(201, w.submit("node-0", World.job("wk-" + i, 1, 1)).status());
    }
    w.pass(3);
    List<String> batch = new ArrayList<>();
    w.fates =
        (from, path, body) -> {
          List<String> ids = path.equals("/txn") ? jobsIn(body) : List.of();
          if (!batch.isEmpty() || ids.size() <= which) {
            return World.Fate.ON_TIME;
          }
          batch.addAll(ids);
          String other = from.equals("node-1") ? "node-2" : "node-1";
          w.timers.after(
              0.3,
              () -> {
                String id = ids.get(which);
                w.cancelled.add(id);
                w.user("POST", "/v1/jobs/" + id + "/abort", null, id, other.charAt(5) - '1', 8);
              });
          return World.Fate.UNANSWERED;
        };
    w.nodes.get("node-0").crash();
    w.pass(16);
    assertTrue(batch.size() > which, "several are taken over at once");
    String id = batch.get(which);
    assertEquals("cancelled", w.poll("node-1", id).state());
    assertEquals("cancelled", w.poll("node-2", id).state());
    for (int i = 0; i < 3; i++) {
      w.machine("host-" + i, "small", "a", "node-1");
    }
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * The end of a job's only attempt is recorded, with what it gives back of the team's limit, and
   * the answer is lost. Before its fate is known the job is cancelled: the claimant must not take
   * its own, older write for what the record says.
   */
  @Example
  void aJobCancelledWhileAnEndOfItIsUnclearEnds() {
    World w = World.limited(3, 3);
    w.start().pass(3);
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
    w.pass(4);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 1, 3)).status());
    w.pass(3);
    assertEquals(1, m.running().size());
    BooleanSupplier lost =
        w.strikeOnce(
            "put=w/j/wk-1",
            World.Fate.UNANSWERED,
            from ->
                w.timers.after(
                    0.3,
                    () -> {
                      w.cancelled.add("wk-1");
                      w.user("POST", "/v1/jobs/wk-1/abort", null, "wk-1", 1, 8);
                    }));
    // Nothing can be placed again: the machine is gone.
    m.newSession();
    w.silent.add("host-1");
    w.pass(3 * World.LEASE_S);
    assertTrue(lost.getAsBoolean(), "the end was recorded");
    for (String node : w.nodes.keySet()) {
      assertEquals("cancelled", w.poll(node, "wk-1").state());
    }
    assertEquals(List.of(), w.dayEnds());
  }
}
