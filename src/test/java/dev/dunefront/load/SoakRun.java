package dev.dunefront.load;

import dev.dunefront.net.DisabledMBeanServerBuilder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The soak run: real controller processes on loopback, jobs that are submitted, finish and are
 * cancelled, and faults injected at random times drawn from a seed. A run passes if workers and
 * users observed no violation, the controllers logged no violated invariant and no error, and every
 * accepted job finishes once the faults are over.
 *
 * <p>Arguments are {@code seed=}, {@code seeds=} (number of runs, each with the next seed), {@code
 * seconds=}, {@code workers=}, {@code controllers=}. Exits with 1 if a run fails. A run that cannot
 * be judged, because the deployment did not start or this machine was too slow, prints NOT JUDGED
 * and counts neither as passed nor as failed.
 */
public final class SoakRun {
  private static final double DRAIN_TIMEOUT_S = 100;

  /** Task starts per second and worker, enough to fill most of the machines' capacity. */
  private static final double STARTS_PER_WORKER_PER_S = 1.0;

  /** Upper bound of timer delay plus process startup, in seconds. */
  private static final double FAULT_END_MARGIN_S = 1;

  private static final int MAX_LOG_LINES = 25;
  private static final String VIOLATION_MARKER = "invariant violated";
  private static final String ERROR_PREFIX = "error ";

  private final LoadOptions options;
  private final Path directory;
  private final List<SoakFault> schedule;
  private final List<String> failures = new ArrayList<>();

  private SoakRun(LoadOptions options, Path directory) {
    this.options = options;
    this.directory = directory;
    this.schedule = SoakSchedule.of(options);
  }

  /** The load options of a soak run. */
  private static LoadOptions options(int controllers, int workers, double seconds, long seed) {
    return LoadOptions.parse(
        List.of(
            "controllers=" + controllers,
            "workers=" + workers,
            "zones=" + controllers,
            "regions=" + (controllers + 1),
            "stateRegion=" + controllers,
            "teams=3",
            "limitTasks=" + workers * 3,
            "startsPerS=" + STARTS_PER_WORKER_PER_S * workers,
            "tasksPerJob=8",
            "taskCpus=1",
            "runS=5",
            "urgentShare=0.25",
            "cancelShare=0.15",
            "closeLooksPerS=3",
            "lateStateShare=0.05",
            "reportS=0.8",
            "leaseS=5",
            "measureS=" + seconds,
            "stateRequests=600",
            "stateChanges=300",
            "seed=" + seed));
  }

  public static void main(String[] arguments) throws Exception {
    long seed = 1;
    int seeds = 1;
    double seconds = 30;
    int workers = 40;
    int controllers = 3;
    for (String argument : arguments) {
      String value = argument.substring(argument.indexOf('=') + 1);
      switch (argument.substring(0, argument.length() - value.length())) {
        case "seed=" -> seed = Long.parseLong(value);
        case "seeds=" -> seeds = Integer.parseInt(value);
        case "seconds=" -> seconds = Double.parseDouble(value);
        case "workers=" -> workers = Integer.parseInt(value);
        case "controllers=" -> controllers = Integer.parseInt(value);
        default -> throw new IllegalArgumentException("unknown option: " + argument);
      }
    }
    DisabledMBeanServerBuilder.install();
    boolean passed = true;
    for (long s = seed; s < seed + seeds; s++) {
      passed &= run(options(controllers, workers, seconds, s));
    }
    System.exit(passed ? 0 : 1);
  }

  /** Runs one seed. Returns false if the run failed. */
  private static boolean run(LoadOptions options) throws IOException, InterruptedException {
    Path parent = Files.createDirectories(Path.of("target", "soak"));
    Path directory = Files.createTempDirectory(parent, "seed" + options.seed() + "-");
    SoakRun run = new SoakRun(options, directory);
    Deployment deployment = new Deployment(options, directory, "debug", true, true);
    try {
      deployment.start();
    } catch (IOException e) {
      System.out.println("NOT JUDGED: seed " + options.seed() + ": " + e.getMessage());
      deployment.close();
      return true;
    }
    try {
      return run.run(deployment);
    } finally {
      deployment.close();
    }
  }

  private boolean run(Deployment deployment) throws IOException, InterruptedException {
    PauseMonitor pauses = new PauseMonitor();
    SoakFaults faults = new SoakFaults(deployment, schedule);
    faults.start();
    Thread.sleep(Math.round(options.measureS() * 1000));
    deployment.stopUsers();
    // Waits for the restart of controllers killed late, which checkControllers would report dead.
    Thread.sleep(Math.round(remainingFaultTimeS() * 1000));
    int open = deployment.drain(DRAIN_TIMEOUT_S);
    failures.addAll(deployment.invariants().violations());
    checkControllers(deployment);
    if (open > 0 && !pauses.tooSlow()) {
      failures.add(
          open + " accepted jobs have not finished " + DRAIN_TIMEOUT_S + " s after the last fault");
    }
    System.out.printf(
        "seed %d: %d faults, %d jobs accepted, %d answers looked at closely, %d tasks at once at the"
            + " most, %d machines returned, %d left, worst pause of this process %.2f s: %s%n",
        options.seed(),
        schedule.size(),
        deployment.jobs().acceptedJobs(),
        deployment.closeLookUsers().looks(),
        deployment.invariants().mostRunning(),
        faults.returnedMachines(),
        open,
        pauses.longestPauseS(),
        verdict(open));
    if (!failures.isEmpty()) {
      printDiagnostics(deployment);
    }
    return failures.isEmpty();
  }

  /** Seconds from the last submission until the last fault has ended. */
  private double remainingFaultTimeS() {
    double lastEndS = schedule.stream().mapToDouble(SoakFault::endS).max().orElse(0);
    return Math.max(0, lastEndS + FAULT_END_MARGIN_S - options.measureS());
  }

  private String verdict(int open) {
    if (!failures.isEmpty()) {
      return "BROKEN " + failures;
    }
    return open > 0 ? "NOT JUDGED, this machine is too slow" : "kept";
  }

  private void checkControllers(Deployment deployment) throws IOException {
    for (int i = 0; i < options.controllers(); i++) {
      ControllerProcess controller = deployment.controllers().get(i);
      if (!controller.alive()) {
        failures.add(LoadSettings.controller(i) + " exited unexpectedly");
      }
      for (String line : controller.log()) {
        if (line.contains(VIOLATION_MARKER) || line.startsWith(ERROR_PREFIX)) {
          failures.add(LoadSettings.controller(i) + ": " + line);
        }
      }
    }
  }

  private void printDiagnostics(Deployment deployment) throws IOException {
    System.out.println("fault schedule, in seconds after the first submission:");
    schedule.forEach(System.out::println);
    for (int i = 0; i < options.controllers(); i++) {
      List<String> lines = deployment.controllers().get(i).log();
      System.out.println("last log lines of " + LoadSettings.controller(i) + ":");
      lines
          .subList(Math.max(0, lines.size() - MAX_LOG_LINES), lines.size())
          .forEach(System.out::println);
    }
    for (SimulatedWorker worker : deployment.fleet().all()) {
      if (failures.stream().anyMatch(failure -> failure.contains(worker.host()))) {
        System.out.println("last events of " + worker.host() + ":");
        worker.events().all().forEach(System.out::println);
      }
    }
    System.out.println("settings and full logs are in " + directory);
  }
}
