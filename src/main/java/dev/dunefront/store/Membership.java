package dev.dunefront.store;

import dev.dunefront.net.Loops;
import dev.dunefront.net.Timers;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Tracks which controllers are live. Each stores a key under a lease of its own; the lease ID is
 * part of the incarnation's name, so a controller that restarts or loses its lease is a new
 * incarnation to the others.
 */
public final class Membership {
  public static final String PREFIX = Replica.PREFIX + "n/";

  /** Even in an outage the lease is requested or renewed more often than this. */
  private static final double STALLED_S = 30;

  private static final System.Logger LOG = System.getLogger(Membership.class.getName());

  private final String node;
  private final String zone;
  private final Store store;
  private final Replica replica;
  private final Timers timers;
  private final double lifeS;
  private final Loops loops;
  private final Map<String, String> live = new TreeMap<>();

  /** Zones of the live controllers, as they report them. */
  private final Map<String, String> zones = new TreeMap<>();

  private Runnable reborn = () -> {};

  /** Stamp of this controller's key as last seen; 0 if the key does not exist. */
  private long keyStamp;

  private long tenancy;
  private String self;

  public Membership(
      String node,
      String zone,
      Store store,
      Replica replica,
      Timers timers,
      double lifeS,
      Loops loops) {
    this.node = node;
    this.zone = zone;
    this.store = store;
    this.replica = replica;
    this.timers = timers;
    this.lifeS = lifeS;
    this.loops = loops;
    replica.listen(
        PREFIX,
        (name, value, stamp) -> {
          String incarnation = null;
          try {
            incarnation = value == null ? null : value.text("inc");
            zones.put(name, value == null ? "" : value.textOr("zone", ""));
          } catch (BadMessage e) {
            LOG.log(
                Level.ERROR,
                "cannot decode the membership record of {0}: {1}",
                name,
                e.getMessage());
          }
          if (incarnation == null) {
            live.remove(name);
            zones.remove(name);
          } else {
            live.put(name, incarnation);
          }
          if (name.equals(node)) {
            keyStamp = value == null ? 0 : stamp;
            if (self != null && !self.equals(incarnation)) {
              reassert(self);
            }
          }
        });
  }

  /**
   * Rewrites this controller's key, which has been removed or names another incarnation although
   * this one is live. Either the lease has just expired, or another writer has overwritten the key;
   * the others would then treat this controller as dead for as long as it runs.
   */
  private void reassert(String name) {
    if (!name.equals(self) || name.equals(live.get(node))) {
      return;
    }
    Doc value = value(name);
    store.tryTxn(
        new Txn().when(PREFIX + node, keyStamp).put(PREFIX + node, value, tenancy),
        Store.Urgency.USER,
        result -> {
          if (!name.equals(self)) {
            return;
          }
          if (result.ok()) {
            replica.apply(PREFIX + node, value, result.revision());
          } else if (result.outcome() == Store.Outcome.MISSING) {
            lapsed();
          } else {
            timers.after(0.3, () -> reassert(name));
          }
        });
  }

  private void lapsed() {
    LOG.log(Level.INFO, "lease of {0} has expired", self);
    self = null;
    tenancy = 0;
    start();
  }

  private Doc value(String name) {
    return Doc.of().put("inc", name).put("zone", zone).put(Store.MARK, store.newMark());
  }

  /** Sets the action to run whenever this controller has registered as a new incarnation. */
  public void onReborn(Runnable action) {
    reborn = action;
  }

  /** Name of the current incarnation, or null while this controller is not registered. */
  public String self() {
    return self;
  }

  public long tenancy() {
    return tenancy;
  }

  public boolean alive(String incarnation) {
    return incarnation.equals(live.get(nodeOf(incarnation)));
  }

  /** Live incarnation of a node, or null. */
  public String incarnation(String name) {
    return live.get(name);
  }

  public Set<String> liveNodes() {
    return live.keySet();
  }

  /** Zone of a live controller; empty if it is unknown. */
  public String zone(String name) {
    return zones.getOrDefault(name, "");
  }

  /**
   * Node of an incarnation; empty if the argument is not the name of one. No node has an empty
   * name.
   */
  public static String nodeOf(String incarnation) {
    return incarnation.substring(0, Math.max(0, incarnation.lastIndexOf('#')));
  }

  /** Lease ID of an incarnation; 0 if the argument is not the name of one. */
  public static long leaseOf(String incarnation) {
    try {
      return Long.parseLong(incarnation.substring(incarnation.lastIndexOf('#') + 1));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  public void start() {
    store.grantLease(
        lifeS,
        result -> {
          if (!result.ok()) {
            LOG.log(Level.INFO, "lease request failed: {0}; retrying", result.outcome());
            timers.after(0.3, this::start);
            return;
          }
          loops.turned("lease renewal", timers.now(), STALLED_S);
          enrol(result.revision());
        });
  }

  /**
   * Writes this controller's key under a new lease, on the condition that the key is unchanged.
   * Without it, a delayed write of an earlier attempt or incarnation could replace the key by one
   * that names a dead incarnation and is removed when that one's lease ends.
   */
  private void enrol(long id) {
    String name = node + "#" + id;
    store.get(
        PREFIX + node,
        // Highest priority: without a lease this controller cannot do anything else.
        Store.Urgency.USER,
        current -> {
          if (current.outcome() != Store.Outcome.OK && current.outcome() != Store.Outcome.MISSING) {
            again(name, current.outcome());
            return;
          }
          Doc value = value(name);
          store.tryTxn(
              new Txn().when(PREFIX + node, current.stamp()).put(PREFIX + node, value, id),
              Store.Urgency.USER,
              result -> {
                if (!result.ok()) {
                  again(name, result.outcome());
                  return;
                }
                tenancy = id;
                self = name;
                timers.after(lifeS / 4, () -> renew(id));
                replica.apply(PREFIX + node, value, result.revision());
                LOG.log(Level.INFO, "serving as {0}", name);
                reborn.run();
              });
        });
  }

  private void again(String name, Store.Outcome outcome) {
    LOG.log(
        Level.INFO, "registration as {0} failed: {1}; retrying with a new lease", name, outcome);
    timers.after(0.3, this::start);
  }

  private void renew(long id) {
    if (id == tenancy) {
      touch(id, ok -> timers.after(ok ? lifeS / 4 : 0.3, () -> renew(id)));
    }
  }

  /**
   * Checks whether this incarnation's lease is still valid. The action runs after the response has
   * been processed.
   */
  void verify(Runnable callback) {
    if (self == null) {
      callback.run();
    } else {
      touch(tenancy, ok -> callback.run());
    }
  }

  private void touch(long id, Consumer<Boolean> callback) {
    store.touchLease(
        id,
        result -> {
          loops.turned("lease renewal", timers.now(), STALLED_S);
          if (result.outcome() == Store.Outcome.MISSING && id == tenancy) {
            lapsed();
          }
          callback.accept(result.ok());
        });
  }
}
