package dev.dunefront.wire;

/**
 * What a task takes of a machine, or what a machine has, in millionths, so that sums are exact:
 * demands are rounded up and supplies down.
 */
public record Resources(long cpu, long gpu, long ram) {
  public static final Resources NONE = new Resources(0, 0, 0);

  public static Resources demand(double cpu, double gpu, double ram) {
    return new Resources(
        roundUpToMillionths(cpu), roundUpToMillionths(gpu), roundUpToMillionths(ram));
  }

  public static Resources supply(double cpu, double gpu, double ram) {
    return new Resources(Math.round(cpu * 1e6), Math.round(gpu * 1e6), Math.round(ram * 1e6));
  }

  private static long roundUpToMillionths(double v) {
    return (long) Math.ceil(v * 1e6 - 1e-3);
  }

  @Override
  public boolean equals(Object o) {
    return o instanceof Resources s && cpu == s.cpu && gpu == s.gpu && ram == s.ram;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(31 * (31 * cpu + gpu) + ram);
  }

  public Resources plus(Resources o) {
    return new Resources(cpu + o.cpu, gpu + o.gpu, ram + o.ram);
  }

  public Resources minus(Resources o) {
    return new Resources(cpu - o.cpu, gpu - o.gpu, ram - o.ram);
  }

  public boolean fitsIn(Resources room) {
    return cpu <= room.cpu && gpu <= room.gpu && ram <= room.ram;
  }

  public Resources times(long n) {
    return new Resources(cpu * n, gpu * n, ram * n);
  }

  /** How many tasks of this size fit into the room. */
  public int countFittingIn(Resources room) {
    if (!fitsIn(room)) {
      return 0;
    }
    long n = Integer.MAX_VALUE;
    if (cpu > 0) n = Math.min(n, room.cpu / cpu);
    if (gpu > 0) n = Math.min(n, room.gpu / gpu);
    if (ram > 0) n = Math.min(n, room.ram / ram);
    return (int) n;
  }
}
