package dev.dunefront.book;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.peer.Detail;
import org.junit.jupiter.api.Test;

/** How much a holder tells each controller: everything, unless it has lately asked for less. */
class InterestsTest {
  private final Interests interests = new Interests();

  @Test
  void whoeverHasSaidNothingIsToldEverything() {
    assertEquals(Detail.LOAD, interests.of("node-1", 5));
    assertFalse(interests.declared("node-1", Detail.STANDING, 5), "nothing was missed");
    assertEquals(Detail.STANDING, interests.of("node-1", 5));
  }

  @Test
  void aDeclarationThatIsNotRepeatedLapses() {
    interests.declared("node-1", Detail.STANDING, 5);
    assertEquals(Detail.STANDING, interests.of("node-1", 5 + Interests.LAPSE_S));
    assertEquals(Detail.LOAD, interests.of("node-1", 5.1 + Interests.LAPSE_S));
  }

  @Test
  void aRiseIsNoticedOnceHoweverOftenItIsSaid() {
    interests.declared("node-1", Detail.STANDING, 5);
    assertTrue(interests.declared("node-1", Detail.ROOM, 6));
    assertFalse(interests.declared("node-1", Detail.ROOM, 6));
    assertFalse(interests.declared("node-1", Detail.STANDING, 7));
    assertEquals(Detail.STANDING, interests.of("node-1", 7));
  }

  @Test
  void anotherLifeBeginsWithEverything() {
    interests.declared("node-1", Detail.STANDING, 5);
    interests.gone("node-1");
    assertEquals(Detail.LOAD, interests.of("node-1", 5));
  }
}
