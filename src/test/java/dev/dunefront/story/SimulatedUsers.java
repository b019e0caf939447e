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

/**
 * The users of a {@link SimulatedCluster}: send requests and check the responses, and what the
 * workers did, against the rules of the protocol.
 */
final class SimulatedUsers {
  private final SimulatedCluster cluster;
  private final SimulatedMachines machines;

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

  /** Number of tasks of each job whose acceptance was confirmed to a user. */
  final Map<String, Integer> acceptedJobs = new LinkedHashMap<>();

  /** Jobs for which a user has requested cancellation. */
  final Set<String> cancelRequestedJobs = new HashSet<>();

  /** The first submission of each job, by job id. */
  private final Map<String, Document> submittedSpecs = new HashMap<>();

  /** Compares the responses that users received with what the workers did. */
  final OperationHistory operationHistory;

  /** Checks that tasks run on machines that their jobs allow. */
  final PlacementCheck placementCheck = new PlacementCheck(submittedSpecs);

  /** Checks, after all faults have ended, that no job waits although a machine has room. */
  final StarvationCheck starvationCheck;

  /** Violations found: tasks that ran on two workers at the same time. */
  final List<String> overlappingRuns = new ArrayList<>();

  SimulatedUsers(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.machines = cluster.machines;
    this.operationHistory =
        new OperationHistory(
            machines.workers.values(),
            machines.allWorkersEver,
            acceptedJobs,
            cancelRequestedJobs,
            submittedSpecs);
    this.starvationCheck =
        new StarvationCheck(
            submittedSpecs,
            w ->
                !machines.isolatedHosts.contains(w.host())
                    && !machines.inboundBlockedHosts.contains(w.host())
                    && !machines.hungHosts.contains(w.host()));
  }

  /** Checks the rules that concern running tasks. */
  void checkWorkers() {
    operationHistory.checkRunningTasks();
    placementCheck.check(machines.workers.values());
    Set<String> runningTasks = new HashSet<>();
    for (FakeWorker w : machines.workers.values()) {
      for (String task : w.running()) {
        if (!runningTasks.add(task)) {
          overlappingRuns.add(task + " at " + cluster.clock.now());
        }
      }
    }
  }

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
    cluster.nodes.get(node).handle(new HttpServer.Request(method, path, "", body), responder);
    for (int i = 0; i < 3000 && response[0] == null; i++) {
      cluster.advance(0.002);
    }
    return response[0];
  }

  /** Submits a job and waits for the response; null on timeout. */
  ApiResponse submit(String node, Document job) {
    double sentAt = cluster.clock.now();
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
    double sentAt = cluster.clock.now();
    return recordResponse(id, sentAt, request(node, "GET", "/v1/jobs/" + id, new byte[0]));
  }

  /** Requests the cancellation of a job and waits for the response; null on timeout. */
  ApiResponse cancel(String node, String id) {
    cancelRequestedJobs.add(id);
    double sentAt = cluster.clock.now();
    return recordResponse(
        id, sentAt, request(node, "POST", "/v1/jobs/" + id + "/abort", new byte[0]));
  }

  private ApiResponse recordResponse(String id, double sentAt, ApiResponse response) {
    operationHistory.recordResponse(id, response, sentAt, cluster.clock.now());
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
    List<SimulatedCluster.Node> up =
        cluster.nodes.values().stream().filter(SimulatedCluster.Node::up).toList();
    if (tries == 0) {
      return;
    }
    if (body != null) {
      submittedSpecs.putIfAbsent(id, body);
    }
    Runnable retry =
        () ->
            cluster.clock.after(
                1.5, () -> requestWithRetries(method, path, body, id, firstNode + 1, tries - 1));
    if (up.isEmpty()) {
      retry.run();
      return;
    }
    boolean[] completed = {false};
    double sentAt = cluster.clock.now();
    HttpServer.Request request =
        new HttpServer.Request(method, path, "", body == null ? new byte[0] : body.encode());
    double timeoutS = method.equals("GET") ? 2 : 5;
    cluster.clock.after(
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
    double startedAt = cluster.clock.now();
    Map<String, Set<String>> unansweredByNode = new LinkedHashMap<>();
    cluster.nodes.values().stream()
        .filter(SimulatedCluster.Node::up)
        .forEach(n -> unansweredByNode.put(n.name, new HashSet<>(acceptedJobs.keySet())));
    Set<String> unstarted = new HashSet<>(acceptedJobs.keySet());
    Set<String> incomplete = new HashSet<>(acceptedJobs.keySet());
    unstarted.removeAll(cancelRequestedJobs);
    incomplete.removeAll(cancelRequestedJobs);
    double deadline = startedAt + 2 * START_DEADLINE_S;
    while (cluster.clock.now() < deadline
        && !(incomplete.isEmpty() && unansweredByNode.isEmpty())) {
      cluster.advance(2);
      checkStarvation();
      Map<String, Integer> startedCounts = startedTaskCounts();
      unstarted.removeIf(id -> startedCounts.getOrDefault(id, 0) > 0);
      incomplete.removeIf(id -> startedCounts.getOrDefault(id, 0) >= acceptedJobs.get(id));
      if (cluster.clock.now() - startedAt > START_DEADLINE_S) {
        unstarted.forEach(id -> violations.add(id + " has not started in time"));
        unstarted.clear();
      }
      if (cluster.clock.now() - startedAt < ANSWER_DEADLINE_S) {
        unansweredByNode.forEach((node, ids) -> ids.removeIf(id -> isAnswered(node, id)));
        unansweredByNode.values().removeIf(Set::isEmpty);
      } else {
        unansweredByNode.forEach((node, ids) -> violations.add(ids + " are forgotten by " + node));
        unansweredByNode.clear();
      }
      machines.completeAllTasks();
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
      cluster.advance(2);
      checkStarvation();
    }
  }

  private void checkStarvation() {
    Set<String> pendingJobs = new HashSet<>(acceptedJobs.keySet());
    pendingJobs.removeAll(cancelRequestedJobs);
    starvationCheck.check(
        pendingJobs, machines.workers.values(), operationHistory.doneTasks(), cluster.clock.now());
  }

  private boolean isAnswered(String node, String id) {
    ApiResponse response = poll(node, id);
    return response != null && response.status() == 200;
  }

  /** Number of tasks of each job that any worker has started so far. */
  private Map<String, Integer> startedTaskCounts() {
    Map<String, Set<String>> tasks = new HashMap<>();
    for (FakeWorker w : machines.allWorkersEver) {
      for (String start : w.starts()) {
        String task = start.substring(0, start.indexOf('#'));
        tasks.computeIfAbsent(task.substring(0, task.indexOf('/')), j -> new HashSet<>()).add(task);
      }
    }
    Map<String, Integer> counts = new HashMap<>();
    tasks.forEach((job, all) -> counts.put(job, all.size()));
    return counts;
  }
}
