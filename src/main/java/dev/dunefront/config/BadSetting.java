package dev.dunefront.config;

/** A setting is missing or invalid; the message names it. */
public final class BadSetting extends Exception {
  public BadSetting(String message) {
    super(message);
  }
}
