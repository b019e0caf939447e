package dev.dunefront.claim;

import dev.dunefront.fleet.Catalog;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Message.View;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import dev.dunefront.wire.Priority;
import java.util.ArrayList;
import java.util.Comparator;
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
final class Parking {
  private static final double PREEMPT_AFTER_S = 0.1;
  private static final double PREEMPT_AGAIN_S = 1;
  private static final double PREEMPT_ASKED_S = 2.5;

  /** How long a holder's word that there are young tasks is taken for true. */
  private static final double YOUNG_S = 15;

  /** How soon an unserved job looks over all machines again; doubled up to the tick. */
  static final double LOOK_AGAIN_S = 0.25;

  /** At most this often a job looks at the machines where room has opened. */
  private static final double OPENINGS_S = 0.1;

  /** What besides its boot passes until a machine of the cheapest type takes replicas. */
  private static final double HOME_S = 10;

  /** How much of its fetch a task counts that is in no hurry. */
  private static final double PATIENT = 0.25;

  /** What taking room beside another job's image costs, in seconds of an earlier start. */
  private static final double CROWD_S = 0.5;

  /** What using a machine many times too large costs, in seconds of an earlier start. */
  private static final double OVERSIZE_S = 3;

  /** Wants parked where there is room now, as a multiple of what is wanted: others want it too. */
  private static final double SURPLUS = 1.5;

  /**
   * What a wholly free machine costs an urgent task against a nearly full one, in seconds of an
   * earlier start: full machines stay anyway, and empty ones can be returned.
   */
  private static final double SPREAD_OUT_S = 0.2;

  /**
   * What an ordinary machine costs a task that may run on a spot machine, in seconds of an earlier
   * start, where there is work that may not: what stays empty can be returned.
   */
  private static final double ORDINARY_S = 10;

  /** A machine on which a job could park; the lower the tier, the sooner it is chosen. */
  private record Choice(Room.Seen seen, int ever, int fits, int tier, double costS, int mix)
      implements Comparable<Choice> {
    @Override
    public int compareTo(Choice o) {
      if (tier != o.tier) {
        return Integer.compare(tier, o.tier);
      }
      int cost = Double.compare(costS, o.costS);
      return cost != 0 ? cost : Integer.compare(mix, o.mix);
    }
  }

  private final Desk desk;
  private final Room room;
  private final Quotas quotas;
  private final Urgencies urgencies;
  private final Zones zones;

  Parking(Desk desk, Room room, Quotas quotas, Urgencies urgencies, Zones zones) {
    this.desk = desk;
    this.room = room;
    this.quotas = quotas;
    this.urgencies = urgencies;
    this.zones = zones;
  }

  /** Brings a job's parked wants up to date. */
  void review(Claim c) {
    double now = desk.now();
    int wanted = wanted(c);
    if (wanted <= 0 || now < c.notBefore) {
      withdraw(c);
      if (wanted <= 0) {
        served(c, now);
        c.lookPause = LOOK_AGAIN_S;
      }
      return;
    }
    if (now - c.unservedSince > desk.tunables().waitS()) {
      served(c, now);
      c.notBefore = now + desk.tunables().requeueDelayS();
      withdraw(c);
      return;
    }
    if (now >= c.nextTick) {
      c.nextTick = now + desk.tunables().tickS();
      c.reach = Math.min(desk.tunables().reachCap(), c.reach + 1);
    }
    if (wanted > c.parkedFor || now >= c.lookAgain) {
      c.parkedFor = wanted;
      c.lookAgain = now + c.lookPause;
      double longest = desk.tunables().tickS() / (c.spec.priority().urgent() ? 4 : 1);
      c.lookPause = Math.min(longest, c.lookPause * 2);
      c.openings = room.openings();
      c.openingsAt = now;
      parkAnew(c, wanted, now);
    } else if (c.openings != room.openings() && now - c.openingsAt >= OPENINGS_S) {
      c.openings = room.openings();
      c.openingsAt = now;
      parkInOpenings(c, wanted, now);
    }
  }

  /** Tasks for which room is wanted. */
  private int wanted(Claim c) {
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
    c.nextTick = now + desk.tunables().tickS();
    c.reach = desk.tunables().reach();
    c.parkedFor = Math.min(c.parkedFor, Math.max(0, c.unstarted()));
  }

  /** What a kind of machine is to a job; worked out once for each job and kind. */
  record Fit(int ever, boolean large, double fetchS, double dearS) {}

  private Fit fit(Claim c, Room.Kind kind) {
    while (c.fits.size() <= kind.index()) {
      c.fits.add(null);
    }
    Fit known = c.fits.get(kind.index());
    if (known != null) {
      return known;
    }
    MachineType type = desk.catalog().type(kind.type());
    if (type == null) {
      return new Fit(0, false, 0, 0);
    }
    JobSpec spec = c.spec;
    int ever = spec.allows(kind.type(), kind.zone(), kind.spot()) ? c.size.timesIn(type.size()) : 0;
    double fetch =
        spec.image() == null || type.fetchGbPerS() <= 0 ? 0 : spec.imageGb() / type.fetchGbPerS();
    boolean large = ever >= Catalog.OVERSIZE && desk.catalog().leavesLarge(spec);
    // A replica stays where it starts, so it waits for the type on which it costs least for as long
    // as such a machine takes to come.
    boolean dear = !large && desk.catalog().dear(spec, type);
    double comes = dear ? desk.catalog().home(spec).bootS() + HOME_S : 0;
    Fit fit = new Fit(ever, large, fetch, comes);
    c.fits.set(kind.index(), fit);
    return fit;
  }

  /** The machine as the job sees it, or null if it cannot park there. */
  private Choice choice(Claim c, Room.Seen s, double now) {
    Fit fit = fit(c, s.kind());
    View v = s.view();
    if (fit.ever == 0
        || !v.open()
        || now - c.unservedSince < fit.dearS
        || keptForUrgent(c.spec, v)
        || !c.avoid.isEmpty() && c.avoid.getOrDefault(v.host(), 0.0) > now
        || (c.spec.oneZone() || c.spec.spread()) && !zones.allowed(c, v.host(), List.of())) {
      return null;
    }
    int fits = s.roomy() ? c.size.timesIn(v.free()) : 0;
    boolean urgent = c.spec.priority().urgent();
    // Large machines are left to tasks that fit nowhere else, as long as others may turn up.
    boolean spare =
        fit.large
            && !urgent
            && now - c.unservedSince < desk.tunables().gatherTicks() * desk.tunables().tickS();
    int tier = fits == 0 ? 1 : spare ? 2 : 0;
    return new Choice(s, fit.ever, fits, tier, costS(c, s, fit), s.mix() ^ c.mix);
  }

  /**
   * Whether the machine's room is kept for urgent tasks that may run on ordinary machines alone:
   * some run there, so it has their images, and the job may run elsewhere.
   */
  private boolean keptForUrgent(JobSpec spec, View v) {
    return spec.spot()
        && !v.spot()
        && !spec.priority().urgent()
        && v.runsUrgent()
        && desk.catalog().urgentHome(v.type());
  }

  /** What a start there costs, in seconds. */
  private double costS(Claim c, Room.Seen s, Fit fit) {
    List<String> images = s.view().images();
    boolean warm = c.spec.image() == null || images.contains(c.spec.image());
    double fetch = warm ? 0 : fit.fetchS;
    int others = images.size() - (warm && c.spec.image() != null ? 1 : 0);
    // A task in no hurry leaves the machines that have others' images to those others.
    double cost = c.spec.priority().urgent() ? fetch : fetch * PATIENT + others * CROWD_S;
    if (c.spec.service()) {
      cost += SPREAD_OUT_S * c.size.timesIn(s.view().free()) / Math.max(1, fit.ever);
    }
    if (c.spec.spot() && !s.view().spot() && !c.spec.priority().urgent()) {
      cost += desk.catalog().ordinaryNeeded() ? ORDINARY_S : 0;
    }
    return cost + (fit.large ? OVERSIZE_S : 0);
  }

  /** Puts the best of several offers first. */
  void sortOffers(Claim c) {
    if (c.offers.size() < 2) {
      return;
    }
    Map<String, Double> costs = new HashMap<>();
    for (Claim.Held h : c.offers) {
      String host = h.offer().host();
      if (!costs.containsKey(host)) {
        Room.Seen s = room.get(host);
        costs.put(host, s == null ? Double.MAX_VALUE : costS(c, s, fit(c, s.kind())));
      }
    }
    c.offers.sort(Comparator.comparingDouble(h -> costs.get(h.offer().host())));
  }

  private void parkAnew(Claim c, int wanted, double now) {
    long surplus = (long) Math.ceil(wanted * SURPLUS);
    List<Choice> choices = choices(c, wanted, surplus, now);
    int fitting = 0;
    for (Choice ch : choices) {
      fitting += ch.tier == 0 ? ch.fits : 0;
    }
    preempt(c, choices, wanted, now);
    // Of the many only the first few are looked at, so they are not sorted as a whole.
    Queue<Choice> best = new PriorityQueue<>(choices);
    // Where there is room enough right now, nothing need wait for room elsewhere.
    long left = fitting >= surplus ? surplus : (long) wanted * c.reach;
    long here = surplus;
    int machines = 0;
    Map<String, Integer> target = new HashMap<>();
    double fetchS = choices.isEmpty() ? 0 : best.peek().costS;
    for (Choice ch = best.poll(); ch != null; ch = best.poll()) {
      if (left <= 0 && (machines >= c.reach || ch.tier != 0)) {
        break;
      }
      if (ch.fits > 0 && here <= 0 && machines >= c.reach) {
        continue;
      }
      int n = Math.min(wanted, ch.fits > 0 ? ch.fits : ch.ever);
      target.put(ch.seen.view().host(), n);
      left -= n;
      here -= ch.fits > 0 ? n : 0;
      machines++;
    }
    for (String host : Set.copyOf(c.parked.keySet())) {
      if (!target.containsKey(host)) {
        want(c, host, 0);
      }
    }
    double ageS = (desk.timers().timeOfDayMs() - c.record.acceptedMs()) / 1000.0;
    int rank = urgencies.rank(c.spec, c.unstarted(), ageS, fetchS);
    boolean moved = rank != c.rank;
    c.rank = rank;
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
      Choice choice = choice(c, s, now);
      if (choice != null) {
        choices.add(choice);
        here += choice.tier == 0 ? Math.min(wanted, choice.fits) : 0;
      }
    }
    if (here < surplus) {
      for (Room.Seen s : room.all()) {
        Choice choice = s.roomy() ? null : choice(c, s, now);
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
      Choice choice = choice(c, s, now);
      if (choice != null && choice.fits > 0 && choice.tier == 0) {
        choices.add(choice);
      }
    }
    Queue<Choice> best = new PriorityQueue<>(choices);
    long left = (long) Math.ceil(wanted * SURPLUS) - covered;
    while (left > 0 && !best.isEmpty()) {
      Choice ch = best.poll();
      int n = Math.min(wanted, ch.fits);
      want(c, ch.seen.view().host(), n);
      left -= n;
    }
  }

  /** Room for urgent tasks that find none is made where less urgent ones have just begun. */
  private void preempt(Claim c, List<Choice> choices, int wanted, double now) {
    Priority priority = c.spec.priority();
    if (!priority.urgent()
        || now - c.unservedSince < PREEMPT_AFTER_S
        || now - c.preemptedAt < PREEMPT_AGAIN_S) {
      return;
    }
    if (desk.store().writeDelayS() > PREEMPT_AFTER_S) {
      // What waits then is the record, not room; stopped tasks would only have to be recorded too.
      return;
    }
    // What was asked for just now is still on its way here.
    if (now - c.preemptedAt >= PREEMPT_ASKED_S) {
      c.preempted = 0;
    }
    int need = wanted - c.preempted;
    for (Choice ch : choices) {
      need -= ch.fits;
    }
    Queue<Choice> best = new PriorityQueue<>(need > 0 ? choices : List.of());
    for (Choice ch = best.poll(); ch != null; ch = best.poll()) {
      if (need <= 0) {
        break;
      }
      int n = Math.min(need, ch.seen.view().youngBelow(priority));
      if (ch.fits == 0 && n > 0 && now - ch.seen.at() < YOUNG_S) {
        need -= n;
        c.preempted += n;
        c.preemptedAt = now;
        desk.peers()
            .send(
                ch.seen.holder(),
                new Message.Preempt(ch.seen.view().host(), priority.ordinal(), c.size, n));
      }
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
      desk.peers()
          .send(
              s.holder(),
              new Message.Want(host, c.id(), c.spec.priority().ordinal(), c.rank, c.size, count));
    }
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
      c.lookAgain = Math.min(c.lookAgain, desk.now() + LOOK_AGAIN_S);
    }
  }
}
