package dev.dunefront.wire;

/** A body or a field that breaks the published format; the message names what is wrong. */
public final class MalformedMessageException extends Exception {
  public MalformedMessageException(String what) {
    super(what);
  }
}
