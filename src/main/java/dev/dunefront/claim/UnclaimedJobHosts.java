package dev.dunefront.claim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Machines that were said to show tasks of a job that is not claimed here: a holder may know sooner
 * than the claimant itself who has claimed a job, and tells of a machine only when it changes.
 */
final class UnclaimedJobHosts {
  /** A claim that a holder knows of is known here within this time, in seconds. */
  private static final double RETENTION_S = 30;

  private record Entry(Set<String> hosts, double since) {}

  private final Map<String, Entry> byJob = new HashMap<>();

  /** A machine shows tasks of the job. */
  void add(String job, String host, double now) {
    byJob.computeIfAbsent(job, j -> new Entry(new HashSet<>(), now)).hosts.add(host);
  }

  /** The machines that have shown tasks of a job that is claimed now. */
  Set<String> take(String job) {
    Entry shown = byJob.remove(job);
    return shown == null ? Set.of() : shown.hosts;
  }

  /** Forgets jobs that have not been claimed in time: most of them are over. */
  void expire(double now) {
    byJob.values().removeIf(shown -> now - shown.since > RETENTION_S);
  }
}
