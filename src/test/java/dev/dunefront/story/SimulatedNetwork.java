package dev.dunefront.story;

import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.HttpCaller;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.MessageCodec;
import dev.dunefront.peer.Peers;
import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/**
 * The network of a {@link SimulatedCluster}: delivers requests, responses and messages between
 * controllers, and injects faults.
 */
final class SimulatedNetwork {
  private final SimulatedCluster cluster;

  SimulatedNetwork(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  static final double NETWORK_DELAY_S = 0.002;

  /** Messages that controllers have sent to each other so far. */
  int peerMessageCount;

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
  final List<Runnable> heldDeliveries = new ArrayList<>();

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

  /** Chooses the delivery of a request from its sender, path and decoded body. */
  interface DeliveryPolicy {
    Delivery choose(String from, String path, String body);
  }

  DeliveryPolicy deliveryPolicy = (from, path, body) -> Delivery.ON_TIME;

  /** Delivers all requests on time from now on. */
  void deliverOnTime() {
    deliveryPolicy = (from, path, body) -> Delivery.ON_TIME;
  }

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

  /** The zone that is partitioned from all others and from the services, or null. */
  private String partitionedZone;

  /** Links that have timed out because of a pause, as {@code from>to}. */
  final Set<String> brokenLinks = new HashSet<>();

  /** Controllers close a link after this time without a message. */
  static final double LINK_TIMEOUT_S = 5;

  /** Whether the settings of both controllers name the other. */
  static boolean configuredAsPeers(SimulatedCluster.Node a, SimulatedCluster.Node b) {
    return a.configuredNodes.contains(b.name) && b.configuredNodes.contains(a.name);
  }

  /** Opens the link in one direction, replacing an earlier one. */
  void reconnect(SimulatedCluster.Node from, SimulatedCluster.Node to) {
    cluster.clock.after(
        NETWORK_DELAY_S,
        () -> {
          if (from.up && to.up) {
            to.runOnController(d -> d.disconnected(from.name));
            from.runOnController(d -> d.connected(to.name));
          }
        });
  }

  final class SimulatedPeers implements Peers {
    private final SimulatedCluster.Node self;
    private final DecisionLock decisionLock;

    SimulatedPeers(SimulatedCluster.Node self, DecisionLock decisionLock) {
      this.self = self;
      this.decisionLock = decisionLock;
    }

    @Override
    public void send(String node, Message message) {
      peerMessageCount++;
      SimulatedCluster.Node to = cluster.nodes.get(node);
      int startCount = to == null ? 0 : to.startCount;
      byte[] encoded = MessageCodec.encode(message);
      if (holdPeerMessage.test(message)) {
        heldDeliveries.add(() -> deliverPeerMessage(self.name, node, message));
        return;
      }
      cluster.clock.after(
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
      cluster.nodes.keySet().forEach(n -> send(n, message));
    }
  }

  /** Delivers a message from one controller to another, regardless of when it was sent. */
  void deliverPeerMessage(String from, String to, Message message) {
    cluster.nodes.get(to).runOnController(d -> d.received(from, message));
  }

  void sendRequest(
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
    cluster.clock.after(deadlineS, () -> completeOnce.accept(HttpCaller.Response.NO_RESPONSE));
    if (address.equals("10.2.0.1:1") && refusedByStateService.contains(from)) {
      cluster.clock.after(
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
                    cluster.clock.after(
                        NETWORK_DELAY_S + responseDelay.chooseS(from, path),
                        () -> respondUnlessRefused(from, path, () -> completeOnce.accept(r)));
                  }
                });
    FakeWorker target = cluster.machines.workers.get(address);
    if (dropDelivery.test(from, address)
        || target != null && cluster.machines.inboundBlockedHosts.contains(target.host())) {
      return;
    }
    Delivery delivery = deliveryPolicy.choose(from, path, text(body));
    if (delivery == Delivery.DELAYED || delivery == Delivery.DUPLICATED) {
      cluster.clock.after(deliveryDelayS, () -> serve(address, method, path, body, r -> {}));
    }
    if (delivery == Delivery.DROPPED || delivery == Delivery.DELAYED) {
      return;
    }
    if (delivery == Delivery.RESPONSE_DELAYED) {
      Consumer<HttpCaller.Response> respondLate =
          r -> cluster.clock.after(deadlineS - 0.1, () -> completeOnce.accept(r));
      cluster.clock.after(NETWORK_DELAY_S, () -> serve(address, method, path, body, respondLate));
      return;
    }
    if (delivery == Delivery.RESPONSE_DROPPED) {
      cluster.clock.after(NETWORK_DELAY_S, () -> serve(address, method, path, body, r -> {}));
      return;
    }
    FakeWorker worker = cluster.machines.workers.get(address);
    if (worker != null && cluster.machines.hungHosts.contains(worker.host())) {
      deliverWhenResumed(worker.host(), deliver);
      return;
    }
    boolean acrossPartition =
        crossesPartition(
            cluster.nodes.get(from).zone, worker == null ? null : cluster.machines.zoneOf(worker));
    if (acrossPartition || holdRequest.test(from, address) || path.equals(heldPath)) {
      heldDeliveries.add(deliver);
      heldRequests.add(path + " " + text(body));
      return;
    }
    boolean toStateService = address.equals("10.2.0.1:1");
    cluster.clock.after(
        NETWORK_DELAY_S + (toStateService ? stateServiceDelayS.getAsDouble() : 0), deliver);
  }

  /**
   * Runs an action once a machine no longer hangs. The short interval lets requests that arrived
   * during the hang run before the machine's next report.
   */
  private void deliverWhenResumed(String host, Runnable action) {
    if (cluster.machines.hungHosts.contains(host)) {
      cluster.clock.after(0.01, () -> deliverWhenResumed(host, action));
    } else {
      action.run();
    }
  }

  /** Defers the response to an open watch while the state service refuses its controller. */
  private void respondUnlessRefused(String from, String path, Runnable respond) {
    if (path.startsWith("/watch") && refusedByStateService.contains(from)) {
      cluster.clock.after(0.1, () -> respondUnlessRefused(from, path, respond));
    } else {
      respond.run();
    }
  }

  /** Whether the partition separates two zones; null stands for a service outside all zones. */
  boolean crossesPartition(String zone, String otherZone) {
    return partitionedZone != null
        && partitionedZone.equals(zone) != partitionedZone.equals(otherZone);
  }

  /**
   * Partitions a zone from all others and from the services. Requests and reports across the
   * partition are held, and links across it time out after 5 s.
   */
  void partitionZone(String zone) {
    partitionedZone = zone;
    cluster.clock.after(LINK_TIMEOUT_S, this::timeOutPartitionedLinks);
  }

  /** Ends the partition: held requests and reports arrive at once and links are reconnected. */
  void healPartition() {
    String zone = partitionedZone;
    if (zone == null) {
      return;
    }
    deliverHeld();
    partitionedZone = null;
    for (SimulatedCluster.Node a : cluster.nodes.values()) {
      for (SimulatedCluster.Node b : cluster.nodes.values()) {
        if (zone.equals(a.zone) != zone.equals(b.zone)) {
          reconnect(a, b);
        }
      }
    }
  }

  /** Times out the links of a controller over which {@link #dropDelivery} drops its messages. */
  void timeOutLinks(String name) {
    SimulatedCluster.Node node = cluster.nodes.get(name);
    for (SimulatedCluster.Node other : cluster.nodes.values()) {
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
    for (SimulatedCluster.Node other : cluster.nodes.values()) {
      if (other != cluster.nodes.get(name)) {
        reconnect(cluster.nodes.get(name), other);
        reconnect(other, cluster.nodes.get(name));
      }
    }
  }

  private void timeOutPartitionedLinks() {
    for (SimulatedCluster.Node a : cluster.nodes.values()) {
      for (SimulatedCluster.Node b : cluster.nodes.values()) {
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
    cluster.users.checkWorkers();
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
      cluster.stateService.handle(
          method, path, path.equals("/txn") ? withoutIgnoredConditions(body) : body, onResponse);
    } else if (address.equals("10.2.0.2:1")) {
      if (path.equals("/machines/delete")) {
        cluster.machines.recordDeletionsInUse(body);
      }
      onResponse.accept(cluster.cloud.handle(method, path, body));
      // Tasks on deleted machines have ended by the time of the response.
      cluster.machines.workers.values().removeIf(m -> cluster.cloud.deleted(m.host()));
      cluster.machines.scheduleBoots();
    } else {
      FakeWorker w = cluster.machines.workers.get(address);
      if (w != null && !cluster.machines.isolatedHosts.contains(w.host())) {
        try {
          HttpCaller.Response reply =
              path.equals("/status")
                  ? new HttpCaller.Response(200, w.report(), 0)
                  : w.handleCommands(body);
          cluster.users.checkWorkers();
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
}
