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
final class IdleRoom {
  /** What came in the last so many seconds is expected in the next as many. */
  private static final double COMES_S = 10;

  /** How long a count is good for, in seconds. */
  private static final double FRESH_S = 0.25;

  private final ControllerContext context;
  private final Room room;

  /** Jobs that have come lately, whatever has become of them since. */
  private record Arrival(long atMs, long cpu) {}

  private final ArrayDeque<Arrival> came = new ArrayDeque<>();
  private long cameCpu;
  private double countedAt = Double.NEGATIVE_INFINITY;
  private long idleCpu;

  IdleRoom(ControllerContext context, Room room) {
    this.context = context;
    this.room = room;
  }

  /** How many tasks of the job this controller may have parked wants for in idle room. */
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
    for (Room.Seen s : room.roomy()) {
      cpu += s.view().free().cpu();
    }
    return cpu;
  }

  private long expected() {
    long since = context.timers().timeOfDayMs() - Math.round(COMES_S * 1000);
    while (!came.isEmpty() && came.peek().atMs() < since) {
      cameCpu -= came.poll().cpu();
    }
    return cameCpu;
  }

  /** A job has been seen for the first time. */
  void came(JobRecord job) {
    JobSpec spec = job.spec();
    long since = context.timers().timeOfDayMs() - Math.round(COMES_S * 1000);
    if (spec.priority() != Priority.BEST_EFFORT && job.acceptedMs() >= since) {
      Arrival a = new Arrival(job.acceptedMs(), spec.tasks() * spec.size().cpu());
      came.add(a);
      cameCpu += a.cpu;
    }
  }
}
