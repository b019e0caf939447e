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
 * One load run: starts stand-ins, controllers and hollow workers, plays jobs, measures, ends all
 * that it has started. Arguments are {@code name=value} of {@link LoadOptions}; {@code out=FILE}
 * appends the result as a line of JSON.
 */
public final class LoadRun {
  private static final String LOG_LEVEL = "error";

  /** How long jobs may take to end after the last submission of a run with troubles, in seconds. */
  private static final double DRAIN_S = 180;

  private final LoadOptions options;
  private final Deployment deployment;
  private final Troubles troubles;

  private LoadRun(LoadOptions options, Path directory) throws IOException {
    this.options = options;
    deployment = new Deployment(options, directory, LOG_LEVEL, options.troubles(), false);
    troubles = new Troubles(deployment);
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
    Measurement result = play(LoadOptions.parse(settings));
    String line = new ObjectMapper().writeValueAsString(result);
    System.out.println(line);
    if (out != null) {
      Files.writeString(out, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }
    System.exit(result.broken().isEmpty() ? 0 : 1);
  }

  /** Plays one run in a directory of its own under {@code target}. */
  static Measurement play(LoadOptions options) throws IOException, InterruptedException {
    DisabledMBeanServerBuilder.install();
    Path directory = Files.createDirectories(Path.of("target", "load"));
    LoadRun run = new LoadRun(options, Files.createTempDirectory(directory, "run"));
    try {
      return run.play();
    } finally {
      run.deployment.close();
    }
  }

  private Measurement play() throws IOException, InterruptedException {
    deployment.start();
    Thread.sleep(Math.round(options.warmS() * 1000));
    // The first look at the metrics of a process costs more than all later ones.
    sample();
    deployment.log().count(true);
    Sample before = sample();
    if (options.troubles()) {
      troubles.start();
    }
    Thread.sleep(Math.round(options.measureS() * 1000));
    Sample after = sample();
    deployment.log().count(false);
    if (options.troubles()) {
      troubles.stop();
      deployment.drain(DRAIN_S);
    }
    return measured(before, after);
  }

  /** Everything that is counted, at one time. */
  private record Sample(
      double at,
      long starts,
      ControllerProcess.Use controllers,
      Outside.StateUse state,
      FleetUse fleet,
      double hollowCpuS) {}

  private Sample sample() throws IOException, InterruptedException {
    ControllerProcess.Use sum = new ControllerProcess.Use(0, 0, 0, 0);
    for (ControllerProcess controller : deployment.controllers()) {
      sum = sum.plus(controller.use());
    }
    return new Sample(
        System.nanoTime() / 1e9,
        deployment.log().starts(),
        sum,
        deployment.outside().use(),
        deployment.fleet().use(),
        ThreadUse.cpuS("hollow"));
  }

  private Measurement measured(Sample before, Sample after)
      throws IOException, InterruptedException {
    double spanS = after.at - before.at;
    ControllerProcess.Use use = after.controllers.minus(before.controllers);
    Outside.StateUse state = after.state.minus(before.state);
    FleetUse said = after.fleet.minus(before.fleet);
    double resident = 0;
    int descriptors = 0;
    int running = deployment.rules().running();
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
        deployment.rules().mostRunning(),
        use.cpuS(),
        use.bytes(),
        use.peerRecords(),
        use.peerKilobytes(),
        resident,
        heap,
        descriptors,
        state.requests(),
        state.changes(),
        state.conflicts(),
        state.bytesIn(),
        state.bytesOut(),
        deployment.outside().values(),
        said.reports,
        said.orders,
        (said.bytesIn + said.bytesOut) / spanS / workers,
        (after.hollowCpuS - before.hollowCpuS) / spanS / workers,
        ControllerProcess.residentMb(Path.of("/proc/self/status")),
        deployment.log().urgentS(50),
        deployment.log().urgentS(90),
        deployment.log().urgentS(99),
        deployment.log().othersS(90),
        deployment.log().submissionMs(95),
        deployment.source().refused(),
        troubles.lost(),
        options.troubles() ? deployment.openJobs() : 0,
        deployment.rules().broken());
  }
}
