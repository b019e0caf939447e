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
 * Where the wants of claimed jobs are parked. A job that has just come, or whose wants have grown,
 * looks over all machines; after that it looks again at growing intervals up to the design's tick,
 * and in between only at machines where room has opened.
 */
final class WantPlacement {
  /** How soon an unserved job looks over all machines again; doubled up to the tick. */
  static final double MIN_FULL_SCAN_INTERVAL_S = 0.25;

  /** At most this often a job looks at the machines where room has opened. */
  private static final double FREED_CAPACITY_SCAN_INTERVAL_S = 0.1;

  /** Wants parked where there is room now, as a multiple of what is wanted: others want it too. */
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
      MachineTable room,
      CapacitySubscription interest,
      IdleCapacity idle,
      Quotas quotas,
      DeadlineRanking urgencies,
      ZoneConstraints zones,
      Turnover turnover) {
    this.context = context;
    this.machineTable = room;
    this.subscription = interest;
    this.quotas = quotas;
    this.ranking = urgencies;
    this.candidateSelection = new CandidateSelection(context, room, zones, turnover);
    this.idleCapacity = idle;
    this.preemptionRequests =
        new PreemptionRequests(context, interest, urgencies, candidateSelection, turnover);
  }

  /** Brings a job's parked wants up to date. */
  void updateWants(Claim c) {
    double now = context.now();
    double settledAt = now;
    double ageS = c.ageS(context.timers().wallClockMs());
    StartEscalation.Stage before = c.startStage;
    c.startStage = startEscalation.updateStage(c, ageS, context.tunables().beginS(), now);
    if (c.startStage != before) {
      c.nextFullScanAt = now;
    }
    if (c.searchThrottled && c.startStage != StartEscalation.Stage.ACROSS_PRIORITIES) {
      withdrawWants(c);
      resetReach(c, now);
      return;
    }
    if (now >= c.notBefore && placeableTasks(c) > 0) {
      // Before it is looked how much room is idle, or nobody would ever be asked.
      settledAt = subscription.require(ViewDetail.CAPACITY);
    }
    int wanted = wantedTasks(c);
    if (wanted <= 0 || now < c.notBefore) {
      withdrawWants(c);
      if (wanted <= 0) {
        resetReach(c, now);
        c.fullScanIntervalS = MIN_FULL_SCAN_INTERVAL_S;
      }
      return;
    }
    if (now - c.unservedSince > context.tunables().waitS()) {
      resetReach(c, now);
      c.notBefore = now + context.tunables().requeueDelayS();
      withdrawWants(c);
      return;
    }
    if (now >= c.nextTick) {
      c.nextTick = now + context.tunables().tickS();
      c.reach = Math.min(context.tunables().reachCap(), c.reach + 1);
    }
    if (wanted > c.tasksAtLastScan || now >= c.nextFullScanAt) {
      c.tasksAtLastScan = wanted;
      c.nextFullScanAt = now + c.fullScanIntervalS;
      double longest = context.tunables().tickS() / (c.spec.priority().urgent() ? 4 : 1);
      c.fullScanIntervalS = Math.min(longest, c.fullScanIntervalS * 2);
      c.capacityIncreasesSeen = machineTable.capacityIncreases();
      c.freedCapacityScanAt = now;
      rebuildWants(c, wanted, now);
      if (now < settledAt) {
        // What is known of room is old; what has changed is on its way here.
        c.nextFullScanAt = Math.min(c.nextFullScanAt, settledAt);
      }
    } else if (c.capacityIncreasesSeen != machineTable.capacityIncreases()
        && now - c.freedCapacityScanAt >= FREED_CAPACITY_SCAN_INTERVAL_S) {
      c.capacityIncreasesSeen = machineTable.capacityIncreases();
      c.freedCapacityScanAt = now;
      addWantsAtFreedCapacity(c, wanted, now);
    }
  }

  /** Tasks for which room is wanted; of a job that is overdue to begin the first alone. */
  private int wantedTasks(Claim c) {
    int wanted = placeableTasks(c);
    return c.startStage == StartEscalation.Stage.NONE
        ? Math.min(wanted, idleCapacity.maxTasks(c.spec))
        : Math.min(1, wanted);
  }

  private int placeableTasks(Claim c) {
    int wanted = c.unstarted() - c.offers.size() - c.startsInFlight;
    Quotas.Quota quota = quotas.of(c.spec.team());
    if (quota != null) {
      wanted = Math.min(wanted, c.startsAllowed(quota) - c.offers.size());
    }
    return c.suspectedFaulty() ? Math.min(wanted, 1 - c.liveAttempts.size()) : wanted;
  }

  /** The job waits no longer, or has just been served: its reach starts from the least again. */
  void resetReach(Claim c, double now) {
    c.unservedSince = now;
    c.nextTick = now + context.tunables().tickS();
    c.reach = context.tunables().reach();
    c.tasksAtLastScan = Math.min(c.tasksAtLastScan, Math.max(0, c.unstarted()));
  }

  private void rebuildWants(Claim c, int wanted, double now) {
    long surplus = (long) Math.ceil(wanted * OVERSUBSCRIPTION);
    c.maxFetchS = candidateSelection.maxFetchS(c);
    List<Candidate> choices = candidates(c, wanted, surplus, now);
    int fitting = 0;
    for (Candidate ch : choices) {
      fitting += ch.hasRoom() ? ch.freeSlots() : 0;
    }
    preemptionRequests.request(c, choices, wanted, now);
    // Of the many only the first few are looked at, so they are not sorted as a whole.
    Queue<Candidate> best = new PriorityQueue<>(choices);
    // Where there is room enough right now, nothing need wait for room elsewhere.
    long left = fitting >= surplus ? surplus : (long) wanted * c.reach;
    long here = surplus;
    int machines = 0;
    Map<String, Integer> target = new HashMap<>();
    double fetchS = choices.isEmpty() ? 0 : best.peek().costS();
    for (Candidate ch = best.poll(); ch != null; ch = best.poll()) {
      if (left <= 0 && (machines >= c.reach || !ch.hasRoom())) {
        break;
      }
      if (ch.freeSlots() > 0 && here <= 0 && machines >= c.reach) {
        continue;
      }
      int n = Math.min(wanted, ch.freeSlots() > 0 ? ch.freeSlots() : ch.emptySlots());
      target.put(ch.machine().view().host(), n);
      left -= n;
      here -= ch.freeSlots() > 0 ? n : 0;
      machines++;
    }
    for (String host : Set.copyOf(c.queuedWants.keySet())) {
      if (!target.containsKey(host)) {
        sendWant(c, host, 0);
      }
    }
    double ageS = c.ageS(context.timers().wallClockMs());
    int rank = ranking.rank(c.spec, c.unstarted(), ageS, fetchS);
    if (c.startStage != StartEscalation.Stage.NONE) {
      rank = DeadlineRanking.AT_RISK;
    }
    int priority =
        c.startStage == StartEscalation.Stage.ACROSS_PRIORITIES
            ? Priority.CRITICAL.ordinal()
            : c.spec.priority().ordinal();
    boolean moved = rank != c.rank || priority != c.priority;
    c.rank = rank;
    c.priority = priority;
    target.forEach(
        (host, n) -> {
          if (moved || !n.equals(c.queuedWants.get(host))) {
            sendWant(c, host, n);
          }
        });
  }

  /**
   * The machines on which the job could park. Where there is so much room that nothing would be
   * parked at full ones, those are not looked at: in a fleet they are many, and each job that comes
   * would walk over all of them.
   */
  private List<Candidate> candidates(Claim c, int wanted, long surplus, double now) {
    List<Candidate> choices = new ArrayList<>();
    long here = 0;
    for (MachineTable.Entry s : machineTable.withFreeCapacity()) {
      Candidate choice = candidateSelection.candidate(c, s, now);
      if (choice != null) {
        choices.add(choice);
        here += choice.hasRoom() ? Math.min(wanted, choice.freeSlots()) : 0;
      }
    }
    if (here < surplus) {
      for (MachineTable.Entry s : machineTable.all()) {
        Candidate choice = s.hasFreeCapacity() ? null : candidateSelection.candidate(c, s, now);
        if (choice != null) {
          choices.add(choice);
        }
      }
    }
    return choices;
  }

  /** Parks beside what is parked already, where there is room now. */
  private void addWantsAtFreedCapacity(Claim c, int wanted, double now) {
    List<Candidate> choices = new ArrayList<>();
    int covered = 0;
    for (MachineTable.Entry s : machineTable.withFreeCapacity()) {
      Integer parked = c.queuedWants.get(s.view().host());
      if (parked != null) {
        covered += Math.min(parked, c.size.countFittingIn(s.view().free()));
        continue;
      }
      Candidate choice = candidateSelection.candidate(c, s, now);
      if (choice != null && choice.freeSlots() > 0 && choice.hasRoom()) {
        choices.add(choice);
      }
    }
    Queue<Candidate> best = new PriorityQueue<>(choices);
    long left = (long) Math.ceil(wanted * OVERSUBSCRIPTION) - covered;
    while (left > 0 && !best.isEmpty()) {
      Candidate ch = best.poll();
      int n = Math.min(wanted, ch.freeSlots());
      sendWant(c, ch.machine().view().host(), n);
      left -= n;
    }
  }

  private void sendWant(Claim c, String host, int count) {
    if (count > 0) {
      c.queuedWants.put(host, count);
    } else {
      c.queuedWants.remove(host);
    }
    MachineTable.Entry s = machineTable.get(host);
    if (s != null) {
      context
          .peers()
          .send(s.holder(), new Message.Want(host, c.id(), c.priority, c.rank, c.size, count));
    }
  }

  /** Puts the best of several offers first. */
  void sortOffers(Claim c) {
    candidateSelection.sortOffers(c);
  }

  void withdrawWants(Claim c) {
    c.tasksAtLastScan = 0;
    if (!c.queuedWants.isEmpty()) {
      for (String host : Set.copyOf(c.queuedWants.keySet())) {
        sendWant(c, host, 0);
      }
    }
  }

  /** The machine's book has lost the job's wants, or there is no such book any more. */
  void wantsLost(Claim c, String host) {
    if (c.queuedWants.remove(host) != null) {
      c.nextFullScanAt = Math.min(c.nextFullScanAt, context.now() + MIN_FULL_SCAN_INTERVAL_S);
    }
  }
}
