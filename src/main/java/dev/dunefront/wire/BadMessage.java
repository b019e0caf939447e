package dev.dunefront.wire;

/** A body or a field that breaks the published format; the message names what is wrong. */
public final class BadMessage extends Exception {
  public BadMessage(String what) {
    super(what);
  }
}
