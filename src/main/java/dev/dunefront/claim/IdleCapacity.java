package dev.dunefront.claim;

import dev.dunefront.job.JobRecord;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.Priority;
import java.util.ArrayDeque;

/**
 * How much of the free room is idle, which the lowest priority may have. Room that will be wanted
 * in a moment is not: whoever takes it has to save and leave again, and whoever wants it waits for
 * that. As much is expected to come as came just now, so where nothing else comes all is idle.
 */
final class IdleCapacity {
  /** What came in the last so many seconds is expected in the next as many. */
  private static final double ARRIVAL_WINDOW_S = 10;

  /** How long a count is good for, in seconds. */
  private static final double CACHE_S = 0.25;

  private final ControllerContext context;
  private final MachineTable machineTable;

  /** Jobs that have come lately, whatever has become of them since. */
  private record Arrival(long atMs, long cpu) {}

  private final ArrayDeque<Arrival> arrived = new ArrayDeque<>();
  private long arrivedCpu;
  private double idleCpuAt = Double.NEGATIVE_INFINITY;
  private long idleCpu;

  IdleCapacity(ControllerContext context, MachineTable room) {
    this.context = context;
    this.machineTable = room;
  }

  /** How many tasks of the job this controller may have parked wants for in idle room. */
  int maxTasks(JobSpec spec) {
    if (spec.priority() != Priority.BEST_EFFORT || spec.taskResources().cpu() <= 0) {
      return Integer.MAX_VALUE;
    }
    double now = context.now();
    if (now - idleCpuAt > CACHE_S) {
      idleCpuAt = now;
      idleCpu = freeCpu() - expectedCpu();
    }
    int controllers = Math.max(1, context.membership().liveNodes().size());
    long part = Math.max(0, idleCpu) / controllers;
    return (int)
        Math.min(
            Integer.MAX_VALUE,
            (part + spec.taskResources().cpu() - 1) / spec.taskResources().cpu());
  }

  private long freeCpu() {
    long cpu = 0;
    for (MachineTable.Entry s : machineTable.withFreeCapacity()) {
      cpu += s.view().free().cpu();
    }
    return cpu;
  }

  private long expectedCpu() {
    long since = context.timers().wallClockMs() - Math.round(ARRIVAL_WINDOW_S * 1000);
    while (!arrived.isEmpty() && arrived.peek().atMs() < since) {
      arrivedCpu -= arrived.poll().cpu();
    }
    return arrivedCpu;
  }

  /** A job has been seen for the first time. */
  void arrived(JobRecord job) {
    JobSpec spec = job.spec();
    long since = context.timers().wallClockMs() - Math.round(ARRIVAL_WINDOW_S * 1000);
    if (spec.priority() != Priority.BEST_EFFORT && job.acceptedMs() >= since) {
      Arrival a = new Arrival(job.acceptedMs(), spec.tasks() * spec.taskResources().cpu());
      arrived.add(a);
      arrivedCpu += a.cpu;
    }
  }
}
