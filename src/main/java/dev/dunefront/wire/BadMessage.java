package dev.dunefront.wire;

/** A request body or field violates the published format; the message names the violation. */
public final class BadMessage extends Exception {
  public BadMessage(String message) {
    super(message);
  }
}
