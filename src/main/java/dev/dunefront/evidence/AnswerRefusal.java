package dev.dunefront.evidence;

/** Reasons for which a user's request is refused with a 503. */
public enum AnswerRefusal {
  /** The state service does not serve this controller. */
  STATE_UNAVAILABLE,
  /** This controller has no lease yet. */
  NOT_REGISTERED,
  /** The machine types are not known yet, so that the job cannot be checked. */
  CATALOG_UNKNOWN,
  /** The replica could not be confirmed to be current. */
  READ_BARRIER_FAILED,
  /** Too many other requests wait for a read. */
  TOO_MANY_READS,
  /** The read of the job's record failed. */
  READ_FAILED,
  /** The write was refused, or its outcome is unknown. */
  WRITE_FAILED,
  /** The job's record kept changing while it was being cancelled. */
  RECORD_CHANGING,
  /** The cancellation is recorded, but not all tasks are proven to have ended. */
  CANCELLATION_PENDING
}
