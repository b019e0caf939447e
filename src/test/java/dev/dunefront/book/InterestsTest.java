package dev.dunefront.book;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.peer.ViewDetail;
import org.junit.jupiter.api.Test;

/**
 * The level of detail that a holder sends to each controller: everything, unless the controller has
 * recently subscribed to less.
 */
class InterestsTest {
  private final ViewSubscriptions interests = new ViewSubscriptions();

  @Test
  void aControllerWithoutASubscriptionReceivesEverything() {
    assertEquals(ViewDetail.FULL, interests.detailFor("node-1", 5));
    assertFalse(
        interests.subscribe("node-1", ViewDetail.STATUS, 5),
        "a lower level leaves no changes to be sent");
    assertEquals(ViewDetail.STATUS, interests.detailFor("node-1", 5));
  }

  @Test
  void aSubscriptionThatIsNotRenewedExpires() {
    interests.subscribe("node-1", ViewDetail.STATUS, 5);
    assertEquals(
        ViewDetail.STATUS, interests.detailFor("node-1", 5 + ViewSubscriptions.SUBSCRIPTION_TTL_S));
    assertEquals(
        ViewDetail.FULL, interests.detailFor("node-1", 5.1 + ViewSubscriptions.SUBSCRIPTION_TTL_S));
  }

  @Test
  void aHigherLevelIsReportedOnceHoweverOftenItIsRenewed() {
    interests.subscribe("node-1", ViewDetail.STATUS, 5);
    assertTrue(interests.subscribe("node-1", ViewDetail.CAPACITY, 6));
    assertFalse(interests.subscribe("node-1", ViewDetail.CAPACITY, 6));
    assertFalse(interests.subscribe("node-1", ViewDetail.STATUS, 7));
    assertEquals(ViewDetail.STATUS, interests.detailFor("node-1", 7));
  }

  @Test
  void aReconnectedControllerReceivesEverything() {
    interests.subscribe("node-1", ViewDetail.STATUS, 5);
    interests.remove("node-1");
    assertEquals(ViewDetail.FULL, interests.detailFor("node-1", 5));
  }
}
