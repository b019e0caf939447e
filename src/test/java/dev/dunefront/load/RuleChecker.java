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
final class RuleChecker {
  static final String DONE = "done";
  static final String CANCELLED = "cancelled";
  private static final int MOST_TOLD = 20;

  /** A submitted job. */
  record Job(String id, String team, int tasks, boolean urgent, double submittedAt) {}

  private final int limitTasks;
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<String, String> runningOn = new HashMap<>();
  private final Map<String, Integer> runningByTeam = new HashMap<>();
  private final Map<String, Set<String>> doneByJob = new HashMap<>();
  private final List<String> broken = new ArrayList<>();

  /** When the lease of a worker ends if nothing renews it, by machine, in seconds. */
  private final Map<String, Double> leaseEnds = new HashMap<>();

  /** What users were told at the end of a job. */
  private final Map<String, String> finals = new HashMap<>();

  private int mostRunning;

  RuleChecker(int limitTasks) {
    this.limitTasks = limitTasks;
  }

  synchronized void submitted(Job job) {
    jobs.put(job.id(), job);
  }

  /** The job of a task, or null if nobody has submitted it. */
  synchronized Job jobOf(String task) {
    return jobs.get(jobName(task));
  }

  /** A worker's lease lasts until then unless it is renewed; its tasks end with it. */
  synchronized void leased(String host, double until) {
    leaseEnds.put(host, until);
  }

  synchronized void started(String task, String host, double now) {
    Job job = jobOf(task);
    if (job == null) {
      broke("invented: " + task + " was never submitted");
      return;
    }
    if (CANCELLED.equals(finals.get(job.id()))) {
      broke("ran_cancelled: " + task + " starts on " + host);
    }
    if (runningOn.containsKey(task) || full(job)) {
      expire(now);
    }
    String other = runningOn.put(task, host);
    if (other != null) {
      broke(
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
      broke("quota: " + job.team() + " runs " + running + " of " + limitTasks);
    }
    mostRunning = Math.max(mostRunning, runningOn.size());
  }

  private boolean full(Job job) {
    return runningByTeam.getOrDefault(job.team(), 0) >= limitTasks;
  }

  /** By their workers' leases these tasks are gone, although the workers' threads are late. */
  private void expire(double now) {
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

  private void toldDone(String id) {
    Job job = jobs.get(id);
    int done = doneByJob.getOrDefault(id, Set.of()).size();
    if (done < job.tasks()) {
      broke("not_done: " + id + " has " + done + " of " + job.tasks() + " tasks done");
    }
  }

  /**
   * A user was told how an accepted job stands.
   *
   * @param status of the protocol
   * @param askedAfterEnd whether the user had been told of its end before asking
   */
  synchronized void told(String id, String status, boolean askedAfterEnd) {
    String last = finals.get(id);
    if (askedAfterEnd && !status.equals(last)) {
      broke("went_back: " + id + " was " + last + " and is called " + status);
    }
    if (status.equals(DONE) || status.equals(CANCELLED)) {
      finals.putIfAbsent(id, status);
    }
    if (status.equals(DONE)) {
      toldDone(id);
    }
  }

  /** Whether the user has been told that the job is over. */
  synchronized boolean over(String id) {
    return finals.containsKey(id);
  }

  /** A user was told that an accepted job is not known. */
  synchronized void toldUnknown(String id) {
    broke("forgotten: " + id);
  }

  synchronized int running() {
    return runningOn.size();
  }

  synchronized int mostRunning() {
    return mostRunning;
  }

  synchronized List<String> broken() {
    return List.copyOf(broken);
  }

  private void broke(String rule) {
    if (broken.size() < MOST_TOLD) {
      broken.add(rule);
    }
  }

  private static String jobName(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }
}
