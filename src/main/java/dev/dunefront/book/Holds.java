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
 * Who holds which machine: as recorded, or, while there is no record, by nature. Every controller
 * works out alike from the roster which of them is a machine's natural holder, under the roster's
 * token; whoever else takes the machine writes a record, on the condition that there is none. So
 * hundreds of machines that come at once are held without a single write, and no more than one
 * holds each.
 */
public final class Holds {
  public static final String PREFIX = Replica.PREFIX + "h/";

  private static final System.Logger LOG = System.getLogger(Holds.class.getName());

  /** The controllers among which machines are shared by nature. */
  public static final String ROSTER = Replica.PREFIX + "roster";

  /**
   * Who holds a machine under which token; {@code dead} once the cloud has confirmed its end, at a
   * time of day that is 0 where none was written. Where there is no record the stamp is that of the
   * roster, below zero.
   */
  public record Hold(
      String host, String holder, long token, boolean dead, long deadAtMs, long stamp) {
    /** Whether there is no record of the machine. */
    boolean natural() {
      return stamp < 0;
    }
  }

  private final Map<String, Hold> all = new HashMap<>();

  /** Those of machines that are gone, in the order in which that was seen. */
  private final Map<String, Hold> dead = new LinkedHashMap<>();

  private final Map<String, String> natural = new HashMap<>();
  private final Replica replica;
  private Roster roster = Roster.NONE;

  /** A newer one, before all is known that was written before it. */
  private Roster coming;

  private boolean establishing;
  private Consumer<String> listener = host -> {};

  public Holds(Replica replica) {
    this.replica = replica;
    replica.listen(
        PREFIX,
        (host, value, stamp) -> {
          Hold hold = value == null ? null : read(host, value, stamp);
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
          // Worked out anew if it is asked for again; otherwise it would be kept for ever.
          natural.remove(host);
          listener.accept(host);
        });
    replica.listen(ROSTER, (rest, value, stamp) -> enrol(value, stamp));
  }

  /**
   * A record that names nobody, or cannot be read, is one without a holder: whoever the worker
   * reports to takes the machine and so writes a good one.
   */
  private static Hold read(String host, Doc value, long stamp) {
    try {
      return new Hold(
          host,
          value.textOr("holder", ""),
          value.countOr("baton", 0),
          value.flagOr("dead", false),
          value.countOr("at", 0),
          stamp);
    } catch (BadMessage e) {
      LOG.log(Level.ERROR, "the hold of {0} cannot be read: {1}", host, e.getMessage());
      return new Hold(host, "", 0, false, 0, stamp);
    }
  }

  private void enrol(Doc value, long stamp) {
    if (value == null) {
      return;
    }
    try {
      Roster next = Roster.read(value, stamp);
      if (roster.members().isEmpty()) {
        adopt(next);
      } else {
        coming = next;
      }
    } catch (BadMessage e) {
      LOG.log(Level.ERROR, "the roster cannot be read: {0}", e.getMessage());
    }
  }

  private void adopt(Roster next) {
    roster = next;
    natural.clear();
    LOG.log(Level.INFO, "{0} controllers share the machines", next.members().size());
  }

  /**
   * The roster that holds. A newer one counts once everything is known that was written before it:
   * a machine that somebody has taken in the epoch before must not be held by nature in the next.
   */
  public Roster roster() {
    if (coming != null && replica.seen() >= coming.stamp()) {
      adopt(coming);
      coming = null;
    }
    return roster;
  }

  /** Makes a write conditional on the hold of a machine being what it was at that stamp. */
  public static Txn condition(Txn txn, String host, long stamp) {
    return stamp < 0 ? txn.when(key(host), 0).when(ROSTER, -stamp) : txn.when(key(host), stamp);
  }

  /** Writes the roster if there is none; whoever is first decides it for all. */
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
        done -> {
          establishing = false;
          if (done.ok()) {
            replica.apply(ROSTER, value, done.revision());
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
  public Collection<Hold> dead() {
    return dead.values();
  }

  /** All records there are. */
  public Collection<Hold> recorded() {
    return all.values();
  }

  /** The record of a machine, or null. */
  public Hold get(String host) {
    return all.get(host);
  }

  /** Who holds the machine, by record or by nature; null only while the roster is unknown. */
  public Hold of(String host, String zone) {
    Hold recorded = all.get(host);
    if (recorded != null) {
      return recorded;
    }
    Roster now = roster();
    String holder = natural.computeIfAbsent(host, h -> now.holder(h, zone));
    return holder == null
        ? null
        : new Hold(host, holder + "#0", now.token(), false, 0, -now.stamp());
  }

  /** Whether the machine is held by this controller, in whatever incarnation. */
  boolean heldBy(String node, Hold hold) {
    return hold != null
        && !hold.dead()
        && !hold.holder().isEmpty()
        && Membership.nodeOf(hold.holder()).equals(node);
  }

  /** A holder's record. Nobody may write one who has no name: nobody else could read it. */
  static Doc write(String holder, long token, String mark) {
    if (Membership.nodeOf(holder).isEmpty()) {
      throw new IllegalArgumentException("a hold needs a holder");
    }
    return Doc.of().put("holder", holder).put("baton", token).put(Store.MARK, mark);
  }

  /** The record of a machine whose deletion the cloud has confirmed, at a time of day. */
  public static Doc writeDead(long atMs, String mark) {
    return Doc.of().put("dead", true).put("at", atMs).put(Store.MARK, mark);
  }

  /** The roster as it is to be recorded in the place of the present one. */
  public static Txn change(Txn txn, Roster now, Roster next) {
    return txn.when(ROSTER, now.stamp()).put(ROSTER, next.write());
  }

  void wrote(String host, Doc value, long stamp) {
    replica.apply(key(host), value, stamp);
  }
}
