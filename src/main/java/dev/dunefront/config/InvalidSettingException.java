package dev.dunefront.config;

/** A setting that is missing or impossible; the message names it. */
public final class InvalidSettingException extends Exception {
  public InvalidSettingException(String what) {
    super(what);
  }
}
