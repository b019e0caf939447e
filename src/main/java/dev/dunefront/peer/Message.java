package dev.dunefront.peer;

import dev.dunefront.wire.Priority;
import dev.dunefront.wire.Size;
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

  /** The state of a task on a machine; PENDING: its start is under way. */
  enum State {
    PENDING,
    FETCHING,
    RUNNING,
    SAVING,
    EXITED
  }

  /** Why a task ended; NONE while it has not. */
  enum Why {
    NONE,
    DONE,
    STOPPED,
    FAILED,
    REFUSED
  }

  /**
   * A held machine, told when something has changed that the receiver wants to hear of ({@link
   * Interest}), and those of its tasks whose jobs the receiver has claimed.
   */
  record View(
      String host,
      String type,
      String zone,
      boolean spot,
      long token,
      long holdStamp,
      long session,
      /** The worker has reported under this token and no order is in doubt. */
      boolean settled,
      /** The lease of this session is surely over. */
      boolean lost,
      /** Room is being dealt. */
      boolean open,
      /** Several jobs fail on it that run elsewhere. */
      boolean quarantined,
      /** Nothing runs on it and no room is dealt, for it is about to be returned. */
      boolean retiring,
      /** Its reports come, but nothing that is said to it arrives. */
      boolean deaf,
      /** Time of day since when nothing has run on it while it was open; 0 while that is not so. */
      long idleSinceMs,
      Size free,
      List<String> images,
      /** Unfinished tasks on it, by priority. */
      List<Integer> unfinished,
      /** Those of them that may give way: they began just now, or yield to whatever comes. */
      List<Integer> young,
      List<TaskState> tasks)
      implements Message {
    /** Whether the other says the same of the hold, the session and the machine's condition. */
    boolean standsLike(View o) {
      return token == o.token
          && holdStamp == o.holdStamp
          && session == o.session
          && settled == o.settled
          && lost == o.lost
          && open == o.open
          && quarantined == o.quarantined
          && retiring == o.retiring
          && deaf == o.deaf;
    }

    /** Whether the other says the same of the machine itself, whatever tasks it shows. */
    boolean saysTheSame(View o) {
      return standsLike(o)
          && idleSinceMs == o.idleSinceMs
          && free.equals(o.free)
          && images.equals(o.images)
          && unfinished.equals(o.unfinished)
          && young.equals(o.young);
    }

    /** Whether anything may fit right now. */
    public boolean roomy() {
      return open && (free.cpu() > 0 || free.gpu() > 0);
    }

    /** How many young tasks there are of a lower priority. */
    public int youngBelow(Priority priority) {
      int n = 0;
      for (int p = priority.ordinal() + 1; p < young.size(); p++) {
        n += young.get(p);
      }
      return n;
    }

    /** How many tasks of the lowest priority may give way. */
    public int yielding() {
      int lowest = Priority.BEST_EFFORT.ordinal();
      return lowest < young.size() ? young.get(lowest) : 0;
    }

    /** Whether urgent tasks are on it. */
    public boolean runsUrgent() {
      for (Priority p : Priority.values()) {
        if (p.urgent() && p.ordinal() < unfinished.size() && unfinished.get(p.ordinal()) > 0) {
          return true;
        }
      }
      return false;
    }

    /** Whether nothing runs or is about to. */
    public boolean idle() {
      for (int n : unfinished) {
        if (n != 0) {
          return false;
        }
      }
      return true;
    }

    public View withTasks(List<TaskState> shown) {
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
          shown);
    }
  }

  /**
   * How much the sender wants to hear of the receiver's machines, until it says otherwise. Said
   * again and again, for a receiver that has not heard it lately tells everything.
   */
  record Interest(Detail detail) implements Message {}

  /** The sender no longer holds the machine. */
  record Unheld(String host) implements Message {}

  /**
   * Parks wants for tasks of a job in a machine's book; a count of 0 withdraws them. The rank, 0
   * being first, orders wants within a priority by how much is still to be won by serving them.
   */
  record Want(String host, String job, int priority, int rank, Size size, int count)
      implements Message {}

  /** Room for one task of the job is set aside. */
  record Offer(long offer, String host, String job, long token, long holdStamp, long session)
      implements Message {}

  /** The offer is not taken; its room is free again. */
  record Decline(long offer, String host) implements Message {}

  /** The offer is being taken: its room is kept until the placement is recorded. */
  record Taking(long offer, String host) implements Message {}

  /**
   * Takes an offer: the placement is recorded, for this session of the worker alone, and the task
   * may be started in it.
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

  /** Asks whether an attempt that the holder's view lacks is surely gone. */
  record Probe(String host, long term, String job, int number, long attempt) implements Message {}

  /** It is, and the holder will never start it under this token. */
  record Absent(String host, long token, long holdStamp, String job, int number, long attempt)
      implements Message {}

  /** Ends an attempt, with so many seconds to save. */
  record Stop(String host, long term, String job, int number, long attempt, double graceS)
      implements Message {}

  /** The end of the attempt is recorded; the worker may forget it. */
  record Clear(String host, long term, String job, int number, long attempt) implements Message {}

  /**
   * Tasks of the job have failed on the machine. With a weight of {@link #PROVEN} the job runs
   * elsewhere; with {@link #UNPROVEN} nothing of it has been done yet; with {@link #WITHDRAWN} it
   * fails wherever it runs, and says nothing of the machine.
   */
  record Blame(String host, String job, int weight) implements Message {
    public static final int WITHDRAWN = 0;
    public static final int UNPROVEN = 1;
    public static final int PROVEN = 2;
  }

  /**
   * A machine that the receiver holds has reported here, in this session with this serial and
   * having seen this token: does the receiver still hear it?
   */
  record HoldAsk(String host, long session, long serial, long token) implements Message {}

  /** Answers HoldAsk: whether the sender holds the machine, and when it last heard it. */
  record HoldSay(String host, boolean held, double heardAgoS) implements Message {}

  /** The job's final state is recorded: it is done, or else cancelled. */
  record Ended(String job, boolean done) implements Message {}

  /** A user was told that the job is cancelled. */
  record Cancelled(String job) implements Message {}

  /**
   * What a controller has waiting, for whoever rents machines, and machines on which it has placed
   * tasks and of which nobody tells.
   */
  record Demand(List<Waiting> waiting, List<String> unheard) implements Message {}

  /**
   * So many tasks wait for room. Where a job's tasks must be together or apart, {@code zones} says
   * how many of them each zone may still take.
   */
  record Waiting(String job, int tasks, Map<String, Integer> zones) {}

  /**
   * A machine that is to be returned: if nothing is on it, it is closed for some seconds. Names the
   * term of the duty for which it is sent.
   */
  record Retire(String host, long term) implements Message {}

  /** The highest term of a duty that the sender knows, told to whoever acted in a lower one. */
  record DutyTerm(String duty, long term) implements Message {}

  /** What has changed in the task counts of the sender's jobs, for users who ask elsewhere. */
  record Progress(List<Count> counts) implements Message {}

  /** {@code placed} counts tasks that run or are about to; {@code running} those that run. */
  record Count(String job, int done, int running, int placed) {}

  /** Asks to stop young tasks of lower priority, so that so many tasks of this size find room. */
  record Preempt(String host, int priority, Size size, int count) implements Message {}

  /** The sender lacks changes of the state service's rate for what waits there. */
  record LoanAsk(long number, int changes) implements Message {}

  /** The sender gives so many of its own, to be used at once. */
  record Loan(long number, int changes) implements Message {}

  /**
   * Whether the state service serves the sender, how much of it the sender asks a second, and how
   * many machines the sender holds, and by how much its timers are late.
   */
  record Health(boolean stateServes, double requests, double writes, int held, double lagS)
      implements Message {}
}
