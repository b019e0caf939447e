package dev.dunefront.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.net.FakeClock;
import dev.dunefront.peer.Detail;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which level of detail a controller requests from the others, and when it is sent. */
class RoomInterestTest {
  private final FakeClock clock = new FakeClock();
  private final List<String> said = new ArrayList<>();
  private int settled;
  private final RoomInterest interest =
      new RoomInterest(
          new Peers() {
            @Override
            public void send(String node, Message message) {
              said.add(node + " " + ((Message.Interest) message).detail());
            }

            @Override
            public void broadcast(Message message) {
              send("all", message);
            }
          },
          clock,
          () -> settled++);

  private void ticks(double seconds) {
    for (double passed = 0; passed < seconds; passed += 0.25) {
      interest.tick();
      clock.pass(0.25);
    }
  }

  @Test
  void aNeedIsDeclaredAtOnceAndLapsesByItself() {
    interest.tick();
    said.clear();
    double reliableAt = interest.need(Detail.ROOM);
    assertEquals(List.of("all ROOM"), said);
    assertTrue(reliableAt > clock.now(), "the known views are outdated");
    clock.pass(RoomInterest.SETTLE_S + 0.01);
    assertEquals(1, settled, "the callback runs once the views are reliable");
    assertTrue(interest.need(Detail.ROOM) <= clock.now(), "the views are reliable now");
    assertEquals(1, said.size(), "an unchanged level is not sent again");
    ticks(RoomInterest.LINGER_S + 0.5);
    assertEquals(List.of("all ROOM", "all STANDING"), said);
  }

  @Test
  void theGreaterOfTwoNeedsIsDeclared() {
    interest.need(Detail.ROOM);
    interest.need(Detail.LOAD);
    interest.need(Detail.ROOM);
    assertEquals(List.of("all ROOM", "all LOAD"), said);
    for (int i = 0; i < 8; i++) {
      interest.need(Detail.ROOM);
      ticks(0.25);
    }
    assertTrue(said.contains("all ROOM") && said.get(2).equals("all ROOM"), said.toString());
  }

  @Test
  void whatHoldsIsDeclaredAgainAndAgain() {
    ticks(3 * RoomInterest.REPEAT_S);
    assertEquals(List.of("all STANDING", "all STANDING", "all STANDING"), said);
    said.clear();
    interest.need(Detail.LOAD);
    interest.reached("node-1");
    assertEquals(List.of("all LOAD", "node-1 LOAD"), said, "also sent to a reconnected controller");
  }
}
