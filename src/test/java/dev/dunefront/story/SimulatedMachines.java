package dev.dunefront.story;

import dev.dunefront.net.HttpServer;
import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** The machines of a {@link SimulatedCluster} with their workers, reports and leases. */
final class SimulatedMachines {
  private final SimulatedCluster cluster;

  SimulatedMachines(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Reports that workers have sent so far. */
  int workerReportCount;

  /** The workers whose machines exist, by endpoint. */
  final Map<String, FakeWorker> workers = new LinkedHashMap<>();

  /** All workers, including those whose machines have been deleted. */
  final List<FakeWorker> allWorkersEver = new ArrayList<>();

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

  /** Violations found: machines deleted while reachable and running a task, with the time. */
  final List<String> deletedWhileInUse = new ArrayList<>();

  /** Boot time of rented machines; NaN if they never boot. */
  private double bootS = Double.NaN;

  /** Delay until a rented machine is listed. */
  private double listLagS;

  /** Rented machines whose boot has been scheduled or has completed. */
  private final Set<String> bootScheduled = new HashSet<>();

  /** Restarts a worker, which loses its state and begins with a full lease. */
  void restart(FakeWorker worker) {
    worker.restart();
    leaseRenewedAt.put(worker.host(), cluster.clock.now());
  }

  /** Makes a machine hang for the given time, in seconds. */
  void hang(String host, double durationS) {
    hungHosts.add(host);
    cluster.clock.after(durationS, () -> hungHosts.remove(host));
  }

  /** Lets rented machines boot and appear in the cloud's list after the given delays. */
  void setRentingDelays(double bootDelayS, double listDelayS) {
    bootS = bootDelayS;
    listLagS = listDelayS;
  }

  void scheduleBoots() {
    if (Double.isNaN(bootS)) {
      return;
    }
    for (List<String> hosts : cluster.cloud.hostsByRequest().values()) {
      for (String host : hosts) {
        if (bootScheduled.add(host)) {
          cluster.clock.after(listLagS, () -> cluster.cloud.listHidden(host));
          cluster.clock.after(bootS, () -> completeBoot(host));
        }
      }
    }
  }

  private void completeBoot(String host) {
    try {
      String zone = cluster.cloud.zone(host);
      if (zone != null) {
        cluster.cloud.markRunning(host);
        addWorker(
            host,
            cluster.cloud.type(host),
            zone,
            "node-" + (bootScheduled.size() % cluster.nodes.size()));
      }
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  void recordDeletionsInUse(byte[] body) {
    try {
      for (String host : Document.decode(body).texts("hosts")) {
        FakeWorker w = workers.get(host + ":9");
        if (w != null && !isolatedHosts.contains(host) && !w.running().isEmpty()) {
          deletedWhileInUse.add(host + " at " + cluster.clock.now());
        }
      }
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /** Number of machines rented so far. */
  int rentedCount() {
    return cluster.cloud.hostsByRequest().values().stream().mapToInt(List::size).sum();
  }

  /** Adds a running machine whose first report goes to the given controller. */
  FakeWorker addMachine(String host, String type, String zone, String firstNode) {
    cluster.cloud.addRunning(host, type, zone);
    return addWorker(host, type, zone, firstNode);
  }

  private FakeWorker addWorker(String host, String type, String zone, String firstNode) {
    FakeWorker w = new FakeWorker(host, host + ":9", type, zone);
    workers.put(w.endpoint(), w);
    allWorkersEver.add(w);
    machineZones.put(host, zone);
    reportsTo.put(host, firstNode);
    leaseRenewedAt.put(host, cluster.clock.now());
    cluster.clock.after(0.01, () -> report(w));
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
    double expiresAt = leaseRenewedAt.get(w.host()) + SimulatedCluster.LEASE_S;
    if (cluster.clock.now() > expiresAt) {
      w.newSession();
      leaseRenewedAt.put(w.host(), cluster.clock.now());
    }
    double checkInS =
        leaseRenewedAt.get(w.host()) + SimulatedCluster.LEASE_S - cluster.clock.now() + 0.001;
    if (!cluster.cloud.deleted(w.host())) {
      cluster.clock.after(checkInS, () -> checkWorkerLease(w));
    }
  }

  private void report(FakeWorker w) {
    if (cluster.cloud.deleted(w.host())) {
      workers.remove(w.endpoint());
      return;
    }
    SimulatedCluster.Node node = cluster.nodes.get(reportsTo.get(w.host()));
    double sentAt = cluster.clock.now();
    byte[] body = w.report();
    workerReportCount++;
    cluster.users.operationHistory.checkRunningTasks();
    if (hungHosts.contains(w.host())) {
      cluster.clock.after(0.2, () -> report(w));
      return;
    }
    boolean reportLost =
        isolatedHosts.contains(w.host())
            || !node.up
            || cluster.network.dropDelivery.test(w.endpoint(), node.name);
    if (reportLost) {
      reportToNext(w, node);
      return;
    }
    if (cluster.network.crossesPartition(zoneOf(w), node.zone)) {
      // Held until the partition ends; the worker reports to another controller by then.
      int startCount = node.startCount;
      HttpServer.Request request = new HttpServer.Request("POST", "/hello", "", body);
      cluster.network.heldDeliveries.add(
          () ->
              node.deliver(
                  startCount,
                  () -> node.controller.handle(request, (status, reply, retryAfterS) -> {})));
      cluster.clock.after(REPORT_TIMEOUT_S, () -> reportToNext(w, node));
      return;
    }
    boolean[] completed = {false};
    cluster.clock.after(
        REPORT_TIMEOUT_S,
        () -> {
          if (!completed[0]) {
            completed[0] = true;
            reportToNext(w, node);
          }
        });
    HttpServer.Responder responder =
        (status, reply, retryAfterS) ->
            cluster.clock.after(
                SimulatedNetwork.NETWORK_DELAY_S,
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
                      cluster.clock.after(SimulatedCluster.REPORT_S, () -> report(w));
                    } else if (status == 421 && reply != null) {
                      reportsTo.put(w.host(), Document.decode(reply).text("overseer"));
                      cluster.clock.after(0.1, () -> report(w));
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
  void replayReports() {
    List<byte[]> bodies = List.copyOf(reportsToReplay);
    reportsToReplay.clear();
    for (byte[] body : bodies) {
      for (SimulatedCluster.Node node : cluster.nodes.values()) {
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
  private void scheduleDuplicates(SimulatedCluster.Node node, byte[] body) {
    if (replayReportsAtNextStart.test(node.name) && reportsToReplay.size() < MAX_REPLAYED_REPORTS) {
      reportsToReplay.add(body);
    }
    List<SimulatedCluster.Node> allNodes = List.copyOf(cluster.nodes.values());
    SimulatedCluster.Node next = allNodes.get((allNodes.indexOf(node) + 1) % allNodes.size());
    for (double delayS : duplicateReportDelaysS) {
      for (SimulatedCluster.Node to : List.of(node, next)) {
        cluster.clock.after(
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
    cluster
        .nodes
        .get(node)
        .handle(
            new HttpServer.Request("POST", "/hello", "", body), (status, reply, retryAfterS) -> {});
  }

  /** Time that a worker waits for the response to a report. */
  private static final double REPORT_TIMEOUT_S = 4;

  /** Reports again in 1 s; the worker moves on to the next controller unless it is isolated. */
  private void reportToNext(FakeWorker w, SimulatedCluster.Node node) {
    List<String> names = List.copyOf(cluster.nodes.keySet());
    if (!isolatedHosts.contains(w.host())) {
      reportsTo.put(w.host(), names.get((names.indexOf(node.name) + 1) % names.size()));
    }
    cluster.clock.after(1, () -> report(w));
  }
}
