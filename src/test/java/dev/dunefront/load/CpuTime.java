package dev.dunefront.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;

/** CPU time as accounted by the operating system. */
final class CpuTime {
  /** Clock ticks per second in {@code /proc}, the same on all common Linux machines. */
  private static final double TICKS_PER_S = 100;

  /** Indexes of the user and system ticks in a stat line, counted after the name. */
  private static final int USER_TICKS_FIELD = 11;

  private static final int SYSTEM_TICKS_FIELD = 12;

  private CpuTime() {}

  /** CPU seconds of all threads of this process whose names start with the prefix. */
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

  /** Reads a thread's stat file; returns an empty name without times if it has just ended. */
  private static String readStat(Path thread) throws IOException {
    try {
      return Files.readString(thread.resolve("stat"));
    } catch (NoSuchFileException e) {
      return "()";
    }
  }

  /** Parses the CPU seconds of a process or thread from the text of its stat file. */
  static double parseCpuS(String stat) {
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return (Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]))
        / TICKS_PER_S;
  }
}
