package dev.dunefront.wire;

/** Priority of a job, the highest first. */
public enum Priority {
  CRITICAL("critical"),
  HIGH("high"),
  NORMAL("normal"),
  BEST_EFFORT("best_effort");

  private final String wireName;

  Priority(String wireName) {
    this.wireName = wireName;
  }

  /** The value on the wire. */
  public String wireName() {
    return wireName;
  }

  /** Whether a delay of a few seconds at the start matters to the user. */
  public boolean urgent() {
    return compareTo(HIGH) <= 0;
  }

  static Priority parse(String text) throws MalformedMessageException {
    for (Priority p : values()) {
      if (p.wireName.equals(text)) {
        return p;
      }
    }
    throw new MalformedMessageException("urgency is none of critical, high, normal, best_effort");
  }
}
