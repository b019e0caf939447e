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
 * Asks holders to stop young tasks of lower priority, for urgent ones that would start too late,
 * and tasks of the lowest priority, which have what lies idle, for whatever waits for room.
 */
final class GivingWay {
  private static final double PREEMPT_AFTER_S = 0.1;
  private static final double PREEMPT_AGAIN_S = 1;
  private static final double PREEMPT_ASKED_S = 2.5;

  /** What saves first takes that much longer to leave, in seconds. */
  private static final double SAVING_S = 4;

  /** How long a holder's word that there are young tasks is taken for true. */
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

  private static boolean noneYields(List<Choice> choices) {
    for (Choice ch : choices) {
      if (ch.full() && ch.seen().view().yielding() > 0) {
        return false;
      }
    }
    return true;
  }

  /**
   * Room for urgent tasks that would start too late is made where less urgent ones have just begun.
   */
  void ask(Claim c, List<Choice> choices, int wanted, double now) {
    Priority priority = c.spec.priority();
    if (priority == Priority.BEST_EFFORT
        || now - c.unservedSince < PREEMPT_AFTER_S
        || now - c.preemptedAt < PREEMPT_AGAIN_S) {
      return;
    }
    if (context.store().writeDelayS() > PREEMPT_AFTER_S) {
      // What waits then is the record, not room; stopped tasks would only have to be recorded too.
      return;
    }
    // What was asked for just now is still on its way here.
    boolean yielding = !noneYields(choices);
    if (now - c.preemptedAt >= PREEMPT_ASKED_S + (yielding ? SAVING_S : 0)) {
      c.preempted = 0;
    }
    int need = wanted;
    for (Choice ch : choices) {
      need -= ch.here() ? ch.fits() : 0;
    }
    if (priority.urgent() && !yielding) {
      double ageS = c.ageS(context.timers().timeOfDayMs());
      // Room that becomes free is mostly where the image has yet to be fetched.
      double leftS = urgencies.startSlackS(c.spec, ageS) - choosing.quickFetchS(c);
      need =
          Turnover.shortage(
              need,
              turnover.waiting(priority),
              turnover.slotsPerS(c.size, choosing.fits(c)),
              leftS);
    }
    need -= c.preempted;
    if (need > 0 && priority.urgent()) {
      // Which tasks are young is told to those alone who have to know.
      double settledAt = interest.need(Detail.LOAD);
      if (now < settledAt) {
        c.lookAgain = Math.min(c.lookAgain, settledAt);
        return;
      }
    }
    Queue<Choice> best = new PriorityQueue<>(need > 0 ? choices : List.of());
    for (Choice ch = best.poll(); ch != null; ch = best.poll()) {
      if (need <= 0) {
        break;
      }
      // Who is not urgent asks for what yields alone; of that there is as long as it is shown.
      boolean fresh = now - ch.seen().at() < YOUNG_S && priority.urgent();
      View view = ch.seen().view();
      int n = Math.min(ch.ever(), fresh ? view.youngBelow(priority) : view.yielding());
      n = Math.min(need, n);
      if (ch.full() && n > 0) {
        need -= n;
        c.preempted += n;
        c.preemptedAt = now;
        context
            .peers()
            .send(
                ch.seen().holder(),
                new Message.Preempt(ch.seen().view().host(), priority.ordinal(), c.size, n));
      }
    }
  }
}
