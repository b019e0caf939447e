package dev.dunefront.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.dunefront.peer.Message.ExitReason;
import dev.dunefront.peer.Message.TaskState;
import dev.dunefront.peer.Message.TaskStatus;
import dev.dunefront.wire.Resources;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Encoding of messages between controllers. */
class MessageCodecTest {
  private static final List<Message> ALL =
      List.of(
          new Message.Hello("n"),
          new Message.Ping(),
          new Message.MachineView(
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
              new Resources(1, 2, 3),
              List.of("img"),
              List.of(0, 1, 0, 2),
              List.of(0, 1, 0, 0),
              List.of(new TaskStatus("wk-1", 2, 3, TaskState.EXITED, ExitReason.DONE))),
          new Message.ViewSubscription(ViewDetail.CAPACITY),
          new Message.LoanRequest(1, 2),
          new Message.Loan(1, 2),
          new Message.HoldReleased("h"),
          new Message.JobProgress(List.of(new Message.JobCounts("wk-1", 2, 3, 4))),
          new Message.Want("h", "wk-1", 1, 2, new Resources(1, 2, 3), 4),
          new Message.Offer(1, "h", "wk-1", 2, 3, 4),
          new Message.DeclineOffer(1, "h"),
          new Message.ReserveOffer(1, "h"),
          new Message.StartTask(1, "h", 2, 5, 6, "wk-1", 3, 4),
          new Message.AttemptQuery("h", 2, "wk-1", 3, 4),
          new Message.AttemptAbsent("h", 2, 3, "wk-1", 4, 5),
          new Message.StopTask("h", 3, "wk-1", 1, 2, 1.5),
          new Message.ClearTask("h", 3, "wk-1", 1, 2),
          new Message.FailureReport("h", "wk-1", Message.FailureReport.PROVEN),
          new Message.HoldQuery("h", 1, 2, 3),
          new Message.HoldStatus("h", true, 0.5),
          new Message.JobCancelled("wk-1"),
          new Message.JobEnded("wk-1", true),
          new Message.ControllerStatus(true, 1.5, 2.5, 3, 0.5),
          new Message.PreemptTasks("h", 1, new Resources(1, 2, 3), 4),
          new Message.RetireMachine("h", 4),
          new Message.DutyTerm("rent", 5),
          new Message.Demand(
              List.of(new Message.PendingTasks("wk-1", 3, Map.of("z", 2))), List.of("h")));

  @Test
  void everyRecordIsReadBackAsWritten() throws IOException {
    for (Message m : ALL) {
      assertEquals(m, MessageCodec.decode(MessageCodec.encode(m)));
    }
  }

  @Test
  void malformedRecordsAreRejected() {
    for (Message m : ALL) {
      byte[] valid = MessageCodec.encode(m);
      assertThrows(
          IOException.class, () -> MessageCodec.decode(Arrays.copyOf(valid, valid.length + 1)));
      byte[] truncated = Arrays.copyOf(valid, valid.length - 1);
      assertThrows(IOException.class, () -> MessageCodec.decode(truncated));
    }
    assertThrows(IOException.class, () -> MessageCodec.decode(new byte[] {99}));
  }
}
