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
final class IdleRoom {
  /** The arrivals of the last such period are expected in the next one. */
  private static final double COMES_S = 10;

  /** How long a computed value is reused. */
  private static final double FRESH_S = 0.25;

  private final ControllerContext context;
  private final Room room;

  /** A recently submitted job, regardless of its present state. */
  private record Arrival(long atMs, long cpu) {}

  private final ArrayDeque<Arrival> came = new ArrayDeque<>();
  private long cameCpu;
  private double countedAt = Double.NEGATIVE_INFINITY;
  private long idleCpu;

  IdleRoom(ControllerContext context, Room room) {
    this.context = context;
    this.room = room;
  }

  /**
   * How many tasks of the job this controller may queue wants for; unlimited unless best-effort.
   */
  int tasks(JobSpec spec) {
    if (spec.priority() != Priority.BEST_EFFORT || spec.size().cpu() <= 0) {
      return Integer.MAX_VALUE;
    }
    double now = context.now();
    if (now - countedAt > FRESH_S) {
      countedAt = now;
      idleCpu = free() - expected();
    }
    int controllers = Math.max(1, context.membership().liveNodes().size());
    long part = Math.max(0, idleCpu) / controllers;
    return (int) Math.min(Integer.MAX_VALUE, (part + spec.size().cpu() - 1) / spec.size().cpu());
  }

  private long free() {
    long cpu = 0;
    for (Room.Seen machine : room.roomy()) {
      cpu += machine.view().free().cpu();
    }
    return cpu;
  }

  private long expected() {
    long sinceMs = context.timers().timeOfDayMs() - Math.round(COMES_S * 1000);
    while (!came.isEmpty() && came.peek().atMs() < sinceMs) {
      cameCpu -= came.poll().cpu();
    }
    return cameCpu;
  }

  /** Counts a job that is seen for the first time. */
  void came(JobRecord job) {
    JobSpec spec = job.spec();
    long sinceMs = context.timers().timeOfDayMs() - Math.round(COMES_S * 1000);
    if (spec.priority() != Priority.BEST_EFFORT && job.acceptedMs() >= sinceMs) {
      Arrival arrival = new Arrival(job.acceptedMs(), spec.tasks() * spec.size().cpu());
      came.add(arrival);
      cameCpu += arrival.cpu;
    }
  }
}
