package dev.dunefront.peer;

import dev.dunefront.wire.Priority;
import dev.dunefront.wire.Resources;
import java.util.List;
import java.util.Map;

/**
 * What controllers tell each other. A task is named by job and number; a hold by its token, which
 * is never used twice for one machine; a claim by its term, which rises whenever a job changes
 * hands. Whatever acts on a machine names these, for its sender may have stood still since it knew
 * them (the table in docs/design.md).
 */
public sealed interface Message {

  /** Opens a link: who speaks. */
  record Hello(String node) implements Message {}

  /** Keeps a link from falling silent; echoed. */
  record Ping() implements Message {}

  /** A task on a machine as its holder knows it; PENDING means that its start is under way. */
  record TaskStatus(String job, int number, long attempt, State state, ExitReason exitReason) {
    public boolean exited() {
      return state == State.EXITED;
    }

    @Override
    public boolean equals(Object o) {
      return o instanceof TaskStatus t
          && number == t.number
          && attempt == t.attempt
          && state == t.state
          && exitReason == t.exitReason
          && job.equals(t.job);
    }

    @Override
    public int hashCode() {
      return 31 * job.hashCode() + number;
    }
  }

  /** The state of a task on a machine; PENDING: its start is under way. */
  enum State {
    PENDING,
    FETCHING,
    RUNNING,
    SAVING,
    EXITED
  }

  /** Why a task ended; NONE while it has not. */
  enum ExitReason {
    NONE,
    DONE,
    STOPPED,
    FAILED,
    REFUSED
  }

  /**
   * A held machine, told when something has changed that the receiver wants to hear of ({@link
   * ViewSubscription}), and those of its tasks whose jobs the receiver has claimed.
   */
  record MachineView(
      String host,
      String type,
      String zone,
      boolean spot,
      long token,
      long holdRevision,
      long session,
      /** The worker has reported under this token and no order is in doubt. */
      boolean tokenAcknowledged,
      /** The lease of this session is surely over. */
      boolean leaseExpired,
      /** Room is being dealt. */
      boolean schedulable,
      /** Several jobs fail on it that run elsewhere. */
      boolean quarantined,
      /** Nothing runs on it and no room is dealt, for it is about to be returned. */
      boolean retiring,
      /** Its reports come, but nothing that is said to it arrives. */
      boolean unresponsive,
      /** Time of day since when nothing has run on it while it was open; 0 while that is not so. */
      long idleSinceMs,
      Resources free,
      List<String> images,
      /** Unfinished tasks on it, by priority. */
      List<Integer> unfinishedByPriority,
      /** Those of them that may give way: they began just now, or yield to whatever comes. */
      List<Integer> preemptibleByPriority,
      List<TaskStatus> tasks)
      implements Message {
    /** Whether the other says the same of the hold, the session and the machine's condition. */
    boolean sameStatus(MachineView o) {
      return token == o.token
          && holdRevision == o.holdRevision
          && session == o.session
          && tokenAcknowledged == o.tokenAcknowledged
          && leaseExpired == o.leaseExpired
          && schedulable == o.schedulable
          && quarantined == o.quarantined
          && retiring == o.retiring
          && unresponsive == o.unresponsive;
    }

    /** Whether the other says the same of the machine itself, whatever tasks it shows. */
    boolean sameMachineState(MachineView o) {
      return sameStatus(o)
          && idleSinceMs == o.idleSinceMs
          && free.equals(o.free)
          && images.equals(o.images)
          && unfinishedByPriority.equals(o.unfinishedByPriority)
          && preemptibleByPriority.equals(o.preemptibleByPriority);
    }

    /** Whether anything may fit right now. */
    public boolean hasFreeCapacity() {
      return schedulable && (free.cpu() > 0 || free.gpu() > 0);
    }

    /** How many young tasks there are of a lower priority. */
    public int preemptibleBelow(Priority priority) {
      int n = 0;
      for (int p = priority.ordinal() + 1; p < preemptibleByPriority.size(); p++) {
        n += preemptibleByPriority.get(p);
      }
      return n;
    }

    /** How many tasks of the lowest priority may give way. */
    public int preemptibleBestEffort() {
      int lowest = Priority.BEST_EFFORT.ordinal();
      return lowest < preemptibleByPriority.size() ? preemptibleByPriority.get(lowest) : 0;
    }

    /** Whether urgent tasks are on it. */
    public boolean hasUrgentTasks() {
      for (Priority p : Priority.values()) {
        if (p.urgent()
            && p.ordinal() < unfinishedByPriority.size()
            && unfinishedByPriority.get(p.ordinal()) > 0) {
          return true;
        }
      }
      return false;
    }

    /** Whether nothing runs or is about to. */
    public boolean idle() {
      for (int n : unfinishedByPriority) {
        if (n != 0) {
          return false;
        }
      }
      return true;
    }

    public MachineView withTasks(List<TaskStatus> shown) {
      return new MachineView(
          host,
          type,
          zone,
          spot,
          token,
          holdRevision,
          session,
          tokenAcknowledged,
          leaseExpired,
          schedulable,
          quarantined,
          retiring,
          unresponsive,
          idleSinceMs,
          free,
          images,
          unfinishedByPriority,
          preemptibleByPriority,
          shown);
    }
  }

  /**
   * How much the sender wants to hear of the receiver's machines, until it says otherwise. Said
   * again and again, for a receiver that has not heard it lately tells everything.
   */
  record ViewSubscription(ViewDetail detail) implements Message {}

  /** The sender no longer holds the machine. */
  record HoldReleased(String host) implements Message {}

  /**
   * Parks wants for tasks of a job in a machine's book; a count of 0 withdraws them. The rank, 0
   * being first, orders wants within a priority by how much is still to be won by serving them.
   */
  record Want(String host, String job, int priority, int rank, Resources size, int count)
      implements Message {}

  /** Room for one task of the job is set aside. */
  record Offer(long offerId, String host, String job, long token, long holdRevision, long session)
      implements Message {}

  /** The offer is not taken; its room is free again. */
  record DeclineOffer(long offerId, String host) implements Message {}

  /** The offer is being taken: its room is kept until the placement is recorded. */
  record ReserveOffer(long offerId, String host) implements Message {}

  /**
   * Takes an offer: the placement is recorded, for this session of the worker alone, and the task
   * may be started in it.
   */
  record StartTask(
      long offerId,
      String host,
      long token,
      long session,
      long term,
      String job,
      int number,
      long attempt)
      implements Message {}

  /** Asks whether an attempt that the holder's view lacks is surely gone. */
  record AttemptQuery(String host, long term, String job, int number, long attempt)
      implements Message {}

  /** It is, and the holder will never start it under this token. */
  record AttemptAbsent(
      String host, long token, long holdRevision, String job, int number, long attempt)
      implements Message {}

  /** Ends an attempt, with so many seconds to save. */
  record StopTask(String host, long term, String job, int number, long attempt, double graceS)
      implements Message {}

  /** The end of the attempt is recorded; the worker may forget it. */
  record ClearTask(String host, long term, String job, int number, long attempt)
      implements Message {}

  /**
   * Tasks of the job have failed on the machine. With a weight of {@link #PROVEN} the job runs
   * elsewhere; with {@link #UNPROVEN} nothing of it has been done yet; with {@link #WITHDRAWN} it
   * fails wherever it runs, and says nothing of the machine.
   */
  record FailureReport(String host, String job, int weight) implements Message {
    public static final int WITHDRAWN = 0;
    public static final int UNPROVEN = 1;
    public static final int PROVEN = 2;
  }

  /**
   * A machine that the receiver holds has reported here, in this session with this serial and
   * having seen this token: does the receiver still hear it?
   */
  record HoldQuery(String host, long session, long serial, long token) implements Message {}

  /** Answers HoldAsk: whether the sender holds the machine, and when it last heard it. */
  record HoldStatus(String host, boolean held, double lastReportAgeS) implements Message {}

  /** The job's final state is recorded: it is done, or else cancelled. */
  record JobEnded(String job, boolean done) implements Message {}

  /** A user was told that the job is cancelled. */
  record JobCancelled(String job) implements Message {}

  /**
   * What a controller has waiting, for whoever rents machines, and machines on which it has placed
   * tasks and of which nobody tells.
   */
  record Demand(List<PendingTasks> pending, List<String> unreportedHosts) implements Message {}

  /**
   * So many tasks wait for room. Where a job's tasks must be together or apart, {@code zones} says
   * how many of them each zone may still take.
   */
  record PendingTasks(String job, int count, Map<String, Integer> roomByZone) {}

  /**
   * A machine that is to be returned: if nothing is on it, it is closed for some seconds. Names the
   * term of the duty for which it is sent.
   */
  record RetireMachine(String host, long term) implements Message {}

  /** The highest term of a duty that the sender knows, told to whoever acted in a lower one. */
  record DutyTerm(String duty, long term) implements Message {}

  /** What has changed in the task counts of the sender's jobs, for users who ask elsewhere. */
  record JobProgress(List<JobCounts> counts) implements Message {}

  /** {@code placed} counts tasks that run or are about to; {@code running} those that run. */
  record JobCounts(String job, int done, int running, int placed) {}

  /** Asks to stop young tasks of lower priority, so that so many tasks of this size find room. */
  record Preempt(String host, int priority, Resources size, int count) implements Message {}

  /** The sender lacks changes of the state service's rate for what waits there. */
  record LoanRequest(long requestNumber, int writes) implements Message {}

  /** The sender gives so many of its own, to be used at once. */
  record Loan(long requestNumber, int writes) implements Message {}

  /**
   * Whether the state service serves the sender, how much of it the sender asks a second, and how
   * many machines the sender holds, and by how much its timers are late.
   */
  record ControllerStatus(
      boolean stateAvailable,
      double requestsPerS,
      double writesPerS,
      int heldMachines,
      double timerLagS)
      implements Message {}
}
