package dev.dunefront.evidence;

/** Reasons for which the holder of a machine refuses to start a recorded attempt. */
public enum StartRefusal {
  /** The offer has expired and there is no room left. */
  NO_ROOM,
  /** The attempt was placed under another fencing token. */
  OTHER_TOKEN,
  /** The attempt was placed in another session of the worker. */
  OTHER_SESSION,
  /** Another controller has claimed the job in a later term. */
  OUTDATED_CLAIM,
  /** The outcome of an earlier command is unknown, or the token is being raised. */
  IN_DOUBT,
  /** The holder has denied the attempt before. */
  DENIED_BEFORE,
  /** The job has ended. */
  JOB_OVER,
  /** Another attempt of the task is on the machine or about to start there. */
  OTHER_ATTEMPT
}
