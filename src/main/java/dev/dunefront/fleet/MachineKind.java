package dev.dunefront.fleet;

/**
 * A kind of machine that can be rented: a machine type in a zone, spot or on-demand. Planning looks
 * up the kind of every machine, so both methods are written out for speed: strings cache their
 * hashes, and most compared kinds are the same object.
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
