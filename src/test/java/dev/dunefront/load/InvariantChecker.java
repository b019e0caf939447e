package dev.dunefront.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Checks the protocol's invariants by what simulated workers and users observe: no task runs on two
 * machines, no team exceeds its limit, no job is done before its tasks, no accepted job is lost.
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

  /** End of each machine's current lease, on the steady clock in seconds. */
  private final Map<String, Double> leaseEnds = new HashMap<>();

  /** The final status that users received, by job id. */
  private final Map<String, String> finalStatuses = new HashMap<>();

  private int mostRunning;

  InvariantChecker(int limitTasks) {
    this.limitTasks = limitTasks;
  }

  synchronized void jobSubmitted(Job job) {
    jobs.put(job.id(), job);
  }

  /** Returns the job of a task, or null if it was never submitted. */
  synchronized Job jobOf(String task) {
    return jobs.get(jobIdOf(task));
  }

  /** Records that a worker's lease lasts until the given time; its tasks end with the lease. */
  synchronized void leaseRenewed(String host, double until) {
    leaseEnds.put(host, until);
  }

  synchronized void taskStarted(String task, String host, double now) {
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
              "ran_twice: %s starts on %s at %.3f while it runs on %s, whose lease lasts until %.3f",
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

  /**
   * Ends tasks whose workers' leases have expired, for workers whose thread is late and has not
   * recorded it yet.
   */
  private void endExpiredTasks(double now) {
    Map<String, String> expired = new HashMap<>(runningOn);
    expired.values().removeIf(h -> leaseEnds.getOrDefault(h, Double.POSITIVE_INFINITY) >= now);
    expired.forEach((task, host) -> taskEnded(task, host, false));
  }

  /** Records that a task no longer runs on a machine, whether done or not. */
  synchronized void taskEnded(String task, String host, boolean done) {
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
   * Records the status of an accepted job that a user received.
   *
   * @param status job status of the protocol
   * @param askedAfterEnd whether the user had received a final status before sending the request
   */
  synchronized void statusReported(String id, String status, boolean askedAfterEnd) {
    String last = finalStatuses.get(id);
    if (askedAfterEnd && !status.equals(last)) {
      addViolation("went_back: " + id + " was " + last + " and is now reported as " + status);
    }
    if (status.equals(DONE) || status.equals(CANCELLED)) {
      finalStatuses.putIfAbsent(id, status);
    }
    if (status.equals(DONE)) {
      checkAllTasksDone(id);
    }
  }

  /** Whether a user has received a final status of the job. */
  synchronized boolean finished(String id) {
    return finalStatuses.containsKey(id);
  }

  /** Records that a request for an accepted job was answered with 404. */
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

  private void addViolation(String violation) {
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add(violation);
    }
  }

  private static String jobIdOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }
}
