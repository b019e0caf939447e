package dev.dunefront.story;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Compares the responses that users received with what the workers did. It checks the rules of the
 * protocol about responses: no task of a cancelled job runs, no job is reported done early, a final
 * status never changes, and an accepted job stays known.
 */
final class OperationHistory {
  /** A final job status and the time of the first response that reported it. */
  private record FinalStatus(String status, double at) {}

  private final Collection<FakeWorker> workers;
  private final Collection<FakeWorker> allWorkersEver;
  private final Map<String, Integer> accepted;
  private final Set<String> cancelRequested;
  private final Map<String, FinalStatus> finalStatuses = new HashMap<>();

  /** When a response first confirmed that a job exists, by job id. */
  private final Map<String, Double> firstKnownAt = new HashMap<>();

  private final Map<String, Document> specs;
  private double teamLimitCpus = Double.POSITIVE_INFINITY;

  /** The distinct violations found so far. */
  final List<String> violations = new ArrayList<>();

  /**
   * The collections are live views that the simulated cluster updates.
   *
   * @param workers the workers whose machines exist
   * @param allWorkersEver all workers, including those whose machines have been deleted
   * @param accepted number of tasks of each accepted job
   * @param cancelRequested jobs whose cancellation a user has requested
   * @param specs the submitted specifications, by job id
   */
  OperationHistory(
      Collection<FakeWorker> workers,
      Collection<FakeWorker> allWorkersEver,
      Map<String, Integer> accepted,
      Set<String> cancelRequested,
      Map<String, Document> specs) {
    this.workers = workers;
    this.allWorkersEver = allWorkersEver;
    this.accepted = accepted;
    this.cancelRequested = cancelRequested;
    this.specs = specs;
  }

  /** Sets the CPU limit of the single team that owns all jobs. */
  void setTeamLimitCpus(double cpusMax) {
    teamLimitCpus = cpusMax;
  }

  /**
   * Checks a response to a poll, submission or cancellation against earlier responses. Responses
   * that arrived after this request was sent don't count, since the two may overtake each other.
   *
   * @param response null if the request timed out
   * @param sentAt when the request was sent
   */
  void recordResponse(String id, SimulatedUsers.ApiResponse response, double sentAt, double now) {
    if (response == null) {
      return;
    }
    if (response.status() == 404 || response.status() == 400 || response.status() == 422) {
      recordIf(
          firstKnownAt.getOrDefault(id, Double.POSITIVE_INFINITY) <= sentAt,
          id + " was accepted, but a request for it returned status " + response.status());
      return;
    }
    if (response.status() != 200 && response.status() != 201) {
      return;
    }
    firstKnownAt.putIfAbsent(id, now);
    String status = response.jobStatus();
    FinalStatus last = finalStatuses.get(id);
    recordIf(
        last != null && last.at <= sentAt && !last.status.equals(status),
        id + " was " + (last == null ? "" : last.status) + " and is now reported " + status);
    if (status.equals("done")) {
      recordIf(
          doneTaskCount(id) < accepted.getOrDefault(id, 0),
          id + " is reported done before all its tasks are done");
      finalStatuses.putIfAbsent(id, new FinalStatus(status, now));
    } else if (status.equals("cancelled")) {
      recordIf(
          !cancelRequested.contains(id),
          id + " is reported cancelled without a cancellation request");
      finalStatuses.putIfAbsent(id, new FinalStatus(status, now));
      checkRunningTasks();
    }
  }

  /**
   * Checks that no task of a finished job runs and that the team is within its limit. A final
   * status is reported only on proof that all tasks have ended, so that none may run after it even
   * briefly.
   */
  void checkRunningTasks() {
    double used = 0;
    for (FakeWorker w : workers) {
      for (String task : w.running()) {
        String job = task.substring(0, task.indexOf('/'));
        used += cpusPerTask(job);
        FinalStatus last = finalStatuses.get(job);
        recordIf(
            last != null, task + " runs on " + w.host() + " after its job was reported finished");
      }
    }
    recordIf(used > teamLimitCpus, "the running tasks exceed the team's limit");
  }

  private double cpusPerTask(String job) {
    try {
      return specs.containsKey(job) ? specs.get(job).amount("vcpus") : 0;
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  private long doneTaskCount(String id) {
    return doneTasks().stream().filter(task -> task.startsWith(id + "/")).count();
  }

  /** The ids of all tasks that any worker has ever completed. */
  Set<String> doneTasks() {
    Set<String> done = new HashSet<>();
    allWorkersEver.forEach(w -> done.addAll(w.done()));
    return done;
  }

  private void recordIf(boolean violated, String message) {
    if (violated && !violations.contains(message)) {
      violations.add(message);
    }
  }
}
