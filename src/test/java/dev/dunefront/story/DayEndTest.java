package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * What holds at a day's end: no accepted job is forgotten, all run, and no controller that ends and
 * is back before anybody has noticed makes a difference to that.
 */
class DayEndTest {
  /** A checker that finds nothing must be one that could. */
  @Example
  void theCheckerNoticesJobsThatAreForgottenOrNeverRun() {
    World w = World.of(2);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 2, 1)).status());
    w.pass(2);
    w.removeState("w/j/wk-1");
    List<String> wrong = w.dayEnds();
    assertTrue(wrong.stream().anyMatch(s -> s.contains("forgotten by node-2")), wrong.toString());

    World v = World.of(1);
    assertEquals(201, v.submit("node-0", World.job("wk-1", 6, 1)).status());
    v.pass(2);
    v.silent.add("host-0");
    wrong = v.dayEnds();
    assertEquals(List.of("wk-1 never ran whole"), wrong);
  }

  /** In each state that a job can be in, whichever controller is asked. */
  @Example
  void everyQuestionIsAnsweredForJobsInEveryState() {
    World w = World.of(6);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 4, 1)).status());
    w.pass(2);
    w.finishAll();
    w.pass(4);
    assertEquals("done", w.poll("node-1", "wk-1").state());
    // Accepted with an answer that was lost, and claimed by a controller that ends then.
    w.unanswered = (from, to) -> from.equals("node-0") && to.equals("10.2.0.1:1");
    w.submit("node-0", World.job("wk-2", 3, 1));
    w.unanswered = (from, to) -> false;
    w.accepted.put("wk-2", 3);
    assertEquals(201, w.submit("node-1", World.job("wk-3", 3, 1)).status());
    assertEquals(201, w.submit("node-2", World.job("wk-4", 5, 1)).status());
    assertEquals(201, w.submit("node-0", World.job("wk-5", 600, 0.04)).status());
    w.pass(0.5);
    w.cancel("node-2", "wk-3");
    w.nodes.get("node-0").crash();
    w.pass(World.LEASE_S);
    // It remembers no final state, and reads what it is asked for.
    w.nodes.get("node-0").start();
    assertEquals(List.of(), w.dayEnds());
    assertEquals("done", w.poll("node-0", "wk-1").state());
    assertEquals("cancelled", w.poll("node-0", "wk-3").state());
    assertEquals(404, w.poll("node-0", "wk-77").status());
  }

  /** Mistaken jobs stay known, can be cancelled at once, and keep nobody else from running. */
  @Example
  void jobsWithAMistakeStayKnownAndHarmNobody() {
    World w = World.of(4);
    for (int i = 0; i < 5; i++) {
      assertEquals(201, w.submit("node-" + i % 3, World.job("wk-9" + i, 8, 1)).status());
    }
    assertEquals(201, w.submit("node-0", World.job("wk-1", 20, 1)).status());
    for (int second = 0; second < 90; second++) {
      w.pass(1);
      for (FakeWorker m : w.workers.values()) {
        for (String task : m.running()) {
          if (task.startsWith("wk-9")) {
            m.exit(task, "error");
          } else if (second % 5 == 0) {
            m.exit(task, "done");
          }
        }
      }
    }
    assertEquals("done", w.poll("node-1", "wk-1").state());
    int tries = w.workers.values().stream().mapToInt(m -> m.starts().size()).sum();
    assertTrue(tries < 20 + 5 * 30, tries + " starts");
    for (int i = 0; i < 5; i++) {
      String state = w.poll("node-" + i % 3, "wk-9" + i).state();
      assertTrue(state.equals("queued") || state.equals("running"), state);
      assertEquals(200, w.cancel("node-" + i % 3, "wk-9" + i).status());
      assertEquals("cancelled", w.poll("node-0", "wk-9" + i).state());
    }
    assertEquals(201, w.submit("node-0", World.job("wk-2", 16, 1)).status());
    w.pass(2);
    assertEquals(16, w.running(), "no machine is in quarantine for them");
    assertEquals(List.of(), w.dayEnds());
  }

  /** A job that is unlucky twice and then runs well is no mistaken one. */
  @Example
  void twoUnluckyStartsDoNotHoldAJobBackThatRunsElsewhere() {
    World w = World.of(5);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 40, 1)).status());
    w.pass(2);
    for (int i = 0; i < 2; i++) {
      FakeWorker m = w.workers.get("host-" + i + ":9");
      m.running().forEach(t -> m.exit(t, "error"));
    }
    w.pass(2);
    for (int i = 2; i < 5; i++) {
      FakeWorker m = w.workers.get("host-" + i + ":9");
      m.running().forEach(t -> m.exit(t, "done"));
    }
    w.pass(5);
    assertTrue(w.running() >= 12, w.running() + " run where there is room for all");
  }

  /** The same one five times in ten seconds, in whatever it is doing. */
  @Example
  void aControllerThatIsBackBeforeAnybodyHasNoticed() {
    World w = World.of(9);
    for (int i = 0; i < 6; i++) {
      assertEquals(201, w.submit("node-" + i % 3, World.job("wk-" + i, 5, 1)).status());
    }
    w.pass(1);
    int holds = w.state.writes("w/h/");
    for (int round = 0; round < 5; round++) {
      w.nodes.get("node-1").crash();
      w.pass(0.2);
      w.nodes.get("node-1").start();
      w.pass(1.8);
    }
    w.pass(World.LEASE_S);
    assertEquals(30, w.running(), "nothing is lost");
    assertTrue(w.state.writes("w/h/") - holds <= 3, "machines are held on");
    assertEquals(List.of(), w.dayEnds());
  }

  @Example
  void allControllersAreBackAtOnceAgainAndAgainAmidElections() {
    World w = World.of(9).renting(5, 4);
    for (int i = 0; i < 6; i++) {
      assertEquals(201, w.submit("node-" + i % 3, World.job("wk-" + i, 5, 1)).status());
    }
    w.pass(1);
    for (int round = 0; round < 5; round++) {
      double after = 0.05 + 0.3 * round;
      w.nodes.values().forEach(World.Node::crash);
      w.pass(after);
      w.nodes.values().forEach(World.Node::start);
      w.pass(after);
    }
    w.pass(3);
    assertEquals(30, w.running());
    assertEquals(List.of(), w.dayEnds());
  }

  /** Whatever strikes, alone and together, what is checked at a day's end holds. */
  @Property(tries = 40, seed = "28", shrinking = ShrinkingMode.BOUNDED)
  void whateverStrikesTheDayEndsWell(
      @ForAll @Size(min = 1, max = 6) List<@IntRange(max = 8_999) Integer> strikes) {
    World w = World.of(9);
    for (int i = 0; i < 6; i++) {
      w.submit("node-" + i % 3, World.job("wk-" + i, 3 + i, 1 + i % 2));
    }
    int late = 0;
    for (int strike : strikes) {
      strike(w, strike % 9, "node-" + strike / 9 % 3, "host-" + strike / 27 % 9, strike / 243);
      w.pass(0.1 + strike % 50 * 0.2);
      w.submit("node-" + late % 3, World.job("wk-1" + late++, 4, 1));
      if (strike % 2 == 0) {
        w.finishAll();
      }
    }
    w.lost = (from, to) -> false;
    w.silent.clear();
    w.deaf.clear();
    w.copiesAfterS = List.of();
    w.refusedByState.clear();
    w.state.outage(false);
    for (World.Node n : w.nodes.values()) {
      if (!n.up()) {
        n.start();
      }
      w.linksBack(n.name);
    }
    w.pass(3);
    assertEquals(List.of(), w.dayEnds());
  }

  private static void strike(World w, int kind, String node, String host, int more) {
    World.Node n = w.nodes.get(node);
    switch (kind) {
      case 0 -> w.deaf.add(host);
      case 1 -> w.copiesAfterS = List.of(0.5 + more % 30, World.LEASE_S * 2);
      case 2 -> {
        w.lost = World.withoutPeersAndState(node);
        w.timers.after(5, () -> w.linksSilent(node));
      }
      case 3 -> {
        if (n.up()) {
          n.crash();
          w.timers.after(0.05 + more * 0.02, n::start);
        }
      }
      case 4 -> {
        if (n.up()) {
          n.standStill(2 + more);
        }
      }
      case 5 -> w.workers.get(host + ":9").restart();
      case 6 -> w.refusedByState.add(node);
      case 7 -> w.silent.add(host);
      default -> w.deaf.remove(host);
    }
  }

  /** Eight times as many questions cost the state service no more than a few. */
  @Example
  void aStormOfQuestionsCostsTheStateServiceLittle() {
    World w = World.of(4);
    for (int i = 0; i < 20; i++) {
      assertEquals(201, w.submit("node-" + i % 3, World.job("wk-" + i, 1, 0.5)).status());
    }
    w.pass(2);
    int[] reads = new int[1];
    w.tap =
        (from, path, body) ->
            reads[0] += path.startsWith("/keys/w/") || path.contains("prefix=w/j") ? 1 : 0;
    int[] answered = new int[1];
    for (int i = 0; i < 1000; i++) {
      String id = "wk-" + i % 20;
      w.nodes
          .get("node-" + i % 3)
          .request("GET", "/v1/jobs/" + id, said -> answered[0] += said == 200 ? 1 : 0);
      w.pass(0.002);
    }
    w.pass(1);
    assertEquals(1000, answered[0]);
    assertTrue(reads[0] < 100, reads[0] + " reads for 1,000 questions");
    assertEquals(201, w.submit("node-0", World.job("wk-50", 1, 1)).status());
  }

  /**
   * Nobody is told something older than another controller has told before, though the watch of the
   * one that is asked is lost, or its answers come late.
   */
  @Property(tries = 60, seed = "27", shrinking = ShrinkingMode.BOUNDED)
  void noOlderAnswerFollowsWhateverBecomesOfTheWatch(
      @ForAll @Size(max = 6) List<@IntRange(max = 4) Integer> fates,
      @ForAll @IntRange(max = 20) int pause)
      throws MalformedMessageException {
    World w = World.of(3);
    int[] n = new int[1];
    w.fates =
        (from, path, body) ->
            from.equals("node-1") && path.startsWith("/watch") && n[0] < fates.size()
                ? World.Fate.values()[fates.get(n[0]++)]
                : World.Fate.ON_TIME;
    w.pass(pause * 0.05);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 2, 1)).status());
    World.Said said = w.poll("node-1", "wk-1");
    assertTrue(said.status() == 200 || said.status() == 503, "told " + said.status());
    w.pass(1);
    w.finishAll();
    boolean done = false;
    for (int i = 0; i < 40; i++) {
      w.pass(0.2);
      done |= w.poll("node-0", "wk-1").state().equals("done");
      said = w.poll("node-1", "wk-1");
      if (done && said.status() == 200) {
        assertEquals("done", said.state());
      }
      assertFalse(said.status() == 404);
    }
    assertTrue(done);
    Document spec = World.job("wk-1", 2, 1);
    assertEquals(200, w.submit("node-1", spec).status());
  }

  /** A job of a hundred thousand tasks is accepted, asked after, begun and cancelled like any. */
  @Example
  void theLargestJobThereCanBeIsLikeAnyOther() {
    World w = World.of(9);
    int before = w.state.writes("");
    assertEquals(201, w.submit("node-0", World.job("wk-1", 100_000, 0.25)).status());
    assertEquals(1, w.state.writes("") - before, "accepted with one change");
    assertEquals("queued", w.poll("node-1", "wk-1").state());
    assertEquals(201, w.submit("node-1", World.job("wk-2", 4, 1).put("urgency", "high")).status());
    before = w.state.writes("");
    for (int second = 0; second < 30; second++) {
      w.pass(1);
      w.finishAll();
    }
    int starts = w.workers.values().stream().mapToInt(m -> m.starts().size()).sum();
    double each = (double) (w.state.writes("") - before) / starts;
    assertTrue(each < 0.3, each + " changes for each of " + starts + " starts");
    assertEquals("done", w.poll("node-2", "wk-2").state());
    // Whoever takes it over reads what was begun, and not a record for each task.
    w.nodes.get("node-0").crash();
    w.nodes.get("node-1").crash();
    w.pass(World.LEASE_S);
    w.nodes.get("node-0").start();
    w.nodes.get("node-1").start();
    w.pass(5);
    assertTrue(w.running() > 0);
    World.Said said = w.cancel("node-2", "wk-1");
    for (int i = 0; i < 20 && said.status() != 200; i++) {
      w.pass(1);
      said = w.cancel("node-2", "wk-1");
    }
    assertEquals("cancelled", said.state());
    assertEquals(0, w.running());
    assertEquals(List.of(), w.dayEnds());
    assertEquals(List.of(), w.state.keys("t/"));
  }
}
