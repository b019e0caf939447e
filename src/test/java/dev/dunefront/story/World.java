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

/** Controllers, workers, state and cloud on one fake clock and one fake network. */
final class World {
  static final double REPORT_S = 1.0;
  static final double LEASE_S = 8.0;
  private static final double NETWORK_DELAY_S = 0.002;

  /** One answer to a user. */
  record Said(int status, Document body, int retryAfterS) {
    String state() {
      try {
        return body.text("status");
      } catch (MalformedMessageException e) {
        throw new AssertionError(e);
      }
    }
  }

  /** Records between controllers, and reports of workers, so far. */
  int messages;

  int reports;

  final FakeClock timers = new FakeClock();
  final FakeStateService state = new FakeStateService(timers);
  final FakeCloud cloud = new FakeCloud();
  final Map<String, Node> nodes = new LinkedHashMap<>();
  final Map<String, FakeWorker> workers = new LinkedHashMap<>();

  /** Those that are gone as well. */
  private final List<FakeWorker> allWorkersEver = new ArrayList<>();

  private final Map<String, String> machineZones = new HashMap<>();
  private final Map<String, String> reportsTo = new HashMap<>();
  private final Map<String, Double> leaseRenewedAt = new HashMap<>();
  final Set<String> silent = new HashSet<>();

  /** Machines that hang: nothing is carried out there until they go on. */
  final Set<String> hung = new HashSet<>();

  /** Whether a call from one address to another is lost on its way there. */
  BiPredicate<String, String> lost = (from, to) -> false;

  /** Whether a record is held on its way between controllers, delivered by deliverHeld. */
  Predicate<Message> late = message -> false;

  /** Whether the answer to such a call is lost on its way back. */
  BiPredicate<String, String> unanswered = (from, to) -> false;

  /** Calls that are held back, delivered by {@link #deliverHeld}. */
  BiPredicate<String, String> heldBack = (from, to) -> false;

  /** Calls of this path are held back as well. */
  String heldPath;

  private final List<Runnable> heldDeliveries = new ArrayList<>();

  /** What has ever been held back: path and body. */
  final List<String> heldCalls = new ArrayList<>();

  /** Hears of every call as it is made: by whom, of what path, with what body. */
  interface RequestListener {
    void onRequest(String from, String path, String body);
  }

  RequestListener tap = (from, path, body) -> {};

  /** What becomes of a call on its way. */
  enum Fate {
    ON_TIME,
    /** It never arrives. */
    LOST,
    /** It is carried out, and nobody hears so. */
    UNANSWERED,
    /** It is carried out, and its sender hears so just before it would give up. */
    ANSWERED_LATE,
    /** It arrives when its sender has long given up. */
    LATE,
    /** It arrives, and a second time later on. */
    TWICE
  }

  /** Machines whose reports arrive while nothing that is said to them does. */
  final Set<String> deaf = new HashSet<>();

  /** How much later copies of each report arrive, at the same controller and at the next. */
  List<Double> copiesAfterS = List.of();

  /** How many copies have arrived. */
  int copies;

  /**
   * Whether copies of the reports that come to a controller are kept until one begins; half a
   * second later they reach all.
   */
  Predicate<String> keptForNext = node -> false;

  private final List<byte[]> reportsToReplay = new ArrayList<>();

  /** The jobs that users were told are accepted, with their numbers of tasks. */
  final Map<String, Integer> accepted = new LinkedHashMap<>();

  /** The jobs whose users have asked to cancel them. */
  final Set<String> cancelled = new HashSet<>();

  /** What users have asked for, by job: the first submission of each counts. */
  private final Map<String, Document> submittedSpecs = new HashMap<>();

  /** What users were told, held against what the workers did. */
  final OperationHistory operationHistory =
      new OperationHistory(workers.values(), allWorkersEver, accepted, cancelled, submittedSpecs);

  /** Whether tasks are where their jobs allow them. */
  final PlacementCheck placementCheck = new PlacementCheck(submittedSpecs);

  /** Who waits beside room, once all troubles are over. */
  final StarvationCheck starvation =
      new StarvationCheck(
          submittedSpecs,
          w -> !silent.contains(w.host()) && !deaf.contains(w.host()) && !hung.contains(w.host()));

  /** Decides what becomes of a call: by whom, of what path, with what body. */
  interface Fates {
    Fate of(String from, String path, String body);
  }

  Fates fates = (from, path, body) -> Fate.ON_TIME;

  /**
   * The first transaction that writes such a thing meets a fate, and who made it is told at once.
   * Says whether there has been one.
   */
  BooleanSupplier strikeOnce(String written, Fate fate, Consumer<String> meanwhile) {
    boolean[] struck = {false};
    fates =
        (from, path, body) -> {
          if (struck[0] || !path.equals("/txn") || !body.contains(written)) {
            return Fate.ON_TIME;
          }
          struck[0] = true;
          meanwhile.accept(from);
          return fate;
        };
    return () -> struck[0];
  }

  /** How late what is late arrives. */
  double lateS = 20;

  /** Keys on which conditions of transactions are passed over, as if they had been forgotten. */
  Predicate<String> unconditional = key -> false;

  /** Machines that were deleted while a task ran on them and they could be heard. */
  final List<String> misused = new ArrayList<>();

  private double bootS = Double.NaN;
  private double listLagS;
  private final Set<String> bootScheduled = new HashSet<>();

  /** Every task's machines over time must never overlap; this is what was found. */
  final List<String> overlaps = new ArrayList<>();

  static final String ONE_TEAM = "[[facts.teams]]\nname = \"t\"\n";

  final String teamsToml;
  private final List<String> zones;

  /** The zone that is cut off from everything, or null. */
  private String partitionedZone;

  /** The state service's limits on values, and on requests and changes in a second. */
  double valueKb = 16;

  double rps = 600;
  double writeRps = 300;

  /** Idle machines stay, unless a story is about their return. */
  Tunables tunables = Tunables.withOverrides(Map.of("idle_boots", 1000.0));

  World(int controllers, String teams) {
    this(Collections.nCopies(controllers, "a"), teams);
  }

  /** A controller for each of the zones given. */
  World(List<String> zones, String teams) {
    this.teamsToml = teams;
    this.zones = new ArrayList<>(zones);
    for (int i = 0; i < zones.size(); i++) {
      nodes.put("node-" + i, new Node("node-" + i, zones.get(i)));
    }
  }

  World(int controllers) {
    this(controllers, ONE_TEAM);
  }

  /** All jobs are of one team, whose tasks may use so much at most; that is checked throughout. */
  static World limited(List<String> zones, double cpusMax) {
    World w = new World(zones, ONE_TEAM + "cpus_max = " + cpusMax + "\n");
    w.operationHistory.teamLimitCpus(cpusMax);
    w.starvation.teamLimitCpus(cpusMax);
    return w;
  }

  static World limited(int controllers, double cpusMax) {
    return limited(Collections.nCopies(controllers, "a"), cpusMax);
  }

  /** Another controller is set up; those that are started from now on know of it. */
  Node add(String zone) {
    String name = "node-" + zones.size();
    zones.add(zone);
    Node node = new Node(name, zone);
    nodes.put(name, node);
    return node;
  }

  /** A controller is taken out of the settings of those that are started from now on. */
  void strike(String name) {
    removedFromSettings.add(name);
  }

  private final Set<String> removedFromSettings = new HashSet<>();

  /** Three controllers and so many small machines that have reported. */
  static World of(int machines) {
    World w = new World(3);
    w.start().pass(2);
    for (int i = 0; i < machines; i++) {
      w.machine("host-" + i, "small", "a", "node-" + i % 3);
    }
    w.pass(5);
    return w;
  }

  World start() {
    nodes.values().forEach(Node::start);
    return this;
  }

  /** The clock as one controller has it: what is due reaches it only while it runs. */
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

  /** Lets the time pass. */
  void pass(double seconds) {
    timers.advance(seconds);
    nodes.values().forEach(Node::checkInvariants);
  }

  private void checkWorkers() {
    operationHistory.checkRunningTasks();
    placementCheck.look(workers.values());
    Set<String> seen = new HashSet<>();
    for (FakeWorker w : workers.values()) {
      for (String task : w.running()) {
        if (!seen.add(task)) {
          overlaps.add(task + " at " + timers.now());
        }
      }
    }
  }

  // ---- controllers ----

  final class Node {
    final String name;
    private final String zone;
    private Controller controller;
    private int startCount;
    private boolean up;

    /** Whom its settings name. */
    private Set<String> configuredNodes = Set.of();

    /** What a controller that stands still would have done or heard meanwhile; null if it runs. */
    private List<Runnable> backlog;

    Node(String name, String zone) {
      this.name = name;
      this.zone = zone;
    }

    void start() {
      int mine = ++startCount;
      up = true;
      backlog = null;
      Timers own = new ControllerTimers(timers, action -> deliver(mine, action));
      DecisionLock decisionLock =
          new DecisionLock(
              e -> {
                throw new AssertionError("a decision of " + name + " failed", e);
              });
      HttpCaller caller =
          (address, method, path, body, deadlineS, then) ->
              sendRequest(
                  name,
                  address,
                  method,
                  path,
                  body,
                  deadlineS,
                  r -> deliver(mine, () -> then.accept(r)));
      Settings settings = settings(name);
      configuredNodes = new HashSet<>(Set.of(name));
      settings.peers().forEach(p -> configuredNodes.add(p.node()));
      HttpStateStore store =
          new HttpStateStore(settings, caller, own, decisionLock, name + "-" + mine);
      controller =
          new Controller(
              settings,
              tunables,
              store,
              caller,
              own,
              decisionLock,
              new LoopWatchdog(),
              (w, l) -> new SimulatedPeers(this, w));
      controller.start();
      timers.after(0.5, World.this::replayReports);
      for (Node other : nodes.values()) {
        if (other != this && other.up && configuredAsPeers(this, other)) {
          reconnect(this, other);
          reconnect(other, this);
        }
      }
    }

    /** No story may violate an invariant, whatever else it looks at. */
    void checkInvariants() {
      if (controller != null && !controller.safety().violations().isEmpty()) {
        throw new AssertionError(name + " violates " + controller.safety().violations());
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

    /** The process is told to end and does so half a second later. */
    void end() {
      decisionLock().run(() -> controller.handOverDuties(() -> {}));
      int mine = startCount;
      timers.after(
          0.5,
          () -> {
            if (startCount == mine && up) {
              crash();
            }
          });
    }

    boolean up() {
      return up;
    }

    /** Its lease ends and it does not know so. */
    void loseLease() {
      try {
        Document d = state.value("w/n/" + name);
        if (d != null) {
          String inc = d.text("inc");
          state.endLease(Long.parseLong(inc.substring(inc.lastIndexOf('#') + 1)));
        }
      } catch (MalformedMessageException e) {
        throw new AssertionError(e);
      }
    }

    private DecisionLock decisionLock() {
      return controller.decisionLock();
    }

    /** Something reaches this life of the controller: now, or when it goes on. */
    private void deliver(int inLife, Runnable what) {
      if (startCount != inLife || !up) {
        return;
      }
      if (backlog != null) {
        backlog.add(() -> deliver(inLife, what));
      } else {
        what.run();
      }
    }

    /** Something is told to the controller, inside its lock. */
    private void runOnController(Consumer<Controller> what) {
      deliver(startCount, () -> decisionLock().run(() -> what.accept(controller)));
    }

    /** Somebody asks and does not wait; what comes is the status. */
    void request(String method, String path, IntConsumer then) {
      handle(
          new HttpServer.Request(method, path, "", new byte[0]),
          (status, reply, again) -> then.accept(status));
    }

    /** What an operator reads. */
    String metrics() {
      String[] text = {""};
      handle(
          new HttpServer.Request("GET", HttpServer.METRICS_PATH, "", new byte[0]),
          (status, reply, again) -> text[0] = new String(reply, StandardCharsets.UTF_8));
      return text[0];
    }

    private void handle(HttpServer.Request request, HttpServer.Responder answer) {
      deliver(startCount, () -> controller.handle(request, answer));
    }

    /**
     * The controller stands still while its clock runs on: all that is due or arrives meanwhile
     * comes at once when it goes on. The others find its links silent after a while.
     */
    void standStill(double seconds) {
      if (backlog != null) {
        return;
      }
      int mine = startCount;
      backlog = new ArrayList<>();
      timers.after(
          LINK_TIMEOUT_S,
          () -> {
            if (startCount == mine && up && backlog != null) {
              for (Node other : nodes.values()) {
                if (other != this && other.up) {
                  brokenLinks.add(other.name + ">" + name);
                  other.runOnController(d -> d.disconnected(name));
                }
              }
            }
          });
      timers.after(
          seconds,
          () -> {
            if (startCount != mine || !up) {
              return;
            }
            List<Runnable> all = backlog;
            backlog = null;
            all.forEach(Runnable::run);
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

  /** Links that have broken, as {@code from>to}. */
  private final Set<String> brokenLinks = new HashSet<>();

  private static final double LINK_TIMEOUT_S = 5;

  private static boolean configuredAsPeers(Node a, Node b) {
    return a.configuredNodes.contains(b.name) && b.configuredNodes.contains(a.name);
  }

  private void reconnect(Node from, Node to) {
    timers.after(
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
      messages++;
      Node to = nodes.get(node);
      int life = to == null ? 0 : to.startCount;
      byte[] record = MessageCodec.encode(message);
      if (late.test(message)) {
        heldDeliveries.add(() -> say(self.name, node, message));
        return;
      }
      timers.after(
          node.equals(self.name) ? 0 : NETWORK_DELAY_S,
          () -> {
            if (to == null
                || !configuredAsPeers(self, to)
                || lost.test(self.name, node)
                || crossesPartition(self.zone, to.zone)
                || brokenLinks.contains(self.name + ">" + node)) {
              return;
            }
            try {
              Message m = MessageCodec.decode(record);
              to.deliver(
                  life, () -> to.decisionLock().run(() -> to.controller.received(self.name, m)));
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

  /** A record from one controller reaches another, whenever it was sent. */
  void say(String from, String to, Message message) {
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
      Consumer<HttpCaller.Response> then) {
    boolean[] over = {false};
    Consumer<HttpCaller.Response> once =
        r -> {
          if (!over[0]) {
            over[0] = true;
            then.accept(r);
          }
        };
    timers.after(deadlineS, () -> once.accept(HttpCaller.Response.NO_RESPONSE));
    if (address.equals("10.2.0.1:1") && refusedByState.contains(from)) {
      timers.after(
          NETWORK_DELAY_S, () -> once.accept(new HttpCaller.Response(503, new byte[0], 0)));
      return;
    }
    tap.onRequest(from, path, text(body));
    Runnable deliver =
        () ->
            serve(
                address,
                method,
                path,
                body,
                r -> {
                  if (!unanswered.test(from, address)) {
                    timers.after(
                        NETWORK_DELAY_S,
                        () -> respondUnlessRefused(from, path, () -> once.accept(r)));
                  }
                });
    FakeWorker called = workers.get(address);
    if (lost.test(from, address) || called != null && deaf.contains(called.host())) {
      return;
    }
    Fate fate = fates.of(from, path, text(body));
    if (fate == Fate.LATE || fate == Fate.TWICE) {
      timers.after(lateS, () -> serve(address, method, path, body, r -> {}));
    }
    if (fate == Fate.LOST || fate == Fate.LATE) {
      return;
    }
    if (fate == Fate.ANSWERED_LATE) {
      Consumer<HttpCaller.Response> late = r -> timers.after(deadlineS - 0.1, () -> once.accept(r));
      timers.after(NETWORK_DELAY_S, () -> serve(address, method, path, body, late));
      return;
    }
    if (fate == Fate.UNANSWERED) {
      timers.after(NETWORK_DELAY_S, () -> serve(address, method, path, body, r -> {}));
      return;
    }
    FakeWorker worker = workers.get(address);
    if (worker != null && hung.contains(worker.host())) {
      deliverWhenResumed(worker.host(), deliver);
      return;
    }
    boolean cutOff = crossesPartition(nodes.get(from).zone, worker == null ? null : zoneOf(worker));
    if (cutOff || heldBack.test(from, address) || path.equals(heldPath)) {
      heldDeliveries.add(deliver);
      heldCalls.add(path + " " + text(body));
      return;
    }
    boolean slow = address.equals("10.2.0.1:1");
    timers.after(NETWORK_DELAY_S + (slow ? stateSlowS.getAsDouble() : 0), deliver);
  }

  /** What reaches a machine that hangs waits there, and is carried out first when it goes on. */
  private void deliverWhenResumed(String host, Runnable what) {
    if (hung.contains(host)) {
      timers.after(0.01, () -> deliverWhenResumed(host, what));
    } else {
      what.run();
    }
  }

  /** A machine hangs for a while. */
  void hang(String host, double forS) {
    hung.add(host);
    timers.after(forS, () -> hung.remove(host));
  }

  /** A watch that was open when the state service began to refuse its controller waits on. */
  private void respondUnlessRefused(String from, String path, Runnable answer) {
    if (path.startsWith("/watch") && refusedByState.contains(from)) {
      timers.after(0.1, () -> respondUnlessRefused(from, path, answer));
    } else {
      answer.run();
    }
  }

  /** Whether a packet between the zones meets the cut; null is where no zone is. */
  private boolean crossesPartition(String one, String other) {
    return partitionedZone != null && partitionedZone.equals(one) != partitionedZone.equals(other);
  }

  /** Cuts a zone off from everything else: what crosses is held, links fall silent. */
  void cut(String zone) {
    partitionedZone = zone;
    timers.after(LINK_TIMEOUT_S, this::timeOutPartitionedLinks);
  }

  /** The cut ends: all that was held arrives at once, and links are made anew. */
  void heal() {
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

  /** All links of a controller have been silent for so long that they count as gone. */
  void linksSilent(String name) {
    Node node = nodes.get(name);
    for (Node other : nodes.values()) {
      if (other != node && other.up && node.up && lost.test(name, other.name)) {
        other.runOnController(d -> d.disconnected(name));
        node.runOnController(d -> d.disconnected(other.name));
      }
    }
  }

  /** What is lost of a controller that no other hears, and that hears no other. */
  static BiPredicate<String, String> withoutPeers(String node) {
    return (from, to) ->
        from.equals(node) && to.startsWith("node-") || to.equals(node) && from.startsWith("node-");
  }

  /** What is lost of one that has lost the state service as well. */
  static BiPredicate<String, String> withoutPeersAndState(String node) {
    return withoutPeers(node).or((from, to) -> from.equals(node) && to.equals("10.2.0.1:1"));
  }

  /** All links of a controller are made anew. */
  void linksBack(String name) {
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

  /** How much longer a request to the state service is on its way. */
  DoubleSupplier stateSlowS = () -> 0;

  /** What was held back arrives now, however late. */
  void deliverHeld() {
    List<Runnable> all = List.copyOf(heldDeliveries);
    heldDeliveries.clear();
    all.forEach(Runnable::run);
    checkWorkers();
  }

  int heldCount() {
    return heldDeliveries.size();
  }

  /** Controllers that the state service refuses. */
  final Set<String> refusedByState = new HashSet<>();

  private void serve(
      String address, String method, String path, byte[] body, Consumer<HttpCaller.Response> then) {
    if (address.equals("10.2.0.1:1")) {
      state.handle(method, path, path.equals("/txn") ? withoutIgnoredConditions(body) : body, then);
    } else if (address.equals("10.2.0.2:1")) {
      if (path.equals("/machines/delete")) {
        recordDeletionsInUse(body);
      }
      then.accept(cloud.handle(method, path, body));
      // By the time of the answer what was on them is gone.
      workers.values().removeIf(m -> cloud.deleted(m.host()));
      scheduleBoots();
    } else {
      FakeWorker w = workers.get(address);
      if (w != null && !silent.contains(w.host())) {
        try {
          HttpCaller.Response reply =
              path.equals("/status")
                  ? new HttpCaller.Response(200, w.report(), 0)
                  : w.handleCommands(body);
          checkWorkers();
          then.accept(reply);
        } catch (MalformedMessageException e) {
          throw new AssertionError(e);
        }
      }
    }
  }

  private byte[] withoutIgnoredConditions(byte[] body) {
    try {
      Document txn = Document.decode(body);
      List<Document> kept = new ArrayList<>();
      for (Document when : txn.documents("when")) {
        if (!unconditional.test(when.text("k"))) {
          kept.add(when);
        }
      }
      return txn.put("when", kept).encode();
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /** Rented machines come up after a while and are listed later still. */
  World renting(double boot, double lag) {
    bootS = boot;
    listLagS = lag;
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
          timers.after(listLagS, () -> cloud.listHidden(host));
          timers.after(bootS, () -> completeBoot(host));
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
        if (w != null && !silent.contains(host) && !w.running().isEmpty()) {
          misused.add(host + " at " + timers.now());
        }
      }
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /** How many machines were ever rented. */
  int hired() {
    return cloud.hostsByRequest().values().stream().mapToInt(List::size).sum();
  }

  /** The controller that a key of the state service names as its incarnation, or null. */
  String named(String key) {
    String inc = incarnation(key);
    return inc == null ? null : inc.substring(0, inc.lastIndexOf('#'));
  }

  /** The incarnation that a key names, or null. */
  String incarnation(String key) {
    try {
      Document d = state.value(key);
      return d == null ? null : d.text("inc");
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /** Somebody else writes into the state service, whatever it is. */
  void writeState(String key, Document value) {
    changeState(Document.create().put("put", key).put("data", value));
  }

  /** Somebody else removes a key. */
  void removeState(String key) {
    changeState(Document.create().put("remove", key));
  }

  private void changeState(Document change) {
    state.handle(
        "POST",
        "/txn",
        Document.create().put("when", List.of()).put("then", List.of(change)).encode(),
        reply -> {
          if (!reply.ok()) {
            throw new AssertionError("not written: " + reply.status());
          }
        });
  }

  // ---- workers ----

  FakeWorker machine(String host, String type, String zone, String firstNode) {
    cloud.addRunning(host, type, zone);
    return addWorker(host, type, zone, firstNode);
  }

  private FakeWorker addWorker(String host, String type, String zone, String firstNode) {
    FakeWorker w = new FakeWorker(host, host + ":9", type, zone);
    workers.put(w.endpoint(), w);
    allWorkersEver.add(w);
    machineZones.put(host, zone);
    reportsTo.put(host, firstNode);
    leaseRenewedAt.put(host, timers.now());
    timers.after(0.01, () -> report(w));
    checkWorkerLease(w);
    return w;
  }

  /** How many tasks of a job run. */
  int running(String job) {
    return workers.values().stream().mapToInt(m -> running(m, job)).sum();
  }

  /** How many tasks of a job run on a machine. */
  static int running(FakeWorker m, String job) {
    return (int) m.running().stream().filter(t -> t.startsWith(job + "/")).count();
  }

  /** How many tasks run on all machines. */
  int running() {
    return workers.values().stream().mapToInt(m -> m.running().size()).sum();
  }

  /** Every task that runs is done. */
  void finishAll() {
    workers.values().forEach(m -> m.running().forEach(t -> m.exit(t, "done")));
  }

  String zoneOf(FakeWorker w) {
    return machineZones.get(w.host());
  }

  /** The controller to which the machine reports. */
  String holder(String host) {
    return reportsTo.get(host);
  }

  /** The worker counts its lease by itself, whatever becomes of its reports. */
  private void checkWorkerLease(FakeWorker w) {
    double over = leaseRenewedAt.get(w.host()) + LEASE_S;
    if (timers.now() > over) {
      w.newSession();
      leaseRenewedAt.put(w.host(), timers.now());
    }
    double next = leaseRenewedAt.get(w.host()) + LEASE_S - timers.now() + 0.001;
    if (!cloud.deleted(w.host())) {
      timers.after(next, () -> checkWorkerLease(w));
    }
  }

  private void report(FakeWorker w) {
    if (cloud.deleted(w.host())) {
      workers.remove(w.endpoint());
      return;
    }
    Node n = nodes.get(reportsTo.get(w.host()));
    double sent = timers.now();
    byte[] body = w.report();
    reports++;
    operationHistory.checkRunningTasks();
    if (hung.contains(w.host())) {
      timers.after(0.2, () -> report(w));
      return;
    }
    boolean lostNow = silent.contains(w.host()) || !n.up || lost.test(w.endpoint(), n.name);
    if (lostNow) {
      reportToNext(w, n);
      return;
    }
    if (crossesPartition(zoneOf(w), n.zone)) {
      // Held, and read when the cut ends; the worker has long gone elsewhere by then.
      int life = n.startCount;
      HttpServer.Request late = new HttpServer.Request("POST", "/hello", "", body);
      heldDeliveries.add(
          () -> n.deliver(life, () -> n.controller.handle(late, (status, reply, again) -> {})));
      timers.after(REPORT_TIMEOUT_S, () -> reportToNext(w, n));
      return;
    }
    boolean[] over = {false};
    timers.after(
        REPORT_TIMEOUT_S,
        () -> {
          if (!over[0]) {
            over[0] = true;
            reportToNext(w, n);
          }
        });
    HttpServer.Responder answer =
        (status, reply, again) ->
            timers.after(
                NETWORK_DELAY_S,
                () -> {
                  if (over[0] || deaf.contains(w.host()) || hung.contains(w.host())) {
                    return;
                  }
                  over[0] = true;
                  try {
                    if (status == 200) {
                      if (w.handleReportResponse(reply)) {
                        leaseRenewedAt.put(w.host(), sent);
                      }
                      timers.after(REPORT_S, () -> report(w));
                    } else if (status == 421 && reply != null) {
                      reportsTo.put(w.host(), Document.decode(reply).text("overseer"));
                      timers.after(0.1, () -> report(w));
                    } else {
                      reportToNext(w, n);
                    }
                  } catch (MalformedMessageException e) {
                    throw new AssertionError(e);
                  }
                });
    n.handle(new HttpServer.Request("POST", "/hello", "", body), answer);
    scheduleDuplicates(n, body);
  }

  private static final int MAX_REPLAYED_REPORTS = 60;

  /** What was kept for whoever begins next reaches all controllers. */
  private void replayReports() {
    List<byte[]> all = List.copyOf(reportsToReplay);
    reportsToReplay.clear();
    for (byte[] body : all) {
      for (Node to : nodes.values()) {
        if (to.up) {
          copies++;
          hello(to.name, body);
        }
      }
    }
  }

  /** Copies come late: to the same controller, and to another. Nobody waits for the answers. */
  private void scheduleDuplicates(Node n, byte[] body) {
    if (keptForNext.test(n.name) && reportsToReplay.size() < MAX_REPLAYED_REPORTS) {
      reportsToReplay.add(body);
    }
    List<Node> all = List.copyOf(nodes.values());
    Node next = all.get((all.indexOf(n) + 1) % all.size());
    for (double s : copiesAfterS) {
      for (Node to : List.of(n, next)) {
        timers.after(
            s,
            () -> {
              if (to.up) {
                copies++;
                HttpServer.Request copy = new HttpServer.Request("POST", "/hello", "", body);
                to.handle(copy, (status, reply, again) -> {});
              }
            });
      }
    }
  }

  /** A report reaches a controller, and nobody waits for the answer. */
  void hello(String node, byte[] body) {
    nodes
        .get(node)
        .handle(new HttpServer.Request("POST", "/hello", "", body), (status, reply, again) -> {});
  }

  /** How long a worker waits for an answer. */
  private static final double REPORT_TIMEOUT_S = 4;

  private void reportToNext(FakeWorker w, Node n) {
    List<String> names = List.copyOf(nodes.keySet());
    if (!silent.contains(w.host())) {
      reportsTo.put(w.host(), names.get((names.indexOf(n.name) + 1) % names.size()));
    }
    timers.after(1, () -> report(w));
  }

  // ---- users ----

  Said ask(String node, String method, String path, byte[] body) {
    Said[] said = {null};
    HttpServer.Responder answer =
        (status, reply, again) -> {
          try {
            said[0] =
                new Said(
                    status,
                    reply == null || reply.length == 0 ? Document.create() : Document.decode(reply),
                    again);
          } catch (MalformedMessageException e) {
            throw new AssertionError(e);
          }
        };
    nodes.get(node).handle(new HttpServer.Request(method, path, "", body), answer);
    for (int i = 0; i < 3000 && said[0] == null; i++) {
      pass(0.002);
    }
    return said[0];
  }

  Said submit(String node, Document job) {
    double sentAt = timers.now();
    try {
      submittedSpecs.putIfAbsent(job.text("id"), job);
      Said said = ask(node, "POST", "/v1/jobs", job.encode());
      if (said != null && (said.status() == 201 || said.status() == 200)) {
        accepted.put(job.text("id"), (int) job.count("pieces"));
      }
      return recordResponse(job.text("id"), sentAt, said);
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  Said poll(String node, String id) {
    double sentAt = timers.now();
    return recordResponse(id, sentAt, ask(node, "GET", "/v1/jobs/" + id, new byte[0]));
  }

  Said cancel(String node, String id) {
    cancelled.add(id);
    double sentAt = timers.now();
    return recordResponse(id, sentAt, ask(node, "POST", "/v1/jobs/" + id + "/abort", new byte[0]));
  }

  private Said recordResponse(String id, double sentAt, Said said) {
    operationHistory.recordResponse(id, said, sentAt, timers.now());
    return said;
  }

  /**
   * A user who submits, polls or cancels through whichever controller is up, without waiting: what
   * comes is noted, and while it is not an answer the request is repeated, as the protocol says.
   */
  void user(String method, String path, Document body, String id, int node, int tries) {
    List<Node> up = nodes.values().stream().filter(Node::up).toList();
    if (tries == 0) {
      return;
    }
    if (body != null) {
      submittedSpecs.putIfAbsent(id, body);
    }
    Runnable again =
        () -> timers.after(1.5, () -> user(method, path, body, id, node + 1, tries - 1));
    if (up.isEmpty()) {
      again.run();
      return;
    }
    boolean[] over = {false};
    double sentAt = timers.now();
    HttpServer.Request request =
        new HttpServer.Request(method, path, "", body == null ? new byte[0] : body.encode());
    double patienceS = method.equals("GET") ? 2 : 5;
    timers.after(
        patienceS,
        () -> {
          if (!over[0]) {
            over[0] = true;
            again.run();
          }
        });
    up.get(node % up.size())
        .handle(
            request,
            (status, reply, pause) -> {
              if (over[0]) {
                return;
              }
              over[0] = true;
              try {
                Document said =
                    reply == null || reply.length == 0 ? Document.create() : Document.decode(reply);
                if (body != null && (status == 200 || status == 201)) {
                  accepted.putIfAbsent(id, (int) body.count("pieces"));
                }
                recordResponse(id, sentAt, new Said(status, said, pause));
              } catch (MalformedMessageException e) {
                throw new AssertionError(e);
              }
              if (status == 503) {
                again.run();
              }
            });
  }

  /** How long every question about a job may go unanswered once all troubles are over. */
  private static final double ANSWER_DEADLINE_S = 75;

  /** The largest jobs too begin within this time. */
  private static final double START_DEADLINE_S = 240;

  /**
   * The end of a day, all troubles being over, by what users and workers see: every controller
   * answers for every accepted job in time, every one that was not cancelled begins in time and in
   * the end runs whole, and no task has ever run twice at once. Says what is wrong, or nothing.
   */
  List<String> dayEnds() {
    List<String> wrong = new ArrayList<>();
    double since = timers.now();
    Map<String, Set<String>> open = new LinkedHashMap<>();
    nodes.values().stream()
        .filter(Node::up)
        .forEach(n -> open.put(n.name, new HashSet<>(accepted.keySet())));
    Set<String> unbegun = new HashSet<>(accepted.keySet());
    Set<String> unfinished = new HashSet<>(accepted.keySet());
    unbegun.removeAll(cancelled);
    unfinished.removeAll(cancelled);
    double last = since + 2 * START_DEADLINE_S;
    while (timers.now() < last && !(unfinished.isEmpty() && open.isEmpty())) {
      pass(2);
      checkStarvation();
      Map<String, Integer> started = startedTaskCounts();
      unbegun.removeIf(id -> started.getOrDefault(id, 0) > 0);
      unfinished.removeIf(id -> started.getOrDefault(id, 0) >= accepted.get(id));
      if (timers.now() - since > START_DEADLINE_S) {
        unbegun.forEach(id -> wrong.add(id + " has not begun"));
        unbegun.clear();
      }
      if (timers.now() - since < ANSWER_DEADLINE_S) {
        open.forEach((node, ids) -> ids.removeIf(id -> isAnswered(node, id)));
        open.values().removeIf(Set::isEmpty);
      } else {
        open.forEach((node, ids) -> wrong.add(ids + " are forgotten by " + node));
        open.clear();
      }
      finishAll();
    }
    unfinished.forEach(id -> wrong.add(id + " never ran whole"));
    wrong.addAll(overlaps);
    wrong.addAll(operationHistory.violations);
    wrong.addAll(starvation.wrong);
    wrong.addAll(placementCheck.wrong);
    return wrong;
  }

  /** Tasks run on for as long as a job may wait at the most, and who waits beside room is noted. */
  void rest() {
    for (int i = 0; i <= StarvationCheck.MAX_WAIT_S / 2 + 1; i++) {
      pass(2);
      checkStarvation();
    }
  }

  private void checkStarvation() {
    Set<String> ids = new HashSet<>(accepted.keySet());
    ids.removeAll(cancelled);
    starvation.check(ids, workers.values(), operationHistory.doneTasks(), timers.now());
  }

  private boolean isAnswered(String node, String id) {
    Said said = poll(node, id);
    return said != null && said.status() == 200;
  }

  /** How many tasks of each job have ever been started, by what the workers carried out. */
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
