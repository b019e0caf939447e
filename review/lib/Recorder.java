package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with seconds since the start. */
final class Recorder {
  private final PrintWriter out;
  private final long start = System.nanoTime();

  Recorder(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  double now() {
    return (System.nanoTime() - start) / 1e9;
  }

  /** Whether single starts, ends and orders are recorded as well. */
  boolean detail = true;

  /** Records an event of a single task. */
  void task(String format, Object... values) {
    if (detail) {
      add(format, values);
    }
  }

  synchronized void add(String format, Object... values) {
    String line =
        String.format(Locale.ROOT, "%8.3f  ", now()) + String.format(Locale.ROOT, format, values);
    out.println(line);
    out.flush();
  }
}
