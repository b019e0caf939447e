package dev.dunefront.config;

/** A setting that is missing or impossible; the message names it. */
public final class BadSetting extends Exception {
  public BadSetting(String what) {
    super(what);
  }
}
