package dev.dunefront.wire;

/**
 * Resources that a task requests or that a machine has. Amounts are whole millionths of a CPU, a
 * GPU and a GB, which makes sums exact.
 */
public record Resources(long cpu, long gpu, long ram) {
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Resources that a task requests, rounded up to whole millionths. */
  public static Resources demand(double cpu, double gpu, double ram) {
    return new Resources(
        roundUpToMillionths(cpu), roundUpToMillionths(gpu), roundUpToMillionths(ram));
  }

  /** Resources that a machine has, rounded to the nearest millionth. */
  public static Resources supply(double cpu, double gpu, double ram) {
    return new Resources(Math.round(cpu * 1e6), Math.round(gpu * 1e6), Math.round(ram * 1e6));
  }

  // The tolerance of 1e-3 millionths keeps floating-point error from adding a millionth.
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

  public boolean fitsIn(Resources available) {
    return cpu <= available.cpu && gpu <= available.gpu && ram <= available.ram;
  }

  public Resources times(long n) {
    return new Resources(cpu * n, gpu * n, ram * n);
  }

  /** How many tasks with these resources fit into the available ones together. */
  public int countFittingIn(Resources available) {
    if (!fitsIn(available)) {
      return 0;
    }
    long n = Integer.MAX_VALUE;
    if (cpu > 0) n = Math.min(n, available.cpu / cpu);
    if (gpu > 0) n = Math.min(n, available.gpu / gpu);
    if (ram > 0) n = Math.min(n, available.ram / ram);
    return (int) n;
  }
}
