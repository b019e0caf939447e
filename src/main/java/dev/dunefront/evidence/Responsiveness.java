package dev.dunefront.evidence;

/**
 * Whether a machine whose reports arrive also receives messages. A network fault may drop answers
 * and commands while reports still arrive. The lease of such a machine expires although its holder
 * considers it healthy. Evidence of this: the machine reports to another controller although it was
 * answered, its session number increases although it was answered within the lease, or a command
 * gets no response. A status request then decides.
 *
 * @param state current state
 * @param failures number of recent times that the machine was found unresponsive
 * @param since when the state was entered
 * @param nextCheckAt earliest time of the next status request
 * @param retryPauseS pause after the next status request without a response, in seconds
 */
public record Responsiveness(
    State state, int failures, double since, double nextCheckAt, double retryPauseS) {
  /** Whether a machine is known to receive messages. */
  public enum State {
    RESPONSIVE,
    /** There is evidence that it is unresponsive; a status request is in progress or due. */
    SUSPECT,
    /** A status request got no response although reports arrive. */
    UNRESPONSIVE,
    /** It responds again, but gets no work yet. */
    PROBATION
  }

  private static final double INITIAL_PAUSE_S = 1;
  private static final double MAX_PAUSE_S = 8;
  private static final int MAX_DOUBLINGS = 5;

  /** The state of a machine without recent failures. */
  public static final Responsiveness INITIAL =
      new Responsiveness(State.RESPONSIVE, 0, Double.NEGATIVE_INFINITY, 0, INITIAL_PAUSE_S);

  /** Whether tasks may be placed on the machine. */
  public boolean trusted() {
    return state == State.RESPONSIVE;
  }

  public boolean unresponsive() {
    return state == State.UNRESPONSIVE;
  }

  /** Returns the state after evidence that the machine is unresponsive. */
  public Responsiveness suspected(double now) {
    return state == State.RESPONSIVE || state == State.PROBATION
        ? new Responsiveness(State.SUSPECT, failures, now, now, INITIAL_PAUSE_S)
        : this;
  }

  /** Whether a status request is due. */
  public boolean checkDue(double now) {
    return (state == State.SUSPECT || state == State.UNRESPONSIVE) && now >= nextCheckAt;
  }

  /**
   * Returns the state after a status request has been sent. The next one is due after its response
   * or its timeout.
   */
  public Responsiveness checkSent(double now, double deadlineS) {
    return new Responsiveness(state, failures, since, now + deadlineS, retryPauseS);
  }

  /** Returns the state after a status request without a response. */
  public Responsiveness unanswered(double now) {
    double next = Math.min(MAX_PAUSE_S, retryPauseS * 2);
    return state == State.UNRESPONSIVE
        ? new Responsiveness(state, failures, since, now + retryPauseS, next)
        : new Responsiveness(State.UNRESPONSIVE, failures + 1, now, now + retryPauseS, next);
  }

  /**
   * Returns the state after a response. A machine that was only suspected is trusted at once. One
   * that was unresponsive is trusted after a report interval, after two the next time, then four
   * and so on, because each failure costs the tasks that were placed on it.
   */
  public Responsiveness answered(double now) {
    return switch (state) {
      case RESPONSIVE, PROBATION -> this;
      case SUSPECT -> new Responsiveness(State.RESPONSIVE, failures, now, 0, INITIAL_PAUSE_S);
      case UNRESPONSIVE -> new Responsiveness(State.PROBATION, failures, now, 0, INITIAL_PAUSE_S);
    };
  }

  /**
   * Returns the state after the time has advanced.
   *
   * @param reportS the report interval of the workers, which is the first probation period, in
   *     seconds
   * @param leaseS the lease duration of the workers in seconds; after ten of them without a failure
   *     all earlier failures are forgotten
   */
  public Responsiveness advance(double now, double reportS, double leaseS) {
    if (state == State.PROBATION) {
      double wait = reportS * Math.pow(2, Math.min(MAX_DOUBLINGS, failures - 1));
      return now - since >= wait
          ? new Responsiveness(State.RESPONSIVE, failures, now, 0, INITIAL_PAUSE_S)
          : this;
    }
    return state == State.RESPONSIVE && failures > 0 && now - since > 10 * leaseS ? INITIAL : this;
  }
}
