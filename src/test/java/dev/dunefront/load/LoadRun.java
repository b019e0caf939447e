package dev.dunefront.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import dev.dunefront.net.NoManagement;
import dev.dunefront.net.Timers;
import dev.dunefront.net.UndertowCaller;
import dev.dunefront.net.XnioTimers;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * One load run: starts stand-ins, controllers and hollow workers, plays jobs, measures, ends all
 * that it has started. Arguments are {@code name=value} of {@link LoadOptions}; {@code out=FILE}
 * appends the result as a line of JSON.
 */
public final class LoadRun {
  private static final double UP_S = 120;
  private static final long PAUSE_MS = 200;

  /** How long jobs may take to end after the last submission of a run with troubles, in seconds. */
  private static final double DRAIN_S = 180;

  private final LoadOptions options;
  private final LoadSettings.Addresses addresses;
  private final Outside outside;
  private final HollowFleet fleet;
  private final RuleChecker rules;
  private final StartLog log = new StartLog();
  private final JobSource source;
  private final XnioWorker users;
  private final XnioWorker services;
  private final List<ControllerProcess> controllers = new ArrayList<>();
  private final RegionNetwork network;
  private final Troubles troubles;

  private LoadRun(LoadOptions options, Path directory) throws IOException {
    this.options = options;
    Runtime.getRuntime().addShutdownHook(new Thread(this::killControllers));
    int count = options.controllers();
    // Held until the relays have ports of their own, or those would be taken from among these.
    List<ServerSocket> reserved = reserve(2 * count + 3);
    List<String> ports = reserved.stream().map(LoadRun::addressOf).toList();
    addresses =
        new LoadSettings.Addresses(
            ports.get(2 * count),
            ports.get(2 * count + 1),
            ports.subList(0, count),
            ports.subList(count, 2 * count));
    services = worker("services");
    users = worker("users");
    rules = new RuleChecker(options.limitTasks());
    network = new RegionNetwork(options.regions());
    Map<String, Integer> byName = new HashMap<>();
    for (int i = 0; i < count; i++) {
      byName.put(LoadSettings.controller(i), i);
      String settings = LoadSettings.of(options, addresses, peersOf(i), stateOf(i), i);
      controllers.add(new ControllerProcess(directory, i, settings, addresses.users().get(i)));
    }
    for (ServerSocket socket : reserved) {
      socket.close();
    }
    outside =
        new Outside(services, at(addresses.state()), at(addresses.cloud()), options.zoneNames());
    // Only now: its thread alone may touch the relays from here on.
    new Thread(network, "network").start();
    fleet =
        new HollowFleet(
            new HollowWorker.Common(
                addresses.users(), byName, rules, log, options.runS(), this::reaches),
            at(ports.get(2 * count + 2)).getPort());
    Timers timers = new XnioTimers(users.getIoThread());
    UndertowCaller caller =
        new UndertowCaller(
            users.getIoThread(), new DefaultByteBufferPool(false, 8192, 64, 4), timers);
    troubles =
        new Troubles(options, timers, users.getIoThread(), fleet, outside, network, controllers);
    source = new JobSource(options, addresses.users(), caller, timers, rules, log);
  }

  private boolean reaches(String zone, int controller) {
    return network.reaches(options.regionOfZone(zone), options.regionOfController(controller));
  }

  /** Where a controller reaches the others; with troubles through the network between regions. */
  private List<String> peersOf(int own) throws IOException {
    List<String> all = new ArrayList<>();
    for (int other = 0; other < options.controllers(); other++) {
      all.add(
          through(
              options.regionOfController(own),
              options.regionOfController(other),
              addresses.peers().get(other)));
    }
    return all;
  }

  /** Where a controller reaches the state service, which is in the first region. */
  private String stateOf(int own) throws IOException {
    return through(options.regionOfController(own), 0, addresses.state());
  }

  private String through(int from, int to, String target) throws IOException {
    return options.troubles() && from != to ? network.relay(from, to, target) : target;
  }

  private static XnioWorker worker(String name) throws IOException {
    return Xnio.getInstance()
        .createWorker(
            OptionMap.builder()
                .set(Options.WORKER_NAME, name)
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .getMap());
  }

  /** A numeric loopback address, written with its port. */
  static InetSocketAddress at(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        InetAddress.getLoopbackAddress(), Integer.parseInt(address.substring(colon + 1)));
  }

  private static List<ServerSocket> reserve(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
    }
    return sockets;
  }

  private static String addressOf(ServerSocket socket) {
    return "127.0.0.1:" + socket.getLocalPort();
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
    NoManagement.install();
    Path directory = Files.createDirectories(Path.of("target", "load"));
    LoadRun run = new LoadRun(options, Files.createTempDirectory(directory, "run"));
    try {
      return run.play();
    } finally {
      run.close();
    }
  }

  private Measurement play() throws IOException, InterruptedException {
    for (int i = 0; i < options.workers(); i++) {
      String zone = options.zoneNames().get(i % options.zones());
      outside.add(fleet.add(zone).host(), zone);
    }
    for (ControllerProcess controller : controllers) {
      controller.start();
    }
    awaitUp();
    users.getIoThread().execute(source::start);
    Thread.sleep(Math.round(options.warmS() * 1000));
    // The first look at the metrics of a process costs more than all later ones.
    sample();
    log.count(true);
    Sample before = sample();
    if (options.troubles()) {
      troubles.start();
    }
    Thread.sleep(Math.round(options.measureS() * 1000));
    Sample after = sample();
    log.count(false);
    if (options.troubles()) {
      drain();
    }
    return measured(before, after);
  }

  /** Submits no more and waits until every accepted job is done. */
  private void drain() throws InterruptedException {
    troubles.stop();
    source.stop();
    long until = System.nanoTime() + Math.round(DRAIN_S * 1e9);
    while (openJobs() > 0 && System.nanoTime() < until) {
      Thread.sleep(PAUSE_MS);
    }
  }

  private int openJobs() throws InterruptedException {
    return OnThread.get(users.getIoThread(), source::open);
  }

  private void awaitUp() throws InterruptedException, IOException {
    long until = System.nanoTime() + Math.round(UP_S * 1e9);
    for (ControllerProcess controller : controllers) {
      while (!controller.up()) {
        if (System.nanoTime() > until) {
          throw new IOException("controllers are not up after " + UP_S + " s");
        }
        Thread.sleep(PAUSE_MS);
      }
    }
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
    for (ControllerProcess controller : controllers) {
      sum = sum.plus(controller.use());
    }
    return new Sample(
        System.nanoTime() / 1e9,
        log.starts(),
        sum,
        outside.use(),
        fleet.use(),
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
    int running = rules.running();
    for (ControllerProcess controller : controllers) {
      resident = Math.max(resident, controller.residentMb());
      descriptors = Math.max(descriptors, controller.descriptors());
    }
    double heap = controllers.get(0).heapMb();
    int workers = options.workers();
    return new Measurement(
        options,
        spanS,
        after.starts - before.starts,
        running,
        rules.mostRunning(),
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
        outside.values(),
        said.reports,
        said.orders,
        (said.bytesIn + said.bytesOut) / spanS / workers,
        (after.hollowCpuS - before.hollowCpuS) / spanS / workers,
        ControllerProcess.residentMb(Path.of("/proc/self/status")),
        log.urgentS(50),
        log.urgentS(90),
        log.urgentS(99),
        log.othersS(90),
        log.submissionMs(95),
        source.refused(),
        troubles.lost(),
        options.troubles() ? openJobs() : 0,
        rules.broken());
  }

  private void killControllers() {
    controllers.forEach(ControllerProcess::kill);
  }

  private void close() throws InterruptedException {
    source.stop();
    killControllers();
    network.close();
    fleet.close();
    users.shutdownNow();
    services.shutdownNow();
  }
}
