package dev.dunefront.duty;

import dev.dunefront.store.Replica;

/** A cluster-wide duty that at most one controller performs at a time; the most urgent first. */
public enum Duty {
  /** Renting and returning machines, and fetching the machine list and prices. */
  RENT("rent"),
  /** Removing obsolete records. */
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

  /** The key of the record that names the holder; it expires with the holder's lease. */
  String key() {
    return PREFIX + label;
  }

  /** The duty with that label, or null. */
  static Duty ofLabel(String label) {
    for (Duty d : values()) {
      if (d.label.equals(label)) {
        return d;
      }
    }
    return null;
  }
}
