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
 * Rents and returns machines while this controller holds the rent duty. {@link Planner} and {@link
 * Health} decide what to do next, and {@link Acts} executes it. A term starts with the operations
 * that the previous holder left open.
 */
public final class Fleet {
  private static final System.Logger LOG = System.getLogger(Fleet.class.getName());
  private static final int MAX_DELETE = 100;

  /** How often current prices are fetched. */
  private static final double PRICES_S = 60;

  /**
   * Delay before planning again after a plan without operations. Planning visits all machines and
   * all open jobs; at a thousand machines it is the largest cost of the renting controller.
   */
  private static final double PLAN_S = 0.5;

  /** How often a machine's holder is asked to close a machine that is to be returned. */
  private static final double RETIRE_S = 2;

  /** How long a new term waits for all live controllers to report their demand. */
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

  /** The term that was started here; 0 if none. */
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

  /** The controller that holds the rent duty, or null if none does. */
  public String leaderNode() {
    return duties.holder(Duty.RENT);
  }

  public void received(String from, Message.Demand demand) {
    demands.put(from, demand);
  }

  public void gone(String node) {
    demands.remove(node);
  }

  /** Number of operations left open by a previous holder that were repeated here. */
  public int repeated() {
    return acts.repeated();
  }

  /** Number of recorded operations that no longer applied when they were due. */
  public int dropped() {
    return acts.dropped();
  }

  /** Runs several times a second; calls the cloud as often as its rate limit allows. */
  public void tick() {
    long heldTerm = duties.term(Duty.RENT);
    if (heldTerm == 0 || !catalog.known()) {
      // A controller without a catalog cannot rent, so it leaves the duty to others.
      duties.able(Duty.RENT, catalog.known());
      term = 0;
      return;
    }
    interest.need(Detail.LOAD);
    double now = timers.now();
    if (heldTerm != term || acts.lost()) {
      begin(heldTerm, now);
    }
    duties.able(Duty.RENT, cloud.reachable());
    acts.tend();
    acts.intents()
        .deletions
        .forEach(
            (host, why) -> {
              if (why == ReturnReason.IDLE) {
                // Repeated until the cloud responds; otherwise the machine would reopen and receive
                // tasks.
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

  private void begin(long newTerm, double now) {
    LOG.log(Level.INFO, "started renting and returning machines in term {0}", newTerm);
    term = newTerm;
    since = now;
    listed = false;
    nextPrices = now + PRICES_S;
    nextList = 0;
    nextPlan = 0;
    cloud.begin();
    inventory.clear();
    retiredAt.clear();
    refused.clear();
    // Demand reported in an earlier term is stale; every controller reports to the new holder
    // within half a second.
    demands.clear();
    acts.begin(newTerm, () -> health.begin(acts.intents(), timers.now(), timers.timeOfDayMs()));
  }

  /**
   * Whether the inventory is loaded and every live controller has reported its demand, or the wait
   * for those reports is over. Before that, a decision would be based on less than the previous
   * holder knew.
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

  /** Asks the machine's holder, at a limited rate, to close the machine for some seconds. */
  private void close(String host, double now) {
    Room.Seen seen = room.get(host);
    if (seen != null && now - retiredAt.getOrDefault(host, Double.NEGATIVE_INFINITY) > RETIRE_S) {
      retiredAt.put(host, now);
      peers.send(seen.holder(), new Message.Retire(host, term));
    }
  }

  /** Selects the machines to delete, each with its reason. */
  private Map<String, ReturnReason> toReturn(Planner.Plan plan, double now) {
    Map<String, ReturnReason> why = new HashMap<>();
    Set<String> unreported = new HashSet<>();
    demands.values().forEach(d -> unreported.addAll(d.unheard()));
    health.check(now, now - since, demands.keySet(), unreported, why);
    for (String host : planner.idlers(plan)) {
      if (room.get(host).view().retiring()) {
        why.put(host, ReturnReason.IDLE);
      } else {
        // The holder closes the machine first; only then can no task be placed on it any more.
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
