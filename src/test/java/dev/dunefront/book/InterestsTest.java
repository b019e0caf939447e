package dev.dunefront.book;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.peer.ViewDetail;
import org.junit.jupiter.api.Test;

/** How much a holder tells each controller: everything, unless it has lately asked for less. */
class InterestsTest {
  private final ViewSubscriptions interests = new ViewSubscriptions();

  @Test
  void whoeverHasSaidNothingIsToldEverything() {
    assertEquals(ViewDetail.FULL, interests.detailFor("node-1", 5));
    assertFalse(interests.subscribe("node-1", ViewDetail.STATUS, 5), "nothing was missed");
    assertEquals(ViewDetail.STATUS, interests.detailFor("node-1", 5));
  }

  @Test
  void aDeclarationThatIsNotRepeatedLapses() {
    interests.subscribe("node-1", ViewDetail.STATUS, 5);
    assertEquals(
        ViewDetail.STATUS, interests.detailFor("node-1", 5 + ViewSubscriptions.SUBSCRIPTION_TTL_S));
    assertEquals(
        ViewDetail.FULL, interests.detailFor("node-1", 5.1 + ViewSubscriptions.SUBSCRIPTION_TTL_S));
  }

  @Test
  void aRiseIsNoticedOnceHoweverOftenItIsSaid() {
    interests.subscribe("node-1", ViewDetail.STATUS, 5);
    assertTrue(interests.subscribe("node-1", ViewDetail.CAPACITY, 6));
    assertFalse(interests.subscribe("node-1", ViewDetail.CAPACITY, 6));
    assertFalse(interests.subscribe("node-1", ViewDetail.STATUS, 7));
    assertEquals(ViewDetail.STATUS, interests.detailFor("node-1", 7));
  }

  @Test
  void anotherLifeBeginsWithEverything() {
    interests.subscribe("node-1", ViewDetail.STATUS, 5);
    interests.remove("node-1");
    assertEquals(ViewDetail.FULL, interests.detailFor("node-1", 5));
  }
}
