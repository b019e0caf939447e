package dev.dunefront.wire;

/** Urgency of a job, most urgent first. */
public enum Priority {
  CRITICAL("critical"),
  HIGH("high"),
  NORMAL("normal"),
  BEST_EFFORT("best_effort");

  private final String wireName;

  Priority(String word) {
    this.wireName = word;
  }

  public String wireName() {
    return wireName;
  }

  /** Whether a few seconds' delay of a start matters to the user. */
  public boolean urgent() {
    return compareTo(HIGH) <= 0;
  }

  static Priority parse(String word) throws MalformedMessageException {
    for (Priority p : values()) {
      if (p.wireName.equals(word)) {
        return p;
      }
    }
    throw new MalformedMessageException("urgency is none of critical, high, normal, best_effort");
  }
}
