package dev.dunefront.book;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.book.Roster.Member;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Who shares the machines, and how that changes. */
class RosterTest {
  private static final Roster THREE =
      new Roster(
          List.of(new Member("n-0", "a"), new Member("n-1", "b"), new Member("n-2", "a")), 4, 77);

  @Test
  void isReadBackAsWrittenAndOneOfAnEarlierVersionIsOfTheFirstEpoch()
      throws MalformedMessageException {
    assertEquals(THREE, Roster.read(Document.decode(THREE.write().encode()), 77));
    Document earlier = Document.create().put("nodes", List.of("n-0")).put("zones", List.of("a"));
    assertEquals(1, Roster.read(earlier, 5).epoch());
    assertEquals(1, Roster.read(earlier, 5).defaultToken());
    Document torn =
        Document.create().put("nodes", List.of("n-0", "n-1")).put("zones", List.of("a"));
    assertThrows(MalformedMessageException.class, () -> Roster.read(torn, 5));
  }

  /** A token of the epoch before, however often it was raised, is refused by the worker. */
  @Test
  void tokensOfAnEpochAreAboveAllOfTheOneBefore() {
    long raisedOften = new Roster(THREE.members(), 4, 1).defaultToken() + Integer.MAX_VALUE;
    assertTrue(new Roster(THREE.members(), 5, 1).defaultToken() > raisedOften);
  }

  @Test
  void oneWhoJoinsTakesItsPartAndNoMore() {
    Roster more = THREE.next(Map.of("n-3", "b"), Set.of(), Set.of("n-0", "n-1", "n-2"));
    assertEquals(5, more.epoch());
    int moved = 0;
    int machines = 1000;
    for (int i = 0; i < machines; i++) {
      String before = THREE.defaultHolder("host-" + i, i % 2 == 0 ? "a" : "b");
      String after = more.defaultHolder("host-" + i, i % 2 == 0 ? "a" : "b");
      if (!before.equals(after)) {
        moved++;
        assertEquals("n-3", after, "machines move to nobody else");
      }
    }
    assertTrue(moved > machines / 6 && moved < machines / 3, moved + " moved");
  }

  @Test
  void whoLivesBelongsToItAndWhoIsNeitherNamedNorLivesDoesNot() {
    Set<String> all = Set.of("n-0", "n-1", "n-2");
    Map<String, String> zones = Map.of("n-0", "a", "n-1", "b", "n-2", "a");
    assertNull(THREE.next(zones, all, all));
    assertNull(THREE.next(Map.of(), Set.of(), all), "all crash: they will be back");
    assertNull(THREE.next(Map.of(), all, Set.of("n-0")), "not named, but it lives");
    Roster fewer = THREE.next(Map.of(), Set.of("n-0", "n-1"), Set.of("n-0", "n-1"));
    assertEquals(List.of("n-0", "n-1"), fewer.members().stream().map(Member::node).toList());
    Roster moved = THREE.next(Map.of("n-2", "b"), all, all);
    assertTrue(moved.members().contains(new Member("n-2", "b")));
    assertNull(Roster.NONE.next(zones, all, all), "the first one is written by whoever is first");
    Roster last = new Roster(List.of(new Member("n-0", "a")), 1, 1);
    assertNull(last.next(Map.of(), Set.of(), Set.of("n-1")), "somebody has to be there");
  }

  /** Whoever runs with old settings must not undo what one with new settings has done. */
  @Test
  void oldAndNewSettingsNeverGoBackAndForth() {
    Set<String> old = Set.of("n-0", "n-1", "n-2");
    Set<String> named = Set.of("n-0", "n-1", "n-3");
    Map<String, String> live = Map.of("n-0", "a", "n-1", "b", "n-3", "a");
    Roster r = THREE;
    int changes = 0;
    for (int turn = 0; turn < 10; turn++) {
      Roster next = r.next(live, live.keySet(), turn % 2 == 0 ? old : named);
      if (next != null) {
        changes++;
        r = next;
      }
    }
    assertEquals(2, changes, "one joins, one leaves");
    assertEquals(named, Set.copyOf(r.members().stream().map(Member::node).toList()));
  }
}
