package dev.dunefront.wire;

/** Urgency of a job, most urgent first. */
public enum Priority {
  CRITICAL("critical"),
  HIGH("high"),
  NORMAL("normal"),
  BEST_EFFORT("best_effort");

  private final String word;

  Priority(String word) {
    this.word = word;
  }

  public String word() {
    return word;
  }

  /** Whether a few seconds' delay of a start matters to the user. */
  public boolean urgent() {
    return compareTo(HIGH) <= 0;
  }

  static Priority parse(String word) throws BadMessage {
    for (Priority p : values()) {
      if (p.word.equals(word)) {
        return p;
      }
    }
    throw new BadMessage("urgency is none of critical, high, normal, best_effort");
  }
}
