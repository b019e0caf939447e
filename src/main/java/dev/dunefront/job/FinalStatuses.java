package dev.dunefront.job;

import dev.dunefront.evidence.Invariant;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.metrics.SafetyMonitor;
import java.util.LinkedHashMap;
import java.util.Map;

/** A bounded cache of the final statuses of jobs, which never change. */
final class FinalStatuses {
  /** Final statuses kept; the least recently used is evicted. */
  private static final int MAX_ENTRIES = 50_000;

  /** How a final status became known. */
  enum Source {
    OWN_WRITE,
    REPLICA,
    READ,
    PEER
  }

  /**
   * A final status.
   *
   * @param revision revision at which it was written or read, or 0 if it is unknown
   * @param peer the controller that announced it, or null
   * @param recordRemoved whether the replica has applied the removal of the live record
   */
  record FinalStatus(
      Status status, Source source, long revision, String peer, boolean recordRemoved) {}

  private final SafetyMonitor safety;
  private final Map<String, FinalStatus> byJob =
      new LinkedHashMap<>(256, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, FinalStatus> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  FinalStatuses(SafetyMonitor safety) {
    this.safety = safety;
  }

  /** The final status of a job, or null if none is known. */
  FinalStatus get(String id) {
    return byJob.get(id);
  }

  boolean contains(String id) {
    return byJob.containsKey(id);
  }

  /** Adds a final status. A status that differs from the known one is a violation and ignored. */
  void add(String id, FinalStatus added) {
    FinalStatus known = byJob.get(id);
    if (known == null) {
      byJob.put(id, added);
    } else if (known.status != added.status) {
      safety.invariantViolated(
          Invariant.FINAL_STATUS_CHANGED, "job " + id + ": known " + known + ", now " + added);
    } else if (added.recordRemoved && !known.recordRemoved) {
      byJob.put(id, added);
    }
  }

  /** The replica has applied the removal of the job's live record. */
  void recordRemoved(String id, long revision) {
    FinalStatus known = byJob.get(id);
    if (known != null && !known.recordRemoved) {
      byJob.put(id, new FinalStatus(known.status, Source.REPLICA, revision, known.peer, true));
    }
  }
}
