package dev.dunefront.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;

/** Processor time as the operating system has counted it. */
final class CpuTime {
  /** Clock ticks of {@code /proc} in a second, as Linux has it on every common machine. */
  private static final double TICKS_PER_S = 100;

  /** Where a stat line has ticks in user and in system mode, counted from behind the name. */
  private static final int USER_TICKS_FIELD = 11;

  private static final int SYSTEM_TICKS_FIELD = 12;

  private CpuTime() {}

  /** Seconds of all threads of this process whose names begin so. */
  static double threadCpuS(String prefix) throws IOException {
    double sum = 0;
    List<Path> threads;
    try (var all = Files.list(Path.of("/proc/self/task"))) {
      threads = all.toList();
    }
    for (Path thread : threads) {
      String stat = readStat(thread);
      String name = stat.substring(stat.indexOf('(') + 1, stat.lastIndexOf(')'));
      if (name.startsWith(prefix)) {
        sum += parseCpuS(stat);
      }
    }
    return sum;
  }

  /** The thread's stat file; one that has just ended is called nothing and has used nothing. */
  private static String readStat(Path thread) throws IOException {
    try {
      return Files.readString(thread.resolve("stat"));
    } catch (NoSuchFileException e) {
      return "()";
    }
  }

  /** Seconds of a process or thread, by the text of its stat file. */
  static double parseCpuS(String stat) {
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return (Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]))
        / TICKS_PER_S;
  }
}
