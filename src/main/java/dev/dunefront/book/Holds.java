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
 * works out alike from the roster which of them is a machine's natural holder, under baton 1;
 * whoever else takes the machine writes a record, on the condition that there is none. So hundreds
 * of machines that come at once are held without a single write, and no more than one holds each.
 */
public final class Holds {
  public static final String PREFIX = Replica.PREFIX + "h/";

  private static final System.Logger LOG = System.getLogger(Holds.class.getName());

  /** The controllers among which machines are shared by nature: written once and for all. */
  private static final String ROSTER = Replica.PREFIX + "roster";

  private static final long NATURAL_BATON = 1;

  /**
   * Who holds a machine under which baton; {@code dead} once the cloud has confirmed its end, at a
   * time of day that is 0 where none was written. The stamp is 0 where there is no record.
   */
  public record Hold(
      String host, String holder, long baton, boolean dead, long deadAtMs, long stamp) {}

  private record Member(String node, String zone) {}

  private final Map<String, Hold> all = new HashMap<>();

  /** Those of machines that are gone, in the order in which that was seen. */
  private final Map<String, Hold> dead = new LinkedHashMap<>();

  private final Map<String, String> natural = new HashMap<>();
  private final Replica replica;
  private List<Member> roster = List.of();
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
    replica.listen(ROSTER, (rest, value, stamp) -> enrol(value));
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

  private void enrol(Doc value) {
    if (value == null || !roster.isEmpty()) {
      return;
    }
    try {
      List<Member> members = new ArrayList<>();
      List<String> zones = value.texts("zones");
      for (String node : value.texts("nodes")) {
        members.add(new Member(node, zones.get(members.size())));
      }
      roster = members;
    } catch (BadMessage | IndexOutOfBoundsException e) {
      LOG.log(Level.ERROR, "the roster cannot be read: {0}", e.getMessage());
    }
  }

  /** Writes the roster if there is none; whoever is first decides it for all. */
  public void establish(Settings settings, Store store) {
    if (!roster.isEmpty() || establishing || !replica.ready()) {
      return;
    }
    establishing = true;
    List<Object> nodes = new ArrayList<>(List.of(settings.node()));
    List<Object> zones = new ArrayList<>(List.of(settings.zone()));
    for (Settings.Peer p : settings.peers()) {
      nodes.add(p.node());
      zones.add(p.zone());
    }
    Doc value = Doc.of().put("nodes", nodes).put("zones", zones);
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
    String holder = roster.isEmpty() ? null : natural.computeIfAbsent(host, h -> choose(h, zone));
    return holder == null ? null : new Hold(host, holder + "#0", NATURAL_BATON, false, 0, 0);
  }

  /** One of the machine's own zone, if there is any there: it hears it when the zone is cut off. */
  private String choose(String host, String zone) {
    Member best = null;
    boolean bestNear = false;
    int bestDraw = 0;
    for (Member m : roster) {
      boolean near = m.zone.equals(zone);
      int draw = (host + "@" + m.node).hashCode() * 0x9E3779B9;
      draw ^= draw >>> 15;
      draw *= 0x85EBCA6B;
      if (best == null || near && !bestNear || near == bestNear && draw > bestDraw) {
        best = m;
        bestNear = near;
        bestDraw = draw;
      }
    }
    return best == null ? null : best.node;
  }

  /** Whether the machine is held by this controller, in whatever incarnation. */
  boolean heldBy(String node, Hold hold) {
    return hold != null
        && !hold.dead()
        && !hold.holder().isEmpty()
        && Membership.nodeOf(hold.holder()).equals(node);
  }

  /** A holder's record. Nobody may write one who has no name: nobody else could read it. */
  static Doc write(String holder, long baton, String mark) {
    if (Membership.nodeOf(holder).isEmpty()) {
      throw new IllegalArgumentException("a hold needs a holder");
    }
    return Doc.of().put("holder", holder).put("baton", baton).put(Store.MARK, mark);
  }

  /** The record of a machine whose deletion the cloud has confirmed, at a time of day. */
  public static Doc writeDead(long atMs, String mark) {
    return Doc.of().put("dead", true).put("at", atMs).put(Store.MARK, mark);
  }

  void wrote(String host, Doc value, long stamp) {
    replica.apply(key(host), value, stamp);
  }
}
