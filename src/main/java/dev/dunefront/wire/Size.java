package dev.dunefront.wire;

/**
 * What a task takes of a machine, or what a machine has, in millionths, so that sums are exact:
 * demands are rounded up and supplies down.
 */
public record Size(long cpu, long gpu, long ram) {
  public static final Size NONE = new Size(0, 0, 0);

  public static Size demand(double cpu, double gpu, double ram) {
    return new Size(up(cpu), up(gpu), up(ram));
  }

  public static Size supply(double cpu, double gpu, double ram) {
    return new Size(Math.round(cpu * 1e6), Math.round(gpu * 1e6), Math.round(ram * 1e6));
  }

  private static long up(double v) {
    return (long) Math.ceil(v * 1e6 - 1e-3);
  }

  @Override
  public boolean equals(Object o) {
    return o instanceof Size s && cpu == s.cpu && gpu == s.gpu && ram == s.ram;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(31 * (31 * cpu + gpu) + ram);
  }

  public Size plus(Size o) {
    return new Size(cpu + o.cpu, gpu + o.gpu, ram + o.ram);
  }

  public Size minus(Size o) {
    return new Size(cpu - o.cpu, gpu - o.gpu, ram - o.ram);
  }

  public boolean fits(Size room) {
    return cpu <= room.cpu && gpu <= room.gpu && ram <= room.ram;
  }

  public Size times(long n) {
    return new Size(cpu * n, gpu * n, ram * n);
  }

  /** How many tasks of this size fit into the room. */
  public int timesIn(Size room) {
    if (!fits(room)) {
      return 0;
    }
    long n = Integer.MAX_VALUE;
    if (cpu > 0) n = Math.min(n, room.cpu / cpu);
    if (gpu > 0) n = Math.min(n, room.gpu / gpu);
    if (ram > 0) n = Math.min(n, room.ram / ram);
    return (int) n;
  }
}
