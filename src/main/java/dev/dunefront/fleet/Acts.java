package dev.dunefront.fleet;

import dev.dunefront.claim.Room;
import dev.dunefront.duty.Ledger;
import dev.dunefront.fleet.Cloud.Hire;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message.View;
import dev.dunefront.store.Store;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
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
final class Acts {
  private static final System.Logger LOG = System.getLogger(Acts.class.getName());

  /** A rent request that took longer than this to be recorded is dropped and decided again. */
  private static final double STALE_S = 5;

  /** Minimum interval between writes of changes that no operation waits for. */
  private static final double NOTE_S = 10;

  /** Fraction of the state service's value size limit that is used. */
  private static final double VALUE_PART = 0.8;

  /** A recorded operation that has yet to be sent. */
  private sealed interface Act {}

  private record Rent(Hire hire) implements Act {}

  /**
   * @param unclear whether the deletion may have been sent before with an unknown outcome
   */
  private record Return(List<String> hosts, boolean unclear) implements Act {}

  private final Ledger ledger;
  private final Cloud cloud;
  private final Inventory inventory;
  private final Room room;
  private final ConfirmedDeletions confirmedDeletions;
  private final Store store;
  private final Timers timers;
  private final int valueBytes;
  private final double lagS;
  private final double leaseS;
  private final Map<Kind, Double> refused;
  private final Runnable ready;
  private final ArrayDeque<Act> recorded = new ArrayDeque<>();

  /**
   * Machines whose deletion has an unknown outcome and whose reason does not apply yet, with the
   * time until which the deletion is deferred.
   */
  private final Map<String, Double> waiting = new TreeMap<>();

  private Intents intents = new Intents();
  private long term;
  private boolean open;
  private boolean lost;
  private boolean dirty;
  private double noteAt;
  private int repeated;
  private int dropped;

  /**
   * Creates the executor.
   *
   * @param valueKb the state service's value size limit
   * @param listLagS how far the cloud's machine list may lag behind
   * @param refused receives the kinds that the cloud could not provide, with the time until which
   *     they are not requested again
   * @param onReady runs when an operation has been recorded and can be sent
   */
  Acts(
      Ledger ledger,
      Cloud cloud,
      Inventory inventory,
      Room room,
      ConfirmedDeletions confirmedDeletions,
      Store store,
      Timers timers,
      double valueKb,
      double listLagS,
      double workerLeaseS,
      Map<Kind, Double> refused,
      Runnable onReady) {
    this.ledger = ledger;
    this.cloud = cloud;
    this.inventory = inventory;
    this.room = room;
    this.confirmedDeletions = confirmedDeletions;
    this.store = store;
    this.timers = timers;
    this.valueBytes = (int) (valueKb * 1024 * VALUE_PART);
    this.lagS = listLagS;
    this.leaseS = workerLeaseS;
    this.refused = refused;
    this.ready = onReady;
  }

  /** How long a kind is not requested again after the cloud could not provide it. */
  static final double REFUSED_S = 12;

  /**
   * Starts a term: loads the operations that the previous holder left open and queues them first.
   */
  void begin(long inTerm, Runnable then) {
    term = inTerm;
    recorded.clear();
    waiting.clear();
    intents = new Intents();
    open = false;
    lost = false;
    dirty = false;
    ledger.open(
        inTerm,
        value -> {
          intents = read(value);
          double now = timers.now();
          for (Intents.Came c : intents.came) {
            double age = Math.max(0, (timers.timeOfDayMs() - c.atMs()) / 1000.0);
            inventory.expect(c.hosts(), c.kind(), now - age);
          }
          intents.hires.values().forEach(h -> recorded.add(new Rent(h)));
          if (!intents.deletions.isEmpty()) {
            List<String> hosts = List.copyOf(intents.deletions.keySet());
            inventory.deleting(hosts);
            recorded.add(new Return(hosts, true));
          }
          repeated += recorded.size();
          if (!recorded.isEmpty()) {
            LOG.log(
                Level.INFO,
                "completing operations left open by the previous holder: {0} rent requests, {1} deletions",
                intents.hires.size(),
                intents.deletions.size());
          }
          open = true;
          then.run();
        });
  }

  private static Intents read(Doc value) {
    try {
      return Intents.read(value);
    } catch (BadMessage e) {
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
    return open && !ledger.writing();
  }

  /** Whether another writer changed the record, so that the term has to be started again. */
  boolean lost() {
    return lost;
  }

  void hire(Hire h) {
    intents.hires.put(h.name(), h);
    double decidedAt = timers.now();
    record(
        () -> {
          if (timers.now() - decidedAt > STALE_S) {
            intents.hires.remove(h.name());
            dropped++;
          } else {
            recorded.add(new Rent(h));
          }
        });
  }

  void delete(Map<String, ReturnReason> toReturn) {
    List<String> hosts = List.copyOf(toReturn.keySet());
    intents.deletions.putAll(toReturn);
    inventory.deleting(hosts);
    record(() -> recorded.add(new Return(hosts, false)));
  }

  /** Marks the intents as changed; the change is written with a delay. */
  void note() {
    dirty = true;
  }

  /** Writes deferred changes if the interval has passed and the state service is not busy. */
  void tend() {
    double now = timers.now();
    if (dirty && ready() && now >= noteAt && !store.down() && store.writeDelayS() == 0) {
      record(() -> {});
    }
  }

  private void record(Runnable then) {
    double now = timers.now();
    dirty = false;
    noteAt = now + NOTE_S;
    // After four times the list lag the machine list shows these machines, and a new holder reads
    // the list before it decides.
    long since = timers.timeOfDayMs() - Math.round(4000 * lagS);
    intents.came.removeIf(
        c -> c.atMs() < since || c.hosts().stream().noneMatch(inventory::isExpected));
    ledger.write(
        intents.write(valueBytes),
        written -> {
          if (written) {
            then.run();
            ready.run();
          } else {
            lost = true;
          }
        });
  }

  /** Sends the next recorded operation; returns whether one was sent. */
  boolean next() {
    for (Act act = recorded.poll(); act != null; act = recorded.poll()) {
      if (act instanceof Rent r) {
        ask(r.hire());
        return true;
      } else if (act instanceof Return r && ask(r)) {
        return true;
      }
    }
    double now = timers.now();
    List<String> due = new ArrayList<>();
    waiting.forEach(
        (host, until) -> {
          if (now > until || !intents.deletions.get(host).mayStand(view(host))) {
            due.add(host);
          }
        });
    return !due.isEmpty() && ask(new Return(due, true));
  }

  private void ask(Hire h) {
    long inTerm = term;
    cloud.hire(
        h,
        result -> {
          if (inTerm != term) {
            // The current holder found the rent request in the record and repeats it by name.
            return;
          }
          double now = timers.now();
          if (result.outcome() == Cloud.Outcome.UNCLEAR) {
            // Repeated under the same name, so no machine is rented twice.
            recorded.add(new Rent(h));
            return;
          }
          intents.hires.remove(h.name());
          dirty = true;
          if (result.outcome() == Cloud.Outcome.RENTED) {
            LOG.log(
                Level.INFO, "rented {0} of {1} {2}", result.hosts().size(), h.count(), h.kind());
            inventory.expect(result.hosts(), h.kind(), now);
            if (!result.hosts().isEmpty()) {
              intents.came.add(new Intents.Came(h.kind(), timers.timeOfDayMs(), result.hosts()));
            }
          }
          if (result.outcome() != Cloud.Outcome.TOO_FAST && result.hosts().size() < h.count()) {
            refused.put(h.kind(), now + REFUSED_S);
          }
        });
  }

  /** Returns false if no deletion of the operation applies any more. */
  private boolean ask(Return act) {
    double now = timers.now();
    Map<String, ReturnReason> applicable = new LinkedHashMap<>();
    List<String> obsolete = new ArrayList<>();
    for (String host : act.hosts()) {
      ReturnReason why = intents.deletions.get(host);
      View view = view(host);
      Double until = waiting.get(host);
      if (why.stands(view)) {
        applicable.put(host, why);
        waiting.remove(host);
      } else if (act.unclear() && why.mayStand(view) && (until == null || now <= until)) {
        // An earlier request may still be in flight. After a restart of all controllers, holders
        // reach their machines within a lease and close them, so that no task runs on the machine
        // when the request takes effect.
        waiting.putIfAbsent(host, now + leaseS);
      } else {
        waiting.remove(host);
        LOG.log(Level.INFO, "cancelled the deletion of {0}: its reason no longer applies", host);
        obsolete.add(host);
      }
    }
    dropped += obsolete.size();
    settled(obsolete, false);
    if (applicable.isEmpty()) {
      return false;
    }
    List<String> hosts = List.copyOf(applicable.keySet());
    long inTerm = term;
    cloud.delete(
        hosts,
        result -> {
          if (result == Cloud.Deletion.CONFIRMED) {
            confirmedDeletions.record(hosts);
          }
          if (inTerm != term) {
            return;
          }
          if (result == Cloud.Deletion.CONFIRMED) {
            settled(hosts, true);
          } else if (result == Cloud.Deletion.REFUSED && !act.unclear()) {
            // No request is in flight, so the return can be decided again.
            settled(hosts, false);
          } else {
            recorded.add(new Return(hosts, true));
          }
        });
    return true;
  }

  private View view(String host) {
    Room.Seen seen = room.get(host);
    return seen == null ? null : seen.view();
  }

  private void settled(List<String> hosts, boolean confirmed) {
    inventory.deleted(hosts, confirmed, timers.now());
    intents.deletions.keySet().removeAll(hosts);
    dirty |= !hosts.isEmpty();
  }

  /** Number of operations left open by a previous holder that were queued again here. */
  int repeated() {
    return repeated;
  }

  /** Number of recorded operations that were dropped because they no longer applied. */
  int dropped() {
    return dropped;
  }
}
