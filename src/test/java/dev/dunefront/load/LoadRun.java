package dev.dunefront.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import dev.dunefront.net.DisabledMBeanServerBuilder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * One load run: starts a deployment, submits jobs, measures and stops the deployment. Arguments are
 * {@code name=value} of {@link LoadOptions}; {@code out=FILE} appends the result as a line of JSON.
 * Exits with 1 if an invariant was violated.
 */
public final class LoadRun {
  private static final String LOG_LEVEL = "error";

  /** Time limit for jobs to finish after the last submission of a run with faults, in seconds. */
  private static final double DRAIN_TIMEOUT_S = 180;

  private final LoadOptions options;
  private final Deployment deployment;
  private final LoadFaults faults;

  private LoadRun(LoadOptions options, Path directory) throws IOException {
    this.options = options;
    deployment = new Deployment(options, directory, LOG_LEVEL, options.troubles(), false);
    faults = new LoadFaults(deployment);
  }

  public static void main(String[] arguments) throws Exception {
    List<String> settings = new ArrayList<>();
    Path out = null;
    for (String argument : arguments) {
      if (argument.startsWith("out=")) {
        out = Path.of(argument.substring("out=".length()));
      } else {
        settings.add(argument);
      }
    }
    Measurement result = run(LoadOptions.parse(settings));
    String line = new ObjectMapper().writeValueAsString(result);
    System.out.println(line);
    if (out != null) {
      Files.writeString(out, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }
    System.exit(result.broken().isEmpty() ? 0 : 1);
  }

  /** Executes one run in its own directory under {@code target}. */
  static Measurement run(LoadOptions options) throws IOException, InterruptedException {
    DisabledMBeanServerBuilder.install();
    Path directory = Files.createDirectories(Path.of("target", "load"));
    LoadRun run = new LoadRun(options, Files.createTempDirectory(directory, "run"));
    try {
      return run.run();
    } finally {
      run.deployment.close();
    }
  }

  private Measurement run() throws IOException, InterruptedException {
    deployment.start();
    Thread.sleep(Math.round(options.warmS() * 1000));
    // The first metrics request to a process costs more than later ones, so this one is discarded.
    sample();
    deployment.latencies().setCounting(true);
    Sample before = sample();
    if (options.troubles()) {
      faults.start();
    }
    Thread.sleep(Math.round(options.measureS() * 1000));
    Sample after = sample();
    deployment.latencies().setCounting(false);
    if (options.troubles()) {
      faults.stop();
      deployment.drain(DRAIN_TIMEOUT_S);
    }
    return measurement(before, after);
  }

  /** All counters at one time. */
  private record Sample(
      double at,
      long starts,
      ControllerProcess.ResourceUsage controllers,
      ExternalServices.StateServiceUsage state,
      WorkerTraffic fleet,
      double workerCpuS) {}

  private Sample sample() throws IOException, InterruptedException {
    ControllerProcess.ResourceUsage controllerUsage =
        new ControllerProcess.ResourceUsage(0, 0, 0, 0);
    for (ControllerProcess controller : deployment.controllers()) {
      controllerUsage = controllerUsage.plus(controller.resourceUsage());
    }
    return new Sample(
        System.nanoTime() / 1e9,
        deployment.latencies().starts(),
        controllerUsage,
        deployment.externalServices().stateServiceUsage(),
        deployment.fleet().traffic(),
        CpuTime.threadCpuS("simulated"));
  }

  private Measurement measurement(Sample before, Sample after)
      throws IOException, InterruptedException {
    double spanS = after.at - before.at;
    ControllerProcess.ResourceUsage usage = after.controllers.minus(before.controllers);
    ExternalServices.StateServiceUsage state = after.state.minus(before.state);
    WorkerTraffic traffic = after.fleet.minus(before.fleet);
    double resident = 0;
    int descriptors = 0;
    int running = deployment.invariants().running();
    for (ControllerProcess controller : deployment.controllers()) {
      resident = Math.max(resident, controller.residentMb());
      descriptors = Math.max(descriptors, controller.descriptors());
    }
    double heap = deployment.controllers().get(0).heapMb();
    int workers = options.workers();
    return new Measurement(
        options,
        spanS,
        after.starts - before.starts,
        running,
        deployment.invariants().mostRunning(),
        usage.cpuS(),
        usage.bytes(),
        usage.peerRecords(),
        usage.peerKilobytes(),
        resident,
        heap,
        descriptors,
        state.requests(),
        state.changes(),
        state.conflicts(),
        state.bytesIn(),
        state.bytesOut(),
        deployment.externalServices().storedValueSizes(),
        traffic.reports,
        traffic.commandRequests,
        (traffic.bytesIn + traffic.bytesOut) / spanS / workers,
        (after.workerCpuS - before.workerCpuS) / spanS / workers,
        ControllerProcess.residentMb(Path.of("/proc/self/status")),
        deployment.latencies().urgentWaitS(50),
        deployment.latencies().urgentWaitS(90),
        deployment.latencies().urgentWaitS(99),
        deployment.latencies().otherWaitS(90),
        deployment.latencies().submissionLatencyMs(95),
        deployment.jobs().failedSubmissions(),
        faults.machinesLost(),
        options.troubles() ? deployment.openJobs() : 0,
        deployment.invariants().violations());
  }
}
