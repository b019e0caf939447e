package dev.dunefront.book;

import dev.dunefront.config.Settings;
import dev.dunefront.store.Membership;
import dev.dunefront.store.Replica;
import dev.dunefront.store.Store;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
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
public final class Holds {
  public static final String PREFIX = Replica.PREFIX + "h/";

  private static final System.Logger LOG = System.getLogger(Holds.class.getName());

  /** Key of the roster, the controllers that share the machines without a record. */
  public static final String ROSTER = Replica.PREFIX + "roster";

  /**
   * Which controller holds a machine, and under which fencing token.
   *
   * @param holder incarnation of the controller, empty if there is none
   * @param dead whether the cloud has confirmed the deletion of the machine
   * @param deadAtMs wall-clock time of that confirmation in milliseconds, 0 if none was recorded
   * @param stamp revision of the record; if there is no record, the negated revision of the roster
   */
  public record Hold(
      String host, String holder, long token, boolean dead, long deadAtMs, long stamp) {
    /** Whether this is the default hold of a machine without a record. */
    boolean natural() {
      return stamp < 0;
    }
  }

  private final Map<String, Hold> all = new HashMap<>();

  /** Records of deleted machines, in the order in which the deletions were seen. */
  private final Map<String, Hold> dead = new LinkedHashMap<>();

  private final Map<String, String> natural = new HashMap<>();
  private final Replica replica;
  private Roster roster = Roster.NONE;

  /**
   * A newer roster, until the replica has caught up with all that was written before it; otherwise
   * null.
   */
  private Roster coming;

  private boolean establishing;
  private Consumer<String> listener = host -> {};

  public Holds(Replica replica) {
    this.replica = replica;
    replica.listen(
        PREFIX,
        (host, value, revision) -> {
          Hold hold = value == null ? null : read(host, value, revision);
          if (hold == null) {
            all.remove(host);
          } else {
            all.put(host, hold);
          }
          if (hold != null && hold.dead) {
            dead.put(host, hold);
          } else {
            dead.remove(host);
          }
          // Computed again on demand; otherwise entries of removed machines would accumulate.
          natural.remove(host);
          listener.accept(host);
        });
    replica.listen(ROSTER, (suffix, value, revision) -> enrol(value, revision));
  }

  /**
   * Reads a record. One that names no holder or cannot be read counts as a hold without a holder,
   * so that the controller to which the worker reports acquires the machine and writes a valid
   * record.
   */
  private static Hold read(String host, Doc value, long revision) {
    try {
      return new Hold(
          host,
          value.textOr("holder", ""),
          value.countOr("baton", 0),
          value.flagOr("dead", false),
          value.countOr("at", 0),
          revision);
    } catch (BadMessage e) {
      LOG.log(Level.ERROR, "cannot read the hold record of {0}: {1}", host, e.getMessage());
      return new Hold(host, "", 0, false, 0, revision);
    }
  }

  private void enrol(Doc value, long revision) {
    if (value == null) {
      return;
    }
    try {
      Roster next = Roster.read(value, revision);
      if (roster.members().isEmpty()) {
        adopt(next);
      } else {
        coming = next;
      }
    } catch (BadMessage e) {
      LOG.log(Level.ERROR, "cannot read the roster: {0}", e.getMessage());
    }
  }

  private void adopt(Roster next) {
    roster = next;
    natural.clear();
    LOG.log(Level.INFO, "the roster names {0} controllers", next.members().size());
  }

  /**
   * The roster in effect. A newer one takes effect once the replica has all earlier writes: a
   * machine that was acquired in the previous epoch must not get a default holder in the next.
   */
  public Roster roster() {
    if (coming != null && replica.seen() >= coming.stamp()) {
      adopt(coming);
      coming = null;
    }
    return roster;
  }

  /**
   * Makes a write conditional on the hold of a machine being unchanged since the given revision,
   * where a negative one is that of the roster.
   */
  public static Txn condition(Txn txn, String host, long revision) {
    return revision < 0
        ? txn.when(key(host), 0).when(ROSTER, -revision)
        : txn.when(key(host), revision);
  }

  /**
   * Writes the initial roster if there is none. The first controller to write it determines it for
   * all.
   */
  public void establish(Settings settings, Store store) {
    if (!roster.members().isEmpty() || establishing || !replica.ready()) {
      return;
    }
    establishing = true;
    List<Roster.Member> members = new ArrayList<>();
    members.add(new Roster.Member(settings.node(), settings.zone()));
    settings.peers().forEach(p -> members.add(new Roster.Member(p.node(), p.zone())));
    Doc value = new Roster(members, 1, 0).write();
    store.tryTxn(
        new Txn().when(ROSTER, 0).put(ROSTER, value),
        Store.Urgency.LEASE,
        result -> {
          establishing = false;
          if (result.ok()) {
            replica.apply(ROSTER, value, result.revision());
          }
        });
  }

  public void listen(Consumer<String> changed) {
    listener = changed;
  }

  public static String key(String host) {
    return PREFIX + host;
  }

  /** The records of deleted machines, oldest first. */
  public Collection<Hold> dead() {
    return dead.values();
  }

  /** All hold records. */
  public Collection<Hold> recorded() {
    return all.values();
  }

  /** The hold record of a machine, or null if there is none. */
  public Hold get(String host) {
    return all.get(host);
  }

  /** The hold of a machine, by its record or by default; null only while the roster is unknown. */
  public Hold of(String host, String zone) {
    Hold recorded = all.get(host);
    if (recorded != null) {
      return recorded;
    }
    Roster current = roster();
    String holder = natural.computeIfAbsent(host, h -> current.holder(h, zone));
    return holder == null
        ? null
        : new Hold(host, holder + "#0", current.token(), false, 0, -current.stamp());
  }

  /**
   * Whether the hold belongs to this node, in any of its incarnations. False for null and for a
   * deleted machine.
   */
  boolean heldBy(String node, Hold hold) {
    return hold != null
        && !hold.dead()
        && !hold.holder().isEmpty()
        && Membership.nodeOf(hold.holder()).equals(node);
  }

  /**
   * Returns the value of a hold record.
   *
   * @throws IllegalArgumentException if the holder has no node name, since no controller could
   *     resolve such a record
   */
  static Doc write(String holder, long token, String mark) {
    if (Membership.nodeOf(holder).isEmpty()) {
      throw new IllegalArgumentException("hold record without a holder");
    }
    return Doc.of().put("holder", holder).put("baton", token).put(Store.MARK, mark);
  }

  /**
   * Returns the record of a machine whose deletion the cloud has confirmed at the given wall-clock
   * time in milliseconds.
   */
  public static Doc writeDead(long atMs, String mark) {
    return Doc.of().put("dead", true).put("at", atMs).put(Store.MARK, mark);
  }

  /** Adds the replacement of the current roster to a transaction, conditional on its revision. */
  public static Txn change(Txn txn, Roster current, Roster next) {
    return txn.when(ROSTER, current.stamp()).put(ROSTER, next.write());
  }

  void wrote(String host, Doc value, long revision) {
    replica.apply(key(host), value, revision);
  }
}
