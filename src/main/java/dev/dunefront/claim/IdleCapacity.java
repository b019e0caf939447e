package dev.dunefront.claim;

import dev.dunefront.job.JobRecord;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.Priority;
import java.util.ArrayDeque;

/**
 * Estimates how much of the free capacity is idle and so available to best-effort jobs. Capacity
 * that other jobs will request shortly does not count: a best-effort task placed there would have
 * to save its state and leave, and the other job would wait for that. The expected demand equals
 * the recent arrivals, so without other arrivals all free capacity is idle.
 */
final class IdleCapacity {
  /** The arrivals of the last such period are expected in the next one. */
  private static final double ARRIVAL_WINDOW_S = 10;

  /** How long a computed value is reused. */
  private static final double CACHE_S = 0.25;

  private final ControllerContext context;
  private final MachineTable machineTable;

  /** A recently submitted job, regardless of its present state. */
  private record Arrival(long atMs, long cpu) {}

  private final ArrayDeque<Arrival> arrived = new ArrayDeque<>();
  private long arrivedCpu;
  private double idleCpuAt = Double.NEGATIVE_INFINITY;
  private long idleCpu;

  IdleCapacity(ControllerContext context, MachineTable machineTable) {
    this.context = context;
    this.machineTable = machineTable;
  }

  /**
   * How many tasks of the job this controller may queue wants for; unlimited unless best-effort.
   */
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
    long share = Math.max(0, idleCpu) / controllers;
    return (int)
        Math.min(
            Integer.MAX_VALUE,
            (share + spec.taskResources().cpu() - 1) / spec.taskResources().cpu());
  }

  private long freeCpu() {
    long cpu = 0;
    for (MachineTable.Entry machine : machineTable.withFreeCapacity()) {
      cpu += machine.view().free().cpu();
    }
    return cpu;
  }

  private long expectedCpu() {
    long sinceMs = context.timers().wallClockMs() - Math.round(ARRIVAL_WINDOW_S * 1000);
    while (!arrived.isEmpty() && arrived.peek().atMs() < sinceMs) {
      arrivedCpu -= arrived.poll().cpu();
    }
    return arrivedCpu;
  }

  /** Counts a job that is seen for the first time. */
  void arrived(JobRecord job) {
    JobSpec spec = job.spec();
    long sinceMs = context.timers().wallClockMs() - Math.round(ARRIVAL_WINDOW_S * 1000);
    if (spec.priority() != Priority.BEST_EFFORT && job.acceptedMs() >= sinceMs) {
      Arrival arrival = new Arrival(job.acceptedMs(), spec.tasks() * spec.taskResources().cpu());
      arrived.add(arrival);
      arrivedCpu += arrival.cpu;
    }
  }
}
