package dev.dunefront.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Checks the protocol's rules by what hollow workers and users see: no task on two machines, no
 * team above its limit, no job done before its tasks, none forgotten.
 */
final class InvariantChecker {
  static final String DONE = "done";
  static final String CANCELLED = "cancelled";
  private static final int MAX_VIOLATIONS = 20;

  /** A submitted job. */
  record Job(String id, String team, int tasks, boolean urgent, double submittedAt) {}

  private final int limitTasks;
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<String, String> runningOn = new HashMap<>();
  private final Map<String, Integer> runningByTeam = new HashMap<>();
  private final Map<String, Set<String>> doneByJob = new HashMap<>();
  private final List<String> violations = new ArrayList<>();

  /** When the lease of a worker ends if nothing renews it, by machine, in seconds. */
  private final Map<String, Double> leaseEnds = new HashMap<>();

  /** What users were told at the end of a job. */
  private final Map<String, String> finalStatuses = new HashMap<>();

  private int mostRunning;

  InvariantChecker(int limitTasks) {
    this.limitTasks = limitTasks;
  }

  synchronized void submitted(Job job) {
    jobs.put(job.id(), job);
  }

  /** The job of a task, or null if nobody has submitted it. */
  synchronized Job jobOf(String task) {
    return jobs.get(jobIdOf(task));
  }

  /** A worker's lease lasts until then unless it is renewed; its tasks end with it. */
  synchronized void leaseRenewed(String host, double until) {
    leaseEnds.put(host, until);
  }

  synchronized void started(String task, String host, double now) {
    Job job = jobOf(task);
    if (job == null) {
      addViolation("invented: " + task + " was never submitted");
      return;
    }
    if (CANCELLED.equals(finalStatuses.get(job.id()))) {
      addViolation("ran_cancelled: " + task + " starts on " + host);
    }
    if (runningOn.containsKey(task) || atLimit(job)) {
      endExpiredTasks(now);
    }
    String other = runningOn.put(task, host);
    if (other != null) {
      addViolation(
          String.format(
              Locale.ROOT,
              "ran_twice: %s starts on %s at %.3f while it is on %s, whose lease lasts until %.3f",
              task,
              host,
              now,
              other,
              leaseEnds.getOrDefault(other, Double.NaN)));
      return;
    }
    int running = runningByTeam.merge(job.team(), 1, Integer::sum);
    if (running > limitTasks) {
      addViolation("quota: " + job.team() + " runs " + running + " of " + limitTasks);
    }
    mostRunning = Math.max(mostRunning, runningOn.size());
  }

  private boolean atLimit(Job job) {
    return runningByTeam.getOrDefault(job.team(), 0) >= limitTasks;
  }

  /** By their workers' leases these tasks are gone, although the workers' threads are late. */
  private void endExpiredTasks(double now) {
    Map<String, String> gone = new HashMap<>(runningOn);
    gone.values().removeIf(h -> leaseEnds.getOrDefault(h, Double.POSITIVE_INFINITY) >= now);
    gone.forEach((task, host) -> ended(task, host, false));
  }

  /** A task has left its machine, done or not. */
  synchronized void ended(String task, String host, boolean done) {
    if (!runningOn.remove(task, host)) {
      return;
    }
    Job job = jobOf(task);
    runningByTeam.merge(job.team(), -1, Integer::sum);
    if (done) {
      doneByJob.computeIfAbsent(job.id(), id -> new HashSet<>()).add(task);
    }
  }

  private void checkAllTasksDone(String id) {
    Job job = jobs.get(id);
    int done = doneByJob.getOrDefault(id, Set.of()).size();
    if (done < job.tasks()) {
      addViolation("not_done: " + id + " has " + done + " of " + job.tasks() + " tasks done");
    }
  }

  /**
   * A user was told how an accepted job stands.
   *
   * @param status of the protocol
   * @param askedAfterEnd whether the user had been told of its end before asking
   */
  synchronized void statusReported(String id, String status, boolean askedAfterEnd) {
    String last = finalStatuses.get(id);
    if (askedAfterEnd && !status.equals(last)) {
      addViolation("went_back: " + id + " was " + last + " and is called " + status);
    }
    if (status.equals(DONE) || status.equals(CANCELLED)) {
      finalStatuses.putIfAbsent(id, status);
    }
    if (status.equals(DONE)) {
      checkAllTasksDone(id);
    }
  }

  /** Whether the user has been told that the job is over. */
  synchronized boolean finished(String id) {
    return finalStatuses.containsKey(id);
  }

  /** A user was told that an accepted job is not known. */
  synchronized void jobNotFound(String id) {
    addViolation("forgotten: " + id);
  }

  synchronized int running() {
    return runningOn.size();
  }

  synchronized int mostRunning() {
    return mostRunning;
  }

  synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  private void addViolation(String rule) {
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add(rule);
    }
  }

  private static String jobIdOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }
}
