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
 * What is asked of the cloud, in the order decide, record, ask, hear. The cloud knows no terms, so
 * nothing is asked for that is not on record under the duty's term before: whoever follows finds it
 * there and settles it first. A hire is asked for again under its name, which rents nothing twice;
 * a deletion only if it still stands by what is seen of the machine.
 */
final class Acts {
  private static final System.Logger LOG = System.getLogger(Acts.class.getName());

  /** What was decided longer ago than this when its record is written is decided anew. */
  private static final double STALE_S = 5;

  /** How often what has changed is written that no act waits for. */
  private static final double NOTE_S = 10;

  /** The part of a value's limit that is used. */
  private static final double VALUE_PART = 0.8;

  /** Something on record, to be asked for. */
  private sealed interface Act {}

  private record Rent(Hire hire) implements Act {}

  /** {@code unclear} if it was asked for before and nobody knows what has come of that. */
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

  /** Machines whose deletion has no answer and does not stand yet, and until when that is so. */
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
   * {@code refused} takes kinds that the cloud lacks, with the time until which that counts; {@code
   * ready} runs when something can be asked for.
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
      double lagS,
      double leaseS,
      Map<Kind, Double> refused,
      Runnable ready) {
    this.ledger = ledger;
    this.cloud = cloud;
    this.inventory = inventory;
    this.room = room;
    this.confirmedDeletions = confirmedDeletions;
    this.store = store;
    this.timers = timers;
    this.valueBytes = (int) (valueKb * 1024 * VALUE_PART);
    this.lagS = lagS;
    this.leaseS = leaseS;
    this.refused = refused;
    this.ready = ready;
  }

  /** How long a refusal of a kind counts. */
  static final double REFUSED_S = 12;

  /** Begins a term: reads what the holder before has left open, which comes first. */
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
                "settles first what the holder before left open: {0} hires, {1} deletions",
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
    return open && !ledger.writing();
  }

  /** Whether the record was found changed by somebody else: the term has to be begun anew. */
  boolean lost() {
    return lost;
  }

  void hire(Hire h) {
    intents.hires.put(h.name(), h);
    double at = timers.now();
    record(
        () -> {
          if (timers.now() - at > STALE_S) {
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

  /** What has changed in the intents is written when nothing waits for it, and not often. */
  void note() {
    dirty = true;
  }

  /** Writes what has been noted if it is time. */
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
    // By then the list shows them, and whoever follows reads it first.
    long since = timers.timeOfDayMs() - Math.round(4000 * lagS);
    intents.came.removeIf(
        c -> c.atMs() < since || c.hosts().stream().noneMatch(inventory::isExpected));
    ledger.write(
        intents.write(valueBytes),
        kept -> {
          if (kept) {
            then.run();
            ready.run();
          } else {
            lost = true;
          }
        });
  }

  /** Asks for what is on record, one at a time; says whether anything was asked for. */
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
        rented -> {
          if (inTerm != term) {
            // Whoever has the duty now found the hire on record, and asks under its name.
            return;
          }
          double now = timers.now();
          if (rented.outcome() == Cloud.Outcome.UNCLEAR) {
            // The same name asks again, so that nothing is rented twice.
            recorded.add(new Rent(h));
            return;
          }
          intents.hires.remove(h.name());
          dirty = true;
          if (rented.outcome() == Cloud.Outcome.RENTED) {
            LOG.log(
                Level.INFO, "rented {0} of {1} {2}", rented.hosts().size(), h.count(), h.kind());
            inventory.expect(rented.hosts(), h.kind(), now);
            if (!rented.hosts().isEmpty()) {
              intents.came.add(new Intents.Came(h.kind(), timers.timeOfDayMs(), rented.hosts()));
            }
          }
          if (rented.outcome() != Cloud.Outcome.TOO_FAST && rented.hosts().size() < h.count()) {
            refused.put(h.kind(), now + REFUSED_S);
          }
        });
  }

  /** False if none of it stands any more. */
  private boolean ask(Return act) {
    double now = timers.now();
    Map<String, ReturnReason> still = new LinkedHashMap<>();
    List<String> over = new ArrayList<>();
    for (String host : act.hosts()) {
      ReturnReason why = intents.deletions.get(host);
      View view = view(host);
      Double until = waiting.get(host);
      if (why.stands(view)) {
        still.put(host, why);
        waiting.remove(host);
      } else if (act.unclear() && why.mayStand(view) && (until == null || now <= until)) {
        // It may be on its way. After a restart of all, machines find their holders within a lease,
        // and these close them; then nothing is there when it arrives.
        waiting.putIfAbsent(host, now + leaseS);
      } else {
        waiting.remove(host);
        LOG.log(Level.INFO, "does not return {0} after all", host);
        over.add(host);
      }
    }
    dropped += over.size();
    settled(over, false);
    if (still.isEmpty()) {
      return false;
    }
    List<String> asked = List.copyOf(still.keySet());
    long inTerm = term;
    cloud.delete(
        asked,
        answer -> {
          if (answer == Cloud.Deletion.CONFIRMED) {
            confirmedDeletions.record(asked);
          }
          if (inTerm != term) {
            return;
          }
          if (answer == Cloud.Deletion.CONFIRMED) {
            settled(asked, true);
          } else if (answer == Cloud.Deletion.REFUSED && !act.unclear()) {
            // Nothing is on its way, so it can be decided anew.
            settled(asked, false);
          } else {
            recorded.add(new Return(asked, true));
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

  /** Acts that were left open by a holder before and asked for again. */
  int repeated() {
    return repeated;
  }

  /** Acts on record that were not asked for, for they no longer stood. */
  int dropped() {
    return dropped;
  }
}
