package dev.dunefront.claim;

import dev.dunefront.claim.Claim.End;
import dev.dunefront.claim.Claim.Ended;
import dev.dunefront.claim.Claim.Live;
import dev.dunefront.evidence.EndProof;
import dev.dunefront.evidence.Invariant;
import dev.dunefront.peer.Message;
import java.lang.System.Logger.Level;

/**
 * Ends placed attempts, each on the basis of a proof, and applies the consequences: machines to
 * avoid, faults to report, retry backoff and learned run times.
 */
final class AttemptEnds {
  private static final System.Logger LOG = System.getLogger(AttemptEnds.class.getName());

  /** How long a job avoids a machine that refused one of its tasks. */
  private static final double REFUSED_S = 3;

  /** How long a job avoids a machine on which one of its tasks failed. */
  private static final double FAILED_S = 60;

  /** Maximum delay between retries of a job whose tasks fail on every machine. */
  private static final double LONGEST_PAUSE_S = 60;

  private static final int MOST_DOUBLINGS = 6;

  private final ControllerContext context;
  private final Room room;
  private final Urgencies urgencies;
  private final Turnover turnover;

  AttemptEnds(ControllerContext context, Room room, Urgencies urgencies, Turnover turnover) {
    this.context = context;
    this.room = room;
    this.urgencies = urgencies;
    this.turnover = turnover;
  }

  private static End endOf(EndProof proof) {
    if (proof.kind() != EndProof.Kind.EXITED) {
      return End.GONE;
    }
    return switch (proof.why()) {
      case DONE -> End.DONE;
      case FAILED -> End.FAILED;
      case REFUSED -> End.REFUSED;
      default -> End.STOPPED;
    };
  }

  /**
   * Ends a placed attempt. This is the only place where that happens; the end is recorded with the
   * claim's next transaction.
   */
  void end(Claim claim, int number, Live attempt, EndProof proof) {
    if (!proof.concerns(attempt.placement.asAttempt())) {
      context
          .safety()
          .violated(
              Invariant.PROOF_OF_ANOTHER_SESSION,
              claim.id() + "/" + number + ", " + attempt.placement + ", by " + proof);
      return;
    }
    End end = endOf(proof);
    attempt.ending = true;
    context.safety().ended(proof);
    LOG.log(
        Level.DEBUG,
        "task {0}/{1} ended on {2}: {3}, attempt {4}, session {5}, proof {6}",
        claim.id(),
        number,
        attempt.placement.host(),
        end,
        attempt.placement.attempt(),
        attempt.placement.session(),
        proof);
    claim.ends.add(new Ended(number, attempt.placement, end, proof));
    double now = context.now();
    String host = attempt.placement.host();
    if (end == End.DONE) {
      ran(claim, now);
      turnover.ended(host, claim.size, now);
      if (attempt.runningSince > 0) {
        urgencies.ran(claim.spec, now - attempt.runningSince);
      }
    }
    if (end == End.FAILED) {
      failed(claim, number, host, now);
    } else if (end == End.REFUSED) {
      claim.avoid.put(host, now + REFUSED_S);
    }
  }

  /**
   * Reports failures of a job's tasks to the machine's holder.
   *
   * @param weight one of the constants of {@link Message.Blame}
   */
  private void blame(Claim claim, String host, int weight) {
    Room.Seen machine = room.get(host);
    if (machine != null) {
      context.peers().send(machine.holder(), new Message.Blame(host, claim.id(), weight));
    }
  }

  /**
   * Handles the first completed task of a job: its earlier failures now count against the machines
   * that they happened on, and the retry backoff ends.
   */
  private void ran(Claim claim, double now) {
    if (claim.runs()) {
      return;
    }
    claim.ran = true;
    if (!claim.failedOn.isEmpty()) {
      claim.notBefore = Math.min(claim.notBefore, now);
      claim.failedOn.keySet().forEach(failedHost -> blame(claim, failedHost, Message.Blame.PROVEN));
    }
  }

  private void failed(Claim claim, int number, String host, double now) {
    claim.failures++;
    Double firstFailedAt = claim.failedOn.putIfAbsent(host, now);
    boolean firstOnHost = firstFailedAt == null;
    claim.avoid.put(host, now + FAILED_S);
    if (firstOnHost && claim.runs()) {
      blame(claim, host, Message.Blame.PROVEN);
    } else if (firstOnHost && !claim.suspect()) {
      blame(claim, host, Message.Blame.UNPROVEN);
    } else if (!claim.suspect() && now - firstFailedAt >= FAILED_S) {
      // A repeated failure on the only machine tried so far counts like one failure among several
      // machines.
      blame(claim, host, Message.Blame.PROVEN);
    } else if (firstOnHost) {
      claim
          .failedOn
          .keySet()
          .forEach(failedHost -> blame(claim, failedHost, Message.Blame.WITHDRAWN));
    }
    if (claim.suspect()) {
      // Tasks fail on every machine: retries one task at a time with exponential backoff.
      claim.notBefore =
          now + Math.min(LONGEST_PAUSE_S, Math.pow(2, Math.min(MOST_DOUBLINGS, claim.failures)));
    }
    LOG.log(Level.INFO, "task {0}/{1} failed on {2}", claim.id(), number, host);
  }
}
