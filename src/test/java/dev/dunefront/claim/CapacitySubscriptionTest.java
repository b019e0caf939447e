package dev.dunefront.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.net.FakeClock;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.peer.ViewDetail;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which level of detail a controller requests from the others, and when it is sent. */
class CapacitySubscriptionTest {
  private final FakeClock clock = new FakeClock();
  private final List<String> sent = new ArrayList<>();
  private int reliableCalls;
  private final CapacitySubscription subscription =
      new CapacitySubscription(
          new Peers() {
            @Override
            public void send(String node, Message message) {
              sent.add(node + " " + ((Message.ViewSubscription) message).detail());
            }

            @Override
            public void broadcast(Message message) {
              send("all", message);
            }
          },
          clock,
          () -> reliableCalls++);

  private void ticks(double seconds) {
    for (double passed = 0; passed < seconds; passed += 0.25) {
      subscription.tick();
      clock.advance(0.25);
    }
  }

  @Test
  void declaresNeedImmediatelyAndLetsItExpire() {
    subscription.tick();
    sent.clear();
    double reliableAt = subscription.require(ViewDetail.CAPACITY);
    assertEquals(List.of("all CAPACITY"), sent);
    assertTrue(reliableAt > clock.now(), "the known views are outdated");
    clock.advance(CapacitySubscription.PROPAGATION_S + 0.01);
    assertEquals(1, reliableCalls, "the callback runs once the views are reliable");
    assertTrue(
        subscription.require(ViewDetail.CAPACITY) <= clock.now(), "the views are reliable now");
    assertEquals(1, sent.size(), "an unchanged level is not sent again");
    ticks(CapacitySubscription.NEED_EXPIRY_S + 0.5);
    assertEquals(List.of("all CAPACITY", "all STATUS"), sent);
  }

  @Test
  void declaresGreatestNeed() {
    subscription.require(ViewDetail.CAPACITY);
    subscription.require(ViewDetail.FULL);
    subscription.require(ViewDetail.CAPACITY);
    assertEquals(List.of("all CAPACITY", "all FULL"), sent);
    for (int i = 0; i < 8; i++) {
      subscription.require(ViewDetail.CAPACITY);
      ticks(0.25);
    }
    assertTrue(
        sent.contains("all CAPACITY") && sent.get(2).equals("all CAPACITY"), sent.toString());
  }

  @Test
  void redeclaresPeriodicallyAndAfterReconnect() {
    ticks(3 * CapacitySubscription.REDECLARE_S);
    assertEquals(List.of("all STATUS", "all STATUS", "all STATUS"), sent);
    sent.clear();
    subscription.require(ViewDetail.FULL);
    subscription.peerConnected("node-1");
    assertEquals(List.of("all FULL", "node-1 FULL"), sent, "also sent to a reconnected controller");
  }
}
