package dev.dunefront.cli;

import java.util.Locale;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Logging to standard error, a line a record, in the amount that LOG_LEVEL sets. */
final class LogSetup {
  private LogSetup() {}

  /** Sets logging up; an unknown level gets a warning and counts as info. */
  static void configure(String word) {
    String wanted = word == null ? "info" : word.toLowerCase(Locale.ROOT);
    Level level =
        switch (wanted) {
          case "error" -> Level.SEVERE;
          case "debug" -> Level.FINE;
          default -> Level.INFO;
        };
    LogManager.getLogManager().reset();
    Logger root = Logger.getLogger("");
    root.setLevel(Level.WARNING.intValue() > level.intValue() ? Level.WARNING : level);
    Logger.getLogger("dev.dunefront").setLevel(level);
    root.addHandler(new StandardErrorHandler());
    if (level == Level.INFO && !wanted.equals("info")) {
      System.getLogger(LogSetup.class.getName())
          .log(System.Logger.Level.WARNING, "LOG_LEVEL {0} is unknown; info is used", word);
    }
  }

  /**
   * Puts the parameters in. The platform's own message formats cost a fraction of a millisecond for
   * each line, which a controller with a small part of a core feels when it returns.
   */
  static String substitute(String pattern, Object[] parameters) {
    if (parameters == null || parameters.length == 0) {
      return pattern;
    }
    StringBuilder out = new StringBuilder(pattern.length() + 40);
    int i = 0;
    while (i < pattern.length()) {
      char c = pattern.charAt(i);
      int n = c == '{' && i + 2 < pattern.length() ? pattern.charAt(i + 1) - '0' : -1;
      if (n >= 0 && n < parameters.length && pattern.charAt(i + 2) == '}') {
        out.append(parameters[n]);
        i += 3;
      } else {
        out.append(c);
        i++;
      }
    }
    return out.toString();
  }

  private static final class StandardErrorHandler extends Handler {
    private final Formatter formatter =
        new Formatter() {
          @Override
          public String format(LogRecord r) {
            String name = r.getLoggerName();
            StringBuilder line = new StringBuilder(120);
            line.append(
                    r.getLevel() == Level.SEVERE
                        ? "error"
                        : r.getLevel() == Level.FINE
                            ? "debug"
                            : r.getLevel() == Level.WARNING ? "warning" : "info")
                .append(' ')
                .append(name == null ? "" : name.substring(name.lastIndexOf('.') + 1))
                .append(": ")
                .append(substitute(r.getMessage(), r.getParameters()));
            if (r.getThrown() != null) {
              line.append(' ').append(r.getThrown());
              for (StackTraceElement e : r.getThrown().getStackTrace()) {
                line.append(" < ").append(e);
              }
            }
            return line.append('\n').toString();
          }
        };

    @Override
    public void publish(LogRecord r) {
      System.err.print(formatter.format(r));
    }

    @Override
    public void flush() {
      System.err.flush();
    }

    @Override
    public void close() {}
  }
}
