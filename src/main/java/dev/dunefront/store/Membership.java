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
 * Which controllers live. Each holds a key under a lease of its own; the lease's id makes the
 * incarnation's name, so a controller that restarts, or loses its lease, is a new one to all.
 */
public final class Membership {
  public static final String PREFIX = Replica.PREFIX + "n/";

  /** Even in an outage the lease is asked for more often than this. */
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

  /** The zones of living controllers, as they tell. */
  private final Map<String, String> zones = new TreeMap<>();

  private Runnable reborn = () -> {};

  /** The stamp of this controller's key as last seen; 0 if it is not there. */
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
            LOG.log(Level.ERROR, "the record of {0} cannot be read: {1}", name, e.getMessage());
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
   * This controller's key shows another name or is gone, while it serves. Either its lease has just
   * run out, or somebody has written over it: then the others would take it for dead for ever while
   * it goes on.
   */
  private void reassert(String name) {
    if (!name.equals(self) || name.equals(live.get(node))) {
      return;
    }
    Doc value = value(name);
    store.tryTxn(
        new Txn().when(PREFIX + node, keyStamp).put(PREFIX + node, value, tenancy),
        Store.Urgency.USER,
        done -> {
          if (!name.equals(self)) {
            return;
          }
          if (done.ok()) {
            replica.apply(PREFIX + node, value, done.revision());
          } else if (done.outcome() == Store.Outcome.MISSING) {
            lapsed();
          } else {
            timers.after(0.3, () -> reassert(name));
          }
        });
  }

  private void lapsed() {
    LOG.log(Level.INFO, "lease of {0} has ended", self);
    self = null;
    tenancy = 0;
    start();
  }

  private Doc value(String name) {
    return Doc.of().put("inc", name).put("zone", zone).put(Store.MARK, store.newMark());
  }

  /** What to do whenever this controller has become a new incarnation. */
  public void onReborn(Runnable action) {
    reborn = action;
  }

  /** This incarnation's name, or null while there is none. */
  public String self() {
    return self;
  }

  public long tenancy() {
    return tenancy;
  }

  public boolean alive(String incarnation) {
    return incarnation.equals(live.get(nodeOf(incarnation)));
  }

  /** The living incarnation of a node, or null. */
  public String incarnation(String name) {
    return live.get(name);
  }

  public Set<String> liveNodes() {
    return live.keySet();
  }

  /** The zone of a living controller; empty while it has not told. */
  public String zone(String name) {
    return zones.getOrDefault(name, "");
  }

  /** The controller of an incarnation; empty for what is none, which no controller is called. */
  public static String nodeOf(String incarnation) {
    return incarnation.substring(0, Math.max(0, incarnation.lastIndexOf('#')));
  }

  /** The lease under which an incarnation lives; 0 for what is none. */
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
        granted -> {
          if (!granted.ok()) {
            LOG.log(Level.INFO, "no lease is granted yet: {0}", granted.outcome());
            timers.after(0.3, this::start);
            return;
          }
          loops.turned("renewing the lease", timers.now(), STALLED_S);
          enrol(granted.revision());
        });
  }

  /**
   * Writes this controller's key under a new lease, on the condition of what it shows now: the
   * write of an earlier try, or of an earlier life, may come late, and would show a name that is
   * dead and take the key along when that one's lease ends.
   */
  private void enrol(long id) {
    String name = node + "#" + id;
    store.get(
        PREFIX + node,
        // Without a lease nothing else can be done: it waits behind nothing.
        Store.Urgency.USER,
        got -> {
          if (got.outcome() != Store.Outcome.OK && got.outcome() != Store.Outcome.MISSING) {
            again(name, got.outcome());
            return;
          }
          Doc value = value(name);
          store.tryTxn(
              new Txn().when(PREFIX + node, got.stamp()).put(PREFIX + node, value, id),
              Store.Urgency.USER,
              done -> {
                if (!done.ok()) {
                  again(name, done.outcome());
                  return;
                }
                tenancy = id;
                self = name;
                timers.after(lifeS / 4, () -> renew(id));
                replica.apply(PREFIX + node, value, done.revision());
                LOG.log(Level.INFO, "serving as {0}", name);
                reborn.run();
              });
        });
  }

  private void again(String name, Store.Outcome why) {
    LOG.log(Level.INFO, "not enrolled as {0} yet: {1}", name, why);
    timers.after(0.3, this::start);
  }

  private void renew(long id) {
    if (id == tenancy) {
      touch(id, ok -> timers.after(ok ? lifeS / 4 : 0.3, () -> renew(id)));
    }
  }

  /** Asks whether this incarnation still lives; by the time the action runs that is known. */
  void verify(Runnable then) {
    if (self == null) {
      then.run();
    } else {
      touch(tenancy, ok -> then.run());
    }
  }

  private void touch(long id, Consumer<Boolean> then) {
    store.touchLease(
        id,
        done -> {
          loops.turned("renewing the lease", timers.now(), STALLED_S);
          if (done.outcome() == Store.Outcome.MISSING && id == tenancy) {
            lapsed();
          }
          then.accept(done.ok());
        });
  }
}
