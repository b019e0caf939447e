package dev.dunefront.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Processor time of this process's threads, by the beginning of their names. */
final class ThreadUse {
  private static final double TICKS_PER_S = 100;

  private ThreadUse() {}

  static double cpuS(String prefix) throws IOException {
    double sum = 0;
    List<Path> threads;
    try (var all = Files.list(Path.of("/proc/self/task"))) {
      threads = all.toList();
    }
    for (Path thread : threads) {
      String stat = Files.readString(thread.resolve("stat"));
      String name = stat.substring(stat.indexOf('(') + 1, stat.lastIndexOf(')'));
      if (name.startsWith(prefix)) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        sum += (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_S;
      }
    }
    return sum;
  }
}
