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
 * What is asked of the cloud, in the order decide, record, ask, hear. The cloud knows no terms, so
 * nothing is asked for that is not on record under the duty's term before: whoever follows finds it
 * there and settles it first. A hire is asked for again under its name, which rents nothing twice;
 * a deletion only if it still stands by what is seen of the machine.
 */
final class CloudOperations {
  private static final System.Logger LOG = System.getLogger(CloudOperations.class.getName());

  /** What was decided longer ago than this when its record is written is decided anew. */
  private static final double MAX_DECISION_AGE_S = 5;

  /** How often what has changed is written that no act waits for. */
  private static final double DEFERRED_WRITE_INTERVAL_S = 10;

  /** The part of a value's limit that is used. */
  private static final double VALUE_SIZE_FRACTION = 0.8;

  /** Something on record, to be asked for. */
  private sealed interface Operation {}

  private record RentOperation(RentRequest hire) implements Operation {}

  /** {@code unclear} if it was asked for before and nobody knows what has come of that. */
  private record DeleteOperation(List<String> hosts, boolean outcomeUnknown) implements Operation {}

  private final HandoverRecord handoverRecord;
  private final CloudClient cloud;
  private final Inventory inventory;
  private final MachineTable room;
  private final DeletionRecorder confirmedDeletions;
  private final StateStore store;
  private final Timers timers;
  private final int maxValueBytes;
  private final double listLagS;
  private final double workerLeaseS;
  private final Map<MachineKind, Double> refusedUntil;
  private final Runnable ready;
  private final ArrayDeque<Operation> recordedOperations = new ArrayDeque<>();

  /** Machines whose deletion has no answer and does not stand yet, and until when that is so. */
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
   * {@code refused} takes kinds that the cloud lacks, with the time until which that counts; {@code
   * ready} runs when something can be asked for.
   */
  CloudOperations(
      HandoverRecord ledger,
      CloudClient cloud,
      Inventory inventory,
      MachineTable room,
      DeletionRecorder confirmedDeletions,
      StateStore store,
      Timers timers,
      double valueKb,
      double lagS,
      double leaseS,
      Map<MachineKind, Double> refused,
      Runnable ready) {
    this.handoverRecord = ledger;
    this.cloud = cloud;
    this.inventory = inventory;
    this.room = room;
    this.confirmedDeletions = confirmedDeletions;
    this.store = store;
    this.timers = timers;
    this.maxValueBytes = (int) (valueKb * 1024 * VALUE_SIZE_FRACTION);
    this.listLagS = lagS;
    this.workerLeaseS = leaseS;
    this.refusedUntil = refused;
    this.ready = ready;
  }

  /** How long a refusal of a kind counts. */
  static final double REFUSAL_TTL_S = 12;

  /** Begins a term: reads what the holder before has left open, which comes first. */
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
          intents.rentRequests.values().forEach(h -> recordedOperations.add(new RentOperation(h)));
          if (!intents.deletions.isEmpty()) {
            List<String> hosts = List.copyOf(intents.deletions.keySet());
            inventory.deleting(hosts);
            recordedOperations.add(new DeleteOperation(hosts, true));
          }
          repeatedCount += recordedOperations.size();
          if (!recordedOperations.isEmpty()) {
            LOG.log(
                Level.INFO,
                "settles first what the holder before left open: {0} hires, {1} deletions",
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
      LOG.log(Level.ERROR, "what was left open cannot be read: {0}", e.getMessage());
      return new Intents();
    }
  }

  /** What the holder before has left, and what is on record now. */
  Intents intents() {
    return intents;
  }

  /** Whether it is known what was left open, and nothing is being recorded. */
  boolean ready() {
    return loaded && !handoverRecord.writeInProgress();
  }

  /** Whether the record was found changed by somebody else: the term has to be begun anew. */
  boolean recordConflict() {
    return recordConflict;
  }

  void rent(RentRequest h) {
    intents.rentRequests.put(h.name(), h);
    double at = timers.now();
    persist(
        () -> {
          if (timers.now() - at > MAX_DECISION_AGE_S) {
            intents.rentRequests.remove(h.name());
            droppedCount++;
          } else {
            recordedOperations.add(new RentOperation(h));
          }
        });
  }

  void delete(Map<String, ReturnReason> toReturn) {
    List<String> hosts = List.copyOf(toReturn.keySet());
    intents.deletions.putAll(toReturn);
    inventory.deleting(hosts);
    persist(() -> recordedOperations.add(new DeleteOperation(hosts, false)));
  }

  /** What has changed in the intents is written when nothing waits for it, and not often. */
  void markDirty() {
    dirty = true;
  }

  /** Writes what has been noted if it is time. */
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
    // By then the list shows them, and whoever follows reads it first.
    long since = timers.wallClockMs() - Math.round(4000 * listLagS);
    intents.completedRents.removeIf(
        c -> c.rentedAtMs() < since || c.hosts().stream().noneMatch(inventory::isExpected));
    handoverRecord.write(
        intents.write(maxValueBytes),
        kept -> {
          if (kept) {
            then.run();
            ready.run();
          } else {
            recordConflict = true;
          }
        });
  }

  /** Asks for what is on record, one at a time; says whether anything was asked for. */
  boolean executeNext() {
    for (Operation act = recordedOperations.poll(); act != null; act = recordedOperations.poll()) {
      if (act instanceof RentOperation r) {
        execute(r.hire());
        return true;
      } else if (act instanceof DeleteOperation r && execute(r)) {
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

  private void execute(RentRequest h) {
    long inTerm = term;
    cloud.rent(
        h,
        rented -> {
          if (inTerm != term) {
            // Whoever has the duty now found the hire on record, and asks under its name.
            return;
          }
          double now = timers.now();
          if (rented.outcome() == CloudClient.Outcome.UNKNOWN) {
            // The same name asks again, so that nothing is rented twice.
            recordedOperations.add(new RentOperation(h));
            return;
          }
          intents.rentRequests.remove(h.name());
          dirty = true;
          if (rented.outcome() == CloudClient.Outcome.RENTED) {
            LOG.log(
                Level.INFO, "rented {0} of {1} {2}", rented.hosts().size(), h.count(), h.kind());
            inventory.addExpected(rented.hosts(), h.kind(), now);
            if (!rented.hosts().isEmpty()) {
              intents.completedRents.add(
                  new Intents.CompletedRent(h.kind(), timers.wallClockMs(), rented.hosts()));
            }
          }
          if (rented.outcome() != CloudClient.Outcome.RATE_LIMITED
              && rented.hosts().size() < h.count()) {
            refusedUntil.put(h.kind(), now + REFUSAL_TTL_S);
          }
        });
  }

  /** False if none of it stands any more. */
  private boolean execute(DeleteOperation act) {
    double now = timers.now();
    Map<String, ReturnReason> still = new LinkedHashMap<>();
    List<String> over = new ArrayList<>();
    for (String host : act.hosts()) {
      ReturnReason why = intents.deletions.get(host);
      MachineView view = machineView(host);
      Double until = deferredUntil.get(host);
      if (why.stillApplies(view)) {
        still.put(host, why);
        deferredUntil.remove(host);
      } else if (act.outcomeUnknown()
          && why.mayApplyLater(view)
          && (until == null || now <= until)) {
        // It may be on its way. After a restart of all, machines find their holders within a lease,
        // and these close them; then nothing is there when it arrives.
        deferredUntil.putIfAbsent(host, now + workerLeaseS);
      } else {
        deferredUntil.remove(host);
        LOG.log(Level.INFO, "does not return {0} after all", host);
        over.add(host);
      }
    }
    droppedCount += over.size();
    completeDeletions(over, false);
    if (still.isEmpty()) {
      return false;
    }
    List<String> asked = List.copyOf(still.keySet());
    long inTerm = term;
    cloud.deleteMachines(
        asked,
        answer -> {
          if (answer == CloudClient.DeletionResult.CONFIRMED) {
            confirmedDeletions.record(asked);
          }
          if (inTerm != term) {
            return;
          }
          if (answer == CloudClient.DeletionResult.CONFIRMED) {
            completeDeletions(asked, true);
          } else if (answer == CloudClient.DeletionResult.REFUSED && !act.outcomeUnknown()) {
            // Nothing is on its way, so it can be decided anew.
            completeDeletions(asked, false);
          } else {
            recordedOperations.add(new DeleteOperation(asked, true));
          }
        });
    return true;
  }

  private MachineView machineView(String host) {
    MachineTable.Entry seen = room.get(host);
    return seen == null ? null : seen.view();
  }

  private void completeDeletions(List<String> hosts, boolean confirmed) {
    inventory.deleted(hosts, confirmed, timers.now());
    intents.deletions.keySet().removeAll(hosts);
    dirty |= !hosts.isEmpty();
  }

  /** Acts that were left open by a holder before and asked for again. */
  int repeatedCount() {
    return repeatedCount;
  }

  /** Acts on record that were not asked for, for they no longer stood. */
  int droppedCount() {
    return droppedCount;
  }
}
