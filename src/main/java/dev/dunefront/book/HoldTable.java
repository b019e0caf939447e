package dev.dunefront.book;

import dev.dunefront.config.Settings;
import dev.dunefront.store.Membership;
import dev.dunefront.store.Replica;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Who holds which machine: as recorded, or, while there is no record, by nature. Every controller
 * works out alike from the roster which of them is a machine's natural holder, under the roster's
 * token; whoever else takes the machine writes a record, on the condition that there is none. So
 * hundreds of machines that come at once are held without a single write, and no more than one
 * holds each.
 */
public final class HoldTable {
  public static final String PREFIX = Replica.PREFIX + "h/";

  private static final System.Logger LOG = System.getLogger(HoldTable.class.getName());

  /** The controllers among which machines are shared by nature. */
  public static final String ROSTER_KEY = Replica.PREFIX + "roster";

  /**
   * Who holds a machine under which token; {@code dead} once the cloud has confirmed its end, at a
   * time of day that is 0 where none was written. Where there is no record the stamp is that of the
   * roster, below zero.
   */
  public record Hold(
      String host,
      String holder,
      long token,
      boolean machineDeleted,
      long machineDeletedAtMs,
      long revision) {
    /** Whether there is no record of the machine. */
    boolean isDefault() {
      return revision < 0;
    }
  }

  private final Map<String, Hold> records = new HashMap<>();

  /** Those of machines that are gone, in the order in which that was seen. */
  private final Map<String, Hold> deletedMachines = new LinkedHashMap<>();

  private final Map<String, String> defaultHolders = new HashMap<>();
  private final Replica replica;
  private Roster roster = Roster.NONE;

  /** A newer one, before all is known that was written before it. */
  private Roster nextRoster;

  private boolean creatingRoster;
  private Consumer<String> listener = host -> {};

  public HoldTable(Replica replica) {
    this.replica = replica;
    replica.addListener(
        PREFIX,
        (host, value, stamp) -> {
          Hold hold = value == null ? null : read(host, value, stamp);
          if (hold == null) {
            records.remove(host);
          } else {
            records.put(host, hold);
          }
          if (hold != null && hold.machineDeleted) {
            deletedMachines.put(host, hold);
          } else {
            deletedMachines.remove(host);
          }
          // Worked out anew if it is asked for again; otherwise it would be kept for ever.
          defaultHolders.remove(host);
          listener.accept(host);
        });
    replica.addListener(ROSTER_KEY, (rest, value, stamp) -> rosterChanged(value, stamp));
  }

  /**
   * A record that names nobody, or cannot be read, is one without a holder: whoever the worker
   * reports to takes the machine and so writes a good one.
   */
  private static Hold read(String host, Document value, long stamp) {
    try {
      return new Hold(
          host,
          value.textOr("holder", ""),
          value.countOr("baton", 0),
          value.flagOr("dead", false),
          value.countOr("at", 0),
          stamp);
    } catch (MalformedMessageException e) {
      LOG.log(Level.ERROR, "the hold of {0} cannot be read: {1}", host, e.getMessage());
      return new Hold(host, "", 0, false, 0, stamp);
    }
  }

  private void rosterChanged(Document value, long stamp) {
    if (value == null) {
      return;
    }
    try {
      Roster next = Roster.read(value, stamp);
      if (roster.members().isEmpty()) {
        useRoster(next);
      } else {
        nextRoster = next;
      }
    } catch (MalformedMessageException e) {
      LOG.log(Level.ERROR, "the roster cannot be read: {0}", e.getMessage());
    }
  }

  private void useRoster(Roster next) {
    roster = next;
    defaultHolders.clear();
    LOG.log(Level.INFO, "{0} controllers share the machines", next.members().size());
  }

  /**
   * The roster that holds. A newer one counts once everything is known that was written before it:
   * a machine that somebody has taken in the epoch before must not be held by nature in the next.
   */
  public Roster roster() {
    if (nextRoster != null && replica.appliedRevision() >= nextRoster.revision()) {
      useRoster(nextRoster);
      nextRoster = null;
    }
    return roster;
  }

  /** Makes a write conditional on the hold of a machine being what it was at that stamp. */
  public static Txn condition(Txn txn, String host, long stamp) {
    return stamp < 0
        ? txn.requireRevision(key(host), 0).requireRevision(ROSTER_KEY, -stamp)
        : txn.requireRevision(key(host), stamp);
  }

  /** Writes the roster if there is none; whoever is first decides it for all. */
  public void createRoster(Settings settings, StateStore store) {
    if (!roster.members().isEmpty() || creatingRoster || !replica.ready()) {
      return;
    }
    creatingRoster = true;
    List<Roster.Member> members = new ArrayList<>();
    members.add(new Roster.Member(settings.node(), settings.zone()));
    settings.peers().forEach(p -> members.add(new Roster.Member(p.node(), p.zone())));
    Document value = new Roster(members, 1, 0).write();
    store.tryTxn(
        new Txn().requireRevision(ROSTER_KEY, 0).put(ROSTER_KEY, value),
        StateStore.RequestPriority.LEASE,
        done -> {
          creatingRoster = false;
          if (done.ok()) {
            replica.apply(ROSTER_KEY, value, done.revision());
          }
        });
  }

  public void listen(Consumer<String> changed) {
    listener = changed;
  }

  public static String key(String host) {
    return PREFIX + host;
  }

  /** The records of machines that are gone, oldest first. */
  public Collection<Hold> deletedMachines() {
    return deletedMachines.values();
  }

  /** All records there are. */
  public Collection<Hold> records() {
    return records.values();
  }

  /** The record of a machine, or null. */
  public Hold recordOf(String host) {
    return records.get(host);
  }

  /** Who holds the machine, by record or by nature; null only while the roster is unknown. */
  public Hold holdOf(String host, String zone) {
    Hold recorded = records.get(host);
    if (recorded != null) {
      return recorded;
    }
    Roster now = roster();
    String holder = defaultHolders.computeIfAbsent(host, h -> now.defaultHolder(h, zone));
    return holder == null
        ? null
        : new Hold(host, holder + "#0", now.defaultToken(), false, 0, -now.revision());
  }

  /** Whether the machine is held by this controller, in whatever incarnation. */
  boolean isHeldBy(String node, Hold hold) {
    return hold != null
        && !hold.machineDeleted()
        && !hold.holder().isEmpty()
        && Membership.nodeOf(hold.holder()).equals(node);
  }

  /** A holder's record. Nobody may write one who has no name: nobody else could read it. */
  static Document write(String holder, long token, String mark) {
    if (Membership.nodeOf(holder).isEmpty()) {
      throw new IllegalArgumentException("a hold needs a holder");
    }
    return Document.create()
        .put("holder", holder)
        .put("baton", token)
        .put(StateStore.WRITE_ID_FIELD, mark);
  }

  /** The record of a machine whose deletion the cloud has confirmed, at a time of day. */
  public static Document writeDeleted(long atMs, String mark) {
    return Document.create().put("dead", true).put("at", atMs).put(StateStore.WRITE_ID_FIELD, mark);
  }

  /** The roster as it is to be recorded in the place of the present one. */
  public static Txn replaceRoster(Txn txn, Roster now, Roster next) {
    return txn.requireRevision(ROSTER_KEY, now.revision()).put(ROSTER_KEY, next.write());
  }

  void applyWrite(String host, Document value, long stamp) {
    replica.apply(key(host), value, stamp);
  }
}
