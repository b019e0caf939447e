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
class ViewSubscriptionsTest {
  private final ViewSubscriptions subscriptions = new ViewSubscriptions();

  @Test
  void aControllerWithoutASubscriptionReceivesEverything() {
    assertEquals(ViewDetail.FULL, subscriptions.detailFor("node-1", 5));
    assertFalse(
        subscriptions.subscribe("node-1", ViewDetail.STATUS, 5),
        "a lower level leaves no changes to be sent");
    assertEquals(ViewDetail.STATUS, subscriptions.detailFor("node-1", 5));
  }

  @Test
  void aSubscriptionThatIsNotRenewedExpires() {
    subscriptions.subscribe("node-1", ViewDetail.STATUS, 5);
    assertEquals(
        ViewDetail.STATUS,
        subscriptions.detailFor("node-1", 5 + ViewSubscriptions.SUBSCRIPTION_TTL_S));
    assertEquals(
        ViewDetail.FULL,
        subscriptions.detailFor("node-1", 5.1 + ViewSubscriptions.SUBSCRIPTION_TTL_S));
  }

  @Test
  void aHigherLevelIsReportedOnceHoweverOftenItIsRenewed() {
    subscriptions.subscribe("node-1", ViewDetail.STATUS, 5);
    assertTrue(subscriptions.subscribe("node-1", ViewDetail.CAPACITY, 6));
    assertFalse(subscriptions.subscribe("node-1", ViewDetail.CAPACITY, 6));
    assertFalse(subscriptions.subscribe("node-1", ViewDetail.STATUS, 7));
    assertEquals(ViewDetail.STATUS, subscriptions.detailFor("node-1", 7));
  }

  @Test
  void aReconnectedControllerReceivesEverything() {
    subscriptions.subscribe("node-1", ViewDetail.STATUS, 5);
    subscriptions.remove("node-1");
    assertEquals(ViewDetail.FULL, subscriptions.detailFor("node-1", 5));
  }
}
