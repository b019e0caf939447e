package dev.dunefront.evidence;

/**
 * Whether a machine whose reports arrive also receives messages. A network fault may drop answers
 * and orders while reports still arrive. The lease of such a machine expires although its holder
 * considers it healthy. Evidence of this: the machine reports to another controller although it was
 * answered, its session number increases although it was answered within the lease, or an order
 * gets no response. A status request then decides.
 *
 * @param state current state
 * @param lapses number of recent times that the machine was found unresponsive
 * @param since when the state was entered
 * @param nextAsk earliest time of the next status request
 * @param pauseS pause after the next status request without a response, in seconds
 */
public record Responsiveness(State state, int lapses, double since, double nextAsk, double pauseS) {
  /** Whether a machine is known to receive messages. */
  public enum State {
    HEARS,
    /** There is evidence that it is unresponsive; a status request is in progress or due. */
    SUSPECT,
    /** A status request got no response although reports arrive. */
    DEAF,
    /** It responds again, but gets no work yet. */
    PROBATION
  }

  private static final double FIRST_PAUSE_S = 1;
  private static final double LONGEST_PAUSE_S = 8;
  private static final int MOST_DOUBLINGS = 5;

  /** The state of a machine without recent failures. */
  public static final Responsiveness GOOD =
      new Responsiveness(State.HEARS, 0, Double.NEGATIVE_INFINITY, 0, FIRST_PAUSE_S);

  /** Whether tasks may be placed on the machine. */
  public boolean trusted() {
    return state == State.HEARS;
  }

  public boolean deaf() {
    return state == State.DEAF;
  }

  /** Returns the state after evidence that the machine is unresponsive. */
  public Responsiveness suspected(double now) {
    return state == State.HEARS || state == State.PROBATION
        ? new Responsiveness(State.SUSPECT, lapses, now, now, FIRST_PAUSE_S)
        : this;
  }

  /** Whether a status request is due. */
  public boolean asks(double now) {
    return (state == State.SUSPECT || state == State.DEAF) && now >= nextAsk;
  }

  /**
   * Returns the state after a status request has been sent. The next one is due after its response
   * or its timeout.
   */
  public Responsiveness asked(double now, double deadlineS) {
    return new Responsiveness(state, lapses, since, now + deadlineS, pauseS);
  }

  /** Returns the state after a status request without a response. */
  public Responsiveness unanswered(double now) {
    double next = Math.min(LONGEST_PAUSE_S, pauseS * 2);
    return state == State.DEAF
        ? new Responsiveness(state, lapses, since, now + pauseS, next)
        : new Responsiveness(State.DEAF, lapses + 1, now, now + pauseS, next);
  }

  /**
   * Returns the state after a response. A machine that was only suspected is trusted at once. One
   * that was unresponsive is trusted after a report interval, after two the next time, then four
   * and so on, because each failure costs the tasks that were placed on it.
   */
  public Responsiveness answered(double now) {
    return switch (state) {
      case HEARS, PROBATION -> this;
      case SUSPECT -> new Responsiveness(State.HEARS, lapses, now, 0, FIRST_PAUSE_S);
      case DEAF -> new Responsiveness(State.PROBATION, lapses, now, 0, FIRST_PAUSE_S);
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
  public Responsiveness passed(double now, double reportS, double leaseS) {
    if (state == State.PROBATION) {
      double wait = reportS * Math.pow(2, Math.min(MOST_DOUBLINGS, lapses - 1));
      return now - since >= wait
          ? new Responsiveness(State.HEARS, lapses, now, 0, FIRST_PAUSE_S)
          : this;
    }
    return state == State.HEARS && lapses > 0 && now - since > 10 * leaseS ? GOOD : this;
  }
}
