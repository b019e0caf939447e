package dev.dunefront.claim;

import dev.dunefront.claim.CandidateSelection.Candidate;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.ViewDetail;
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
  static final double MIN_FULL_SCAN_INTERVAL_S = 0.25;

  /** Minimum interval between a job's scans of machines with freed capacity. */
  private static final double FREED_CAPACITY_SCAN_INTERVAL_S = 0.1;

  /**
   * Wants queued at machines with free capacity, as a multiple of the wanted tasks, because other
   * jobs compete for the same capacity.
   */
  private static final double OVERSUBSCRIPTION = 1.5;

  private final ControllerContext context;
  private final MachineTable machineTable;
  private final CapacitySubscription subscription;
  private final Quotas quotas;
  private final DeadlineRanking ranking;
  private final CandidateSelection candidateSelection;
  private final PreemptionRequests preemptionRequests;
  private final StartEscalation startEscalation = new StartEscalation();
  private final IdleCapacity idleCapacity;

  WantPlacement(
      ControllerContext context,
      MachineTable machineTable,
      CapacitySubscription subscription,
      IdleCapacity idleCapacity,
      Quotas quotas,
      DeadlineRanking ranking,
      ZoneConstraints zoneConstraints,
      Turnover turnover) {
    this.context = context;
    this.machineTable = machineTable;
    this.subscription = subscription;
    this.quotas = quotas;
    this.ranking = ranking;
    this.candidateSelection =
        new CandidateSelection(context, machineTable, zoneConstraints, turnover);
    this.idleCapacity = idleCapacity;
    this.preemptionRequests =
        new PreemptionRequests(context, subscription, ranking, candidateSelection, turnover);
  }

  /** Brings a job's queued wants up to date. */
  void updateWants(Claim claim) {
    double now = context.now();
    double reliableAt = now;
    double ageS = claim.ageS(context.timers().wallClockMs());
    StartEscalation.Stage previous = claim.startStage;
    claim.startStage = startEscalation.updateStage(claim, ageS, context.tunables().beginS(), now);
    if (claim.startStage != previous) {
      claim.nextFullScanAt = now;
    }
    if (claim.searchThrottled && claim.startStage != StartEscalation.Stage.ACROSS_PRIORITIES) {
      withdrawWants(claim);
      resetReach(claim, now);
      return;
    }
    if (now >= claim.notBefore && placeableTasks(claim) > 0) {
      // Subscribes before idle capacity is counted: without views it would be counted as zero, and
      // views would never be requested.
      reliableAt = subscription.require(ViewDetail.CAPACITY);
    }
    int wanted = wantedTasks(claim);
    if (wanted <= 0 || now < claim.notBefore) {
      withdrawWants(claim);
      if (wanted <= 0) {
        resetReach(claim, now);
        claim.fullScanIntervalS = MIN_FULL_SCAN_INTERVAL_S;
      }
      return;
    }
    if (now - claim.unservedSince > context.tunables().waitS()) {
      resetReach(claim, now);
      claim.notBefore = now + context.tunables().requeueDelayS();
      withdrawWants(claim);
      return;
    }
    if (now >= claim.nextTick) {
      claim.nextTick = now + context.tunables().tickS();
      claim.reach = Math.min(context.tunables().reachCap(), claim.reach + 1);
    }
    if (wanted > claim.tasksAtLastScan || now >= claim.nextFullScanAt) {
      claim.tasksAtLastScan = wanted;
      claim.nextFullScanAt = now + claim.fullScanIntervalS;
      double maxIntervalS = context.tunables().tickS() / (claim.spec.priority().urgent() ? 4 : 1);
      claim.fullScanIntervalS = Math.min(maxIntervalS, claim.fullScanIntervalS * 2);
      claim.capacityIncreasesSeen = machineTable.capacityIncreases();
      claim.freedCapacityScanAt = now;
      rebuildWants(claim, wanted, now);
      if (now < reliableAt) {
        // The known views are outdated; scans again once the current ones have arrived.
        claim.nextFullScanAt = Math.min(claim.nextFullScanAt, reliableAt);
      }
    } else if (claim.capacityIncreasesSeen != machineTable.capacityIncreases()
        && now - claim.freedCapacityScanAt >= FREED_CAPACITY_SCAN_INTERVAL_S) {
      claim.capacityIncreasesSeen = machineTable.capacityIncreases();
      claim.freedCapacityScanAt = now;
      addWantsAtFreedCapacity(claim, wanted, now);
    }
  }

  /** Number of tasks to queue wants for; at most one for a job with an overdue start. */
  private int wantedTasks(Claim claim) {
    int wanted = placeableTasks(claim);
    return claim.startStage == StartEscalation.Stage.NONE
        ? Math.min(wanted, idleCapacity.maxTasks(claim.spec))
        : Math.min(1, wanted);
  }

  /** Unstarted tasks that the quota and the failure backoff allow to place now. */
  private int placeableTasks(Claim claim) {
    int wanted = claim.unstarted() - claim.offers.size() - claim.startsInFlight;
    Quotas.Quota quota = quotas.quotaOf(claim.spec.team());
    if (quota != null) {
      wanted = Math.min(wanted, claim.startsAllowed(quota) - claim.offers.size());
    }
    return claim.isSuspectedFaulty() ? Math.min(wanted, 1 - claim.liveAttempts.size()) : wanted;
  }

  /** Resets the reach to its minimum, for a job that has been served or has stopped waiting. */
  void resetReach(Claim claim, double now) {
    claim.unservedSince = now;
    claim.nextTick = now + context.tunables().tickS();
    claim.reach = context.tunables().reach();
    claim.tasksAtLastScan = Math.min(claim.tasksAtLastScan, Math.max(0, claim.unstarted()));
  }

  private void rebuildWants(Claim claim, int wanted, double now) {
    long surplus = (long) Math.ceil(wanted * OVERSUBSCRIPTION);
    claim.maxFetchS = candidateSelection.maxFetchS(claim);
    List<Candidate> candidates = candidates(claim, wanted, surplus, now);
    int freeSlots = 0;
    for (Candidate candidate : candidates) {
      freeSlots += candidate.hasRoom() ? candidate.freeSlots() : 0;
    }
    preemptionRequests.request(claim, candidates, wanted, now);
    // A heap avoids sorting all candidates, as only the best few are used.
    Queue<Candidate> best = new PriorityQueue<>(candidates);
    // If enough capacity is free now, no wants are queued at full machines.
    long wantsLeft = freeSlots >= surplus ? surplus : (long) wanted * claim.reach;
    long leftAtFree = surplus;
    int machineCount = 0;
    Map<String, Integer> targetCounts = new HashMap<>();
    double fetchS = candidates.isEmpty() ? 0 : best.peek().costS();
    for (Candidate candidate = best.poll(); candidate != null; candidate = best.poll()) {
      if (wantsLeft <= 0 && (machineCount >= claim.reach || !candidate.hasRoom())) {
        break;
      }
      if (candidate.freeSlots() > 0 && leftAtFree <= 0 && machineCount >= claim.reach) {
        continue;
      }
      int count =
          Math.min(
              wanted, candidate.freeSlots() > 0 ? candidate.freeSlots() : candidate.emptySlots());
      targetCounts.put(candidate.machine().view().host(), count);
      wantsLeft -= count;
      leftAtFree -= candidate.freeSlots() > 0 ? count : 0;
      machineCount++;
    }
    for (String host : Set.copyOf(claim.queuedWants.keySet())) {
      if (!targetCounts.containsKey(host)) {
        sendWant(claim, host, 0);
      }
    }
    double ageS = claim.ageS(context.timers().wallClockMs());
    int rank = ranking.rank(claim.spec, claim.unstarted(), ageS, fetchS);
    if (claim.startStage != StartEscalation.Stage.NONE) {
      rank = DeadlineRanking.AT_RISK;
    }
    int priority =
        claim.startStage == StartEscalation.Stage.ACROSS_PRIORITIES
            ? Priority.CRITICAL.ordinal()
            : claim.spec.priority().ordinal();
    boolean orderChanged = rank != claim.rank || priority != claim.priority;
    claim.rank = rank;
    claim.priority = priority;
    targetCounts.forEach(
        (host, count) -> {
          if (orderChanged || !count.equals(claim.queuedWants.get(host))) {
            sendWant(claim, host, count);
          }
        });
  }

  /**
   * The machines at which the job could queue wants. Full machines are skipped if there is so much
   * free capacity that no wants would be queued at them: a fleet has many, and every new job would
   * iterate over all of them.
   */
  private List<Candidate> candidates(Claim claim, int wanted, long surplus, double now) {
    List<Candidate> candidates = new ArrayList<>();
    long freeSlots = 0;
    for (MachineTable.Entry machine : machineTable.withFreeCapacity()) {
      Candidate candidate = candidateSelection.candidate(claim, machine, now);
      if (candidate != null) {
        candidates.add(candidate);
        freeSlots += candidate.hasRoom() ? Math.min(wanted, candidate.freeSlots()) : 0;
      }
    }
    if (freeSlots < surplus) {
      for (MachineTable.Entry machine : machineTable.all()) {
        Candidate candidate =
            machine.hasFreeCapacity() ? null : candidateSelection.candidate(claim, machine, now);
        if (candidate != null) {
          candidates.add(candidate);
        }
      }
    }
    return candidates;
  }

  /** Queues additional wants at machines that have free capacity now, keeping the existing ones. */
  private void addWantsAtFreedCapacity(Claim claim, int wanted, double now) {
    List<Candidate> candidates = new ArrayList<>();
    int covered = 0;
    for (MachineTable.Entry machine : machineTable.withFreeCapacity()) {
      Integer queued = claim.queuedWants.get(machine.view().host());
      if (queued != null) {
        covered += Math.min(queued, claim.size.countFittingIn(machine.view().free()));
        continue;
      }
      Candidate candidate = candidateSelection.candidate(claim, machine, now);
      if (candidate != null && candidate.freeSlots() > 0 && candidate.hasRoom()) {
        candidates.add(candidate);
      }
    }
    Queue<Candidate> best = new PriorityQueue<>(candidates);
    long wantsLeft = (long) Math.ceil(wanted * OVERSUBSCRIPTION) - covered;
    while (wantsLeft > 0 && !best.isEmpty()) {
      Candidate candidate = best.poll();
      int count = Math.min(wanted, candidate.freeSlots());
      sendWant(claim, candidate.machine().view().host(), count);
      wantsLeft -= count;
    }
  }

  /** Sets the number of wants queued at a machine; 0 withdraws them. */
  private void sendWant(Claim claim, String host, int count) {
    if (count > 0) {
      claim.queuedWants.put(host, count);
    } else {
      claim.queuedWants.remove(host);
    }
    MachineTable.Entry machine = machineTable.get(host);
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
    candidateSelection.sortOffers(claim);
  }

  /** Withdraws all queued wants of a job. */
  void withdrawWants(Claim claim) {
    claim.tasksAtLastScan = 0;
    if (!claim.queuedWants.isEmpty()) {
      for (String host : Set.copyOf(claim.queuedWants.keySet())) {
        sendWant(claim, host, 0);
      }
    }
  }

  /** Handles the loss of a job's wants at a machine whose book was reset or no longer exists. */
  void wantsLost(Claim claim, String host) {
    if (claim.queuedWants.remove(host) != null) {
      claim.nextFullScanAt =
          Math.min(claim.nextFullScanAt, context.now() + MIN_FULL_SCAN_INTERVAL_S);
    }
  }
}
