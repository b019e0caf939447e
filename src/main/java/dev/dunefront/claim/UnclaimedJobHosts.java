package dev.dunefront.claim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Machines whose views showed tasks of jobs that this controller has not claimed yet. A holder may
 * learn of a claim before the claiming controller itself does, and it sends a view only when the
 * machine changes, so the view would otherwise be missed.
 */
final class UnclaimedJobHosts {
  /** Entries expire after this time; by then a claim that a holder knows is known here. */
  private static final double RETENTION_S = 30;

  private record Entry(Set<String> hosts, double since) {}

  private final Map<String, Entry> byJob = new HashMap<>();

  /** Records that a machine's view showed tasks of the job. */
  void add(String job, String host, double now) {
    byJob.computeIfAbsent(job, id -> new Entry(new HashSet<>(), now)).hosts.add(host);
  }

  /** Removes and returns the machines recorded for a job that has just been claimed. */
  Set<String> take(String job) {
    Entry entry = byJob.remove(job);
    return entry == null ? Set.of() : entry.hosts;
  }

  /** Removes expired entries; most belong to jobs that have ended. */
  void expire(double now) {
    byJob.values().removeIf(entry -> now - entry.since > RETENTION_S);
  }
}
