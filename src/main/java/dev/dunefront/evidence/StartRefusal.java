package dev.dunefront.evidence;

/** Why the holder of a machine refuses to start a recorded attempt there. */
public enum StartRefusal {
  /** The offer has run out, and there is no room left. */
  NO_ROOM,
  /** It was placed under another fencing token. */
  OTHER_TOKEN,
  /** It was placed for another session of the worker. */
  OTHER_SESSION,
  /** Another controller has claimed the job since. */
  OUTDATED_CLAIM,
  /** What became of an earlier order is not known, or the token is being raised. */
  IN_DOUBT,
  /** The attempt was denied before. */
  DENIED_BEFORE,
  /** The job is over. */
  JOB_OVER,
  /** Another attempt of the task is on the machine or about to be. */
  OTHER_ATTEMPT
}
