package dev.dunefront.evidence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.evidence.EndProof.Attempt;
import dev.dunefront.evidence.EndProof.Basis;
import dev.dunefront.evidence.EndProof.Kind;
import dev.dunefront.peer.Message.ExitReason;
import dev.dunefront.peer.Message.MachineView;
import dev.dunefront.peer.Message.TaskState;
import dev.dunefront.peer.Message.TaskStatus;
import dev.dunefront.wire.Resources;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a view proves about an attempt that was placed in the second session of a worker. */
class EndProofTest {
  private static final long HOLD_REVISION = 40;
  private static final Attempt PLACED = new Attempt(3, "host-1", 2);

  private static MachineView view(long session, boolean lost) {
    List<Integer> none = List.of(0, 0, 0, 0);
    return new MachineView(
        "host-1",
        "small",
        "a",
        false,
        5,
        HOLD_REVISION,
        session,
        true,
        lost,
        !lost,
        false,
        false,
        false,
        0,
        Resources.NONE,
        List.of(),
        none,
        none,
        List.of());
  }

  private static EndProof find(long session, boolean lost, TaskStatus shown) {
    MachineView view = view(session, lost);
    return EndProof.find(PLACED, shown, view, Basis.of("node-0", view, 0.1));
  }

  private static TaskStatus shown(TaskState state, ExitReason why) {
    return new TaskStatus("wk-1", 0, PLACED.number(), state, why);
  }

  @Test
  void anExpiredLeaseProvesTheEndOnlyInItsOwnSession() {
    assertNull(find(1, true, null));
    EndProof proof = find(2, true, shown(TaskState.RUNNING, ExitReason.NONE));
    assertEquals(Kind.LEASE_OVER, proof.kind());
    assertTrue(proof.conditional(), "another holder may be receiving the machine's reports");
    assertEquals(HOLD_REVISION, proof.basis().holdRevision());
  }

  @Test
  void aLaterSessionProvesTheEndOnlyUnderItsHold() {
    EndProof proof = find(3, false, null);
    assertEquals(Kind.LATER_SESSION, proof.kind());
    assertTrue(proof.conditional(), "the session may be from before a restart of the worker");
  }

  @Test
  void anAttemptShownRunningOrNotShownProvesNothing() {
    assertNull(find(2, false, shown(TaskState.RUNNING, ExitReason.NONE)));
    assertNull(find(2, false, null));
    assertNull(find(1, false, null));
  }

  @Test
  void aReportedExitIsUnconditional() {
    EndProof proof = find(2, false, shown(TaskState.EXITED, ExitReason.DONE));
    assertEquals(Kind.EXITED, proof.kind());
    assertEquals(ExitReason.DONE, proof.exitReason());
    assertFalse(proof.conditional());
  }

  @Test
  void aProofOfAnotherSessionDoesNotApplyToTheAttempt() {
    Basis former = Basis.of("node-0", view(1, true), 0.1);
    assertFalse(new EndProof(Kind.LEASE_OVER, ExitReason.NONE, former).appliesTo(PLACED));
    assertFalse(new EndProof(Kind.LATER_SESSION, ExitReason.NONE, former).appliesTo(PLACED));
    assertFalse(new EndProof(Kind.EXITED, ExitReason.DONE, former).appliesTo(PLACED));
    assertTrue(EndProof.machineDeleted().appliesTo(PLACED));
  }
}
