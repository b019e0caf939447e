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

  static Priority parse(String word) throws BadMessage {
    for (Priority p : values()) {
      if (p.word.equals(word)) {
        return p;
      }
    }
    throw new BadMessage("urgency is none of critical, high, normal, best_effort");
  }
}
