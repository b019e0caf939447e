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
 * Where the wants of claimed jobs are parked. A job that has just come, or whose wants have grown,
 * looks over all machines; after that it looks again at growing intervals up to the design's tick,
 * and in between only at machines where room has opened.
 */
final class WantPlacement {
  /** How soon an unserved job looks over all machines again; doubled up to the tick. */
  static final double LOOK_AGAIN_S = 0.25;

  /** At most this often a job looks at the machines where room has opened. */
  private static final double OPENINGS_S = 0.1;

  /** Wants parked where there is room now, as a multiple of what is wanted: others want it too. */
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

  /** Brings a job's parked wants up to date. */
  void review(Claim c) {
    double now = context.now();
    double settledAt = now;
    double ageS = c.ageS(context.timers().timeOfDayMs());
    Begin.Standing before = c.standing;
    c.standing = begin.standing(c, ageS, context.tunables().beginS(), now);
    if (c.standing != before) {
      c.lookAgain = now;
    }
    if (c.queued && c.standing != Begin.Standing.FIRST) {
      withdraw(c);
      served(c, now);
      return;
    }
    if (now >= c.notBefore && unstarted(c) > 0) {
      // Before it is looked how much room is idle, or nobody would ever be asked.
      settledAt = interest.need(Detail.ROOM);
    }
    int wanted = wanted(c);
    if (wanted <= 0 || now < c.notBefore) {
      withdraw(c);
      if (wanted <= 0) {
        served(c, now);
        c.lookPause = LOOK_AGAIN_S;
      }
      return;
    }
    if (now - c.unservedSince > context.tunables().waitS()) {
      served(c, now);
      c.notBefore = now + context.tunables().requeueDelayS();
      withdraw(c);
      return;
    }
    if (now >= c.nextTick) {
      c.nextTick = now + context.tunables().tickS();
      c.reach = Math.min(context.tunables().reachCap(), c.reach + 1);
    }
    if (wanted > c.parkedFor || now >= c.lookAgain) {
      c.parkedFor = wanted;
      c.lookAgain = now + c.lookPause;
      double longest = context.tunables().tickS() / (c.spec.priority().urgent() ? 4 : 1);
      c.lookPause = Math.min(longest, c.lookPause * 2);
      c.openings = room.openings();
      c.openingsAt = now;
      parkAnew(c, wanted, now);
      if (now < settledAt) {
        // What is known of room is old; what has changed is on its way here.
        c.lookAgain = Math.min(c.lookAgain, settledAt);
      }
    } else if (c.openings != room.openings() && now - c.openingsAt >= OPENINGS_S) {
      c.openings = room.openings();
      c.openingsAt = now;
      parkInOpenings(c, wanted, now);
    }
  }

  /** Tasks for which room is wanted; of a job that is overdue to begin the first alone. */
  private int wanted(Claim c) {
    int wanted = unstarted(c);
    return c.standing == Begin.Standing.ORDINARY
        ? Math.min(wanted, idle.tasks(c.spec))
        : Math.min(1, wanted);
  }

  private int unstarted(Claim c) {
    int wanted = c.unstarted() - c.offers.size() - c.starting;
    Quotas.Quota quota = quotas.of(c.spec.team());
    if (quota != null) {
      wanted = Math.min(wanted, c.allowed(quota) - c.offers.size());
    }
    return c.suspect() ? Math.min(wanted, 1 - c.live.size()) : wanted;
  }

  /** The job waits no longer, or has just been served: its reach starts from the least again. */
  void served(Claim c, double now) {
    c.unservedSince = now;
    c.nextTick = now + context.tunables().tickS();
    c.reach = context.tunables().reach();
    c.parkedFor = Math.min(c.parkedFor, Math.max(0, c.unstarted()));
  }

  private void parkAnew(Claim c, int wanted, double now) {
    long surplus = (long) Math.ceil(wanted * SURPLUS);
    c.slowFetchS = choosing.slowFetchS(c);
    List<Choice> choices = choices(c, wanted, surplus, now);
    int fitting = 0;
    for (Choice ch : choices) {
      fitting += ch.here() ? ch.fits() : 0;
    }
    givingWay.ask(c, choices, wanted, now);
    // Of the many only the first few are looked at, so they are not sorted as a whole.
    Queue<Choice> best = new PriorityQueue<>(choices);
    // Where there is room enough right now, nothing need wait for room elsewhere.
    long left = fitting >= surplus ? surplus : (long) wanted * c.reach;
    long here = surplus;
    int machines = 0;
    Map<String, Integer> target = new HashMap<>();
    double fetchS = choices.isEmpty() ? 0 : best.peek().costS();
    for (Choice ch = best.poll(); ch != null; ch = best.poll()) {
      if (left <= 0 && (machines >= c.reach || !ch.here())) {
        break;
      }
      if (ch.fits() > 0 && here <= 0 && machines >= c.reach) {
        continue;
      }
      int n = Math.min(wanted, ch.fits() > 0 ? ch.fits() : ch.ever());
      target.put(ch.seen().view().host(), n);
      left -= n;
      here -= ch.fits() > 0 ? n : 0;
      machines++;
    }
    for (String host : Set.copyOf(c.parked.keySet())) {
      if (!target.containsKey(host)) {
        want(c, host, 0);
      }
    }
    double ageS = c.ageS(context.timers().timeOfDayMs());
    int rank = urgencies.rank(c.spec, c.unstarted(), ageS, fetchS);
    if (c.standing != Begin.Standing.ORDINARY) {
      rank = Urgencies.PRESSING;
    }
    int priority =
        c.standing == Begin.Standing.FIRST
            ? Priority.CRITICAL.ordinal()
            : c.spec.priority().ordinal();
    boolean moved = rank != c.rank || priority != c.priority;
    c.rank = rank;
    c.priority = priority;
    target.forEach(
        (host, n) -> {
          if (moved || !n.equals(c.parked.get(host))) {
            want(c, host, n);
          }
        });
  }

  /**
   * The machines on which the job could park. Where there is so much room that nothing would be
   * parked at full ones, those are not looked at: in a fleet they are many, and each job that comes
   * would walk over all of them.
   */
  private List<Choice> choices(Claim c, int wanted, long surplus, double now) {
    List<Choice> choices = new ArrayList<>();
    long here = 0;
    for (Room.Seen s : room.roomy()) {
      Choice choice = choosing.choice(c, s, now);
      if (choice != null) {
        choices.add(choice);
        here += choice.here() ? Math.min(wanted, choice.fits()) : 0;
      }
    }
    if (here < surplus) {
      for (Room.Seen s : room.all()) {
        Choice choice = s.roomy() ? null : choosing.choice(c, s, now);
        if (choice != null) {
          choices.add(choice);
        }
      }
    }
    return choices;
  }

  /** Parks beside what is parked already, where there is room now. */
  private void parkInOpenings(Claim c, int wanted, double now) {
    List<Choice> choices = new ArrayList<>();
    int covered = 0;
    for (Room.Seen s : room.roomy()) {
      Integer parked = c.parked.get(s.view().host());
      if (parked != null) {
        covered += Math.min(parked, c.size.timesIn(s.view().free()));
        continue;
      }
      Choice choice = choosing.choice(c, s, now);
      if (choice != null && choice.fits() > 0 && choice.here()) {
        choices.add(choice);
      }
    }
    Queue<Choice> best = new PriorityQueue<>(choices);
    long left = (long) Math.ceil(wanted * SURPLUS) - covered;
    while (left > 0 && !best.isEmpty()) {
      Choice ch = best.poll();
      int n = Math.min(wanted, ch.fits());
      want(c, ch.seen().view().host(), n);
      left -= n;
    }
  }

  private void want(Claim c, String host, int count) {
    if (count > 0) {
      c.parked.put(host, count);
    } else {
      c.parked.remove(host);
    }
    Room.Seen s = room.get(host);
    if (s != null) {
      context
          .peers()
          .send(s.holder(), new Message.Want(host, c.id(), c.priority, c.rank, c.size, count));
    }
  }

  /** Puts the best of several offers first. */
  void sortOffers(Claim c) {
    choosing.sortOffers(c);
  }

  void withdraw(Claim c) {
    c.parkedFor = 0;
    if (!c.parked.isEmpty()) {
      for (String host : Set.copyOf(c.parked.keySet())) {
        want(c, host, 0);
      }
    }
  }

  /** The machine's book has lost the job's wants, or there is no such book any more. */
  void lostBook(Claim c, String host) {
    if (c.parked.remove(host) != null) {
      c.lookAgain = Math.min(c.lookAgain, context.now() + LOOK_AGAIN_S);
    }
  }
}
