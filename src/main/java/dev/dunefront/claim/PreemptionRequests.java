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
 * Requests preemption from holders: of recently started tasks of lower priority for urgent tasks
 * that would start too late, and of best-effort tasks, which only use idle capacity, for any
 * waiting task.
 */
final class PreemptionRequests {
  /** Minimum waiting time before preemption is requested. */
  private static final double MIN_WAIT_S = 0.1;

  /** Minimum interval between a job's requests. */
  private static final double REQUEST_INTERVAL_S = 1;

  /** How long requested preemptions count as pending. */
  private static final double REQUEST_PENDING_S = 2.5;

  /** Additional time until tasks that save their state have stopped. */
  private static final double CHECKPOINT_EXTRA_S = 4;

  /** How long a view's count of preemptible tasks is valid. */
  private static final double PREEMPTIBLE_COUNT_VALID_S = 15;

  private final ControllerContext context;
  private final CapacitySubscription subscription;
  private final DeadlineRanking ranking;
  private final CandidateSelection candidateSelection;
  private final Turnover turnover;

  PreemptionRequests(
      ControllerContext context,
      CapacitySubscription subscription,
      DeadlineRanking ranking,
      CandidateSelection candidateSelection,
      Turnover turnover) {
    this.context = context;
    this.subscription = subscription;
    this.ranking = ranking;
    this.candidateSelection = candidateSelection;
    this.turnover = turnover;
  }

  private static boolean nonePreemptible(List<Candidate> candidates) {
    for (Candidate candidate : candidates) {
      if (candidate.isFull() && candidate.machine().view().preemptibleBestEffort() > 0) {
        return false;
      }
    }
    return true;
  }

  /**
   * Requests preemptions for a job if the free capacity, expected completions and pending requests
   * do not cover the wanted tasks.
   */
  void request(Claim claim, List<Candidate> candidates, int wanted, double now) {
    Priority priority = claim.spec.priority();
    if (priority == Priority.BEST_EFFORT
        || now - claim.unservedSince < MIN_WAIT_S
        || now - claim.preemptedAt < REQUEST_INTERVAL_S) {
      return;
    }
    if (context.store().writeDelayS() > MIN_WAIT_S) {
      // Starts are delayed by writes then, not by capacity; preempted tasks would add more writes.
      return;
    }
    // Preemptions requested recently are still pending.
    boolean bestEffortPreemptible = !nonePreemptible(candidates);
    if (now - claim.preemptedAt
        >= REQUEST_PENDING_S + (bestEffortPreemptible ? CHECKPOINT_EXTRA_S : 0)) {
      claim.preemptionsRequested = 0;
    }
    int need = wanted;
    for (Candidate candidate : candidates) {
      need -= candidate.hasRoom() ? candidate.freeSlots() : 0;
    }
    if (priority.urgent() && !bestEffortPreemptible) {
      double ageS = claim.ageS(context.timers().wallClockMs());
      // Machines that free capacity usually have to fetch the image first.
      double leftS =
          ranking.startSlackS(claim.spec, ageS) - candidateSelection.fastestFetchS(claim);
      need =
          Turnover.shortage(
              need,
              turnover.waitingTasks(priority),
              turnover.slotsPerS(claim.size, candidateSelection.fittingKinds(claim)),
              leftS);
    }
    need -= claim.preemptionsRequested;
    if (need > 0 && priority.urgent()) {
      // Counts of preemptible tasks of every priority are only sent at FULL detail.
      double reliableAt = subscription.require(ViewDetail.FULL);
      if (now < reliableAt) {
        claim.nextFullScanAt = Math.min(claim.nextFullScanAt, reliableAt);
        return;
      }
    }
    Queue<Candidate> best = new PriorityQueue<>(need > 0 ? candidates : List.of());
    for (Candidate candidate = best.poll(); candidate != null; candidate = best.poll()) {
      if (need <= 0) {
        break;
      }
      // Jobs that are not urgent preempt best-effort tasks only, whose count does not expire.
      boolean countValid =
          now - candidate.machine().receivedAt() < PREEMPTIBLE_COUNT_VALID_S && priority.urgent();
      MachineView view = candidate.machine().view();
      int count =
          Math.min(
              candidate.emptySlots(),
              countValid ? view.preemptibleBelow(priority) : view.preemptibleBestEffort());
      count = Math.min(need, count);
      if (candidate.isFull() && count > 0) {
        need -= count;
        claim.preemptionsRequested += count;
        claim.preemptedAt = now;
        context
            .peers()
            .send(
                candidate.machine().holder(),
                new Message.PreemptTasks(
                    candidate.machine().view().host(), priority.ordinal(), claim.size, count));
      }
    }
  }
}
