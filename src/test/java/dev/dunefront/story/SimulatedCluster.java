package dev.dunefront.story;

import dev.dunefront.cli.Controller;
import dev.dunefront.config.InvalidSettingException;
import dev.dunefront.config.Settings;
import dev.dunefront.config.Tunables;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.FakeClock;
import dev.dunefront.net.HttpCaller;
import dev.dunefront.net.HttpServer;
import dev.dunefront.net.LoopWatchdog;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.MessageCodec;
import dev.dunefront.peer.Peers;
import dev.dunefront.standin.FakeCloud;
import dev.dunefront.standin.FakeStateService;
import dev.dunefront.standin.FakeWorker;
import dev.dunefront.store.HttpStateStore;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.IntConsumer;
import java.util.function.Predicate;

/**
 * A simulated cluster for tests: controllers run with fake workers, a fake state service and a fake
 * cloud on one fake clock and one simulated network with fault injection. Times are in seconds of
 * the fake clock.
 */
final class SimulatedCluster {
  static final double REPORT_S = 1.0;
  static final double LEASE_S = 8.0;
  private static final double NETWORK_DELAY_S = 0.002;

  /** A response to a user: the HTTP status, the decoded body and the retry delay. */
  record ApiResponse(int status, Document body, int retryAfterS) {
    String jobStatus() {
      try {
        return body.text("status");
      } catch (MalformedMessageException e) {
        throw new AssertionError(e);
      }
    }
  }

  /** Messages that controllers have sent to each other so far. */
  int peerMessageCount;

  /** Reports that workers have sent so far. */
  int workerReportCount;

  final FakeClock clock = new FakeClock();
  final FakeStateService stateService = new FakeStateService(clock);
  final FakeCloud cloud = new FakeCloud();

  /** All controllers, including stopped ones, by name. */
  final Map<String, Node> nodes = new LinkedHashMap<>();

  /** The workers whose machines exist, by endpoint. */
  final Map<String, FakeWorker> workers = new LinkedHashMap<>();

  /** All workers, including those whose machines have been deleted. */
  private final List<FakeWorker> allWorkersEver = new ArrayList<>();

  private final Map<String, String> machineZones = new HashMap<>();

  /** The controller that each machine reports to, by host. */
  private final Map<String, String> reportsTo = new HashMap<>();

  /**
   * The time from which each machine's lease runs, by host: when it sent the last report that was
   * accepted.
   */
  private final Map<String, Double> leaseRenewedAt = new HashMap<>();

  /** Machines without network: their reports and all requests to them are lost. */
  final Set<String> isolatedHosts = new HashSet<>();

  /** Machines that hang: they send no reports and process no requests until they resume. */
  final Set<String> hungHosts = new HashSet<>();

  /** Whether a request, report or peer message from one address to another is lost. */
  BiPredicate<String, String> dropDelivery = (from, to) -> false;

  /** Whether a message between controllers is held until {@link #deliverHeld}. */
  Predicate<Message> holdPeerMessage = message -> false;

  /** Whether the response to a request from one address to another is lost. */
  BiPredicate<String, String> dropResponse = (from, to) -> false;

  /** Whether a request from one address to another is held until {@link #deliverHeld}. */
  BiPredicate<String, String> holdRequest = (from, to) -> false;

  /** Requests to this path are held as well; null for none. */
  String heldPath;

  /** The deliveries that {@link #deliverHeld} runs. */
  private final List<Runnable> heldDeliveries = new ArrayList<>();

  /** Path and body of every request that has been held so far. */
  final List<String> heldRequests = new ArrayList<>();

  /** Receives the sender, path and decoded body of every request when it is sent. */
  interface RequestListener {
    void onRequest(String from, String path, String body);
  }

  RequestListener requestListener = (from, path, body) -> {};

  /** How the network delivers a request and its response. */
  enum Delivery {
    ON_TIME,
    /** The request is lost. */
    DROPPED,
    /** The request is processed and its response is lost. */
    RESPONSE_DROPPED,
    /** The request is processed and its response arrives 0.1 s before the sender's timeout. */
    RESPONSE_DELAYED,
    /** The request arrives after the sender's timeout, and its response is lost. */
    DELAYED,
    /** The request arrives on time and once more later. */
    DUPLICATED
  }

  /** Machines whose reports arrive, but that receive no requests and no responses. */
  final Set<String> inboundBlockedHosts = new HashSet<>();

  /** Delays after which duplicates of each report reach the same controller and the next one. */
  List<Double> duplicateReportDelaysS = List.of();

  /** Duplicate reports that have arrived so far. */
  int duplicateReportCount;

  /**
   * Whether the reports sent to a controller are also stored. Half a second after the next start of
   * any controller, the stored reports reach every running controller.
   */
  Predicate<String> replayReportsAtNextStart = node -> false;

  private final List<byte[]> reportsToReplay = new ArrayList<>();

  /** Number of tasks of each job whose acceptance was confirmed to a user. */
  final Map<String, Integer> acceptedJobs = new LinkedHashMap<>();

  /** Jobs for which a user has requested cancellation. */
  final Set<String> cancelRequestedJobs = new HashSet<>();

  /** The first submission of each job, by job id. */
  private final Map<String, Document> submittedSpecs = new HashMap<>();

  /** Compares the responses that users received with what the workers did. */
  final OperationHistory operationHistory =
      new OperationHistory(
          workers.values(), allWorkersEver, acceptedJobs, cancelRequestedJobs, submittedSpecs);

  /** Checks that tasks run on machines that their jobs allow. */
  final PlacementCheck placementCheck = new PlacementCheck(submittedSpecs);

  /** Checks, after all faults have ended, that no job waits although a machine has room. */
  final StarvationCheck starvationCheck =
      new StarvationCheck(
          submittedSpecs,
          w ->
              !isolatedHosts.contains(w.host())
                  && !inboundBlockedHosts.contains(w.host())
                  && !hungHosts.contains(w.host()));

  /** Chooses the delivery of a request from its sender, path and decoded body. */
  interface DeliveryPolicy {
    Delivery choose(String from, String path, String body);
  }

  DeliveryPolicy deliveryPolicy = (from, path, body) -> Delivery.ON_TIME;

  /** Chooses by how many seconds a response is late, from the sender and path of its request. */
  interface ResponseDelay {
    double chooseS(String from, String path);
  }

  /**
   * Delays responses to controllers' requests, whose execution is not delayed. A response that the
   * sender no longer waits for is lost.
   */
  ResponseDelay responseDelay = (from, path) -> 0;

  /**
   * Applies a delivery to the first transaction whose decoded body contains a text, and delivers
   * all other requests on time.
   *
   * @param onFault receives the sender when that transaction is sent
   * @return whether that transaction has been sent
   */
  BooleanSupplier faultFirstTransaction(
      String textInBody, Delivery delivery, Consumer<String> onFault) {
    boolean[] applied = {false};
    deliveryPolicy =
        (from, path, body) -> {
          if (applied[0] || !path.equals("/txn") || !body.contains(textInBody)) {
            return Delivery.ON_TIME;
          }
          applied[0] = true;
          onFault.accept(from);
          return delivery;
        };
    return () -> applied[0];
  }

  /** Delay of a late or duplicate request, in seconds. */
  double deliveryDelayS = 20;

  /** Keys whose transaction conditions the state service ignores, as if the sender omitted them. */
  Predicate<String> ignoreConditionOn = key -> false;

  /** Violations found: machines deleted while reachable and running a task, with the time. */
  final List<String> deletedWhileInUse = new ArrayList<>();

  /** Boot time of rented machines; NaN if they never boot. */
  private double bootS = Double.NaN;

  /** Delay until a rented machine is listed. */
  private double listLagS;

  /** Rented machines whose boot has been scheduled or has completed. */
  private final Set<String> bootScheduled = new HashSet<>();

  /** Violations found: tasks that ran on two workers at the same time. */
  final List<String> overlappingRuns = new ArrayList<>();

  /** Settings with a single team {@code t} without a limit. */
  static final String ONE_TEAM = "[[facts.teams]]\nname = \"t\"\n";

  final String teamsToml;
  private final List<String> zones;

  /** The zone that is partitioned from all others and from the services, or null. */
  private String partitionedZone;

  /** The state service's limit on the size of a value. */
  double valueKb = 16;

  /** The state service's limit on requests per second. */
  double rps = 600;

  /** The state service's limit on changes per second. */
  double writeRps = 300;

  /** Idle machines are kept, except in tests about their return. */
  Tunables tunables = Tunables.withOverrides(Map.of("idle_boots", 1000.0));

  SimulatedCluster(int controllers, String teams) {
    this(Collections.nCopies(controllers, "a"), teams);
  }

  /** Creates one controller in each of the given zones. */
  SimulatedCluster(List<String> zones, String teams) {
    this.teamsToml = teams;
    this.zones = new ArrayList<>(zones);
    for (int i = 0; i < zones.size(); i++) {
      nodes.put("node-" + i, new Node("node-" + i, zones.get(i)));
    }
  }

  SimulatedCluster(int controllers) {
    this(controllers, ONE_TEAM);
  }

  /**
   * Creates a cluster with one team, and checks throughout that its tasks stay within a CPU limit.
   */
  static SimulatedCluster withTeamLimit(List<String> zones, double cpusMax) {
    SimulatedCluster w = new SimulatedCluster(zones, ONE_TEAM + "cpus_max = " + cpusMax + "\n");
    w.operationHistory.setTeamLimitCpus(cpusMax);
    w.starvationCheck.setTeamLimitCpus(cpusMax);
    return w;
  }

  static SimulatedCluster withTeamLimit(int controllers, double cpusMax) {
    return withTeamLimit(Collections.nCopies(controllers, "a"), cpusMax);
  }

  /** Adds a controller. Only controllers started from now on have it in their settings. */
  Node addController(String zone) {
    String name = "node-" + zones.size();
    zones.add(zone);
    Node node = new Node(name, zone);
    nodes.put(name, node);
    return node;
  }

  /** Removes a controller from the settings of all controllers started from now on. */
  void removeFromSettings(String name) {
    removedFromSettings.add(name);
  }

  private final Set<String> removedFromSettings = new HashSet<>();

  /**
   * Creates three running controllers and the given number of small machines that have reported.
   */
  static SimulatedCluster withSmallMachines(int machines) {
    SimulatedCluster w = new SimulatedCluster(3);
    w.start().advance(2);
    for (int i = 0; i < machines; i++) {
      w.addMachine("host-" + i, "small", "a", "node-" + i % 3);
    }
    w.advance(5);
    return w;
  }

  SimulatedCluster start() {
    nodes.values().forEach(Node::start);
    return this;
  }

  /** Timers of one controller. The runner drops or defers actions while it is down or paused. */
  private record ControllerTimers(Timers clock, Consumer<Runnable> runner) implements Timers {
    @Override
    public double now() {
      return clock.now();
    }

    @Override
    public long wallClockMs() {
      return clock.wallClockMs();
    }

    @Override
    public void after(double seconds, Runnable action) {
      clock.after(seconds, () -> runner.accept(action));
    }
  }

  /** Advances the clock and checks the invariants of all controllers. */
  void advance(double seconds) {
    clock.advance(seconds);
    nodes.values().forEach(Node::checkInvariants);
  }

  private void checkWorkers() {
    operationHistory.checkRunningTasks();
    placementCheck.check(workers.values());
    Set<String> runningTasks = new HashSet<>();
    for (FakeWorker w : workers.values()) {
      for (String task : w.running()) {
        if (!runningTasks.add(task)) {
          overlappingRuns.add(task + " at " + clock.now());
        }
      }
    }
  }

  // ---- controllers ----

  final class Node {
    final String name;
    private final String zone;
    private Controller controller;

    /** Number of starts so far; identifies the current run of the process. */
    private int startCount;

    private boolean up;

    /** The controllers named in its settings, itself included. */
    private Set<String> configuredNodes = Set.of();

    /** Actions deferred while the controller is paused; null while it is not paused. */
    private List<Runnable> backlog;

    Node(String name, String zone) {
      this.name = name;
      this.zone = zone;
    }

    void start() {
      int thisStart = ++startCount;
      up = true;
      backlog = null;
      Timers controllerTimers = new ControllerTimers(clock, action -> deliver(thisStart, action));
      DecisionLock decisionLock =
          new DecisionLock(
              e -> {
                throw new AssertionError("a decision of " + name + " failed", e);
              });
      HttpCaller caller =
          (address, method, path, body, deadlineS, onResponse) ->
              sendRequest(
                  name,
                  address,
                  method,
                  path,
                  body,
                  deadlineS,
                  r -> deliver(thisStart, () -> onResponse.accept(r)));
      Settings settings = settings(name);
      configuredNodes = new HashSet<>(Set.of(name));
      settings.peers().forEach(p -> configuredNodes.add(p.node()));
      HttpStateStore store =
          new HttpStateStore(
              settings, caller, controllerTimers, decisionLock, name + "-" + thisStart);
      controller =
          new Controller(
              settings,
              tunables,
              store,
              caller,
              controllerTimers,
              decisionLock,
              new LoopWatchdog(),
              (lock, listener) -> new SimulatedPeers(this, lock));
      controller.start();
      clock.after(0.5, SimulatedCluster.this::replayReports);
      for (Node other : nodes.values()) {
        if (other != this && other.up && configuredAsPeers(this, other)) {
          reconnect(this, other);
          reconnect(other, this);
        }
      }
    }

    /** Fails the test, whatever else it checks, if the controller has recorded a violation. */
    void checkInvariants() {
      if (controller != null && !controller.safety().violations().isEmpty()) {
        throw new AssertionError(
            name + " violated invariants: " + controller.safety().violations());
      }
    }

    void crash() {
      checkInvariants();
      up = false;
      controller = null;
      brokenLinks.removeIf(link -> link.endsWith(">" + name));
      for (Node other : nodes.values()) {
        if (other != this && other.up) {
          other.decisionLock().run(() -> other.controller.disconnected(name));
        }
      }
    }

    /** Requests an orderly shutdown; the process ends half a second later. */
    void shutDown() {
      decisionLock().run(() -> controller.handOverDuties(() -> {}));
      int thisStart = startCount;
      clock.after(
          0.5,
          () -> {
            if (startCount == thisStart && up) {
              crash();
            }
          });
    }

    boolean up() {
      return up;
    }

    /** Ends the lease of the controller at the state service without notifying the controller. */
    void expireLease() {
      try {
        Document d = stateService.value("w/n/" + name);
        if (d != null) {
          String inc = d.text("inc");
          stateService.endLease(Long.parseLong(inc.substring(inc.lastIndexOf('#') + 1)));
        }
      } catch (MalformedMessageException e) {
        throw new AssertionError(e);
      }
    }

    private DecisionLock decisionLock() {
      return controller.decisionLock();
    }

    /**
     * Runs an action now, or after the pause if the controller is paused. Drops it if the
     * controller is down or has been restarted since.
     */
    private void deliver(int forStart, Runnable action) {
      if (startCount != forStart || !up) {
        return;
      }
      if (backlog != null) {
        backlog.add(() -> deliver(forStart, action));
      } else {
        action.run();
      }
    }

    /** Runs an action on the controller while holding its decision lock. */
    private void runOnController(Consumer<Controller> action) {
      deliver(startCount, () -> decisionLock().run(() -> action.accept(controller)));
    }

    /** Sends a request without waiting; the callback receives the HTTP status. */
    void request(String method, String path, IntConsumer onStatus) {
      handle(
          new HttpServer.Request(method, path, "", new byte[0]),
          (status, reply, retryAfterS) -> onStatus.accept(status));
    }

    /** Returns the text of the metrics endpoint. */
    String metrics() {
      String[] text = {""};
      handle(
          new HttpServer.Request("GET", HttpServer.METRICS_PATH, "", new byte[0]),
          (status, reply, retryAfterS) -> text[0] = new String(reply, StandardCharsets.UTF_8));
      return text[0];
    }

    private void handle(HttpServer.Request request, HttpServer.Responder answer) {
      deliver(startCount, () -> controller.handle(request, answer));
    }

    /**
     * Pauses the process while the clock advances. Everything that is due or arrives meanwhile runs
     * at once when the process resumes. After 5 s the other controllers time out their links to it.
     */
    void pause(double seconds) {
      if (backlog != null) {
        return;
      }
      int thisStart = startCount;
      backlog = new ArrayList<>();
      clock.after(
          LINK_TIMEOUT_S,
          () -> {
            if (startCount == thisStart && up && backlog != null) {
              for (Node other : nodes.values()) {
                if (other != this && other.up) {
                  brokenLinks.add(other.name + ">" + name);
                  other.runOnController(d -> d.disconnected(name));
                }
              }
            }
          });
      clock.after(
          seconds,
          () -> {
            if (startCount != thisStart || !up) {
              return;
            }
            List<Runnable> deferred = backlog;
            backlog = null;
            deferred.forEach(Runnable::run);
            for (Node other : nodes.values()) {
              if (other != this && brokenLinks.remove(other.name + ">" + name)) {
                decisionLock().run(() -> controller.disconnected(other.name));
                reconnect(this, other);
                reconnect(other, this);
              }
            }
          });
    }
  }

  /** Links that have timed out because of a pause, as {@code from>to}. */
  private final Set<String> brokenLinks = new HashSet<>();

  /** Controllers close a link after this time without a message. */
  private static final double LINK_TIMEOUT_S = 5;

  /** Whether the settings of both controllers name the other. */
  private static boolean configuredAsPeers(Node a, Node b) {
    return a.configuredNodes.contains(b.name) && b.configuredNodes.contains(a.name);
  }

  /** Opens the link in one direction, replacing an earlier one. */
  private void reconnect(Node from, Node to) {
    clock.after(
        NETWORK_DELAY_S,
        () -> {
          if (from.up && to.up) {
            to.runOnController(d -> d.disconnected(from.name));
            from.runOnController(d -> d.connected(to.name));
          }
        });
  }

  private final class SimulatedPeers implements Peers {
    private final Node self;
    private final DecisionLock decisionLock;

    SimulatedPeers(Node self, DecisionLock decisionLock) {
      this.self = self;
      this.decisionLock = decisionLock;
    }

    @Override
    public void send(String node, Message message) {
      peerMessageCount++;
      Node to = nodes.get(node);
      int startCount = to == null ? 0 : to.startCount;
      byte[] encoded = MessageCodec.encode(message);
      if (holdPeerMessage.test(message)) {
        heldDeliveries.add(() -> deliverPeerMessage(self.name, node, message));
        return;
      }
      clock.after(
          node.equals(self.name) ? 0 : NETWORK_DELAY_S,
          () -> {
            if (to == null
                || !configuredAsPeers(self, to)
                || dropDelivery.test(self.name, node)
                || crossesPartition(self.zone, to.zone)
                || brokenLinks.contains(self.name + ">" + node)) {
              return;
            }
            try {
              Message decoded = MessageCodec.decode(encoded);
              to.deliver(
                  startCount,
                  () -> to.decisionLock().run(() -> to.controller.received(self.name, decoded)));
            } catch (IOException e) {
              throw new AssertionError(e);
            }
          });
    }

    @Override
    public void broadcast(Message message) {
      nodes.keySet().forEach(n -> send(n, message));
    }
  }

  /** Delivers a message from one controller to another, regardless of when it was sent. */
  void deliverPeerMessage(String from, String to, Message message) {
    nodes.get(to).runOnController(d -> d.received(from, message));
  }

  private Settings settings(String name) {
    StringBuilder toml = new StringBuilder();
    toml.append("host_name = \"").append(name);
    toml.append("\"\nsite = \"").append(nodes.get(name).zone).append("\"\n");
    toml.append("listen = \"10.0.0.1:80\"\npeer_bind = \"10.0.0.1:81\"\n");
    for (int i = 0; i < zones.size(); i++) {
      if (!name.equals("node-" + i) && !removedFromSettings.contains("node-" + i)) {
        toml.append("[[others]]\nhost_name = \"node-").append(i);
        toml.append("\"\nsite = \"").append(zones.get(i));
        toml.append("\"\naddress = \"10.0.0.9:81\"\n");
      }
    }
    toml.append("[outside]\ncloud = \"10.2.0.2:1\"\nstate = \"10.2.0.1:1\"\n").append(teamsToml);
    toml.append("[facts.workers]\nreport_s = ").append(REPORT_S);
    toml.append("\nlease_s = ").append(LEASE_S).append("\ncancel_s = 20.0\n");
    toml.append("[facts.state]\nrps = ").append(rps);
    toml.append("\nwrite_rps = ").append(writeRps).append("\nvalue_kb = ");
    toml.append(valueKb).append("\ntxn_ops = ");
    toml.append(FakeStateService.MAX_TXN_OPS).append("\n");
    toml.append("[facts.cloud]\nrps = 5.0\nlist_lag_s = 2.0\n");
    toml.append("[facts.limits]\ncores = 1.0\nmemory_mb = 256.0\nfd_limit = 500\n");
    try {
      return Settings.parse(toml.toString());
    } catch (InvalidSettingException e) {
      throw new AssertionError(e);
    }
  }

  // ---- the network ----

  private void sendRequest(
      String from,
      String address,
      String method,
      String path,
      byte[] body,
      double deadlineS,
      Consumer<HttpCaller.Response> onResponse) {
    boolean[] completed = {false};
    Consumer<HttpCaller.Response> completeOnce =
        r -> {
          if (!completed[0]) {
            completed[0] = true;
            onResponse.accept(r);
          }
        };
    clock.after(deadlineS, () -> completeOnce.accept(HttpCaller.Response.NO_RESPONSE));
    if (address.equals("10.2.0.1:1") && refusedByStateService.contains(from)) {
      clock.after(
          NETWORK_DELAY_S, () -> completeOnce.accept(new HttpCaller.Response(503, new byte[0], 0)));
      return;
    }
    requestListener.onRequest(from, path, text(body));
    Runnable deliver =
        () ->
            serve(
                address,
                method,
                path,
                body,
                r -> {
                  if (!dropResponse.test(from, address)) {
                    clock.after(
                        NETWORK_DELAY_S + responseDelay.chooseS(from, path),
                        () -> respondUnlessRefused(from, path, () -> completeOnce.accept(r)));
                  }
                });
    FakeWorker target = workers.get(address);
    if (dropDelivery.test(from, address)
        || target != null && inboundBlockedHosts.contains(target.host())) {
      return;
    }
    Delivery delivery = deliveryPolicy.choose(from, path, text(body));
    if (delivery == Delivery.DELAYED || delivery == Delivery.DUPLICATED) {
      clock.after(deliveryDelayS, () -> serve(address, method, path, body, r -> {}));
    }
    if (delivery == Delivery.DROPPED || delivery == Delivery.DELAYED) {
      return;
    }
    if (delivery == Delivery.RESPONSE_DELAYED) {
      Consumer<HttpCaller.Response> respondLate =
          r -> clock.after(deadlineS - 0.1, () -> completeOnce.accept(r));
      clock.after(NETWORK_DELAY_S, () -> serve(address, method, path, body, respondLate));
      return;
    }
    if (delivery == Delivery.RESPONSE_DROPPED) {
      clock.after(NETWORK_DELAY_S, () -> serve(address, method, path, body, r -> {}));
      return;
    }
    FakeWorker worker = workers.get(address);
    if (worker != null && hungHosts.contains(worker.host())) {
      deliverWhenResumed(worker.host(), deliver);
      return;
    }
    boolean acrossPartition =
        crossesPartition(nodes.get(from).zone, worker == null ? null : zoneOf(worker));
    if (acrossPartition || holdRequest.test(from, address) || path.equals(heldPath)) {
      heldDeliveries.add(deliver);
      heldRequests.add(path + " " + text(body));
      return;
    }
    boolean toStateService = address.equals("10.2.0.1:1");
    clock.after(NETWORK_DELAY_S + (toStateService ? stateServiceDelayS.getAsDouble() : 0), deliver);
  }

  /**
   * Runs an action once a machine no longer hangs. The short interval lets requests that arrived
   * during the hang run before the machine's next report.
   */
  private void deliverWhenResumed(String host, Runnable action) {
    if (hungHosts.contains(host)) {
      clock.after(0.01, () -> deliverWhenResumed(host, action));
    } else {
      action.run();
    }
  }

  /** Makes a machine hang for the given time, in seconds. */
  void hang(String host, double durationS) {
    hungHosts.add(host);
    clock.after(durationS, () -> hungHosts.remove(host));
  }

  /** Defers the response to an open watch while the state service refuses its controller. */
  private void respondUnlessRefused(String from, String path, Runnable respond) {
    if (path.startsWith("/watch") && refusedByStateService.contains(from)) {
      clock.after(0.1, () -> respondUnlessRefused(from, path, respond));
    } else {
      respond.run();
    }
  }

  /** Whether the partition separates two zones; null stands for a service outside all zones. */
  private boolean crossesPartition(String zone, String otherZone) {
    return partitionedZone != null
        && partitionedZone.equals(zone) != partitionedZone.equals(otherZone);
  }

  /**
   * Partitions a zone from all others and from the services. Requests and reports across the
   * partition are held, and links across it time out after 5 s.
   */
  void partitionZone(String zone) {
    partitionedZone = zone;
    clock.after(LINK_TIMEOUT_S, this::timeOutPartitionedLinks);
  }

  /** Ends the partition: held requests and reports arrive at once and links are reconnected. */
  void healPartition() {
    String zone = partitionedZone;
    if (zone == null) {
      return;
    }
    deliverHeld();
    partitionedZone = null;
    for (Node a : nodes.values()) {
      for (Node b : nodes.values()) {
        if (zone.equals(a.zone) != zone.equals(b.zone)) {
          reconnect(a, b);
        }
      }
    }
  }

  /** Times out the links of a controller over which {@link #dropDelivery} drops its messages. */
  void timeOutLinks(String name) {
    Node node = nodes.get(name);
    for (Node other : nodes.values()) {
      if (other != node && other.up && node.up && dropDelivery.test(name, other.name)) {
        other.runOnController(d -> d.disconnected(name));
        node.runOnController(d -> d.disconnected(other.name));
      }
    }
  }

  /** Drops everything between a controller and its peers, in both directions. */
  static BiPredicate<String, String> isolatedFromPeers(String node) {
    return (from, to) ->
        from.equals(node) && to.startsWith("node-") || to.equals(node) && from.startsWith("node-");
  }

  /**
   * Drops the messages of {@link #isolatedFromPeers} and the controller's state service requests.
   */
  static BiPredicate<String, String> isolatedFromPeersAndState(String node) {
    return isolatedFromPeers(node).or((from, to) -> from.equals(node) && to.equals("10.2.0.1:1"));
  }

  /** Reconnects all links of a controller. */
  void reconnectLinks(String name) {
    for (Node other : nodes.values()) {
      if (other != nodes.get(name)) {
        reconnect(nodes.get(name), other);
        reconnect(other, nodes.get(name));
      }
    }
  }

  private void timeOutPartitionedLinks() {
    for (Node a : nodes.values()) {
      for (Node b : nodes.values()) {
        if (crossesPartition(a.zone, b.zone) && b.up) {
          b.runOnController(d -> d.disconnected(a.name));
        }
      }
    }
  }

  private static String text(byte[] body) {
    try {
      return body == null ? "" : Document.decode(body).toString();
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /** Additional delay of requests to the state service, in seconds. */
  DoubleSupplier stateServiceDelayS = () -> 0;

  /** Delivers all held requests, reports and peer messages now. */
  void deliverHeld() {
    List<Runnable> deliveries = List.copyOf(heldDeliveries);
    heldDeliveries.clear();
    deliveries.forEach(Runnable::run);
    checkWorkers();
  }

  /** Number of requests, reports and peer messages that are held now. */
  int heldCount() {
    return heldDeliveries.size();
  }

  /** Controllers whose requests the state service refuses with status 503. */
  final Set<String> refusedByStateService = new HashSet<>();

  private void serve(
      String address,
      String method,
      String path,
      byte[] body,
      Consumer<HttpCaller.Response> onResponse) {
    if (address.equals("10.2.0.1:1")) {
      stateService.handle(
          method, path, path.equals("/txn") ? withoutIgnoredConditions(body) : body, onResponse);
    } else if (address.equals("10.2.0.2:1")) {
      if (path.equals("/machines/delete")) {
        recordDeletionsInUse(body);
      }
      onResponse.accept(cloud.handle(method, path, body));
      // Tasks on deleted machines have ended by the time of the response.
      workers.values().removeIf(m -> cloud.deleted(m.host()));
      scheduleBoots();
    } else {
      FakeWorker w = workers.get(address);
      if (w != null && !isolatedHosts.contains(w.host())) {
        try {
          HttpCaller.Response reply =
              path.equals("/status")
                  ? new HttpCaller.Response(200, w.report(), 0)
                  : w.handleCommands(body);
          checkWorkers();
          onResponse.accept(reply);
        } catch (MalformedMessageException e) {
          throw new AssertionError(e);
        }
      }
    }
  }

  /** Returns the transaction without the conditions that {@link #ignoreConditionOn} ignores. */
  private byte[] withoutIgnoredConditions(byte[] body) {
    try {
      Document txn = Document.decode(body);
      List<Document> kept = new ArrayList<>();
      for (Document when : txn.documents("when")) {
        if (!ignoreConditionOn.test(when.text("k"))) {
          kept.add(when);
        }
      }
      return txn.put("when", kept).encode();
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * Lets rented machines boot and appear in the cloud's list after the given delays, in seconds.
   */
  SimulatedCluster withRentingDelays(double bootDelayS, double listDelayS) {
    bootS = bootDelayS;
    listLagS = listDelayS;
    cloud.hideNewMachines();
    return this;
  }

  private void scheduleBoots() {
    if (Double.isNaN(bootS)) {
      return;
    }
    for (List<String> hosts : cloud.hostsByRequest().values()) {
      for (String host : hosts) {
        if (bootScheduled.add(host)) {
          clock.after(listLagS, () -> cloud.listHidden(host));
          clock.after(bootS, () -> completeBoot(host));
        }
      }
    }
  }

  private void completeBoot(String host) {
    try {
      String zone = cloud.zone(host);
      if (zone != null) {
        cloud.markRunning(host);
        addWorker(host, cloud.type(host), zone, "node-" + (bootScheduled.size() % nodes.size()));
      }
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  private void recordDeletionsInUse(byte[] body) {
    try {
      for (String host : Document.decode(body).texts("hosts")) {
        FakeWorker w = workers.get(host + ":9");
        if (w != null && !isolatedHosts.contains(host) && !w.running().isEmpty()) {
          deletedWhileInUse.add(host + " at " + clock.now());
        }
      }
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /** Number of machines rented so far. */
  int rentedCount() {
    return cloud.hostsByRequest().values().stream().mapToInt(List::size).sum();
  }

  /**
   * The controller whose incarnation a key of the state service records, or null without the key.
   */
  String recordedNode(String key) {
    String inc = recordedIncarnation(key);
    return inc == null ? null : inc.substring(0, inc.lastIndexOf('#'));
  }

  /** The incarnation that a key of the state service records, or null without the key. */
  String recordedIncarnation(String key) {
    try {
      Document d = stateService.value(key);
      return d == null ? null : d.text("inc");
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /** Writes a key of the state service, bypassing the controllers. */
  void writeState(String key, Document value) {
    changeState(Document.create().put("put", key).put("data", value));
  }

  /** Removes a key of the state service, bypassing the controllers. */
  void removeState(String key) {
    changeState(Document.create().put("remove", key));
  }

  private void changeState(Document change) {
    stateService.handle(
        "POST",
        "/txn",
        Document.create().put("when", List.of()).put("then", List.of(change)).encode(),
        reply -> {
          if (!reply.ok()) {
            throw new AssertionError("state service rejected the change: " + reply.status());
          }
        });
  }

  // ---- workers ----

  /** Adds a running machine whose first report goes to the given controller. */
  FakeWorker addMachine(String host, String type, String zone, String firstNode) {
    cloud.addRunning(host, type, zone);
    return addWorker(host, type, zone, firstNode);
  }

  private FakeWorker addWorker(String host, String type, String zone, String firstNode) {
    FakeWorker w = new FakeWorker(host, host + ":9", type, zone);
    workers.put(w.endpoint(), w);
    allWorkersEver.add(w);
    machineZones.put(host, zone);
    reportsTo.put(host, firstNode);
    leaseRenewedAt.put(host, clock.now());
    clock.after(0.01, () -> report(w));
    checkWorkerLease(w);
    return w;
  }

  /** Number of running tasks of a job. */
  int runningCount(String job) {
    return workers.values().stream().mapToInt(m -> runningCount(m, job)).sum();
  }

  /** Number of running tasks of a job on one machine. */
  static int runningCount(FakeWorker m, String job) {
    return (int) m.running().stream().filter(t -> t.startsWith(job + "/")).count();
  }

  /** Number of running tasks on all machines. */
  int runningCount() {
    return workers.values().stream().mapToInt(m -> m.running().size()).sum();
  }

  /** Ends every running task with the exit reason {@code done}. */
  void completeAllTasks() {
    workers.values().forEach(m -> m.running().forEach(t -> m.exit(t, "done")));
  }

  String zoneOf(FakeWorker w) {
    return machineZones.get(w.host());
  }

  /** The controller that the machine reports to. */
  String holderOf(String host) {
    return reportsTo.get(host);
  }

  /**
   * Starts a new session, which kills all tasks, when the worker's lease expires. The worker checks
   * its lease on its own clock, independently of its reports.
   */
  private void checkWorkerLease(FakeWorker w) {
    double expiresAt = leaseRenewedAt.get(w.host()) + LEASE_S;
    if (clock.now() > expiresAt) {
      w.newSession();
      leaseRenewedAt.put(w.host(), clock.now());
    }
    double checkInS = leaseRenewedAt.get(w.host()) + LEASE_S - clock.now() + 0.001;
    if (!cloud.deleted(w.host())) {
      clock.after(checkInS, () -> checkWorkerLease(w));
    }
  }

  private void report(FakeWorker w) {
    if (cloud.deleted(w.host())) {
      workers.remove(w.endpoint());
      return;
    }
    Node node = nodes.get(reportsTo.get(w.host()));
    double sentAt = clock.now();
    byte[] body = w.report();
    workerReportCount++;
    operationHistory.checkRunningTasks();
    if (hungHosts.contains(w.host())) {
      clock.after(0.2, () -> report(w));
      return;
    }
    boolean reportLost =
        isolatedHosts.contains(w.host()) || !node.up || dropDelivery.test(w.endpoint(), node.name);
    if (reportLost) {
      reportToNext(w, node);
      return;
    }
    if (crossesPartition(zoneOf(w), node.zone)) {
      // Held until the partition ends; the worker reports to another controller by then.
      int startCount = node.startCount;
      HttpServer.Request request = new HttpServer.Request("POST", "/hello", "", body);
      heldDeliveries.add(
          () ->
              node.deliver(
                  startCount,
                  () -> node.controller.handle(request, (status, reply, retryAfterS) -> {})));
      clock.after(REPORT_TIMEOUT_S, () -> reportToNext(w, node));
      return;
    }
    boolean[] completed = {false};
    clock.after(
        REPORT_TIMEOUT_S,
        () -> {
          if (!completed[0]) {
            completed[0] = true;
            reportToNext(w, node);
          }
        });
    HttpServer.Responder responder =
        (status, reply, retryAfterS) ->
            clock.after(
                NETWORK_DELAY_S,
                () -> {
                  if (completed[0]
                      || inboundBlockedHosts.contains(w.host())
                      || hungHosts.contains(w.host())) {
                    return;
                  }
                  completed[0] = true;
                  try {
                    if (status == 200) {
                      if (w.handleReportResponse(reply)) {
                        leaseRenewedAt.put(w.host(), sentAt);
                      }
                      clock.after(REPORT_S, () -> report(w));
                    } else if (status == 421 && reply != null) {
                      reportsTo.put(w.host(), Document.decode(reply).text("overseer"));
                      clock.after(0.1, () -> report(w));
                    } else {
                      reportToNext(w, node);
                    }
                  } catch (MalformedMessageException e) {
                    throw new AssertionError(e);
                  }
                });
    node.handle(new HttpServer.Request("POST", "/hello", "", body), responder);
    scheduleDuplicates(node, body);
  }

  private static final int MAX_REPLAYED_REPORTS = 60;

  /** Delivers the stored reports to all running controllers. */
  private void replayReports() {
    List<byte[]> bodies = List.copyOf(reportsToReplay);
    reportsToReplay.clear();
    for (byte[] body : bodies) {
      for (Node node : nodes.values()) {
        if (node.up) {
          duplicateReportCount++;
          deliverReport(node.name, body);
        }
      }
    }
  }

  /**
   * Schedules duplicates of a report to the same controller and to the next one, and stores it for
   * replay at the next start. The responses to duplicates are ignored.
   */
  private void scheduleDuplicates(Node node, byte[] body) {
    if (replayReportsAtNextStart.test(node.name) && reportsToReplay.size() < MAX_REPLAYED_REPORTS) {
      reportsToReplay.add(body);
    }
    List<Node> allNodes = List.copyOf(nodes.values());
    Node next = allNodes.get((allNodes.indexOf(node) + 1) % allNodes.size());
    for (double delayS : duplicateReportDelaysS) {
      for (Node to : List.of(node, next)) {
        clock.after(
            delayS,
            () -> {
              if (to.up) {
                duplicateReportCount++;
                HttpServer.Request duplicate = new HttpServer.Request("POST", "/hello", "", body);
                to.handle(duplicate, (status, reply, retryAfterS) -> {});
              }
            });
      }
    }
  }

  /** Delivers a report to a controller and ignores the response. */
  void deliverReport(String node, byte[] body) {
    nodes
        .get(node)
        .handle(
            new HttpServer.Request("POST", "/hello", "", body), (status, reply, retryAfterS) -> {});
  }

  /** Time that a worker waits for the response to a report. */
  private static final double REPORT_TIMEOUT_S = 4;

  /** Reports again in 1 s; the worker moves on to the next controller unless it is isolated. */
  private void reportToNext(FakeWorker w, Node node) {
    List<String> names = List.copyOf(nodes.keySet());
    if (!isolatedHosts.contains(w.host())) {
      reportsTo.put(w.host(), names.get((names.indexOf(node.name) + 1) % names.size()));
    }
    clock.after(1, () -> report(w));
  }

  // ---- users ----

  /** Sends a request and waits up to 6 s for the response; null on timeout. */
  ApiResponse request(String node, String method, String path, byte[] body) {
    ApiResponse[] response = {null};
    HttpServer.Responder responder =
        (status, reply, retryAfterS) -> {
          try {
            response[0] =
                new ApiResponse(
                    status,
                    reply == null || reply.length == 0 ? Document.create() : Document.decode(reply),
                    retryAfterS);
          } catch (MalformedMessageException e) {
            throw new AssertionError(e);
          }
        };
    nodes.get(node).handle(new HttpServer.Request(method, path, "", body), responder);
    for (int i = 0; i < 3000 && response[0] == null; i++) {
      advance(0.002);
    }
    return response[0];
  }

  /** Submits a job and waits for the response; null on timeout. */
  ApiResponse submit(String node, Document job) {
    double sentAt = clock.now();
    try {
      submittedSpecs.putIfAbsent(job.text("id"), job);
      ApiResponse response = request(node, "POST", "/v1/jobs", job.encode());
      if (response != null && (response.status() == 201 || response.status() == 200)) {
        acceptedJobs.put(job.text("id"), (int) job.count("pieces"));
      }
      return recordResponse(job.text("id"), sentAt, response);
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /** Requests the status of a job and waits for the response; null on timeout. */
  ApiResponse poll(String node, String id) {
    double sentAt = clock.now();
    return recordResponse(id, sentAt, request(node, "GET", "/v1/jobs/" + id, new byte[0]));
  }

  /** Requests the cancellation of a job and waits for the response; null on timeout. */
  ApiResponse cancel(String node, String id) {
    cancelRequestedJobs.add(id);
    double sentAt = clock.now();
    return recordResponse(
        id, sentAt, request(node, "POST", "/v1/jobs/" + id + "/abort", new byte[0]));
  }

  private ApiResponse recordResponse(String id, double sentAt, ApiResponse response) {
    operationHistory.recordResponse(id, response, sentAt, clock.now());
    return response;
  }

  /**
   * Sends a user request through a running controller without waiting and records the response. On
   * a timeout, on status 503 or while no controller runs, it retries at the next controller after
   * 1.5 s, as the protocol requires.
   *
   * @param body the job to submit; null for other requests
   * @param firstNode index of the controller among the running ones
   * @param tries remaining attempts
   */
  void requestWithRetries(
      String method, String path, Document body, String id, int firstNode, int tries) {
    List<Node> up = nodes.values().stream().filter(Node::up).toList();
    if (tries == 0) {
      return;
    }
    if (body != null) {
      submittedSpecs.putIfAbsent(id, body);
    }
    Runnable retry =
        () ->
            clock.after(
                1.5, () -> requestWithRetries(method, path, body, id, firstNode + 1, tries - 1));
    if (up.isEmpty()) {
      retry.run();
      return;
    }
    boolean[] completed = {false};
    double sentAt = clock.now();
    HttpServer.Request request =
        new HttpServer.Request(method, path, "", body == null ? new byte[0] : body.encode());
    double timeoutS = method.equals("GET") ? 2 : 5;
    clock.after(
        timeoutS,
        () -> {
          if (!completed[0]) {
            completed[0] = true;
            retry.run();
          }
        });
    up.get(firstNode % up.size())
        .handle(
            request,
            (status, reply, retryAfterS) -> {
              if (completed[0]) {
                return;
              }
              completed[0] = true;
              try {
                Document responseBody =
                    reply == null || reply.length == 0 ? Document.create() : Document.decode(reply);
                if (body != null && (status == 200 || status == 201)) {
                  acceptedJobs.putIfAbsent(id, (int) body.count("pieces"));
                }
                recordResponse(id, sentAt, new ApiResponse(status, responseBody, retryAfterS));
              } catch (MalformedMessageException e) {
                throw new AssertionError(e);
              }
              if (status == 503) {
                retry.run();
              }
            });
  }

  /** After the faults end, every controller must answer a poll of every job within this time. */
  private static final double ANSWER_DEADLINE_S = 75;

  /** After the faults end, every job must start within this time, even the largest. */
  private static final double START_DEADLINE_S = 240;

  /**
   * Runs the cluster after all faults have ended until all jobs complete, and checks what users and
   * workers observe: every controller answers for every accepted job in time, every job that was
   * not cancelled starts in time and runs all its tasks, and no task has ever run twice at once.
   *
   * @return the violations found, including those of the other checks; empty if there are none
   */
  List<String> drainAndCheck() {
    List<String> violations = new ArrayList<>();
    double startedAt = clock.now();
    Map<String, Set<String>> unansweredByNode = new LinkedHashMap<>();
    nodes.values().stream()
        .filter(Node::up)
        .forEach(n -> unansweredByNode.put(n.name, new HashSet<>(acceptedJobs.keySet())));
    Set<String> unstarted = new HashSet<>(acceptedJobs.keySet());
    Set<String> incomplete = new HashSet<>(acceptedJobs.keySet());
    unstarted.removeAll(cancelRequestedJobs);
    incomplete.removeAll(cancelRequestedJobs);
    double deadline = startedAt + 2 * START_DEADLINE_S;
    while (clock.now() < deadline && !(incomplete.isEmpty() && unansweredByNode.isEmpty())) {
      advance(2);
      checkStarvation();
      Map<String, Integer> startedCounts = startedTaskCounts();
      unstarted.removeIf(id -> startedCounts.getOrDefault(id, 0) > 0);
      incomplete.removeIf(id -> startedCounts.getOrDefault(id, 0) >= acceptedJobs.get(id));
      if (clock.now() - startedAt > START_DEADLINE_S) {
        unstarted.forEach(id -> violations.add(id + " has not started in time"));
        unstarted.clear();
      }
      if (clock.now() - startedAt < ANSWER_DEADLINE_S) {
        unansweredByNode.forEach((node, ids) -> ids.removeIf(id -> isAnswered(node, id)));
        unansweredByNode.values().removeIf(Set::isEmpty);
      } else {
        unansweredByNode.forEach((node, ids) -> violations.add(ids + " are forgotten by " + node));
        unansweredByNode.clear();
      }
      completeAllTasks();
    }
    incomplete.forEach(id -> violations.add(id + " never ran whole"));
    violations.addAll(overlappingRuns);
    violations.addAll(operationHistory.violations);
    violations.addAll(starvationCheck.violations);
    violations.addAll(placementCheck.violations);
    return violations;
  }

  /** Runs for the maximum waiting time without completing tasks and checks for starvation. */
  void checkStarvationWhileTasksRun() {
    for (int i = 0; i <= StarvationCheck.MAX_WAIT_S / 2 + 1; i++) {
      advance(2);
      checkStarvation();
    }
  }

  private void checkStarvation() {
    Set<String> pendingJobs = new HashSet<>(acceptedJobs.keySet());
    pendingJobs.removeAll(cancelRequestedJobs);
    starvationCheck.check(pendingJobs, workers.values(), operationHistory.doneTasks(), clock.now());
  }

  private boolean isAnswered(String node, String id) {
    ApiResponse response = poll(node, id);
    return response != null && response.status() == 200;
  }

  /** Number of tasks of each job that any worker has started so far. */
  private Map<String, Integer> startedTaskCounts() {
    Map<String, Set<String>> tasks = new HashMap<>();
    for (FakeWorker w : allWorkersEver) {
      for (String start : w.starts()) {
        String task = start.substring(0, start.indexOf('#'));
        tasks.computeIfAbsent(task.substring(0, task.indexOf('/')), j -> new HashSet<>()).add(task);
      }
    }
    Map<String, Integer> counts = new HashMap<>();
    tasks.forEach((job, all) -> counts.put(job, all.size()));
    return counts;
  }

  /** A batch job of team {@code t} with normal priority; tests override single fields. */
  static Document job(String id, int tasks, double cpus) {
    return Document.create()
        .put("id", id)
        .put("batchclass", "c")
        .put("owner", "t")
        .put("shape", "sweep")
        .put("urgency", "normal")
        .put("pieces", tasks)
        .put("vcpus", cpus)
        .put("cards", 0.0)
        .put("ram_gb", 1.0)
        .put("bundle", "img")
        .put("size_gb", 1.0)
        .put("same_place", false)
        .put("apart", false)
        .put("loaners", false)
        .put("expect_s", 60.0)
        .put("snapshot_every_s", 0.0)
        .put("snapshot_s", 0.0);
  }
}
