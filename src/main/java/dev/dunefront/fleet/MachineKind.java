package dev.dunefront.fleet;

/**
 * What is rented: a type of machine in a zone, spot or ordinary. A plan looks kinds up for every
 * machine there is, so both methods below are written out: names cache their hashes, and most kinds
 * that meet are the same object.
 */
record MachineKind(String type, String zone, boolean spot) {
  @Override
  public boolean equals(Object o) {
    return this == o
        || o instanceof MachineKind k
            && spot == k.spot
            && type.equals(k.type)
            && zone.equals(k.zone);
  }

  @Override
  public int hashCode() {
    return (31 * type.hashCode() + zone.hashCode()) * 2 + (spot ? 1 : 0);
  }
}
