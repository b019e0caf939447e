package dev.dunefront.fleet;

/** What is rented: a type of machine in a zone, spot or ordinary. */
record Kind(String type, String zone, boolean spot) {}
