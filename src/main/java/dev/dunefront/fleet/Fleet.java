package dev.dunefront.fleet;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.claim.Room;
import dev.dunefront.claim.RoomInterest;
import dev.dunefront.claim.Urgencies;
import dev.dunefront.duty.Duties;
import dev.dunefront.duty.Duty;
import dev.dunefront.duty.Ledger;
import dev.dunefront.fleet.Cloud.Hire;
import dev.dunefront.net.Caller;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Detail;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Membership;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Rents and returns machines while this controller has that duty: decides by {@link Planner} and
 * {@link Health} what to do next, and has {@link Acts} do it. A term begins with what the holder
 * before has left open.
 */
public final class Fleet {
  private static final System.Logger LOG = System.getLogger(Fleet.class.getName());
  private static final int MAX_DELETE = 100;

  /** How often current prices are asked for. */
  private static final double PRICES_S = 60;

  /**
   * How soon is looked again after nothing was to be done. A look walks over all machines and all
   * open jobs, which at a thousand machines is what the renting controller spends most on.
   */
  private static final double PLAN_S = 0.5;

  /** How often a machine that is to be returned is told so. */
  private static final double RETIRE_S = 2;

  /** How long a term waits at its beginning for the controllers to tell what they have waiting. */
  private static final double HEAR_S = 1.5;

  private final double lagS;
  private final Membership membership;
  private final Duties duties;
  private final RoomInterest interest;
  private final Room room;
  private final Catalog catalog;
  private final Timers timers;
  private final Peers peers;
  private final Cloud cloud;
  private final Inventory inventory;
  private final Health health;
  private final Planner planner;
  private final Acts acts;
  private final Map<String, Message.Demand> demands = new HashMap<>();
  private final Map<Kind, Double> refused = new HashMap<>();
  private final Map<String, Double> retiredAt = new HashMap<>();

  /** The term that has begun here; 0 for none. */
  private long term;

  private long hires;
  private boolean listed;
  private double nextList;
  private double nextPlan;
  private double nextPrices;
  private double since;

  public Fleet(
      ControllerContext context,
      Room room,
      RoomInterest interest,
      Urgencies urgencies,
      Caller caller) {
    this.peers = context.peers();
    this.lagS = context.settings().cloudLimits().listLagS();
    this.membership = context.membership();
    this.duties = context.duties();
    this.room = room;
    this.interest = interest;
    this.catalog = context.catalog();
    this.timers = context.timers();
    this.cloud = new Cloud(context.settings(), caller, timers, context.decisionLock(), this::tick);
    this.inventory = new Inventory(lagS);
    this.health =
        new Health(context.settings(), membership, context.holds(), room, catalog, inventory);
    this.planner =
        new Planner(
            context.tunables(),
            context.jobs(),
            room,
            catalog,
            timers,
            urgencies,
            inventory,
            demands.values());
    this.acts =
        new Acts(
            new Ledger(Duty.RENT, duties, context.store(), timers),
            cloud,
            inventory,
            room,
            new ConfirmedDeletions(
                context.holds(),
                context.store(),
                timers,
                context.decisionLock(),
                context.settings().stateLimits().txnOps()),
            context.store(),
            timers,
            context.settings().stateLimits().valueKb(),
            lagS,
            context.settings().workers().leaseS(),
            refused,
            this::tick);
  }

  /** The controller that rents, or null. */
  public String leaderNode() {
    return duties.holder(Duty.RENT);
  }

  public void received(String from, Message.Demand demand) {
    demands.put(from, demand);
  }

  public void gone(String node) {
    demands.remove(node);
  }

  /** Acts left open by a holder before that were asked for again here. */
  public int repeated() {
    return acts.repeated();
  }

  /** Acts on record that no longer stood when they were to be asked for. */
  public int dropped() {
    return acts.dropped();
  }

  /** Called several times a second; the cloud is called as often as its rate allows. */
  public void tick() {
    long mine = duties.term(Duty.RENT);
    if (mine == 0 || !catalog.known()) {
      // Whoever does not know the machine types yet leaves the duty to others.
      duties.able(Duty.RENT, catalog.known());
      term = 0;
      return;
    }
    interest.need(Detail.LOAD);
    double now = timers.now();
    if (mine != term || acts.lost()) {
      begin(mine, now);
    }
    duties.able(Duty.RENT, cloud.reachable());
    acts.tend();
    acts.intents()
        .deletions
        .forEach(
            (host, why) -> {
              if (why == ReturnReason.IDLE) {
                // Until the cloud has answered, or it would open and be used meanwhile.
                close(host, now);
              }
            });
    if (!cloud.free()) {
      return;
    }
    if (now >= nextList) {
      nextList = now + Math.max(2, lagS / 2);
      cloud.list(
          all -> {
            listed = true;
            inventory.took(all, timers.now());
          });
    } else if (heard(now) && acts.next()) {
      nextPlan = 0;
    } else if (now >= nextPrices) {
      nextPrices = now + PRICES_S;
      cloud.catalog(catalog::take);
    } else if (now >= nextPlan && acts.ready() && heard(now)) {
      decide(now);
    }
  }

  private void begin(long mine, double now) {
    LOG.log(Level.INFO, "renting and returning machines from now on, in term {0}", mine);
    term = mine;
    since = now;
    listed = false;
    nextPrices = now + PRICES_S;
    nextList = 0;
    nextPlan = 0;
    cloud.begin();
    inventory.clear();
    retiredAt.clear();
    refused.clear();
    // What was told in an earlier term is old; all tell the new holder within half a second.
    demands.clear();
    acts.begin(mine, () -> health.begin(acts.intents(), timers.now(), timers.timeOfDayMs()));
  }

  /**
   * Whether enough is known to decide by: the machines that there are, and what waits at every
   * controller that lives, as the holder before knew it.
   */
  private boolean heard(double now) {
    return listed && (now - since > HEAR_S || demands.keySet().containsAll(membership.liveNodes()));
  }

  private void decide(double now) {
    refused.values().removeIf(until -> until < now);
    Planner.Plan plan = planner.plan(refused.keySet());
    Map<String, ReturnReason> toReturn = toReturn(plan, now);
    if (health.note(acts.intents(), now, timers.timeOfDayMs())) {
      acts.note();
    }
    if (!toReturn.isEmpty()) {
      acts.delete(toReturn);
    } else if (plan.most() != null) {
      String name = "hire-" + membership.self().replace('#', '-') + "-" + ++hires;
      acts.hire(new Hire(name, plan.most(), plan.count()));
    } else {
      nextPlan = now + PLAN_S;
    }
  }

  /** Tells a machine's holder, now and then, to close it for some seconds. */
  private void close(String host, double now) {
    Room.Seen seen = room.get(host);
    if (seen != null && now - retiredAt.getOrDefault(host, Double.NEGATIVE_INFINITY) > RETIRE_S) {
      retiredAt.put(host, now);
      peers.send(seen.holder(), new Message.Retire(host, term));
    }
  }

  /** Machines that are to be deleted, each for a reason of its own. */
  private Map<String, ReturnReason> toReturn(Planner.Plan plan, double now) {
    Map<String, ReturnReason> why = new HashMap<>();
    Set<String> unheard = new HashSet<>();
    demands.values().forEach(d -> unheard.addAll(d.unheard()));
    health.check(now, now - since, demands.keySet(), unheard, why);
    for (String host : planner.idlers(plan)) {
      if (room.get(host).view().retiring()) {
        why.put(host, ReturnReason.IDLE);
      } else {
        // Its holder closes it first; only then can nothing be placed on it any more.
        close(host, now);
      }
    }
    retiredAt.values().removeIf(at -> now - at > 10 * RETIRE_S);
    Map<String, ReturnReason> toReturn = new LinkedHashMap<>();
    why.forEach(
        (host, reason) -> {
          if (!inventory.isDeleted(host)
              && inventory.deletions() + toReturn.size() < MAX_DELETE
              && !inventory.isDeleting(host)) {
            LOG.log(Level.INFO, "returning {0}: {1}", host, reason.reason());
            toReturn.put(host, reason);
          }
        });
    return toReturn;
  }
}
