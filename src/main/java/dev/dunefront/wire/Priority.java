package dev.dunefront.wire;

/** Priority of a job, the highest first. */
public enum Priority {
  CRITICAL("critical"),
  HIGH("high"),
  NORMAL("normal"),
  BEST_EFFORT("best_effort");

  private final String word;

  Priority(String word) {
    this.word = word;
  }

  /** The value on the wire. */
  public String word() {
    return word;
  }

  /** Whether a delay of a few seconds at the start matters to the user. */
  public boolean urgent() {
    return compareTo(HIGH) <= 0;
  }

  static Priority parse(String text) throws BadMessage {
    for (Priority p : values()) {
      if (p.word.equals(text)) {
        return p;
      }
    }
    throw new BadMessage("urgency is none of critical, high, normal, best_effort");
  }
}
