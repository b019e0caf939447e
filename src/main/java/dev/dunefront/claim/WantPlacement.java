package dev.dunefront.claim;

import dev.dunefront.claim.Choosing.Choice;
import dev.dunefront.peer.Detail;
import dev.dunefront.peer.Message;
import dev.dunefront.wire.Priority;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;

/**
 * Decides at which machines the wants of claimed jobs are queued. A new job, or one that wants more
 * tasks than before, scans all machines. After that it scans them at growing intervals of up to one
 * tick, and in between only the machines whose free capacity has increased.
 */
final class WantPlacement {
  /** First interval between scans of all machines for an unserved job; doubles up to a tick. */
  static final double LOOK_AGAIN_S = 0.25;

  /** Minimum interval between a job's scans of machines with freed capacity. */
  private static final double OPENINGS_S = 0.1;

  /**
   * Wants queued at machines with free capacity, as a multiple of the wanted tasks, because other
   * jobs compete for the same capacity.
   */
  private static final double SURPLUS = 1.5;

  private final ControllerContext context;
  private final Room room;
  private final RoomInterest interest;
  private final Quotas quotas;
  private final Urgencies urgencies;
  private final Choosing choosing;
  private final GivingWay givingWay;
  private final Begin begin = new Begin();
  private final IdleRoom idle;

  WantPlacement(
      ControllerContext context,
      Room room,
      RoomInterest interest,
      IdleRoom idle,
      Quotas quotas,
      Urgencies urgencies,
      Zones zones,
      Turnover turnover) {
    this.context = context;
    this.room = room;
    this.interest = interest;
    this.quotas = quotas;
    this.urgencies = urgencies;
    this.choosing = new Choosing(context, room, zones, turnover);
    this.idle = idle;
    this.givingWay = new GivingWay(context, interest, urgencies, choosing, turnover);
  }

  /** Brings a job's queued wants up to date. */
  void review(Claim claim) {
    double now = context.now();
    double reliableAt = now;
    double ageS = claim.ageS(context.timers().timeOfDayMs());
    Begin.Standing previous = claim.standing;
    claim.standing = begin.standing(claim, ageS, context.tunables().beginS(), now);
    if (claim.standing != previous) {
      claim.lookAgain = now;
    }
    if (claim.queued && claim.standing != Begin.Standing.FIRST) {
      withdraw(claim);
      served(claim, now);
      return;
    }
    if (now >= claim.notBefore && unstarted(claim) > 0) {
      // Subscribes before idle capacity is counted: without views it would be counted as zero, and
      // views would never be requested.
      reliableAt = interest.need(Detail.ROOM);
    }
    int wanted = wanted(claim);
    if (wanted <= 0 || now < claim.notBefore) {
      withdraw(claim);
      if (wanted <= 0) {
        served(claim, now);
        claim.lookPause = LOOK_AGAIN_S;
      }
      return;
    }
    if (now - claim.unservedSince > context.tunables().waitS()) {
      served(claim, now);
      claim.notBefore = now + context.tunables().requeueDelayS();
      withdraw(claim);
      return;
    }
    if (now >= claim.nextTick) {
      claim.nextTick = now + context.tunables().tickS();
      claim.reach = Math.min(context.tunables().reachCap(), claim.reach + 1);
    }
    if (wanted > claim.parkedFor || now >= claim.lookAgain) {
      claim.parkedFor = wanted;
      claim.lookAgain = now + claim.lookPause;
      double maxIntervalS = context.tunables().tickS() / (claim.spec.priority().urgent() ? 4 : 1);
      claim.lookPause = Math.min(maxIntervalS, claim.lookPause * 2);
      claim.openings = room.openings();
      claim.openingsAt = now;
      parkAnew(claim, wanted, now);
      if (now < reliableAt) {
        // The known views are outdated; scans again once the current ones have arrived.
        claim.lookAgain = Math.min(claim.lookAgain, reliableAt);
      }
    } else if (claim.openings != room.openings() && now - claim.openingsAt >= OPENINGS_S) {
      claim.openings = room.openings();
      claim.openingsAt = now;
      parkInOpenings(claim, wanted, now);
    }
  }

  /** Number of tasks to queue wants for; at most one for a job with an overdue start. */
  private int wanted(Claim claim) {
    int wanted = unstarted(claim);
    return claim.standing == Begin.Standing.ORDINARY
        ? Math.min(wanted, idle.tasks(claim.spec))
        : Math.min(1, wanted);
  }

  /** Unstarted tasks that the quota and the failure backoff allow to place now. */
  private int unstarted(Claim claim) {
    int wanted = claim.unstarted() - claim.offers.size() - claim.starting;
    Quotas.Quota quota = quotas.of(claim.spec.team());
    if (quota != null) {
      wanted = Math.min(wanted, claim.allowed(quota) - claim.offers.size());
    }
    return claim.suspect() ? Math.min(wanted, 1 - claim.live.size()) : wanted;
  }

  /** Resets the reach to its minimum, for a job that has been served or has stopped waiting. */
  void served(Claim claim, double now) {
    claim.unservedSince = now;
    claim.nextTick = now + context.tunables().tickS();
    claim.reach = context.tunables().reach();
    claim.parkedFor = Math.min(claim.parkedFor, Math.max(0, claim.unstarted()));
  }

  private void parkAnew(Claim claim, int wanted, double now) {
    long surplus = (long) Math.ceil(wanted * SURPLUS);
    claim.slowFetchS = choosing.slowFetchS(claim);
    List<Choice> candidates = choices(claim, wanted, surplus, now);
    int fitting = 0;
    for (Choice candidate : candidates) {
      fitting += candidate.here() ? candidate.fits() : 0;
    }
    givingWay.ask(claim, candidates, wanted, now);
    // A heap avoids sorting all candidates, as only the best few are used.
    Queue<Choice> best = new PriorityQueue<>(candidates);
    // If enough capacity is free now, no wants are queued at full machines.
    long wantsLeft = fitting >= surplus ? surplus : (long) wanted * claim.reach;
    long leftAtFree = surplus;
    int machineCount = 0;
    Map<String, Integer> targetCounts = new HashMap<>();
    double fetchS = candidates.isEmpty() ? 0 : best.peek().costS();
    for (Choice candidate = best.poll(); candidate != null; candidate = best.poll()) {
      if (wantsLeft <= 0 && (machineCount >= claim.reach || !candidate.here())) {
        break;
      }
      if (candidate.fits() > 0 && leftAtFree <= 0 && machineCount >= claim.reach) {
        continue;
      }
      int count = Math.min(wanted, candidate.fits() > 0 ? candidate.fits() : candidate.ever());
      targetCounts.put(candidate.seen().view().host(), count);
      wantsLeft -= count;
      leftAtFree -= candidate.fits() > 0 ? count : 0;
      machineCount++;
    }
    for (String host : Set.copyOf(claim.parked.keySet())) {
      if (!targetCounts.containsKey(host)) {
        want(claim, host, 0);
      }
    }
    double ageS = claim.ageS(context.timers().timeOfDayMs());
    int rank = urgencies.rank(claim.spec, claim.unstarted(), ageS, fetchS);
    if (claim.standing != Begin.Standing.ORDINARY) {
      rank = Urgencies.PRESSING;
    }
    int priority =
        claim.standing == Begin.Standing.FIRST
            ? Priority.CRITICAL.ordinal()
            : claim.spec.priority().ordinal();
    boolean orderChanged = rank != claim.rank || priority != claim.priority;
    claim.rank = rank;
    claim.priority = priority;
    targetCounts.forEach(
        (host, count) -> {
          if (orderChanged || !count.equals(claim.parked.get(host))) {
            want(claim, host, count);
          }
        });
  }

  /**
   * The machines at which the job could queue wants. Full machines are skipped if there is so much
   * free capacity that no wants would be queued at them: a fleet has many, and every new job would
   * iterate over all of them.
   */
  private List<Choice> choices(Claim claim, int wanted, long surplus, double now) {
    List<Choice> candidates = new ArrayList<>();
    long freeSlots = 0;
    for (Room.Seen machine : room.roomy()) {
      Choice candidate = choosing.choice(claim, machine, now);
      if (candidate != null) {
        candidates.add(candidate);
        freeSlots += candidate.here() ? Math.min(wanted, candidate.fits()) : 0;
      }
    }
    if (freeSlots < surplus) {
      for (Room.Seen machine : room.all()) {
        Choice candidate = machine.roomy() ? null : choosing.choice(claim, machine, now);
        if (candidate != null) {
          candidates.add(candidate);
        }
      }
    }
    return candidates;
  }

  /** Queues additional wants at machines that have free capacity now, keeping the existing ones. */
  private void parkInOpenings(Claim claim, int wanted, double now) {
    List<Choice> candidates = new ArrayList<>();
    int covered = 0;
    for (Room.Seen machine : room.roomy()) {
      Integer parked = claim.parked.get(machine.view().host());
      if (parked != null) {
        covered += Math.min(parked, claim.size.timesIn(machine.view().free()));
        continue;
      }
      Choice candidate = choosing.choice(claim, machine, now);
      if (candidate != null && candidate.fits() > 0 && candidate.here()) {
        candidates.add(candidate);
      }
    }
    Queue<Choice> best = new PriorityQueue<>(candidates);
    long wantsLeft = (long) Math.ceil(wanted * SURPLUS) - covered;
    while (wantsLeft > 0 && !best.isEmpty()) {
      Choice candidate = best.poll();
      int count = Math.min(wanted, candidate.fits());
      want(claim, candidate.seen().view().host(), count);
      wantsLeft -= count;
    }
  }

  /** Sets the number of wants queued at a machine; 0 withdraws them. */
  private void want(Claim claim, String host, int count) {
    if (count > 0) {
      claim.parked.put(host, count);
    } else {
      claim.parked.remove(host);
    }
    Room.Seen machine = room.get(host);
    if (machine != null) {
      context
          .peers()
          .send(
              machine.holder(),
              new Message.Want(host, claim.id(), claim.priority, claim.rank, claim.size, count));
    }
  }

  /** Sorts the claim's offers by cost, cheapest first. */
  void sortOffers(Claim claim) {
    choosing.sortOffers(claim);
  }

  /** Withdraws all queued wants of a job. */
  void withdraw(Claim claim) {
    claim.parkedFor = 0;
    if (!claim.parked.isEmpty()) {
      for (String host : Set.copyOf(claim.parked.keySet())) {
        want(claim, host, 0);
      }
    }
  }

  /** Handles the loss of a job's wants at a machine whose book was reset or no longer exists. */
  void lostBook(Claim claim, String host) {
    if (claim.parked.remove(host) != null) {
      claim.lookAgain = Math.min(claim.lookAgain, context.now() + LOOK_AGAIN_S);
    }
  }
}
