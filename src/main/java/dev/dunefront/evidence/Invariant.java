package dev.dunefront.evidence;

/**
 * Invariants that hold while a controller runs, so that no task runs twice at the same time and no
 * answer is older than an earlier one.
 */
public enum Invariant {
  /** No attempt is started while a view shows another attempt of the task that may be running. */
  STARTED_BESIDE_ANOTHER_ATTEMPT,
  /** No attempt is ended by evidence that refers to another session than its own. */
  PROOF_OF_ANOTHER_SESSION,
  /** No machine gets the command to start a task of which it has another attempt. */
  TWO_ATTEMPTS_ON_ONE_MACHINE,
  /** No task is placed while it already has a placement. */
  TWO_PLACEMENTS,
  /** No job whose final status is known gets another final status. */
  FINAL_STATUS_CHANGED,
  /** No live record of a job is shown again after its removal. */
  ENDED_JOB_SHOWN_AGAIN
}
