package dev.dunefront.duty;

import dev.dunefront.store.Replica;

/** What only one controller at a time may do; the most urgent first. */
public enum Duty {
  /** Renting and returning machines, and asking for lists and prices. */
  RENT("rent"),
  /** Removing records that nothing needs any more. */
  CLEANUP("cleanup");

  static final String PREFIX = Replica.PREFIX + "u/";

  private final String label;

  Duty(String label) {
    this.label = label;
  }

  /** The name in keys, logs and metrics. */
  public String label() {
    return label;
  }

  /** The key that names the holder while its lease lives. */
  String key() {
    return PREFIX + label;
  }

  /** The duty of a label, or null. */
  static Duty ofLabel(String label) {
    for (Duty d : values()) {
      if (d.label.equals(label)) {
        return d;
      }
    }
    return null;
  }
}
