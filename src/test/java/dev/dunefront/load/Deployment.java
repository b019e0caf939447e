package dev.dunefront.load;

import dev.dunefront.net.Timers;
import dev.dunefront.net.UndertowHttpCaller;
import dev.dunefront.net.XnioTimers;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * A deployment on loopback: real controllers, each in its own process, and in this process the
 * stand-ins of the state service and the cloud, the network between regions, simulated workers and
 * users. Controllers are killed even if this process is interrupted.
 */
final class Deployment {
  private static final double STARTUP_TIMEOUT_S = 120;
  private static final long POLL_INTERVAL_MS = 200;

  private final LoadOptions options;
  private final LoadSettings.Addresses addresses;
  private final ExternalServices externalServices;
  private final SimulatedFleet fleet;
  private final InvariantChecker invariants;
  private final MessageFaults messageFaults = new MessageFaults();
  private final LatencyRecorder latencies = new LatencyRecorder();
  private final JobGenerator jobs;
  private final CloseLookUsers closeLookUsers;
  private final XnioWorker userThreads;
  private final XnioWorker serviceThreads;
  private final List<ControllerProcess> controllers = new ArrayList<>();
  private final RegionNetwork network;
  private final boolean useRelays;

  /**
   * Creates the deployment without starting controllers, workers or users.
   *
   * @param directory directory of the controllers' settings and logs
   * @param logLevel log level of the controllers
   * @param useRelays whether links between regions run through relays, which add latency and can be
   *     cut
   * @param recordEvents whether workers record their events
   */
  Deployment(
      LoadOptions options, Path directory, String logLevel, boolean useRelays, boolean recordEvents)
      throws IOException {
    this.options = options;
    this.useRelays = useRelays;
    Runtime.getRuntime().addShutdownHook(new Thread(this::killControllers));
    int count = options.controllers();
    // Kept open until the relays have bound their ports, which might otherwise be one of these.
    List<ServerSocket> reserved = reservePorts(3 * count + 2);
    List<String> ports = reserved.stream().map(Deployment::addressOf).toList();
    addresses =
        new LoadSettings.Addresses(
            ports.subList(2 * count, 3 * count),
            ports.get(3 * count),
            ports.subList(0, count),
            ports.subList(count, 2 * count));
    serviceThreads = createThreads("services");
    userThreads = createThreads("users");
    invariants = new InvariantChecker(options.limitTasks());
    network = new RegionNetwork(options.regions());
    Map<String, Integer> numberByName = new HashMap<>();
    for (int i = 0; i < count; i++) {
      numberByName.put(LoadSettings.controller(i), i);
      String settings =
          LoadSettings.settingsText(options, addresses, peerAddressesFor(i), stateAddressFor(i), i);
      String address = addresses.users().get(i);
      controllers.add(new ControllerProcess(directory, i, settings, address, logLevel));
    }
    for (ServerSocket socket : reserved) {
      socket.close();
    }
    List<InetSocketAddress> stateAddresses =
        addresses.states().stream().map(Deployment::loopbackAddress).toList();
    externalServices =
        new ExternalServices(
            serviceThreads,
            stateAddresses,
            loopbackAddress(addresses.cloud()),
            options.zoneNames(),
            options.lateStateShare(),
            options.seed());
    // Started last: from here on only the network thread may access the relays.
    new Thread(network, "network").start();
    fleet =
        new SimulatedFleet(
            new SimulatedWorker.SharedContext(
                addresses.users(),
                numberByName,
                invariants,
                latencies,
                options,
                this::reachable,
                messageFaults,
                recordEvents),
            loopbackAddress(ports.get(3 * count + 1)).getPort());
    Timers timers = new XnioTimers(userThreads.getIoThread());
    UndertowHttpCaller caller =
        new UndertowHttpCaller(
            userThreads.getIoThread(), new DefaultByteBufferPool(false, 8192, 64, 4), timers);
    jobs = new JobGenerator(options, addresses.users(), caller, timers, invariants, latencies);
    closeLookUsers = new CloseLookUsers(options, addresses.users(), caller, timers, invariants);
  }

  private boolean reachable(String zone, int controller) {
    return network.reaches(options.regionOfZone(zone), options.regionOfController(controller));
  }

  /** The addresses at which a controller reaches each controller, through relays if needed. */
  private List<String> peerAddressesFor(int number) throws IOException {
    List<String> all = new ArrayList<>();
    for (int other = 0; other < options.controllers(); other++) {
      all.add(
          addressVia(
              options.regionOfController(number),
              options.regionOfController(other),
              addresses.peers().get(other)));
    }
    return all;
  }

  /**
   * The address at which a controller reaches the state service, which is in its own region or in a
   * controller's region.
   */
  private String stateAddressFor(int number) throws IOException {
    return addressVia(
        options.regionOfController(number), options.stateRegion(), addresses.states().get(number));
  }

  private String addressVia(int from, int to, String target) throws IOException {
    return useRelays && from != to ? network.relay(from, to, target) : target;
  }

  private static XnioWorker createThreads(String name) throws IOException {
    return Xnio.getInstance()
        .createWorker(
            OptionMap.builder()
                .set(Options.WORKER_NAME, name)
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .getMap());
  }

  /** Parses {@code host:port} to a loopback address with that port. */
  static InetSocketAddress loopbackAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        InetAddress.getLoopbackAddress(), Integer.parseInt(address.substring(colon + 1)));
  }

  private static List<ServerSocket> reservePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
    }
    return sockets;
  }

  private static String addressOf(ServerSocket socket) {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** Starts workers, controllers and users, in this order. */
  void start() throws IOException, InterruptedException {
    for (int i = 0; i < options.workers(); i++) {
      String zone = options.zoneNames().get(i % options.zones());
      externalServices.addRunningMachine(fleet.add(zone).host(), zone);
    }
    for (ControllerProcess controller : controllers) {
      controller.start();
    }
    awaitUp();
    userThreads.getIoThread().execute(jobs::start);
    userThreads.getIoThread().execute(closeLookUsers::start);
  }

  private void awaitUp() throws InterruptedException, IOException {
    long deadlineNs = System.nanoTime() + Math.round(STARTUP_TIMEOUT_S * 1e9);
    for (ControllerProcess controller : controllers) {
      while (!controller.up()) {
        if (System.nanoTime() > deadlineNs) {
          throw new IOException("controllers did not start within " + STARTUP_TIMEOUT_S + " s");
        }
        Thread.sleep(POLL_INTERVAL_MS);
      }
    }
  }

  /**
   * Stops submissions and waits until every accepted job has finished, at most so many seconds.
   *
   * @return number of accepted jobs that have not finished
   */
  int drain(double seconds) throws InterruptedException {
    stopUsers();
    long deadlineNs = System.nanoTime() + Math.round(seconds * 1e9);
    while (openJobs() > 0 && System.nanoTime() < deadlineNs) {
      Thread.sleep(POLL_INTERVAL_MS);
    }
    return openJobs();
  }

  /** Number of accepted jobs for which no user has received a final status. */
  int openJobs() throws InterruptedException {
    return IoThreadCall.get(userThreads.getIoThread(), jobs::openJobs);
  }

  LoadOptions options() {
    return options;
  }

  List<ControllerProcess> controllers() {
    return controllers;
  }

  SimulatedFleet fleet() {
    return fleet;
  }

  ExternalServices externalServices() {
    return externalServices;
  }

  RegionNetwork network() {
    return network;
  }

  MessageFaults messageFaults() {
    return messageFaults;
  }

  InvariantChecker invariants() {
    return invariants;
  }

  LatencyRecorder latencies() {
    return latencies;
  }

  JobGenerator jobs() {
    return jobs;
  }

  CloseLookUsers closeLookUsers() {
    return closeLookUsers;
  }

  /** The I/O thread of the users, on which faults are injected as well. */
  XnioIoThread userThread() {
    return userThreads.getIoThread();
  }

  private void killControllers() {
    controllers.forEach(ControllerProcess::killProcess);
  }

  /** Stops submissions. */
  void stopUsers() {
    jobs.stop();
    closeLookUsers.stop();
  }

  /** Stops everything. */
  void close() throws InterruptedException {
    stopUsers();
    killControllers();
    network.close();
    fleet.close();
    userThreads.shutdownNow();
    serviceThreads.shutdownNow();
  }
}
