package dev.dunefront.config;

/** A setting is missing or invalid; the message names it. */
public final class InvalidSettingException extends Exception {
  public InvalidSettingException(String message) {
    super(message);
  }
}
