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
 * What users have been told of their jobs, held against what the workers did. It knows the rules of
 * the protocol that are about words: nothing of a cancelled job runs, no job is done early, no
 * answer goes back, what was accepted stays known.
 */
final class OperationHistory {
  private record FinalStatus(String status, double at) {}

  private final Collection<FakeWorker> workers;
  private final Collection<FakeWorker> allWorkersEver;
  private final Map<String, Integer> accepted;
  private final Set<String> cancelRequested;
  private final Map<String, FinalStatus> finalStatuses = new HashMap<>();
  private final Map<String, Double> firstKnownAt = new HashMap<>();
  private final Map<String, Document> specs;
  private double teamLimitCpus = Double.POSITIVE_INFINITY;

  /** What was found, without repeats. */
  final List<String> violations = new ArrayList<>();

  /**
   * The workers are those that there are, and all that ever were; asked are the jobs whose users
   * wanted them cancelled; specs are what users have submitted, by job.
   */
  OperationHistory(
      Collection<FakeWorker> workers,
      Collection<FakeWorker> everyWorker,
      Map<String, Integer> accepted,
      Set<String> asked,
      Map<String, Document> specs) {
    this.workers = workers;
    this.allWorkersEver = everyWorker;
    this.accepted = accepted;
    this.cancelRequested = asked;
    this.specs = specs;
  }

  /** All jobs are of one team, whose tasks may use so much at most. */
  void teamLimitCpus(double cpusMax) {
    teamLimitCpus = cpusMax;
  }

  /**
   * A user's question, submission or cancellation has been answered. What was told after it had
   * been sent does not count against the answer.
   */
  void recordResponse(String id, World.Said said, double sentAt, double now) {
    if (said == null) {
      return;
    }
    if (said.status() == 404 || said.status() == 400 || said.status() == 422) {
      recordIf(
          firstKnownAt.getOrDefault(id, Double.POSITIVE_INFINITY) <= sentAt,
          id + " was accepted and is answered " + said.status());
      return;
    }
    if (said.status() != 200 && said.status() != 201) {
      return;
    }
    firstKnownAt.putIfAbsent(id, now);
    String state = said.state();
    FinalStatus last = finalStatuses.get(id);
    recordIf(
        last != null && last.at <= sentAt && !last.status.equals(state),
        id + " was " + (last == null ? "" : last.status) + " and is called " + state);
    if (state.equals("done")) {
      recordIf(doneTaskCount(id) < accepted.getOrDefault(id, 0), id + " is called done early");
      finalStatuses.putIfAbsent(id, new FinalStatus(state, now));
    } else if (state.equals("cancelled")) {
      recordIf(!cancelRequested.contains(id), id + " is called cancelled and nobody asked for it");
      finalStatuses.putIfAbsent(id, new FinalStatus(state, now));
      checkRunningTasks();
    }
  }

  /** Users are told only on proof, so nothing may run from the word on, not even for a moment. */
  void checkRunningTasks() {
    double used = 0;
    for (FakeWorker w : workers) {
      for (String task : w.running()) {
        String job = task.substring(0, task.indexOf('/'));
        used += cpusEach(job);
        FinalStatus last = finalStatuses.get(job);
        recordIf(
            last != null, task + " runs on " + w.host() + " though its user was told it is over");
      }
    }
    recordIf(used > teamLimitCpus, "more runs than the team's limit allows");
  }

  private double cpusEach(String job) {
    try {
      return specs.containsKey(job) ? specs.get(job).amount("vcpus") : 0;
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  private long doneTaskCount(String id) {
    return doneTasks().stream().filter(task -> task.startsWith(id + "/")).count();
  }

  /** All tasks that have ever been done. */
  Set<String> doneTasks() {
    Set<String> done = new HashSet<>();
    allWorkersEver.forEach(w -> done.addAll(w.done()));
    return done;
  }

  private void recordIf(boolean isWrong, String what) {
    if (isWrong && !violations.contains(what)) {
      violations.add(what);
    }
  }
}
