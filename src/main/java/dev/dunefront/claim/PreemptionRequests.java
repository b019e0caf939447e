package dev.dunefront.claim;

import dev.dunefront.claim.CandidateSelection.Candidate;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Message.MachineView;
import dev.dunefront.peer.ViewDetail;
import dev.dunefront.wire.Priority;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * Asks holders to stop young tasks of lower priority, for urgent ones that would start too late,
 * and tasks of the lowest priority, which have what lies idle, for whatever waits for room.
 */
final class PreemptionRequests {
  private static final double MIN_WAIT_S = 0.1;
  private static final double REQUEST_INTERVAL_S = 1;
  private static final double REQUEST_PENDING_S = 2.5;

  /** What saves first takes that much longer to leave, in seconds. */
  private static final double CHECKPOINT_EXTRA_S = 4;

  /** How long a holder's word that there are young tasks is taken for true. */
  private static final double YOUNG_COUNT_VALID_S = 15;

  private final ControllerContext context;
  private final CapacitySubscription subscription;
  private final DeadlineRanking ranking;
  private final CandidateSelection candidateSelection;
  private final Turnover turnover;

  PreemptionRequests(
      ControllerContext context,
      CapacitySubscription interest,
      DeadlineRanking urgencies,
      CandidateSelection choosing,
      Turnover turnover) {
    this.context = context;
    this.subscription = interest;
    this.ranking = urgencies;
    this.candidateSelection = choosing;
    this.turnover = turnover;
  }

  private static boolean noneYielding(List<Candidate> choices) {
    for (Candidate ch : choices) {
      if (ch.full() && ch.machine().view().preemptibleBestEffort() > 0) {
        return false;
      }
    }
    return true;
  }

  /**
   * Room for urgent tasks that would start too late is made where less urgent ones have just begun.
   */
  void request(Claim c, List<Candidate> choices, int wanted, double now) {
    Priority priority = c.spec.priority();
    if (priority == Priority.BEST_EFFORT
        || now - c.unservedSince < MIN_WAIT_S
        || now - c.preemptedAt < REQUEST_INTERVAL_S) {
      return;
    }
    if (context.store().writeDelayS() > MIN_WAIT_S) {
      // What waits then is the record, not room; stopped tasks would only have to be recorded too.
      return;
    }
    // What was asked for just now is still on its way here.
    boolean yielding = !noneYielding(choices);
    if (now - c.preemptedAt >= REQUEST_PENDING_S + (yielding ? CHECKPOINT_EXTRA_S : 0)) {
      c.preemptionsRequested = 0;
    }
    int need = wanted;
    for (Candidate ch : choices) {
      need -= ch.hasRoom() ? ch.freeSlots() : 0;
    }
    if (priority.urgent() && !yielding) {
      double ageS = c.ageS(context.timers().wallClockMs());
      // Room that becomes free is mostly where the image has yet to be fetched.
      double leftS = ranking.startSlackS(c.spec, ageS) - candidateSelection.fastestFetchS(c);
      need =
          Turnover.shortage(
              need,
              turnover.waitingTasks(priority),
              turnover.slotsPerS(c.size, candidateSelection.fittingKinds(c)),
              leftS);
    }
    need -= c.preemptionsRequested;
    if (need > 0 && priority.urgent()) {
      // Which tasks are young is told to those alone who have to know.
      double settledAt = subscription.require(ViewDetail.FULL);
      if (now < settledAt) {
        c.nextFullScanAt = Math.min(c.nextFullScanAt, settledAt);
        return;
      }
    }
    Queue<Candidate> best = new PriorityQueue<>(need > 0 ? choices : List.of());
    for (Candidate ch = best.poll(); ch != null; ch = best.poll()) {
      if (need <= 0) {
        break;
      }
      // Who is not urgent asks for what yields alone; of that there is as long as it is shown.
      boolean fresh = now - ch.machine().receivedAt() < YOUNG_COUNT_VALID_S && priority.urgent();
      MachineView view = ch.machine().view();
      int n =
          Math.min(
              ch.emptySlots(),
              fresh ? view.preemptibleBelow(priority) : view.preemptibleBestEffort());
      n = Math.min(need, n);
      if (ch.full() && n > 0) {
        need -= n;
        c.preemptionsRequested += n;
        c.preemptedAt = now;
        context
            .peers()
            .send(
                ch.machine().holder(),
                new Message.Preempt(ch.machine().view().host(), priority.ordinal(), c.size, n));
      }
    }
  }
}
