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

/** What a controller asks the others to tell it of their machines, and when. */
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
    assertEquals(List.of("all ROOM"), sent);
    assertTrue(reliableAt > clock.now(), "what is known is old");
    clock.advance(CapacitySubscription.PROPAGATION_S + 0.01);
    assertEquals(1, reliableCalls, "and is looked at again");
    assertTrue(subscription.require(ViewDetail.CAPACITY) <= clock.now(), "it is not any more");
    assertEquals(1, sent.size(), "nothing new is declared");
    ticks(CapacitySubscription.NEED_EXPIRY_S + 0.5);
    assertEquals(List.of("all ROOM", "all STANDING"), sent);
  }

  @Test
  void declaresGreatestNeed() {
    subscription.require(ViewDetail.CAPACITY);
    subscription.require(ViewDetail.FULL);
    subscription.require(ViewDetail.CAPACITY);
    assertEquals(List.of("all ROOM", "all LOAD"), sent);
    for (int i = 0; i < 8; i++) {
      subscription.require(ViewDetail.CAPACITY);
      ticks(0.25);
    }
    assertTrue(sent.contains("all ROOM") && sent.get(2).equals("all ROOM"), sent.toString());
  }

  @Test
  void redeclaresPeriodicallyAndAfterReconnect() {
    ticks(3 * CapacitySubscription.REDECLARE_S);
    assertEquals(List.of("all STANDING", "all STANDING", "all STANDING"), sent);
    sent.clear();
    subscription.require(ViewDetail.FULL);
    subscription.peerConnected("node-1");
    assertEquals(List.of("all LOAD", "node-1 LOAD"), sent, "and to whoever is reached anew");
  }
}
