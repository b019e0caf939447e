package dev.dunefront.book;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.peer.Detail;
import org.junit.jupiter.api.Test;

/**
 * The level of detail that a holder sends to each controller: everything, unless the controller has
 * recently subscribed to less.
 */
class InterestsTest {
  private final Interests interests = new Interests();

  @Test
  void aControllerWithoutASubscriptionReceivesEverything() {
    assertEquals(Detail.LOAD, interests.of("node-1", 5));
    assertFalse(
        interests.declared("node-1", Detail.STANDING, 5),
        "a lower level leaves no changes to be sent");
    assertEquals(Detail.STANDING, interests.of("node-1", 5));
  }

  @Test
  void aSubscriptionThatIsNotRenewedExpires() {
    interests.declared("node-1", Detail.STANDING, 5);
    assertEquals(Detail.STANDING, interests.of("node-1", 5 + Interests.LAPSE_S));
    assertEquals(Detail.LOAD, interests.of("node-1", 5.1 + Interests.LAPSE_S));
  }

  @Test
  void aHigherLevelIsReportedOnceHoweverOftenItIsRenewed() {
    interests.declared("node-1", Detail.STANDING, 5);
    assertTrue(interests.declared("node-1", Detail.ROOM, 6));
    assertFalse(interests.declared("node-1", Detail.ROOM, 6));
    assertFalse(interests.declared("node-1", Detail.STANDING, 7));
    assertEquals(Detail.STANDING, interests.of("node-1", 7));
  }

  @Test
  void aReconnectedControllerReceivesEverything() {
    interests.declared("node-1", Detail.STANDING, 5);
    interests.gone("node-1");
    assertEquals(Detail.LOAD, interests.of("node-1", 5));
  }
}
