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
 * Rents and returns machines while this controller holds the rent duty. {@link ScalingPlanner} and
 * {@link MachineHealth} decide what to do next, and {@link CloudOperations} executes it. A term
 * starts with the operations that the previous holder left open.
 */
public final class Autoscaler {
  private static final System.Logger LOG = System.getLogger(Autoscaler.class.getName());
  private static final int MAX_PENDING_DELETIONS = 100;

  /** How often current prices are fetched. */
  private static final double PRICE_REFRESH_S = 60;

  /**
   * Delay before planning again after a plan without operations. Planning visits all machines and
   * all open jobs; at a thousand machines it is the largest cost of the renting controller.
   */
  private static final double PLAN_INTERVAL_S = 0.5;

  /** How often a machine's holder is asked to close a machine that is to be returned. */
  private static final double RETIRE_INTERVAL_S = 2;

  /** How long a new term waits for all live controllers to report their demand. */
  private static final double DEMAND_WAIT_S = 1.5;

  private final double listLagS;
  private final Membership membership;
  private final Duties duties;
  private final CapacitySubscription capacitySubscription;
  private final MachineTable machines;
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

  /** The term that was started here; 0 if none. */
  private long term;

  private long rentRequestCount;
  private boolean inventoryLoaded;
  private double nextListAt;
  private double nextPlanAt;
  private double nextPriceRefreshAt;
  private double termStartedAt;

  public Autoscaler(
      ControllerContext context,
      MachineTable machines,
      CapacitySubscription capacitySubscription,
      DeadlineRanking deadlineRanking,
      HttpCaller caller) {
    this.peers = context.peers();
    this.listLagS = context.settings().cloudLimits().listLagS();
    this.membership = context.membership();
    this.duties = context.duties();
    this.machines = machines;
    this.capacitySubscription = capacitySubscription;
    this.catalog = context.catalog();
    this.timers = context.timers();
    this.cloud =
        new CloudClient(context.settings(), caller, timers, context.decisionLock(), this::tick);
    this.inventory = new Inventory(listLagS);
    this.health =
        new MachineHealth(
            context.settings(), membership, context.holdTable(), machines, catalog, inventory);
    this.planner =
        new ScalingPlanner(
            context.tunables(),
            context.jobs(),
            machines,
            catalog,
            timers,
            deadlineRanking,
            inventory,
            demands.values());
    this.operations =
        new CloudOperations(
            new HandoverRecord(Duty.RENT, duties, context.store(), timers),
            cloud,
            inventory,
            machines,
            new DeletionRecorder(
                context.holdTable(),
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

  /** The controller that holds the rent duty, or null if none does. */
  public String rentingNode() {
    return duties.holder(Duty.RENT);
  }

  /** Receives the latest demand of a controller. */
  public void receiveDemand(String from, Message.Demand demand) {
    demands.put(from, demand);
  }

  /** Removes the demand of a controller that is not reachable any more. */
  public void peerDisconnected(String node) {
    demands.remove(node);
  }

  /** Number of operations left open by a previous holder that were repeated here. */
  public int repeatedOperations() {
    return operations.repeatedCount();
  }

  /** Number of operations that no longer applied when they were due, or were recorded late. */
  public int droppedOperations() {
    return operations.droppedCount();
  }

  /** Runs several times a second; calls the cloud as often as its rate limit allows. */
  public void tick() {
    long heldTerm = duties.term(Duty.RENT);
    if (heldTerm == 0 || !catalog.isLoaded()) {
      // A controller without a catalog cannot rent, so it leaves the duty to others.
      duties.setCapable(Duty.RENT, catalog.isLoaded());
      term = 0;
      return;
    }
    capacitySubscription.require(ViewDetail.FULL);
    double now = timers.now();
    if (heldTerm != term || operations.recordConflict()) {
      startTerm(heldTerm, now);
    }
    duties.setCapable(Duty.RENT, cloud.reachable());
    operations.writeDeferredChanges();
    operations
        .intents()
        .deletions
        .forEach(
            (host, reason) -> {
              if (reason == ReturnReason.IDLE) {
                // Repeated until the cloud responds; otherwise the machine would reopen and receive
                // tasks.
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

  private void startTerm(long newTerm, double now) {
    LOG.log(Level.INFO, "started renting and returning machines in term {0}", newTerm);
    term = newTerm;
    termStartedAt = now;
    inventoryLoaded = false;
    nextPriceRefreshAt = now + PRICE_REFRESH_S;
    nextListAt = 0;
    nextPlanAt = 0;
    cloud.resetReachability();
    inventory.clear();
    retireSentAt.clear();
    refusedUntil.clear();
    // Demand reported in an earlier term is stale; every controller reports to the new holder
    // within half a second.
    demands.clear();
    operations.startTerm(
        newTerm, () -> health.startTerm(operations.intents(), timers.now(), timers.wallClockMs()));
  }

  /**
   * Whether the inventory is loaded and every live controller has reported its demand, or the wait
   * for those reports is over. Before that, a decision would be based on less than the previous
   * holder knew.
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

  /**
   * Asks the machine's holder, at a limited rate, to close the machine to new tasks for some
   * seconds.
   */
  private void requestRetirement(String host, double now) {
    MachineTable.Entry entry = machines.get(host);
    if (entry != null
        && now - retireSentAt.getOrDefault(host, Double.NEGATIVE_INFINITY) > RETIRE_INTERVAL_S) {
      retireSentAt.put(host, now);
      peers.send(entry.holder(), new Message.RetireMachine(host, term));
    }
  }

  /** Selects the machines to delete, each with its reason. */
  private Map<String, ReturnReason> selectReturns(ScalingPlanner.ScalingPlan plan, double now) {
    Map<String, ReturnReason> reasons = new HashMap<>();
    Set<String> unreported = new HashSet<>();
    demands.values().forEach(d -> unreported.addAll(d.unreportedHosts()));
    health.addMachinesToReturn(now, now - termStartedAt, demands.keySet(), unreported, reasons);
    for (String host : planner.idleMachinesToReturn(plan)) {
      if (machines.get(host).view().retiring()) {
        reasons.put(host, ReturnReason.IDLE);
      } else {
        // The holder closes the machine first; only then can no task be placed on it any more.
        requestRetirement(host, now);
      }
    }
    retireSentAt.values().removeIf(at -> now - at > 10 * RETIRE_INTERVAL_S);
    Map<String, ReturnReason> toReturn = new LinkedHashMap<>();
    reasons.forEach(
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
