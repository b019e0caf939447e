package dev.dunefront.book;

import dev.dunefront.config.Settings;
import dev.dunefront.evidence.FencingTokens;
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
 * Which controller holds which machine. A machine without a hold record has a default holder, which
 * every controller computes alike from the roster by rendezvous hashing and which holds the machine
 * under the roster's token. Any other controller that acquires the machine writes a record, on the
 * condition that there is none. Hundreds of machines that start at once are therefore held without
 * a write, and never by more than one controller each.
 */
public final class HoldTable {
  public static final String PREFIX = Replica.PREFIX + "h/";

  private static final System.Logger LOG = System.getLogger(HoldTable.class.getName());

  /** Key of the roster, the controllers that share the machines without a record. */
  public static final String ROSTER_KEY = Replica.PREFIX + "roster";

  /**
   * Which controller holds a machine, and under which fencing token.
   *
   * @param holder incarnation of the controller, empty if there is none
   * @param token the lowest token of the hold; see {@link #tokenFor}
   * @param machineDeleted whether the cloud has confirmed the deletion of the machine
   * @param machineDeletedAtMs wall-clock time of that confirmation in milliseconds, 0 if none was
   *     recorded
   * @param revision revision of the record; if there is no record, the negated revision of the
   *     roster
   */
  public record Hold(
      String host,
      String holder,
      long token,
      boolean machineDeleted,
      long machineDeletedAtMs,
      long revision) {
    /** Whether this is the default hold of a machine without a record. */
    boolean isDefault() {
      return revision < 0;
    }
  }

  private final Map<String, Hold> records = new HashMap<>();

  /** Records of deleted machines, in the order in which the deletions were seen. */
  private final Map<String, Hold> deletedMachines = new LinkedHashMap<>();

  private final Map<String, String> defaultHolders = new HashMap<>();
  private final Replica replica;
  private Roster roster = Roster.NONE;

  /**
   * A newer roster, until the replica has caught up with all that was written before it; otherwise
   * null.
   */
  private Roster nextRoster;

  private boolean creatingRoster;
  private Consumer<String> listener = host -> {};

  public HoldTable(Replica replica) {
    this.replica = replica;
    replica.addListener(
        PREFIX,
        (host, value, revision) -> {
          Hold hold = value == null ? null : read(host, value, revision);
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
          // Computed again on demand; otherwise entries of removed machines would accumulate.
          defaultHolders.remove(host);
          listener.accept(host);
        });
    replica.addListener(ROSTER_KEY, (suffix, value, revision) -> rosterChanged(value, revision));
  }

  /**
   * Reads a record. One that names no holder or cannot be read counts as a hold without a holder,
   * so that the controller to which the worker reports acquires the machine and writes a valid
   * record.
   */
  private static Hold read(String host, Document value, long revision) {
    try {
      return new Hold(
          host,
          value.textOr("holder", ""),
          tokenOf(revision, value.countOr("baton", 0)),
          value.flagOr("dead", false),
          value.countOr("at", 0),
          revision);
    } catch (MalformedMessageException e) {
      LOG.log(Level.ERROR, "cannot read the hold record of {0}: {1}", host, e.getMessage());
      return new Hold(host, "", 0, false, 0, revision);
    }
  }

  private void rosterChanged(Document value, long revision) {
    if (value == null) {
      return;
    }
    try {
      Roster next = Roster.read(value, revision);
      if (roster.members().isEmpty()) {
        useRoster(next);
      } else {
        nextRoster = next;
      }
    } catch (MalformedMessageException e) {
      LOG.log(Level.ERROR, "cannot read the roster: {0}", e.getMessage());
    }
  }

  private void useRoster(Roster next) {
    roster = next;
    defaultHolders.clear();
    LOG.log(Level.INFO, "the roster names {0} controllers", next.members().size());
  }

  /**
   * The roster in effect. A newer one takes effect once the replica has all earlier writes: a
   * machine that was acquired in the previous epoch must not get a default holder in the next.
   */
  public Roster roster() {
    if (nextRoster != null && replica.appliedRevision() >= nextRoster.revision()) {
      useRoster(nextRoster);
      nextRoster = null;
    }
    return roster;
  }

  /**
   * Makes a write conditional on the hold of a machine being unchanged since the given revision,
   * where a negative one is that of the roster.
   */
  public static Txn condition(Txn txn, String host, long revision) {
    return revision < 0
        ? txn.requireRevision(key(host), 0).requireRevision(ROSTER_KEY, -revision)
        : txn.requireRevision(key(host), revision);
  }

  /**
   * Writes the initial roster if there is none. The first controller to write it determines it for
   * all.
   */
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
        result -> {
          creatingRoster = false;
          if (result.ok()) {
            replica.apply(ROSTER_KEY, value, result.revision());
          }
        });
  }

  /** Sets the listener, which receives the host of each changed hold record. */
  public void setListener(Consumer<String> changed) {
    listener = changed;
  }

  public static String key(String host) {
    return PREFIX + host;
  }

  /** The records of deleted machines, oldest first. */
  public Collection<Hold> deletedMachines() {
    return deletedMachines.values();
  }

  /** All hold records. */
  public Collection<Hold> records() {
    return records.values();
  }

  /** The hold record of a machine, or null if there is none. */
  public Hold recordOf(String host) {
    return records.get(host);
  }

  /** The hold of a machine, by its record or by default; null only while the roster is unknown. */
  public Hold holdOf(String host, String zone) {
    Hold recorded = records.get(host);
    if (recorded != null) {
      return recorded;
    }
    Roster current = roster();
    String holder = defaultHolders.computeIfAbsent(host, h -> current.defaultHolder(h, zone));
    return holder == null
        ? null
        : new Hold(
            host,
            holder + "#0",
            tokenOf(current.revision(), current.defaultToken()),
            false,
            0,
            -current.revision());
  }

  /**
   * The first token of the hold that a record of this revision describes.
   *
   * @param lowestToken a token that it must not be below, as the record says
   */
  static long tokenOf(long revision, long lowestToken) {
    return Math.max(FencingTokens.firstOf(revision), lowestToken);
  }

  /**
   * The first token under which a process of the holder holds the machine without a write. It is
   * above all tokens of earlier processes of this node, which held it under the same record.
   *
   * @param registrationRevision revision at which the process has registered
   */
  static long tokenFor(Hold hold, long registrationRevision) {
    return Math.max(hold.token(), FencingTokens.firstOf(registrationRevision));
  }

  /** Whether all holds that were recorded up to this revision are known. */
  boolean appliedUpTo(long revision) {
    return replica.appliedRevision() >= revision;
  }

  /**
   * Whether the hold belongs to this node, in any of its incarnations. False for null and for a
   * deleted machine.
   */
  boolean isHeldBy(String node, Hold hold) {
    return hold != null
        && !hold.machineDeleted()
        && !hold.holder().isEmpty()
        && Membership.nodeOf(hold.holder()).equals(node);
  }

  /**
   * Returns the value of a hold record.
   *
   * @param lowestToken a token above all that the worker is known to have seen
   * @throws IllegalArgumentException if the holder has no node name, since no controller could
   *     resolve such a record
   */
  static Document write(String holder, long lowestToken, String writeId) {
    if (Membership.nodeOf(holder).isEmpty()) {
      throw new IllegalArgumentException("hold record without a holder");
    }
    return Document.create()
        .put("holder", holder)
        .put("baton", lowestToken)
        .put(StateStore.WRITE_ID_FIELD, writeId);
  }

  /**
   * Returns the record of a machine whose deletion the cloud has confirmed at the given wall-clock
   * time in milliseconds.
   */
  public static Document writeDeleted(long deletedAtMs, String writeId) {
    return Document.create()
        .put("dead", true)
        .put("at", deletedAtMs)
        .put(StateStore.WRITE_ID_FIELD, writeId);
  }

  /** Adds the replacement of the current roster to a transaction, conditional on its revision. */
  public static Txn replaceRoster(Txn txn, Roster current, Roster next) {
    return txn.requireRevision(ROSTER_KEY, current.revision()).put(ROSTER_KEY, next.write());
  }

  /** Applies a successful write to the replica, before the replica reads it back. */
  void applyWrite(String host, Document value, long revision) {
    replica.apply(key(host), value, revision);
  }
}
