package dev.dunefront.evidence;

/**
 * Whether a machine whose reports arrive hears what is said to it. Answers and orders may be lost
 * on one way while reports come on the other; such a machine lets its lease run out while its
 * holder believes it well. Evidence against it: it goes elsewhere although it was answered, its
 * session rises although it was answered within the lease, an order has no answer. The proof either
 * way is a question asked now.
 *
 * @param state what is believed
 * @param failures how often it has turned out deaf of late
 * @param since when the state was entered
 * @param nextCheckAt not asked again before this time
 * @param retryPauseS how long is waited after the next question that has no answer
 */
public record Responsiveness(
    State state, int failures, double since, double nextCheckAt, double retryPauseS) {
  /** What is believed of a machine's hearing. */
  public enum State {
    RESPONSIVE,
    /** There is evidence against it, and a question under way or to be asked. */
    SUSPECT,
    /** A question had no answer although reports come. */
    UNRESPONSIVE,
    /** It answers again, and is not trusted with work yet. */
    PROBATION
  }

  private static final double INITIAL_PAUSE_S = 1;
  private static final double MAX_PAUSE_S = 8;
  private static final int MAX_DOUBLINGS = 5;

  public static final Responsiveness INITIAL =
      new Responsiveness(State.RESPONSIVE, 0, Double.NEGATIVE_INFINITY, 0, INITIAL_PAUSE_S);

  /** Whether it may be given work. */
  public boolean trusted() {
    return state == State.RESPONSIVE;
  }

  public boolean unresponsive() {
    return state == State.UNRESPONSIVE;
  }

  /** There is evidence against it. */
  public Responsiveness suspected(double now) {
    return state == State.RESPONSIVE || state == State.PROBATION
        ? new Responsiveness(State.SUSPECT, failures, now, now, INITIAL_PAUSE_S)
        : this;
  }

  /** Whether it is time for a question. */
  public boolean checkDue(double now) {
    return (state == State.SUSPECT || state == State.UNRESPONSIVE) && now >= nextCheckAt;
  }

  /** A question or an order goes out; another waits until it is answered, or surely is not. */
  public Responsiveness checkSent(double now, double deadlineS) {
    return new Responsiveness(state, failures, since, now + deadlineS, retryPauseS);
  }

  /** A question or an order had no answer. */
  public Responsiveness unanswered(double now) {
    double next = Math.min(MAX_PAUSE_S, retryPauseS * 2);
    return state == State.UNRESPONSIVE
        ? new Responsiveness(state, failures, since, now + retryPauseS, next)
        : new Responsiveness(State.UNRESPONSIVE, failures + 1, now, now + retryPauseS, next);
  }

  /**
   * It has answered. One that was merely suspected is trusted at once; one that was deaf after a
   * report interval, twice that the next time, and so on: each time it costs what was placed there.
   */
  public Responsiveness answered(double now) {
    return switch (state) {
      case RESPONSIVE, PROBATION -> this;
      case SUSPECT -> new Responsiveness(State.RESPONSIVE, failures, now, 0, INITIAL_PAUSE_S);
      case UNRESPONSIVE -> new Responsiveness(State.PROBATION, failures, now, 0, INITIAL_PAUSE_S);
    };
  }

  /**
   * Time has passed.
   *
   * @param reportS the workers' report interval, the unit of trust
   * @param leaseS the workers' lease; ten of them without a lapse make good for all of them
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
