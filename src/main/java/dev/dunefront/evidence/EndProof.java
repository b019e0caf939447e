package dev.dunefront.evidence;

import dev.dunefront.peer.Message.ExitReason;
import dev.dunefront.peer.Message.MachineView;
import dev.dunefront.peer.Message.TaskStatus;

/**
 * A proof that an attempt of a task has ended, and the evidence for it. A task may be placed again
 * only once its last attempt has such a proof. No attempt ends otherwise, and proofs are created
 * only here.
 *
 * @param kind the kind of evidence
 * @param exitReason why the attempt exited; {@link ExitReason#NONE} for every kind but {@link
 *     Kind#EXITED}
 * @param basis the source and age of the evidence
 */
public record EndProof(Kind kind, ExitReason exitReason, Basis basis) {
  /** The evidence that an attempt has ended. */
  public enum Kind {
    /** The worker has reported that the attempt has exited. */
    EXITED(false),
    /**
     * The worker is in a later session than the one in which the attempt was placed. A restarted
     * worker counts its sessions from 1 again; a session of an earlier boot is never published
     * after the restart, see {@link WorkerBoot}, and if the holder has noticed the restart, what it
     * published before refers to an older revision of the hold record.
     */
    LATER_SESSION(true),
    /** The lease of the session in which the attempt was placed has expired. */
    LEASE_OVER(true),
    /** The holder does not have the attempt and will never start it. */
    DENIED(true),
    /** The cloud has confirmed the deletion of the machine. */
    MACHINE_DELETED(false);

    private final boolean conditional;

    Kind(boolean conditional) {
      this.conditional = conditional;
    }
  }

  /**
   * An attempt as it was recorded when it was placed.
   *
   * @param number number of the attempt, counted for each task
   * @param host machine on which it was placed
   * @param session session of that machine's worker in which it was placed
   */
  public record Attempt(long number, String host, long session) {}

  /**
   * The source of a proof.
   *
   * @param holder controller that held the machine
   * @param token fencing token of that hold
   * @param session session of the worker to which the evidence refers
   * @param holdRevision revision of the hold record, as known to the holder
   * @param ageS seconds since the evidence was received here
   */
  public record Basis(String holder, long token, long session, long holdRevision, double ageS) {
    private static final Basis NONE = new Basis("", 0, 0, 0, 0);

    /** The basis of evidence from a holder's view that was received this many seconds ago. */
    public static Basis of(String holder, MachineView view, double ageS) {
      return new Basis(holder, view.token(), view.session(), view.holdRevision(), ageS);
    }
  }

  /**
   * Looks for a proof in a view of the attempt's machine.
   *
   * @param shown the attempt's state in the view, or null if the view does not show it
   * @return the proof, or null if the view proves nothing about this attempt
   */
  public static EndProof find(Attempt attempt, TaskStatus shown, MachineView view, Basis basis) {
    if (basis.session > attempt.session) {
      return new EndProof(Kind.LATER_SESSION, ExitReason.NONE, basis);
    }
    if (shown != null && shown.exited()) {
      return new EndProof(Kind.EXITED, shown.exitReason(), basis);
    }
    if (view.leaseExpired() && basis.session == attempt.session) {
      // The last report may still show the task, but the lease of its session has certainly
      // expired. An expired lease of an earlier session proves nothing: the holder offers room as
      // soon as a new session begins and publishes the session later, so an attempt placed in the
      // new session may be compared with a view of the old one.
      return new EndProof(Kind.LEASE_OVER, ExitReason.NONE, basis);
    }
    return null;
  }

  /** The proof that the holder has denied the attempt, which it refuses to start from then on. */
  public static EndProof denied(Basis basis) {
    return new EndProof(Kind.DENIED, ExitReason.NONE, basis);
  }

  /** The proof that the machine's deletion is recorded. */
  public static EndProof machineDeleted() {
    return new EndProof(Kind.MACHINE_DELETED, ExitReason.NONE, Basis.NONE);
  }

  /**
   * Whether the proof is valid only while the hold record is unchanged since the revision in its
   * basis. The transaction that records the end has to check that.
   */
  public boolean conditional() {
    return kind.conditional;
  }

  /**
   * Whether the evidence is valid for this attempt: it refers to the session in which the attempt
   * was placed, or to a later one for {@link Kind#LATER_SESSION}.
   */
  public boolean appliesTo(Attempt attempt) {
    return switch (kind) {
      case MACHINE_DELETED -> true;
      case LATER_SESSION -> basis.session > attempt.session;
      case EXITED, LEASE_OVER, DENIED -> basis.session == attempt.session;
    };
  }

  /** The proof in a form for log messages. */
  @Override
  public String toString() {
    if (kind == Kind.MACHINE_DELETED) {
      return kind.toString();
    }
    return kind
        + " (holder "
        + basis.holder
        + ", token "
        + basis.token
        + ", session "
        + basis.session
        + ", hold revision "
        + basis.holdRevision
        + ", "
        + Math.round(basis.ageS * 1000)
        + " ms old)";
  }
}
