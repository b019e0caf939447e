package dev.dunefront.wire;

/** A request body or field violates the published format; the message names the violation. */
public final class MalformedMessageException extends Exception {
  public MalformedMessageException(String message) {
    super(message);
  }
}
