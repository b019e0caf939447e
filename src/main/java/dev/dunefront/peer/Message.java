package dev.dunefront.peer;

import dev.dunefront.wire.Priority;
import dev.dunefront.wire.Size;
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
  record TaskState(String job, int number, long attempt, State state, Why why) {
    public boolean exited() {
      return state == State.EXITED;
    }

    @Override
    public boolean equals(Object o) {
      return o instanceof TaskState t
          && number == t.number
          && attempt == t.attempt
          && state == t.state
          && why == t.why
          && job.equals(t.job);
    }

    @Override
    public int hashCode() {
      return 31 * job.hashCode() + number;
    }
  }

  /** State of a task on a machine; PENDING means that its start is in progress. */
  enum State {
    PENDING,
    FETCHING,
    RUNNING,
    SAVING,
    EXITED
  }

  /** Reason for the end of a task; NONE while it has not ended. */
  enum Why {
    NONE,
    DONE,
    STOPPED,
    FAILED,
    REFUSED
  }

  /**
   * State of a held machine, sent after each change that the receiver subscribes to ({@link
   * Interest}), with those of its tasks whose jobs the receiver has claimed.
   */
  record View(
      String host,
      String type,
      String zone,
      boolean spot,
      long token,
      long holdStamp,
      long session,
      /** The worker has reported under this token, and no order has an unknown outcome. */
      boolean settled,
      /** The lease of this session has certainly expired. */
      boolean lost,
      /** Its free capacity is offered to tasks. */
      boolean open,
      /** Several jobs fail on it that run on other machines. */
      boolean quarantined,
      /** It is idle and makes no offers, because it is about to be returned. */
      boolean retiring,
      /** Its reports arrive, but nothing that is sent to it does. */
      boolean deaf,
      /**
       * Wall-clock time in milliseconds since which it has been idle and schedulable; 0 if it is
       * not.
       */
      long idleSinceMs,
      Size free,
      List<String> images,
      /** Number of unfinished tasks, by priority. */
      List<Integer> unfinished,
      /**
       * How many of them may be preempted, because they have just started or yield to any other
       * task.
       */
      List<Integer> young,
      List<TaskState> tasks)
      implements Message {
    /** Whether the other has the same hold, session and condition of the machine. */
    boolean standsLike(View other) {
      return token == other.token
          && holdStamp == other.holdStamp
          && session == other.session
          && settled == other.settled
          && lost == other.lost
          && open == other.open
          && quarantined == other.quarantined
          && retiring == other.retiring
          && deaf == other.deaf;
    }

    /** Whether the other is equal except for the tasks that it shows. */
    boolean saysTheSame(View other) {
      return standsLike(other)
          && idleSinceMs == other.idleSinceMs
          && free.equals(other.free)
          && images.equals(other.images)
          && unfinished.equals(other.unfinished)
          && young.equals(other.young);
    }

    /** Whether it has free capacity that is offered now. */
    public boolean roomy() {
      return open && (free.cpu() > 0 || free.gpu() > 0);
    }

    /** Number of preemptible tasks with a lower priority. */
    public int youngBelow(Priority priority) {
      int n = 0;
      for (int p = priority.ordinal() + 1; p < young.size(); p++) {
        n += young.get(p);
      }
      return n;
    }

    /** Number of preemptible tasks with the lowest priority. */
    public int yielding() {
      int lowest = Priority.BEST_EFFORT.ordinal();
      return lowest < young.size() ? young.get(lowest) : 0;
    }

    /** Whether it has unfinished urgent tasks. */
    public boolean runsUrgent() {
      for (Priority p : Priority.values()) {
        if (p.urgent() && p.ordinal() < unfinished.size() && unfinished.get(p.ordinal()) > 0) {
          return true;
        }
      }
      return false;
    }

    /** Whether no task runs on it or is about to. */
    public boolean idle() {
      for (int n : unfinished) {
        if (n != 0) {
          return false;
        }
      }
      return true;
    }

    public View withTasks(List<TaskState> visibleTasks) {
      return new View(
          host,
          type,
          zone,
          spot,
          token,
          holdStamp,
          session,
          settled,
          lost,
          open,
          quarantined,
          retiring,
          deaf,
          idleSinceMs,
          free,
          images,
          unfinished,
          young,
          visibleTasks);
    }
  }

  /**
   * Sets the level of detail at which the sender receives the state of the receiver's machines,
   * until it is changed. Repeated regularly, because a receiver without a recent subscription sends
   * everything.
   */
  record Interest(Detail detail) implements Message {}

  /** The sender no longer holds the machine. */
  record Unheld(String host) implements Message {}

  /**
   * Queues wants for tasks of a job in a machine's book; a count of 0 withdraws them. The rank,
   * with 0 first, orders wants of the same priority by the remaining benefit of serving them.
   */
  record Want(String host, String job, int priority, int rank, Size size, int count)
      implements Message {}

  /** Room for one task of the job is reserved. */
  record Offer(long offer, String host, String job, long token, long holdStamp, long session)
      implements Message {}

  /** The offer is declined; its room is free again. */
  record Decline(long offer, String host) implements Message {}

  /** The offer is about to be accepted: its room stays reserved until the placement is recorded. */
  record Taking(long offer, String host) implements Message {}

  /**
   * Accepts an offer: the placement is recorded for this session of the worker only, and the task
   * may be started in the reserved room.
   */
  record Start(
      long offer,
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
  record Probe(String host, long term, String job, int number, long attempt) implements Message {}

  /**
   * Confirms {@link Probe}: the attempt is not on the machine, and the holder will never start it
   * under this token.
   */
  record Absent(String host, long token, long holdStamp, String job, int number, long attempt)
      implements Message {}

  /** Stops an attempt, with {@code graceS} seconds to save its state. */
  record Stop(String host, long term, String job, int number, long attempt, double graceS)
      implements Message {}

  /** The end of the attempt is recorded; the worker may forget it. */
  record Clear(String host, long term, String job, int number, long attempt) implements Message {}

  /**
   * Tasks of the job have failed on the machine. The weight is {@link #PROVEN} if the job runs on
   * other machines, {@link #UNPROVEN} if none of its tasks has completed yet, and {@link
   * #WITHDRAWN} if the job fails on every machine, which is no evidence against this one.
   */
  record Blame(String host, String job, int weight) implements Message {
    public static final int WITHDRAWN = 0;
    public static final int UNPROVEN = 1;
    public static final int PROVEN = 2;
  }

  /**
   * A machine held by the receiver has reported to the sender, in this session with this serial and
   * with this token as the last one seen. Asks whether the receiver still gets its reports.
   */
  record HoldAsk(String host, long session, long serial, long token) implements Message {}

  /**
   * Reply to {@link HoldAsk}: whether the sender holds the machine, and the age of its last report
   * there in seconds.
   */
  record HoldSay(String host, boolean held, double heardAgoS) implements Message {}

  /** The final state of the job is recorded: done if {@code done} is true, or cancelled. */
  record Ended(String job, boolean done) implements Message {}

  /** A user has received the confirmation that the job is cancelled. */
  record Cancelled(String job) implements Message {}

  /**
   * Tasks of the sender that wait for room, for the controller that rents machines; and machines on
   * which it has placed tasks but of which no holder has confirmed the state.
   */
  record Demand(List<Waiting> waiting, List<String> unheard) implements Message {}

  /**
   * Tasks of a job that wait for room. If they must run together or apart, {@code zones} contains
   * the number of tasks that each zone may still take.
   */
  record Waiting(String job, int tasks, Map<String, Integer> zones) {}

  /**
   * Asks the holder to close an idle machine for some seconds, because it is to be returned.
   * Carries the term of the duty on whose behalf it is sent.
   */
  record Retire(String host, long term) implements Message {}

  /**
   * The highest term of a duty that the sender knows; sent to a controller that acted in a lower
   * one.
   */
  record DutyTerm(String duty, long term) implements Message {}

  /** Changed task counts of the sender's jobs, for users who query other controllers. */
  record Progress(List<Count> counts) implements Message {}

  /** {@code placed} counts tasks that run or are about to start; {@code running} those that run. */
  record Count(String job, int done, int running, int placed) {}

  /**
   * Asks the holder to preempt tasks of lower priority, to make room for {@code count} tasks of
   * this size.
   */
  record Preempt(String host, int priority, Size size, int count) implements Message {}

  /** Requests write tokens of the state service's rate limit, which the sender lacks. */
  record LoanAsk(long number, int changes) implements Message {}

  /** Lends write tokens, which must be used at once. */
  record Loan(long number, int changes) implements Message {}

  /**
   * Whether the state service serves the sender, the requests and writes per second that the sender
   * sends to it, the number of machines that the sender holds, and the delay of its timers in
   * seconds.
   */
  record Health(boolean stateServes, double requests, double writes, int held, double lagS)
      implements Message {}
}
