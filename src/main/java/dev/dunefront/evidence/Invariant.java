package dev.dunefront.evidence;

/** What must never be otherwise while a controller runs, so that no task runs twice. */
public enum Invariant {
  /** No attempt is started while a view shows another attempt of the task that may run. */
  STARTED_BESIDE_ANOTHER_ATTEMPT,
  /** No attempt is ended by what was said of another session than its own. */
  PROOF_OF_ANOTHER_SESSION,
  /** A machine is not told to start a task of which it has another attempt. */
  TWO_ATTEMPTS_ON_ONE_MACHINE,
  /** A task that is placed is not placed a second time. */
  TWO_PLACEMENTS
}
