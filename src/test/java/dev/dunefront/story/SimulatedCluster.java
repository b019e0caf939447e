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
import dev.dunefront.standin.FakeCloud;
import dev.dunefront.standin.FakeStateService;
import dev.dunefront.store.HttpStateStore;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * A simulated cluster for tests: controllers run with fake workers, a fake state service and a fake
 * cloud on one fake clock and one simulated network with fault injection. Times are in seconds of
 * the fake clock.
 */
final class SimulatedCluster {
  static final double REPORT_S = 1.0;
  static final double LEASE_S = 8.0;
  final FakeClock clock = new FakeClock();
  final FakeStateService stateService = new FakeStateService(clock);
  final FakeCloud cloud = new FakeCloud();

  /** All controllers, including stopped ones, by name. */
  final Map<String, Node> nodes = new LinkedHashMap<>();

  final SimulatedNetwork network = new SimulatedNetwork(this);
  final SimulatedMachines machines = new SimulatedMachines(this);
  final SimulatedUsers users = new SimulatedUsers(this);

  /** Settings with a single team {@code t} without a limit. */
  static final String ONE_TEAM = "[[facts.teams]]\nname = \"t\"\n";

  final String teamsToml;
  private final List<String> zones;

  /** The state service's limit on the size of a value. */
  double valueKb = 16;

  /** The number of changes that controllers may put into one transaction. */
  int txnOps = FakeStateService.MAX_TXN_OPS;

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
    w.users.operationHistory.setTeamLimitCpus(cpusMax);
    w.users.starvationCheck.setTeamLimitCpus(cpusMax);
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
      w.machines.addMachine("host-" + i, "small", "a", "node-" + i % 3);
    }
    w.advance(5);
    return w;
  }

  /**
   * Creates three controllers and machines for which so many jobs wait that a job submitted next is
   * not claimed.
   */
  static SimulatedCluster withWaitingJobs() {
    SimulatedCluster cluster = withSmallMachines(3);
    for (int i = 0; i < 12; i++) {
      int status = cluster.users.submit("node-" + i % 3, job("wk-1" + (i + 10), 40, 1)).status();
      if (status != 201) {
        throw new AssertionError("a waiting job was answered " + status);
      }
    }
    cluster.advance(3);
    return cluster;
  }

  SimulatedCluster start() {
    stateService.setValueKb(valueKb);
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

  final class Node {
    final String name;
    final String zone;
    Controller controller;

    /** Number of starts so far; identifies the current run of the process. */
    int startCount;

    boolean up;

    /** The controllers named in its settings, itself included. */
    Set<String> configuredNodes = Set.of();

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
              network.sendRequest(
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
              (lock, listener) -> network.new SimulatedPeers(this, lock));
      controller.start();
      clock.after(0.5, machines::replayReports);
      for (Node other : nodes.values()) {
        if (other != this && other.up && SimulatedNetwork.configuredAsPeers(this, other)) {
          network.reconnect(this, other);
          network.reconnect(other, this);
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
      network.brokenLinks.removeIf(link -> link.endsWith(">" + name));
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

    DecisionLock decisionLock() {
      return controller.decisionLock();
    }

    /**
     * Runs an action now, or after the pause if the controller is paused. Drops it if the
     * controller is down or has been restarted since.
     */
    void deliver(int forStart, Runnable action) {
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
    void runOnController(Consumer<Controller> action) {
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

    void handle(HttpServer.Request request, HttpServer.Responder answer) {
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
          SimulatedNetwork.LINK_TIMEOUT_S,
          () -> {
            if (startCount == thisStart && up && backlog != null) {
              for (Node other : nodes.values()) {
                if (other != this && other.up) {
                  network.brokenLinks.add(other.name + ">" + name);
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
              if (other != this && network.brokenLinks.remove(other.name + ">" + name)) {
                decisionLock().run(() -> controller.disconnected(other.name));
                network.reconnect(this, other);
                network.reconnect(other, this);
              }
            }
          });
    }
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
    toml.append(txnOps).append("\n");
    toml.append("[facts.cloud]\nrps = 5.0\nlist_lag_s = 2.0\n");
    toml.append("[facts.limits]\ncores = 1.0\nmemory_mb = 256.0\nfd_limit = 500\n");
    try {
      return Settings.parse(toml.toString());
    } catch (InvalidSettingException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * Lets rented machines boot and appear in the cloud's list after the given delays, in seconds.
   */
  SimulatedCluster withRentingDelays(double bootDelayS, double listDelayS) {
    machines.setRentingDelays(bootDelayS, listDelayS);
    cloud.hideNewMachines();
    return this;
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
