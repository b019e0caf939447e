package dev.dunefront.fleet;

import dev.dunefront.claim.CapacitySubscription;
import dev.dunefront.claim.ControllerContext;
import dev.dunefront.claim.DeadlineRanking;
import dev.dunefront.claim.MachineTable;
import dev.dunefront.duty.Duties;
import dev.dunefront.duty.Duty;
import dev.dunefront.duty.HandoverRecord;
import dev.dunefront.fleet.CloudClient.RentRequest;
import dev.dunefront.net.HttpCaller;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.peer.ViewDetail;
import dev.dunefront.store.Membership;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Rents and returns machines while this controller has that duty: decides by {@link ScalingPlanner}
 * and {@link MachineHealth} what to do next, and has {@link CloudOperations} do it. A term begins
 * with what the holder before has left open.
 */
public final class Autoscaler {
  private static final System.Logger LOG = System.getLogger(Autoscaler.class.getName());
  private static final int MAX_PENDING_DELETIONS = 100;

  /** How often current prices are asked for. */
  private static final double PRICE_REFRESH_S = 60;

  /**
   * How soon is looked again after nothing was to be done. A look walks over all machines and all
   * open jobs, which at a thousand machines is what the renting controller spends most on.
   */
  private static final double PLAN_INTERVAL_S = 0.5;

  /** How often a machine that is to be returned is told so. */
  private static final double RETIRE_INTERVAL_S = 2;

  /** How long a term waits at its beginning for the controllers to tell what they have waiting. */
  private static final double DEMAND_WAIT_S = 1.5;

  private final double listLagS;
  private final Membership membership;
  private final Duties duties;
  private final CapacitySubscription interest;
  private final MachineTable room;
  private final MachineCatalog catalog;
  private final Timers timers;
  private final Peers peers;
  private final CloudClient cloud;
  private final Inventory inventory;
  private final MachineHealth health;
  private final ScalingPlanner planner;
  private final CloudOperations operations;
  private final Map<String, Message.Demand> demands = new HashMap<>();
  private final Map<MachineKind, Double> refusedUntil = new HashMap<>();
  private final Map<String, Double> retireSentAt = new HashMap<>();

  /** The term that has begun here; 0 for none. */
  private long term;

  private long rentRequestCount;
  private boolean inventoryLoaded;
  private double nextListAt;
  private double nextPlanAt;
  private double nextPriceRefreshAt;
  private double termStartedAt;

  public Autoscaler(
      ControllerContext context,
      MachineTable room,
      CapacitySubscription interest,
      DeadlineRanking urgencies,
      HttpCaller caller) {
    this.peers = context.peers();
    this.listLagS = context.settings().cloudLimits().listLagS();
    this.membership = context.membership();
    this.duties = context.duties();
    this.room = room;
    this.interest = interest;
    this.catalog = context.catalog();
    this.timers = context.timers();
    this.cloud =
        new CloudClient(context.settings(), caller, timers, context.decisionLock(), this::tick);
    this.inventory = new Inventory(listLagS);
    this.health =
        new MachineHealth(
            context.settings(), membership, context.holds(), room, catalog, inventory);
    this.planner =
        new ScalingPlanner(
            context.tunables(),
            context.jobs(),
            room,
            catalog,
            timers,
            urgencies,
            inventory,
            demands.values());
    this.operations =
        new CloudOperations(
            new HandoverRecord(Duty.RENT, duties, context.store(), timers),
            cloud,
            inventory,
            room,
            new DeletionRecorder(
                context.holds(),
                context.store(),
                timers,
                context.decisionLock(),
                context.settings().stateLimits().txnOps()),
            context.store(),
            timers,
            context.settings().stateLimits().valueKb(),
            listLagS,
            context.settings().workers().leaseS(),
            refusedUntil,
            this::tick);
  }

  /** The controller that rents, or null. */
  public String rentingNode() {
    return duties.holder(Duty.RENT);
  }

  public void received(String from, Message.Demand demand) {
    demands.put(from, demand);
  }

  public void peerDisconnected(String node) {
    demands.remove(node);
  }

  /** Acts left open by a holder before that were asked for again here. */
  public int repeatedOperations() {
    return operations.repeatedCount();
  }

  /** Acts on record that no longer stood when they were to be asked for. */
  public int droppedOperations() {
    return operations.droppedCount();
  }

  /** Called several times a second; the cloud is called as often as its rate allows. */
  public void tick() {
    long mine = duties.term(Duty.RENT);
    if (mine == 0 || !catalog.isLoaded()) {
      // Whoever does not know the machine types yet leaves the duty to others.
      duties.setCapable(Duty.RENT, catalog.isLoaded());
      term = 0;
      return;
    }
    interest.require(ViewDetail.FULL);
    double now = timers.now();
    if (mine != term || operations.recordConflict()) {
      startTerm(mine, now);
    }
    duties.setCapable(Duty.RENT, cloud.reachable());
    operations.writeDeferredChanges();
    operations
        .intents()
        .deletions
        .forEach(
            (host, why) -> {
              if (why == ReturnReason.IDLE) {
                // Until the cloud has answered, or it would open and be used meanwhile.
                requestRetirement(host, now);
              }
            });
    if (!cloud.canCall()) {
      return;
    }
    if (now >= nextListAt) {
      nextListAt = now + Math.max(2, listLagS / 2);
      cloud.listMachines(
          all -> {
            inventoryLoaded = true;
            inventory.applyList(all, timers.now());
          });
    } else if (readyToDecide(now) && operations.executeNext()) {
      nextPlanAt = 0;
    } else if (now >= nextPriceRefreshAt) {
      nextPriceRefreshAt = now + PRICE_REFRESH_S;
      cloud.fetchCatalog(catalog::load);
    } else if (now >= nextPlanAt && operations.ready() && readyToDecide(now)) {
      decide(now);
    }
  }

  private void startTerm(long mine, double now) {
    LOG.log(Level.INFO, "renting and returning machines from now on, in term {0}", mine);
    term = mine;
    termStartedAt = now;
    inventoryLoaded = false;
    nextPriceRefreshAt = now + PRICE_REFRESH_S;
    nextListAt = 0;
    nextPlanAt = 0;
    cloud.resetReachability();
    inventory.clear();
    retireSentAt.clear();
    refusedUntil.clear();
    // What was told in an earlier term is old; all tell the new holder within half a second.
    demands.clear();
    operations.startTerm(
        mine, () -> health.startTerm(operations.intents(), timers.now(), timers.wallClockMs()));
  }

  /**
   * Whether enough is known to decide by: the machines that there are, and what waits at every
   * controller that lives, as the holder before knew it.
   */
  private boolean readyToDecide(double now) {
    return inventoryLoaded
        && (now - termStartedAt > DEMAND_WAIT_S
            || demands.keySet().containsAll(membership.liveNodes()));
  }

  private void decide(double now) {
    refusedUntil.values().removeIf(until -> until < now);
    ScalingPlanner.ScalingPlan plan = planner.plan(refusedUntil.keySet());
    Map<String, ReturnReason> toReturn = selectReturns(plan, now);
    if (health.saveTo(operations.intents(), now, timers.wallClockMs())) {
      operations.markDirty();
    }
    if (!toReturn.isEmpty()) {
      operations.delete(toReturn);
    } else if (plan.kindToRent() != null) {
      String name =
          "hire-" + membership.ownIncarnation().replace('#', '-') + "-" + ++rentRequestCount;
      operations.rent(new RentRequest(name, plan.kindToRent(), plan.count()));
    } else {
      nextPlanAt = now + PLAN_INTERVAL_S;
    }
  }

  /** Tells a machine's holder, now and then, to close it for some seconds. */
  private void requestRetirement(String host, double now) {
    MachineTable.Entry seen = room.get(host);
    if (seen != null
        && now - retireSentAt.getOrDefault(host, Double.NEGATIVE_INFINITY) > RETIRE_INTERVAL_S) {
      retireSentAt.put(host, now);
      peers.send(seen.holder(), new Message.RetireMachine(host, term));
    }
  }

  /** Machines that are to be deleted, each for a reason of its own. */
  private Map<String, ReturnReason> selectReturns(ScalingPlanner.ScalingPlan plan, double now) {
    Map<String, ReturnReason> why = new HashMap<>();
    Set<String> unheard = new HashSet<>();
    demands.values().forEach(d -> unheard.addAll(d.unreportedHosts()));
    health.check(now, now - termStartedAt, demands.keySet(), unheard, why);
    for (String host : planner.idleMachinesToReturn(plan)) {
      if (room.get(host).view().retiring()) {
        why.put(host, ReturnReason.IDLE);
      } else {
        // Its holder closes it first; only then can nothing be placed on it any more.
        requestRetirement(host, now);
      }
    }
    retireSentAt.values().removeIf(at -> now - at > 10 * RETIRE_INTERVAL_S);
    Map<String, ReturnReason> toReturn = new LinkedHashMap<>();
    why.forEach(
        (host, reason) -> {
          if (!inventory.isDeleted(host)
              && inventory.pendingDeletionCount() + toReturn.size() < MAX_PENDING_DELETIONS
              && !inventory.isDeleting(host)) {
            LOG.log(Level.INFO, "returning {0}: {1}", host, reason.description());
            toReturn.put(host, reason);
          }
        });
    return toReturn;
  }
}
