package dev.dunefront.claim;

import dev.dunefront.claim.Choosing.Choice;
import dev.dunefront.peer.Detail;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Message.View;
import dev.dunefront.wire.Priority;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * Requests preemption from holders: of recently started tasks of lower priority for urgent tasks
 * that would start too late, and of best-effort tasks, which only use idle capacity, for any
 * waiting task.
 */
final class GivingWay {
  /** Minimum waiting time before preemption is requested. */
  private static final double PREEMPT_AFTER_S = 0.1;

  /** Minimum interval between a job's requests. */
  private static final double PREEMPT_AGAIN_S = 1;

  /** How long requested preemptions count as pending. */
  private static final double PREEMPT_ASKED_S = 2.5;

  /** Additional time until tasks that save their state have stopped. */
  private static final double SAVING_S = 4;

  /** How long a view's count of recently started tasks is valid. */
  private static final double YOUNG_S = 15;

  private final ControllerContext context;
  private final RoomInterest interest;
  private final Urgencies urgencies;
  private final Choosing choosing;
  private final Turnover turnover;

  GivingWay(
      ControllerContext context,
      RoomInterest interest,
      Urgencies urgencies,
      Choosing choosing,
      Turnover turnover) {
    this.context = context;
    this.interest = interest;
    this.urgencies = urgencies;
    this.choosing = choosing;
    this.turnover = turnover;
  }

  private static boolean noneYields(List<Choice> candidates) {
    for (Choice candidate : candidates) {
      if (candidate.full() && candidate.seen().view().yielding() > 0) {
        return false;
      }
    }
    return true;
  }

  /**
   * Requests preemptions for a job if the free capacity, expected completions and pending requests
   * do not cover the wanted tasks.
   */
  void ask(Claim claim, List<Choice> candidates, int wanted, double now) {
    Priority priority = claim.spec.priority();
    if (priority == Priority.BEST_EFFORT
        || now - claim.unservedSince < PREEMPT_AFTER_S
        || now - claim.preemptedAt < PREEMPT_AGAIN_S) {
      return;
    }
    if (context.store().writeDelayS() > PREEMPT_AFTER_S) {
      // Starts are delayed by writes then, not by capacity; preempted tasks would add more writes.
      return;
    }
    // Preemptions requested recently are still pending.
    boolean yielding = !noneYields(candidates);
    if (now - claim.preemptedAt >= PREEMPT_ASKED_S + (yielding ? SAVING_S : 0)) {
      claim.preempted = 0;
    }
    int need = wanted;
    for (Choice candidate : candidates) {
      need -= candidate.here() ? candidate.fits() : 0;
    }
    if (priority.urgent() && !yielding) {
      double ageS = claim.ageS(context.timers().timeOfDayMs());
      // Machines that free capacity usually have to fetch the image first.
      double leftS = urgencies.startSlackS(claim.spec, ageS) - choosing.quickFetchS(claim);
      need =
          Turnover.shortage(
              need,
              turnover.waiting(priority),
              turnover.slotsPerS(claim.size, choosing.fits(claim)),
              leftS);
    }
    need -= claim.preempted;
    if (need > 0 && priority.urgent()) {
      // Counts of recently started tasks are only sent to subscribers of the LOAD level.
      double reliableAt = interest.need(Detail.LOAD);
      if (now < reliableAt) {
        claim.lookAgain = Math.min(claim.lookAgain, reliableAt);
        return;
      }
    }
    Queue<Choice> best = new PriorityQueue<>(need > 0 ? candidates : List.of());
    for (Choice candidate = best.poll(); candidate != null; candidate = best.poll()) {
      if (need <= 0) {
        break;
      }
      // Jobs that are not urgent preempt best-effort tasks only, whose count does not expire.
      boolean countValid = now - candidate.seen().at() < YOUNG_S && priority.urgent();
      View view = candidate.seen().view();
      int count =
          Math.min(candidate.ever(), countValid ? view.youngBelow(priority) : view.yielding());
      count = Math.min(need, count);
      if (candidate.full() && count > 0) {
        need -= count;
        claim.preempted += count;
        claim.preemptedAt = now;
        context
            .peers()
            .send(
                candidate.seen().holder(),
                new Message.Preempt(
                    candidate.seen().view().host(), priority.ordinal(), claim.size, count));
      }
    }
  }
}
