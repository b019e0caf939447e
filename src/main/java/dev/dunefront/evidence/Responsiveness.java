package dev.dunefront.evidence;

/**
 * Whether a machine whose reports arrive hears what is said to it. Answers and orders may be lost
 * on one way while reports come on the other; such a machine lets its lease run out while its
 * holder believes it well. Evidence against it: it goes elsewhere although it was answered, its
 * session rises although it was answered within the lease, an order has no answer. The proof either
 * way is a question asked now.
 *
 * @param state what is believed
 * @param lapses how often it has turned out deaf of late
 * @param since when the state was entered
 * @param nextAsk not asked again before this time
 * @param pauseS how long is waited after the next question that has no answer
 */
public record Responsiveness(State state, int lapses, double since, double nextAsk, double pauseS) {
  /** What is believed of a machine's hearing. */
  public enum State {
    HEARS,
    /** There is evidence against it, and a question under way or to be asked. */
    SUSPECT,
    /** A question had no answer although reports come. */
    DEAF,
    /** It answers again, and is not trusted with work yet. */
    PROBATION
  }

  private static final double FIRST_PAUSE_S = 1;
  private static final double LONGEST_PAUSE_S = 8;
  private static final int MOST_DOUBLINGS = 5;

  public static final Responsiveness GOOD =
      new Responsiveness(State.HEARS, 0, Double.NEGATIVE_INFINITY, 0, FIRST_PAUSE_S);

  /** Whether it may be given work. */
  public boolean trusted() {
    return state == State.HEARS;
  }

  public boolean deaf() {
    return state == State.DEAF;
  }

  /** There is evidence against it. */
  public Responsiveness suspected(double now) {
    return state == State.HEARS || state == State.PROBATION
        ? new Responsiveness(State.SUSPECT, lapses, now, now, FIRST_PAUSE_S)
        : this;
  }

  /** Whether it is time for a question. */
  public boolean asks(double now) {
    return (state == State.SUSPECT || state == State.DEAF) && now >= nextAsk;
  }

  /** A question or an order goes out; another waits until it is answered, or surely is not. */
  public Responsiveness asked(double now, double deadlineS) {
    return new Responsiveness(state, lapses, since, now + deadlineS, pauseS);
  }

  /** A question or an order had no answer. */
  public Responsiveness unanswered(double now) {
    double next = Math.min(LONGEST_PAUSE_S, pauseS * 2);
    return state == State.DEAF
        ? new Responsiveness(state, lapses, since, now + pauseS, next)
        : new Responsiveness(State.DEAF, lapses + 1, now, now + pauseS, next);
  }

  /**
   * It has answered. One that was merely suspected is trusted at once; one that was deaf after a
   * report interval, twice that the next time, and so on: each time it costs what was placed there.
   */
  public Responsiveness answered(double now) {
    return switch (state) {
      case HEARS, PROBATION -> this;
      case SUSPECT -> new Responsiveness(State.HEARS, lapses, now, 0, FIRST_PAUSE_S);
      case DEAF -> new Responsiveness(State.PROBATION, lapses, now, 0, FIRST_PAUSE_S);
    };
  }

  /**
   * Time has passed.
   *
   * @param reportS the workers' report interval, the unit of trust
   * @param leaseS the workers' lease; ten of them without a lapse make good for all of them
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
