package dev.dunefront.claim;

import dev.dunefront.claim.Claim.End;
import dev.dunefront.claim.Claim.Ended;
import dev.dunefront.claim.Claim.Live;
import dev.dunefront.evidence.EndProof;
import dev.dunefront.evidence.Invariant;
import dev.dunefront.peer.Message;
import java.lang.System.Logger.Level;

/**
 * Ends placed attempts, each by a proof, and tells what ends and failures say of machines and jobs.
 */
final class AttemptEnds {
  private static final System.Logger LOG = System.getLogger(AttemptEnds.class.getName());

  /** A machine that has refused a task is not asked again for so long, in seconds. */
  private static final double REFUSED_S = 3;

  /** One on which a task has failed is not asked again for so long, in seconds. */
  private static final double FAILED_S = 60;

  /** The longest pause between tries of a job that fails everywhere, in seconds. */
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

  /** The only way in which a placed attempt ends; it is recorded with the claim's next write. */
  void end(Claim c, int number, Live l, EndProof proof) {
    if (!proof.concerns(l.placement.asAttempt())) {
      context
          .safety()
          .violated(
              Invariant.PROOF_OF_ANOTHER_SESSION,
              c.id() + "/" + number + ", " + l.placement + ", by " + proof);
      return;
    }
    End end = endOf(proof);
    l.ending = true;
    context.safety().ended(proof);
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
    c.ends.add(new Ended(number, l.placement, end, proof));
    double now = context.now();
    String host = l.placement.host();
    if (end == End.DONE) {
      ran(c, now);
      turnover.ended(host, c.size, now);
      if (l.runningSince > 0) {
        urgencies.ran(c.spec, now - l.runningSince);
      }
    }
    if (end == End.FAILED) {
      failed(c, number, host, now);
    } else if (end == End.REFUSED) {
      c.avoid.put(host, now + REFUSED_S);
    }
  }

  private void blame(Claim c, String host, int weight) {
    Room.Seen s = room.get(host);
    if (s != null) {
      context.peers().send(s.holder(), new Message.Blame(host, c.id(), weight));
    }
  }

  /**
   * A task of a job has been done: what failed of it before speaks against the machines that it
   * failed on, and it need not wait for its next try any longer.
   */
  private void ran(Claim c, double now) {
    if (c.runs()) {
      return;
    }
    c.ran = true;
    if (!c.failedOn.isEmpty()) {
      c.notBefore = Math.min(c.notBefore, now);
      c.failedOn.keySet().forEach(h -> blame(c, h, Message.Blame.PROVEN));
    }
  }

  private void failed(Claim c, int number, String host, double now) {
    c.failures++;
    Double before = c.failedOn.putIfAbsent(host, now);
    boolean first = before == null;
    c.avoid.put(host, now + FAILED_S);
    if (first && c.runs()) {
      blame(c, host, Message.Blame.PROVEN);
    } else if (first && !c.suspect()) {
      blame(c, host, Message.Blame.UNPROVEN);
    } else if (!c.suspect() && now - before >= FAILED_S) {
      // Tried again on the one machine that there is: that says as much as once among others.
      blame(c, host, Message.Blame.PROVEN);
    } else if (first) {
      c.failedOn.keySet().forEach(h -> blame(c, h, Message.Blame.WITHDRAWN));
    }
    if (c.suspect()) {
      // Fails everywhere: it is tried again ever more rarely, one task at a time.
      c.notBefore =
          now + Math.min(LONGEST_PAUSE_S, Math.pow(2, Math.min(MOST_DOUBLINGS, c.failures)));
    }
    LOG.log(Level.INFO, "{0}/{1} failed on {2}", c.id(), number, host);
  }
}
