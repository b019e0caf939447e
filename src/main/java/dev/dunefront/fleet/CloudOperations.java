package dev.dunefront.fleet;

import dev.dunefront.claim.MachineTable;
import dev.dunefront.duty.HandoverRecord;
import dev.dunefront.fleet.CloudClient.RentRequest;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message.MachineView;
import dev.dunefront.store.StateStore;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Executes rent and delete operations against the cloud API. Each one is decided, recorded, sent
 * and then completed by its response. The cloud API has no fencing by term, so every operation is
 * recorded under the duty's term before it is sent, and the next holder of the duty finds it there
 * and completes it first. A rent request is repeated under the same name, which is idempotent; a
 * deletion is repeated only if its reason still applies to the current state of the machine.
 */
final class CloudOperations {
  private static final System.Logger LOG = System.getLogger(CloudOperations.class.getName());

  /** A rent request that took longer than this to be recorded is dropped and decided again. */
  private static final double MAX_DECISION_AGE_S = 5;

  /** Minimum interval between writes of changes that no operation waits for. */
  private static final double DEFERRED_WRITE_INTERVAL_S = 10;

  /** Fraction of the state service's value size limit that is used. */
  private static final double VALUE_SIZE_FRACTION = 0.8;

  /** A recorded operation that has yet to be sent. */
  private sealed interface Operation {}

  private record RentOperation(RentRequest request) implements Operation {}

  /**
   * A deletion of machines.
   *
   * @param outcomeUnknown whether the deletion may have been sent before with an unknown outcome
   */
  private record DeleteOperation(List<String> hosts, boolean outcomeUnknown) implements Operation {}

  private final HandoverRecord handoverRecord;
  private final CloudClient cloud;
  private final Inventory inventory;
  private final MachineTable machines;
  private final DeletionRecorder deletionRecorder;
  private final StateStore store;
  private final Timers timers;
  private final int maxValueBytes;
  private final double listLagS;
  private final double workerLeaseS;
  private final Map<MachineKind, Double> refusedUntil;
  private final Runnable onReady;
  private final ArrayDeque<Operation> recordedOperations = new ArrayDeque<>();

  /**
   * Machines whose deletion has an unknown outcome and whose reason does not apply yet, with the
   * time until which the deletion is deferred.
   */
  private final Map<String, Double> deferredUntil = new TreeMap<>();

  private Intents intents = new Intents();
  private long term;
  private boolean loaded;
  private boolean recordConflict;
  private boolean dirty;
  private double nextDeferredWriteAt;
  private int repeatedCount;
  private int droppedCount;

  /**
   * Creates the executor.
   *
   * @param valueKb the state service's value size limit
   * @param listLagS how far the cloud's machine list may lag behind
   * @param refusedUntil receives the kinds that the cloud could not provide, with the time until
   *     which they are not requested again
   * @param onReady runs when an operation has been recorded and can be sent
   */
  CloudOperations(
      HandoverRecord handoverRecord,
      CloudClient cloud,
      Inventory inventory,
      MachineTable machines,
      DeletionRecorder deletionRecorder,
      StateStore store,
      Timers timers,
      double valueKb,
      double listLagS,
      double workerLeaseS,
      Map<MachineKind, Double> refusedUntil,
      Runnable onReady) {
    this.handoverRecord = handoverRecord;
    this.cloud = cloud;
    this.inventory = inventory;
    this.machines = machines;
    this.deletionRecorder = deletionRecorder;
    this.store = store;
    this.timers = timers;
    this.maxValueBytes = (int) (valueKb * 1024 * VALUE_SIZE_FRACTION);
    this.listLagS = listLagS;
    this.workerLeaseS = workerLeaseS;
    this.refusedUntil = refusedUntil;
    this.onReady = onReady;
  }

  /** How long a kind is not requested again after the cloud could not provide it. */
  static final double REFUSAL_TTL_S = 12;

  /**
   * Starts a term: loads the operations that the previous holder left open and queues them first.
   */
  void startTerm(long inTerm, Runnable then) {
    term = inTerm;
    recordedOperations.clear();
    deferredUntil.clear();
    intents = new Intents();
    loaded = false;
    recordConflict = false;
    dirty = false;
    handoverRecord.loadForTerm(
        inTerm,
        value -> {
          intents = read(value);
          double now = timers.now();
          for (Intents.CompletedRent c : intents.completedRents) {
            double age = Math.max(0, (timers.wallClockMs() - c.rentedAtMs()) / 1000.0);
            inventory.addExpected(c.hosts(), c.kind(), now - age);
          }
          intents
              .rentRequests
              .values()
              .forEach(request -> recordedOperations.add(new RentOperation(request)));
          if (!intents.deletions.isEmpty()) {
            List<String> hosts = List.copyOf(intents.deletions.keySet());
            inventory.markDeleting(hosts);
            recordedOperations.add(new DeleteOperation(hosts, true));
          }
          repeatedCount += recordedOperations.size();
          if (!recordedOperations.isEmpty()) {
            LOG.log(
                Level.INFO,
                "completing operations left open by the previous holder: {0} rent requests, {1} deletions",
                intents.rentRequests.size(),
                intents.deletions.size());
          }
          loaded = true;
          then.run();
        });
  }

  private static Intents read(Document value) {
    try {
      return Intents.read(value);
    } catch (MalformedMessageException e) {
      LOG.log(
          Level.ERROR,
          "cannot read the recorded operations of the previous holder: {0}",
          e.getMessage());
      return new Intents();
    }
  }

  /** The current intents, which include those left by the previous holder. */
  Intents intents() {
    return intents;
  }

  /** Whether the previous holder's intents are loaded and no write is in progress. */
  boolean ready() {
    return loaded && !handoverRecord.writeInProgress();
  }

  /** Whether another writer changed the record, so that the term has to be started again. */
  boolean recordConflict() {
    return recordConflict;
  }

  /** Records a rent request and sends it once the record is written. */
  void rent(RentRequest request) {
    intents.rentRequests.put(request.name(), request);
    double decidedAt = timers.now();
    persist(
        () -> {
          if (timers.now() - decidedAt > MAX_DECISION_AGE_S) {
            intents.rentRequests.remove(request.name());
            droppedCount++;
          } else {
            recordedOperations.add(new RentOperation(request));
          }
        });
  }

  /** Records deletions and sends them once the record is written. */
  void delete(Map<String, ReturnReason> toReturn) {
    List<String> hosts = List.copyOf(toReturn.keySet());
    intents.deletions.putAll(toReturn);
    inventory.markDeleting(hosts);
    persist(() -> recordedOperations.add(new DeleteOperation(hosts, false)));
  }

  /** Marks the intents as changed; the change is written with a delay. */
  void markDirty() {
    dirty = true;
  }

  /** Writes deferred changes if the interval has passed and the state service is not busy. */
  void writeDeferredChanges() {
    double now = timers.now();
    if (dirty
        && ready()
        && now >= nextDeferredWriteAt
        && !store.unavailable()
        && store.writeDelayS() == 0) {
      persist(() -> {});
    }
  }

  private void persist(Runnable then) {
    double now = timers.now();
    dirty = false;
    nextDeferredWriteAt = now + DEFERRED_WRITE_INTERVAL_S;
    // After four times the list lag the machine list shows these machines, and a new holder reads
    // the list before it decides.
    long since = timers.wallClockMs() - Math.round(4000 * listLagS);
    intents.completedRents.removeIf(
        c -> c.rentedAtMs() < since || c.hosts().stream().noneMatch(inventory::isExpected));
    handoverRecord.write(
        intents.write(maxValueBytes),
        written -> {
          if (written) {
            then.run();
            onReady.run();
          } else {
            recordConflict = true;
          }
        });
  }

  /** Sends the next recorded operation; returns whether one was sent. */
  boolean executeNext() {
    for (Operation operation = recordedOperations.poll();
        operation != null;
        operation = recordedOperations.poll()) {
      if (operation instanceof RentOperation r) {
        execute(r.request());
        return true;
      } else if (operation instanceof DeleteOperation r && execute(r)) {
        return true;
      }
    }
    double now = timers.now();
    List<String> due = new ArrayList<>();
    deferredUntil.forEach(
        (host, until) -> {
          if (now > until || !intents.deletions.get(host).mayApplyLater(machineView(host))) {
            due.add(host);
          }
        });
    return !due.isEmpty() && execute(new DeleteOperation(due, true));
  }

  private void execute(RentRequest request) {
    long inTerm = term;
    cloud.rent(
        request,
        result -> {
          if (inTerm != term) {
            // The current holder found the rent request in the record and repeats it by name.
            return;
          }
          double now = timers.now();
          if (result.outcome() == CloudClient.Outcome.UNKNOWN) {
            // Repeated under the same name, so no machine is rented twice.
            recordedOperations.add(new RentOperation(request));
            return;
          }
          intents.rentRequests.remove(request.name());
          dirty = true;
          if (result.outcome() == CloudClient.Outcome.RENTED) {
            LOG.log(
                Level.INFO,
                "rented {0} of {1} {2}",
                result.hosts().size(),
                request.count(),
                request.kind());
            inventory.addExpected(result.hosts(), request.kind(), now);
            if (!result.hosts().isEmpty()) {
              intents.completedRents.add(
                  new Intents.CompletedRent(request.kind(), timers.wallClockMs(), result.hosts()));
            }
          }
          if (result.outcome() != CloudClient.Outcome.RATE_LIMITED
              && result.hosts().size() < request.count()) {
            refusedUntil.put(request.kind(), now + REFUSAL_TTL_S);
          }
        });
  }

  /** Returns false if no deletion of the operation applies any more. */
  private boolean execute(DeleteOperation operation) {
    double now = timers.now();
    Map<String, ReturnReason> applicable = new LinkedHashMap<>();
    List<String> obsolete = new ArrayList<>();
    for (String host : operation.hosts()) {
      ReturnReason reason = intents.deletions.get(host);
      MachineView view = machineView(host);
      Double until = deferredUntil.get(host);
      if (reason.stillApplies(view)) {
        applicable.put(host, reason);
        deferredUntil.remove(host);
      } else if (operation.outcomeUnknown()
          && reason.mayApplyLater(view)
          && (until == null || now <= until)) {
        // An earlier request may still be in flight. After a restart of all controllers, holders
        // reach their machines within a lease and close them, so that no task runs on the machine
        // when the request takes effect.
        deferredUntil.putIfAbsent(host, now + workerLeaseS);
      } else {
        deferredUntil.remove(host);
        LOG.log(Level.INFO, "cancelled the deletion of {0}: its reason no longer applies", host);
        obsolete.add(host);
      }
    }
    droppedCount += obsolete.size();
    completeDeletions(obsolete, false);
    if (applicable.isEmpty()) {
      return false;
    }
    List<String> hosts = List.copyOf(applicable.keySet());
    long inTerm = term;
    cloud.deleteMachines(
        hosts,
        result -> {
          if (result == CloudClient.DeletionResult.CONFIRMED) {
            deletionRecorder.record(hosts);
          }
          if (inTerm != term) {
            return;
          }
          if (result == CloudClient.DeletionResult.CONFIRMED) {
            completeDeletions(hosts, true);
          } else if (result == CloudClient.DeletionResult.REFUSED && !operation.outcomeUnknown()) {
            // No request is in flight, so the return can be decided again.
            completeDeletions(hosts, false);
          } else {
            recordedOperations.add(new DeleteOperation(hosts, true));
          }
        });
    return true;
  }

  /** The holder's view of the machine, or null if no controller holds it. */
  private MachineView machineView(String host) {
    MachineTable.Entry entry = machines.get(host);
    return entry == null ? null : entry.view();
  }

  private void completeDeletions(List<String> hosts, boolean confirmed) {
    inventory.completeDeletions(hosts, confirmed, timers.now());
    intents.deletions.keySet().removeAll(hosts);
    dirty |= !hosts.isEmpty();
  }

  /** Number of operations left open by a previous holder that were queued again here. */
  int repeatedCount() {
    return repeatedCount;
  }

  /**
   * Number of operations that were dropped because they no longer applied or were recorded late.
   */
  int droppedCount() {
    return droppedCount;
  }
}
