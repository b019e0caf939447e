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
 * Two holders of the renting duty, one after the other, over the real decision code: every fate of
 * the record and of the call, by every way in which the first can be replaced.
 */
class DutyScheduleTest {
  private static final String RENT = "w/u/rent";
  private static final int NEED = 2;

  /** How the first holder is replaced, in the middle of its first act. */
  enum Replaced {
    NOT_AT_ALL,
    BY_CRASH,
    BY_A_PAUSE_OF_6_S,
    BY_A_PAUSE_OF_30_S,
    UNKNOWINGLY
  }

  private static int rented(
      Fate record, Fate call, Fate nextRecord, Replaced replaced, boolean conditions) {
    World w = new World(2).renting(100, 4);
    w.cloud.capacity(50);
    if (!conditions) {
      w.unconditional = key -> key.equals("u/rent") || key.equals(RENT);
    }
    w.start().pass(3);
    String first = w.named(RENT);
    String second = first.equals("node-0") ? "node-1" : "node-0";
    int[] seen = new int[3];
    w.fates =
        (from, path, body) -> {
          boolean ledger = path.equals("/txn") && body.contains("put=u/rent");
          if (from.equals(first) && ledger && seen[0]++ == 0) {
            replace(w, first, replaced);
            return record;
          }
          if (path.equals("/machines") && seen[1]++ == 0) {
            return call;
          }
          if (from.equals(second) && ledger && seen[2]++ == 0) {
            return nextRecord;
          }
          return Fate.ON_TIME;
        };
    w.submit(second, World.job("wk-1", NEED, 4));
    w.pass(55);
    return w.hired();
  }

  private static void replace(World w, String node, Replaced how) {
    switch (how) {
      case NOT_AT_ALL -> {}
      // A moment later, so that the record is on its way or just written.
      case BY_CRASH -> w.timers.after(0.003, () -> w.nodes.get(node).crash());
      case BY_A_PAUSE_OF_6_S -> w.timers.after(0.003, () -> w.nodes.get(node).standStill(6));
      case BY_A_PAUSE_OF_30_S -> w.timers.after(0.003, () -> w.nodes.get(node).standStill(30));
      case UNKNOWINGLY -> {
        // Its lease ends, and what would tell it so does not reach it for a while.
        w.nodes.get(node).loseLease();
        World.Fates fates = w.fates;
        w.fates =
            (from, path, body) ->
                from.equals(node) && (path.startsWith("/watch") || path.endsWith("/touch"))
                    ? Fate.LOST
                    : fates.of(from, path, body);
        w.timers.after(12, () -> w.fates = fates);
      }
    }
  }

  /** Complete at its size: five fates of three messages, five ways to be replaced. */
  @Property(generation = GenerationMode.EXHAUSTIVE, tries = 700)
  void nothingIsRentedTwiceWhateverIsLostLateOrDoubled(
      @ForAll Fate record, @ForAll Fate call, @ForAll Fate next, @ForAll Replaced replaced) {
    assertEquals(NEED, rented(record, call, next, replaced, true));
  }

  /** A search that finds nothing must be one that could: without the conditions it does. */
  @Example
  void withoutTheConditionsTheSameSearchFindsMachinesRentedTwice() {
    List<String> found = new ArrayList<>();
    for (Fate record : Fate.values()) {
      for (Fate call : Fate.values()) {
        for (Replaced replaced : Replaced.values()) {
          if (rented(record, call, Fate.ON_TIME, replaced, false) > NEED) {
            found.add(record + " " + call + " " + replaced);
          }
        }
      }
    }
    assertTrue(!found.isEmpty(), "the search would not notice a missing fence");
  }

  /** Any troubles, in any order, on three controllers with work that comes and goes. */
  @Property(tries = 60, seed = "21", shrinking = ShrinkingMode.BOUNDED)
  void whateverStrikesWhomEverythingEndsAndNothingThatIsUsedIsDeleted(
      @ForAll @Size(max = 5) List<@IntRange(min = 0, max = 4_999) Integer> strikes) {
    World w = new World(3).renting(5, 4);
    w.tunables = Tunables.withOverrides(Map.of("idle_boots", 2.0, "idle_warm_s", 0.0));
    w.cloud.capacity(60);
    w.start().pass(3);
    for (int s : strikes) {
      w.timers.after(
          s % 250 / 10.0, () -> strike(w, "node-" + s / 250 % 3, s / 750 % 4, 2 + s % 17));
    }
    for (int second = 0; second < 40; second++) {
      if (second % 8 == 0) {
        // One user whose controller may be down: the next one takes it.
        int node = up(w, second);
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
    assertEquals(0, w.running(), "all that was accepted has ended");
    assertEquals(List.of(), w.state.keys("w/j/"), "and is recorded");
    assertEquals(0, w.workers.size(), "and all machines are returned");
  }

  private static int up(World w, int from) {
    for (int i = 0; i < 3; i++) {
      if (w.nodes.get("node-" + (from + i) % 3).up()) {
        return (from + i) % 3;
      }
    }
    return 0;
  }

  private static void strike(World w, String node, int what, int forS) {
    World.Node n = w.nodes.get(node);
    if (!n.up()) {
      return;
    }
    switch (what) {
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
