package dev.dunefront.evidence;

import dev.dunefront.peer.Message.ExitReason;
import dev.dunefront.peer.Message.MachineView;
import dev.dunefront.peer.Message.TaskStatus;

/**
 * A proof that an attempt of a task is over, and what it rests on. A task may be placed again only
 * once there is one for its last attempt, so nothing else may end an attempt, and proofs are made
 * here alone.
 *
 * @param kind what proves it
 * @param exitReason why the attempt exited; {@link ExitReason#NONE} for every kind but {@link
 *     Kind#EXITED}
 * @param basis who said what it rests on, and when
 */
public record EndProof(Kind kind, ExitReason exitReason, Basis basis) {
  /** What proves that an attempt is over. */
  public enum Kind {
    /** Its worker has reported that it has exited. */
    EXITED(false),
    /**
     * Its worker is in a later session than the one in which it was placed. A worker that begins
     * anew counts its sessions from 1 again, but its holder raises the token before it gives it
     * work; so whatever was said of its former life names an older record of the hold.
     */
    LATER_SESSION(true),
    /** The lease of the session in which it was placed is over. */
    LEASE_OVER(true),
    /** The holder does not have it and will never start it. */
    DENIED(true),
    /** The cloud has confirmed that its machine is deleted. */
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
   * @param session session of that machine's worker for which it was placed
   */
  public record Attempt(long number, String host, long session) {}

  /**
   * Who said what a proof rests on.
   *
   * @param holder controller that held the machine
   * @param token its fencing token for the machine
   * @param session session of the worker that it spoke of
   * @param holdRevision version of the record of who holds the machine, as the holder knew it
   * @param ageS seconds since that was received here
   */
  public record Basis(String holder, long token, long session, long holdRevision, double ageS) {
    private static final Basis NONE = new Basis("", 0, 0, 0, 0);

    /** The basis of what a holder's view says that was received so many seconds ago. */
    public static Basis of(String holder, MachineView view, double ageS) {
      return new Basis(holder, view.token(), view.session(), view.holdRevision(), ageS);
    }
  }

  /**
   * Looks for a proof in what a holder says of the attempt's machine.
   *
   * @param shown the attempt's state in the view, or null if the view does not show it
   * @return the proof, or null if the view proves nothing of this attempt
   */
  public static EndProof find(Attempt attempt, TaskStatus shown, MachineView view, Basis basis) {
    if (basis.session > attempt.session) {
      return new EndProof(Kind.LATER_SESSION, ExitReason.NONE, basis);
    }
    if (shown != null && shown.exited()) {
      return new EndProof(Kind.EXITED, shown.exitReason(), basis);
    }
    if (view.leaseExpired() && basis.session == attempt.session) {
      // The last report may still show the task, but the lease of its session is surely over. That
      // of an earlier one says nothing: the holder deals room as soon as a new session begins, and
      // tells of it later, so an attempt of the new session may meet the view of the old.
      return new EndProof(Kind.LEASE_OVER, ExitReason.NONE, basis);
    }
    return null;
  }

  /** The holder has denied the attempt, and refuses it from then on. */
  public static EndProof denied(Basis basis) {
    return new EndProof(Kind.DENIED, ExitReason.NONE, basis);
  }

  /** The machine's deletion is on record. */
  public static EndProof machineDeleted() {
    return new EndProof(Kind.MACHINE_DELETED, ExitReason.NONE, Basis.NONE);
  }

  /**
   * Whether the proof holds only while the record of who holds the machine is still the one that
   * its basis names; the transaction that records the end has to check that.
   */
  public boolean conditional() {
    return kind.conditional;
  }

  /** Whether it speaks of the session in which the attempt was placed, or of its end. */
  public boolean appliesTo(Attempt attempt) {
    return switch (kind) {
      case MACHINE_DELETED -> true;
      case LATER_SESSION -> basis.session > attempt.session;
      case EXITED, LEASE_OVER, DENIED -> basis.session == attempt.session;
    };
  }

  /** The facts, for the log. */
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
        + ", hold stamp "
        + basis.holdRevision
        + ", "
        + Math.round(basis.ageS * 1000)
        + " ms old)";
  }
}
