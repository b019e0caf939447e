package dev.dunefront.peer;

import dev.dunefront.wire.Priority;
import dev.dunefront.wire.Resources;
import java.util.List;
import java.util.Map;

/**
 * Messages between controllers. A task is identified by job and number, a hold by its fencing
 * token, which is never reused for the same machine, and a claim by its term, which increases
 * whenever a job changes its owner. Messages that act on a machine carry these, because the sender
 * may have been paused after it read them (see the table in docs/design.md).
 */
public sealed interface Message {

  /** First message on a link; identifies the sender. */
  record Hello(String node) implements Message {}

  /** Keeps an idle link alive; the receiver echoes it. */
  record Ping() implements Message {}

  /** A task on a machine as its holder knows it; PENDING means that its start is in progress. */
  record TaskStatus(String job, int number, long attempt, TaskState state, ExitReason exitReason) {
    public boolean exited() {
      return state == TaskState.EXITED;
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

  /** State of a task on a machine; PENDING means that its start is in progress. */
  enum TaskState {
    PENDING,
    FETCHING,
    RUNNING,
    SAVING,
    EXITED
  }

  /** Reason for the end of a task; NONE while it has not ended. */
  enum ExitReason {
    NONE,
    DONE,
    STOPPED,
    FAILED,
    REFUSED
  }

  /**
   * State of a held machine, sent after each change that the receiver subscribes to ({@link
   * ViewSubscription}), with those of its tasks whose jobs the receiver has claimed.
   */
  record MachineView(
      String host,
      String type,
      String zone,
      boolean spot,
      long token,
      long holdRevision,
      long session,
      /** The worker has reported under this token, and no command to it has an unknown outcome. */
      boolean tokenAcknowledged,
      /** The lease of this session has certainly expired. */
      boolean leaseExpired,
      /** Its free capacity is offered to tasks. */
      boolean schedulable,
      /** Several jobs fail on it that run on other machines. */
      boolean quarantined,
      /** It is idle and makes no offers, because it is about to be returned. */
      boolean retiring,
      /** Its reports arrive here, but messages to it are lost. */
      boolean unresponsive,
      /**
       * Wall-clock time in milliseconds since which it has been idle and schedulable; 0 if it is
       * not.
       */
      long idleSinceMs,
      Resources free,
      List<String> images,
      /** Number of unfinished tasks, by priority. */
      List<Integer> unfinishedByPriority,
      /**
       * How many of them may be preempted, because they have just started or yield to any other
       * task.
       */
      List<Integer> preemptibleByPriority,
      List<TaskStatus> tasks)
      implements Message {
    /** Whether the other has the same hold, session and condition of the machine. */
    boolean sameStatus(MachineView other) {
      return token == other.token
          && holdRevision == other.holdRevision
          && session == other.session
          && tokenAcknowledged == other.tokenAcknowledged
          && leaseExpired == other.leaseExpired
          && schedulable == other.schedulable
          && quarantined == other.quarantined
          && retiring == other.retiring
          && unresponsive == other.unresponsive;
    }

    /** Whether the other is equal except for the tasks that it shows. */
    boolean sameMachineState(MachineView other) {
      return sameStatus(other)
          && idleSinceMs == other.idleSinceMs
          && free.equals(other.free)
          && images.equals(other.images)
          && unfinishedByPriority.equals(other.unfinishedByPriority)
          && preemptibleByPriority.equals(other.preemptibleByPriority);
    }

    /** Whether it has free capacity that is offered now. */
    public boolean hasFreeCapacity() {
      return schedulable && (free.cpu() > 0 || free.gpu() > 0);
    }

    /** Number of preemptible tasks with a lower priority. */
    public int preemptibleBelow(Priority priority) {
      int n = 0;
      for (int p = priority.ordinal() + 1; p < preemptibleByPriority.size(); p++) {
        n += preemptibleByPriority.get(p);
      }
      return n;
    }

    /** Number of preemptible tasks with the lowest priority. */
    public int preemptibleBestEffort() {
      int lowest = Priority.BEST_EFFORT.ordinal();
      return lowest < preemptibleByPriority.size() ? preemptibleByPriority.get(lowest) : 0;
    }

    /** Whether it has unfinished urgent tasks. */
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

    /** Whether no task runs on it or is about to. */
    public boolean idle() {
      for (int n : unfinishedByPriority) {
        if (n != 0) {
          return false;
        }
      }
      return true;
    }

    public MachineView withTasks(List<TaskStatus> visibleTasks) {
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
          visibleTasks);
    }
  }

  /**
   * Sets the level of detail at which the sender receives the state of the receiver's machines,
   * until it is changed. Repeated regularly, because a receiver without a recent subscription sends
   * everything.
   */
  record ViewSubscription(ViewDetail detail) implements Message {}

  /** The sender no longer holds the machine. */
  record HoldReleased(String host) implements Message {}

  /**
   * Queues wants for tasks of a job in a machine's book; a count of 0 withdraws them. The rank,
   * with 0 first, orders wants of the same priority by the remaining benefit of serving them.
   */
  record Want(String host, String job, int priority, int rank, Resources size, int count)
      implements Message {}

  /** Room for one task of the job is reserved. */
  record Offer(long offerId, String host, String job, long token, long holdRevision, long session)
      implements Message {}

  /** The offer is declined; its room is free again. */
  record DeclineOffer(long offerId, String host) implements Message {}

  /** The offer is about to be accepted: its room stays reserved until the placement is recorded. */
  record ReserveOffer(long offerId, String host) implements Message {}

  /**
   * Accepts an offer: the placement is recorded for this session of the worker only, and the task
   * may be started in the reserved room.
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

  /**
   * Asks whether an attempt that is missing from the holder's view is certainly not on the machine.
   */
  record AttemptQuery(String host, long term, String job, int number, long attempt)
      implements Message {}

  /**
   * Confirms {@link AttemptQuery}: the attempt is not on the machine, and the holder will never
   * start it under this token.
   */
  record AttemptAbsent(
      String host, long token, long holdRevision, String job, int number, long attempt)
      implements Message {}

  /** Stops an attempt, with {@code graceS} seconds to save its state. */
  record StopTask(String host, long term, String job, int number, long attempt, double graceS)
      implements Message {}

  /** The end of the attempt is recorded; the worker may forget it. */
  record ClearTask(String host, long term, String job, int number, long attempt)
      implements Message {}

  /**
   * Tasks of the job have failed on the machine. The weight is {@link #PROVEN} if the job runs on
   * other machines, {@link #UNPROVEN} if none of its tasks has completed yet, and {@link
   * #WITHDRAWN} if the job fails on every machine, which is no evidence against this one.
   */
  record FailureReport(String host, String job, int weight) implements Message {
    public static final int WITHDRAWN = 0;
    public static final int UNPROVEN = 1;
    public static final int PROVEN = 2;
  }

  /**
   * A machine held by the receiver has reported to the sender, in this session with this serial and
   * with this token as the last one seen. Asks whether the receiver still gets its reports.
   */
  record HoldQuery(String host, long session, long serial, long token) implements Message {}

  /**
   * Reply to {@link HoldQuery}: whether the sender holds the machine, and the age of its last
   * report there in seconds.
   */
  record HoldStatus(String host, boolean held, double lastReportAgeS) implements Message {}

  /** The final state of the job is recorded: done if {@code done} is true, or cancelled. */
  record JobEnded(String job, boolean done) implements Message {}

  /** A user has received the confirmation that the job is cancelled. */
  record JobCancelled(String job) implements Message {}

  /**
   * Tasks of the sender that wait for room, for the controller that rents machines; and machines on
   * which it has placed tasks but of which no holder has confirmed the state.
   */
  record Demand(List<PendingTasks> pending, List<String> unreportedHosts) implements Message {}

  /**
   * Tasks of a job that wait for room. If they must run together or apart, {@code roomByZone}
   * contains the number of tasks that each zone may still take.
   */
  record PendingTasks(String job, int count, Map<String, Integer> roomByZone) {}

  /**
   * Asks the holder to close an idle machine for some seconds, because it is to be returned.
   * Carries the term of the duty on whose behalf it is sent.
   */
  record RetireMachine(String host, long term) implements Message {}

  /**
   * The highest term of a duty that the sender knows; sent to a controller that acted in a lower
   * one.
   */
  record DutyTerm(String duty, long term) implements Message {}

  /** Changed task counts of the sender's jobs, for users who query other controllers. */
  record JobProgress(List<JobCounts> counts) implements Message {}

  /** {@code placed} counts tasks that run or are about to start; {@code running} those that run. */
  record JobCounts(String job, int done, int running, int placed) {}

  /**
   * Asks the holder to preempt tasks of lower priority, to make room for {@code count} tasks of
   * this size.
   */
  record PreemptTasks(String host, int priority, Resources size, int count) implements Message {}

  /** Requests write tokens of the state service's rate limit, which the sender lacks. */
  record LoanRequest(long requestNumber, int writes) implements Message {}

  /** Lends write tokens, which must be used at once. */
  record Loan(long requestNumber, int writes) implements Message {}

  /**
   * Whether the state service serves the sender, the requests and writes per second that the sender
   * sends to it, the number of machines that the sender holds, and the delay of its timers in
   * seconds.
   */
  record ControllerStatus(
      boolean stateAvailable,
      double requestsPerS,
      double writesPerS,
      int heldMachines,
      double timerLagS)
      implements Message {}
}
