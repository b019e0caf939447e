package dev.dunefront.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the protocol's rules by what hollow workers and users see: no task on two machines, no
 * team above its limit, no job done before its tasks, none forgotten.
 */
final class RuleChecker {
  private static final int MOST_TOLD = 20;

  /** A submitted job. */
  record Job(String id, String team, int tasks, boolean urgent, double submittedAt) {}

  private final int limitTasks;
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<String, String> runningOn = new HashMap<>();
  private final Map<String, Integer> runningByTeam = new HashMap<>();
  private final Map<String, Set<String>> doneByJob = new HashMap<>();
  private final List<String> broken = new ArrayList<>();
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

  synchronized void started(String task, String host) {
    Job job = jobOf(task);
    if (job == null) {
      broke("invented: " + task + " was never submitted");
      return;
    }
    String other = runningOn.put(task, host);
    if (other != null) {
      broke("ran_twice: " + task + " starts on " + host + " while it is on " + other);
      return;
    }
    int running = runningByTeam.merge(job.team(), 1, Integer::sum);
    if (running > limitTasks) {
      broke("quota: " + job.team() + " runs " + running + " of " + limitTasks);
    }
    mostRunning = Math.max(mostRunning, runningOn.size());
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

  /** A user was told that a job is done. */
  synchronized void toldDone(String id) {
    Job job = jobs.get(id);
    int done = doneByJob.getOrDefault(id, Set.of()).size();
    if (done < job.tasks()) {
      broke("not_done: " + id + " has " + done + " of " + job.tasks() + " tasks done");
    }
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
