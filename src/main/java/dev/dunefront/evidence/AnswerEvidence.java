package dev.dunefront.evidence;

/**
 * Evidence that a job's status is at least as new as every status that any controller reported
 * before the request arrived. Content of the replica alone is no such evidence, as it may lag
 * behind.
 */
public enum AnswerEvidence {
  /** The job has ended; a final status never changes. */
  FINAL_STATUS,
  /** The request's own write was executed. */
  OWN_WRITE,
  /** A read of the job's record that began after the request had arrived. */
  READ,
  /** A read of all changes that began after the request had arrived. */
  READ_BARRIER
}
