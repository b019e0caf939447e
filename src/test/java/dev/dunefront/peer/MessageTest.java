package dev.dunefront.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.dunefront.peer.Message.State;
import dev.dunefront.peer.Message.TaskState;
import dev.dunefront.peer.Message.Why;
import dev.dunefront.wire.Size;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Encoding of messages between controllers. */
class MessageTest {
  private static final List<Message> ALL =
      List.of(
          new Message.Hello("n"),
          new Message.Ping(),
          new Message.View(
              "h",
              "t",
              "z",
              true,
              3,
              4,
              5,
              true,
              false,
              true,
              false,
              true,
              false,
              6,
              new Size(1, 2, 3),
              List.of("img"),
              List.of(0, 1, 0, 2),
              List.of(0, 1, 0, 0),
              List.of(new TaskState("wk-1", 2, 3, State.EXITED, Why.DONE))),
          new Message.Interest(Detail.ROOM),
          new Message.LoanAsk(1, 2),
          new Message.Loan(1, 2),
          new Message.Unheld("h"),
          new Message.Progress(List.of(new Message.Count("wk-1", 2, 3, 4))),
          new Message.Want("h", "wk-1", 1, 2, new Size(1, 2, 3), 4),
          new Message.Offer(1, "h", "wk-1", 2, 3, 4),
          new Message.Decline(1, "h"),
          new Message.Taking(1, "h"),
          new Message.Start(1, "h", 2, 5, 6, "wk-1", 3, 4),
          new Message.Probe("h", 2, "wk-1", 3, 4),
          new Message.Absent("h", 2, 3, "wk-1", 4, 5),
          new Message.Stop("h", 3, "wk-1", 1, 2, 1.5),
          new Message.Clear("h", 3, "wk-1", 1, 2),
          new Message.Blame("h", "wk-1", Message.Blame.PROVEN),
          new Message.HoldAsk("h", 1, 2, 3),
          new Message.HoldSay("h", true, 0.5),
          new Message.Cancelled("wk-1"),
          new Message.Ended("wk-1", true),
          new Message.Health(true, 1.5, 2.5, 3, 0.5),
          new Message.Preempt("h", 1, new Size(1, 2, 3), 4),
          new Message.Retire("h", 4),
          new Message.DutyTerm("rent", 5),
          new Message.Demand(
              List.of(new Message.Waiting("wk-1", 3, Map.of("z", 2))), List.of("h")));

  @Test
  void everyRecordIsReadBackAsWritten() throws IOException {
    for (Message m : ALL) {
      assertEquals(m, Records.decode(Records.encode(m)));
    }
  }

  @Test
  void garbledRecordsAreRefused() {
    for (Message m : ALL) {
      byte[] valid = Records.encode(m);
      assertThrows(IOException.class, () -> Records.decode(Arrays.copyOf(valid, valid.length + 1)));
      byte[] truncated = Arrays.copyOf(valid, valid.length - 1);
      assertThrows(IOException.class, () -> Records.decode(truncated));
    }
    assertThrows(IOException.class, () -> Records.decode(new byte[] {99}));
  }
}
