package dev.dunefront.claim;

import dev.dunefront.claim.Claim.AttemptOutcome;
import dev.dunefront.claim.Claim.EndedAttempt;
import dev.dunefront.claim.Claim.LiveAttempt;
import dev.dunefront.evidence.EndProof;
import dev.dunefront.evidence.Invariant;
import dev.dunefront.peer.Message;
import java.lang.System.Logger.Level;

/**
 * Ends placed attempts, each by a proof, and tells what ends and failures say of machines and jobs.
 */
final class AttemptTermination {
  private static final System.Logger LOG = System.getLogger(AttemptTermination.class.getName());

  /** A machine that has refused a task is not asked again for so long, in seconds. */
  private static final double AVOID_AFTER_REFUSAL_S = 3;

  /** One on which a task has failed is not asked again for so long, in seconds. */
  private static final double AVOID_AFTER_FAILURE_S = 60;

  /** The longest pause between tries of a job that fails everywhere, in seconds. */
  private static final double MAX_BACKOFF_S = 60;

  private static final int MAX_BACKOFF_DOUBLINGS = 6;

  private final ControllerContext context;
  private final MachineTable machineTable;
  private final DeadlineRanking ranking;
  private final Turnover turnover;

  AttemptTermination(
      ControllerContext context, MachineTable room, DeadlineRanking urgencies, Turnover turnover) {
    this.context = context;
    this.machineTable = room;
    this.ranking = urgencies;
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

  /** The only way in which a placed attempt ends; it is recorded with the claim's next write. */
  void recordEnd(Claim c, int number, LiveAttempt l, EndProof proof) {
    if (!proof.appliesTo(l.placement.toAttempt())) {
      context
          .safety()
          .invariantViolated(
              Invariant.PROOF_OF_ANOTHER_SESSION,
              c.id() + "/" + number + ", " + l.placement + ", by " + proof);
      return;
    }
    AttemptOutcome end = outcomeOf(proof);
    l.ended = true;
    context.safety().attemptEnded(proof);
    LOG.log(
        Level.DEBUG,
        "{0}/{1} is over on {2}: {3}, attempt {4} of session {5} by {6}",
        c.id(),
        number,
        l.placement.host(),
        end,
        l.placement.attempt(),
        l.placement.session(),
        proof);
    c.unrecordedEnds.add(new EndedAttempt(number, l.placement, end, proof));
    double now = context.now();
    String host = l.placement.host();
    if (end == AttemptOutcome.DONE) {
      taskSucceeded(c, now);
      turnover.taskCompleted(host, c.size, now);
      if (l.runningSince > 0) {
        ranking.taskCompleted(c.spec, now - l.runningSince);
      }
    }
    if (end == AttemptOutcome.FAILED) {
      taskFailed(c, number, host, now);
    } else if (end == AttemptOutcome.REFUSED) {
      c.avoidUntil.put(host, now + AVOID_AFTER_REFUSAL_S);
    }
  }

  private void reportMachineFault(Claim c, String host, int weight) {
    MachineTable.Entry s = machineTable.get(host);
    if (s != null) {
      context.peers().send(s.holder(), new Message.FailureReport(host, c.id(), weight));
    }
  }

  /**
   * A task of a job has been done: what failed of it before speaks against the machines that it
   * failed on, and it need not wait for its next try any longer.
   */
  private void taskSucceeded(Claim c, double now) {
    if (c.hasCompletedTask()) {
      return;
    }
    c.completedTaskSeen = true;
    if (!c.failedOn.isEmpty()) {
      c.notBefore = Math.min(c.notBefore, now);
      c.failedOn.keySet().forEach(h -> reportMachineFault(c, h, Message.FailureReport.PROVEN));
    }
  }

  private void taskFailed(Claim c, int number, String host, double now) {
    c.failures++;
    Double before = c.failedOn.putIfAbsent(host, now);
    boolean first = before == null;
    c.avoidUntil.put(host, now + AVOID_AFTER_FAILURE_S);
    if (first && c.hasCompletedTask()) {
      reportMachineFault(c, host, Message.FailureReport.PROVEN);
    } else if (first && !c.suspectedFaulty()) {
      reportMachineFault(c, host, Message.FailureReport.UNPROVEN);
    } else if (!c.suspectedFaulty() && now - before >= AVOID_AFTER_FAILURE_S) {
      // Tried again on the one machine that there is: that says as much as once among others.
      reportMachineFault(c, host, Message.FailureReport.PROVEN);
    } else if (first) {
      c.failedOn.keySet().forEach(h -> reportMachineFault(c, h, Message.FailureReport.WITHDRAWN));
    }
    if (c.suspectedFaulty()) {
      // Fails everywhere: it is tried again ever more rarely, one task at a time.
      c.notBefore =
          now + Math.min(MAX_BACKOFF_S, Math.pow(2, Math.min(MAX_BACKOFF_DOUBLINGS, c.failures)));
    }
    LOG.log(Level.INFO, "{0}/{1} failed on {2}", c.id(), number, host);
  }
}
