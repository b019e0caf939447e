package dev.dunefront.claim;

import dev.dunefront.claim.Claim.AttemptOutcome;
import dev.dunefront.claim.Claim.EndedAttempt;
import dev.dunefront.claim.Claim.LiveAttempt;
import dev.dunefront.evidence.EndProof;
import dev.dunefront.evidence.Invariant;
import dev.dunefront.peer.Message;
import java.lang.System.Logger.Level;

/**
 * Ends placed attempts, each on the basis of a proof, and applies the consequences: machines to
 * avoid, faults to report, retry backoff and learned run times.
 */
final class AttemptTermination {
  private static final System.Logger LOG = System.getLogger(AttemptTermination.class.getName());

  /** How long a job avoids a machine that refused one of its tasks. */
  private static final double AVOID_AFTER_REFUSAL_S = 3;

  /** How long a job avoids a machine on which one of its tasks failed. */
  private static final double AVOID_AFTER_FAILURE_S = 60;

  /** Maximum delay between retries of a job whose tasks fail on every machine. */
  private static final double MAX_BACKOFF_S = 60;

  private static final int MAX_BACKOFF_DOUBLINGS = 6;

  private final ControllerContext context;
  private final MachineTable machineTable;
  private final DeadlineRanking ranking;
  private final Turnover turnover;

  AttemptTermination(
      ControllerContext context,
      MachineTable machineTable,
      DeadlineRanking ranking,
      Turnover turnover) {
    this.context = context;
    this.machineTable = machineTable;
    this.ranking = ranking;
    this.turnover = turnover;
  }

  private static AttemptOutcome outcomeOf(EndProof proof) {
    if (proof.kind() != EndProof.Kind.EXITED) {
      return AttemptOutcome.LOST;
    }
    return switch (proof.exitReason()) {
      case DONE -> AttemptOutcome.DONE;
      case FAILED -> AttemptOutcome.FAILED;
      case REFUSED -> AttemptOutcome.REFUSED;
      default -> AttemptOutcome.STOPPED;
    };
  }

  /**
   * Ends a placed attempt. This is the only place where that happens; the end is recorded with the
   * claim's next transaction.
   */
  void recordEnd(Claim claim, int number, LiveAttempt attempt, EndProof proof) {
    if (!proof.appliesTo(attempt.placement.toAttempt())) {
      context
          .safety()
          .invariantViolated(
              Invariant.PROOF_OF_ANOTHER_SESSION,
              claim.id() + "/" + number + ", " + attempt.placement + ", by " + proof);
      return;
    }
    AttemptOutcome outcome = outcomeOf(proof);
    attempt.ended = true;
    context.safety().attemptEnded(proof);
    LOG.log(
        Level.DEBUG,
        "task {0}/{1} ended on {2}: {3}, attempt {4}, session {5}, proof {6}",
        claim.id(),
        number,
        attempt.placement.host(),
        outcome,
        attempt.placement.attempt(),
        attempt.placement.session(),
        proof);
    claim.unrecordedEnds.add(new EndedAttempt(number, attempt.placement, outcome, proof));
    double now = context.now();
    String host = attempt.placement.host();
    if (outcome == AttemptOutcome.DONE) {
      taskSucceeded(claim, now);
      turnover.taskCompleted(host, claim.size, now);
      if (attempt.runningSince > 0) {
        ranking.taskCompleted(claim.spec, now - attempt.runningSince);
      }
    }
    if (outcome == AttemptOutcome.FAILED) {
      taskFailed(claim, number, host, now);
    } else if (outcome == AttemptOutcome.REFUSED) {
      claim.avoidUntil.put(host, now + AVOID_AFTER_REFUSAL_S);
    }
  }

  /**
   * Reports failures of a job's tasks to the machine's holder.
   *
   * @param weight one of the constants of {@link Message.FailureReport}
   */
  private void reportMachineFault(Claim claim, String host, int weight) {
    MachineTable.Entry machine = machineTable.get(host);
    if (machine != null) {
      context.peers().send(machine.holder(), new Message.FailureReport(host, claim.id(), weight));
    }
  }

  /**
   * Handles the first completed task of a job: its earlier failures now count against the machines
   * that they happened on, and the retry backoff ends.
   */
  private void taskSucceeded(Claim claim, double now) {
    if (claim.hasCompletedTask()) {
      return;
    }
    claim.completedTaskSeen = true;
    if (!claim.failedOn.isEmpty()) {
      claim.notBefore = Math.min(claim.notBefore, now);
      claim
          .failedOn
          .keySet()
          .forEach(
              failedHost -> reportMachineFault(claim, failedHost, Message.FailureReport.PROVEN));
    }
  }

  private void taskFailed(Claim claim, int number, String host, double now) {
    claim.failures++;
    Double firstFailedAt = claim.failedOn.putIfAbsent(host, now);
    boolean firstOnHost = firstFailedAt == null;
    claim.avoidUntil.put(host, now + AVOID_AFTER_FAILURE_S);
    if (firstOnHost && claim.hasCompletedTask()) {
      reportMachineFault(claim, host, Message.FailureReport.PROVEN);
    } else if (firstOnHost && !claim.isSuspectedFaulty()) {
      reportMachineFault(claim, host, Message.FailureReport.UNPROVEN);
    } else if (!claim.isSuspectedFaulty() && now - firstFailedAt >= AVOID_AFTER_FAILURE_S) {
      // A repeated failure on the only machine tried so far counts like one failure among several
      // machines.
      reportMachineFault(claim, host, Message.FailureReport.PROVEN);
    } else if (firstOnHost) {
      claim
          .failedOn
          .keySet()
          .forEach(
              failedHost -> reportMachineFault(claim, failedHost, Message.FailureReport.WITHDRAWN));
    }
    if (claim.isSuspectedFaulty()) {
      // Tasks fail on every machine: retries one task at a time with exponential backoff.
      claim.notBefore =
          now
              + Math.min(
                  MAX_BACKOFF_S, Math.pow(2, Math.min(MAX_BACKOFF_DOUBLINGS, claim.failures)));
    }
    LOG.log(Level.INFO, "task {0}/{1} failed on {2}", claim.id(), number, host);
  }
}
