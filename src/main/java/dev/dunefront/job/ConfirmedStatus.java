package dev.dunefront.job;

import dev.dunefront.evidence.AnswerEvidence;
import dev.dunefront.job.FinalStatuses.FinalStatus;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.store.ReadBarrier;

/**
 * A job's status that may be reported to a user, with the evidence that it is at least as new as
 * every status that any controller reported before the request arrived. Only such evidence yields
 * an instance.
 */
public final class ConfirmedStatus {
  private final Status status;
  private final AnswerEvidence evidence;
  private final FinalStatus finalStatus;

  /** Revision at which the status was written or read; 0 if it is unknown. */
  private final long revision;

  /** When the read or write was requested, in seconds; NaN for a final status. */
  private final double requestedAt;

  private ConfirmedStatus(
      Status status,
      AnswerEvidence evidence,
      FinalStatus finalStatus,
      long revision,
      double requestedAt) {
    this.status = status;
    this.evidence = evidence;
    this.finalStatus = finalStatus;
    this.revision = revision;
    this.requestedAt = requestedAt;
  }

  /** A final status never changes, so it may be reported however old the knowledge is. */
  static ConfirmedStatus of(FinalStatus known) {
    return new ConfirmedStatus(
        known.status(), AnswerEvidence.FINAL_STATUS, known, known.revision(), Double.NaN);
  }

  /**
   * The job was accepted by the request's own write.
   *
   * @param requestedAt when the write was requested, in seconds; not before the user's request
   */
  static ConfirmedStatus ofOwnWrite(long revision, double requestedAt) {
    return new ConfirmedStatus(Status.OPEN, AnswerEvidence.OWN_WRITE, null, revision, requestedAt);
  }

  /**
   * The status of a live record after a read of the job's keys.
   *
   * @param requestedAt when the read was requested, in seconds; not before the user's request
   */
  static ConfirmedStatus ofRead(JobTable.Entry entry, double requestedAt) {
    return new ConfirmedStatus(
        reportedStatus(entry.record()), AnswerEvidence.READ, null, entry.revision(), requestedAt);
  }

  /** The status of a live record in a replica that was confirmed to be current. */
  static ConfirmedStatus ofReplica(JobTable.Entry entry, ReadBarrier.Confirmation confirmation) {
    return new ConfirmedStatus(
        reportedStatus(entry.record()),
        AnswerEvidence.READ_BARRIER,
        null,
        confirmation.revision(),
        confirmation.requestedAt());
  }

  /** The status to report: a job is not reported as cancelled until all its tasks have ended. */
  private static Status reportedStatus(JobRecord record) {
    return record.status() == Status.CANCELLED ? Status.OPEN : record.status();
  }

  public Status status() {
    return status;
  }

  public AnswerEvidence evidence() {
    return evidence;
  }

  /** The evidence with its revision and time, for the log. */
  @Override
  public String toString() {
    return finalStatus != null
        ? status + " by " + finalStatus
        : status + " by " + evidence + " at revision " + revision + ", requested at " + requestedAt;
  }
}
