package dev.dunefront.store;

import dev.dunefront.net.Timers;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which controllers live. Each holds a key under a lease of its own; the lease's id makes the
 * incarnation's name, so a controller that restarts, or loses its lease, is a new one to all.
 */
public final class Membership {
  public static final String PREFIX = Replica.PREFIX + "n/";
  private static final System.Logger LOG = System.getLogger(Membership.class.getName());

  private final String node;
  private final Store store;
  private final Replica replica;
  private final Timers timers;
  private final double lifeS;
  private final Map<String, String> live = new TreeMap<>();
  private Runnable reborn = () -> {};
  private long tenancy;
  private String self;

  public Membership(String node, Store store, Replica replica, Timers timers, double lifeS) {
    this.node = node;
    this.store = store;
    this.replica = replica;
    this.timers = timers;
    this.lifeS = lifeS;
    replica.listen(
        PREFIX,
        (name, value, stamp) -> {
          if (value == null) {
            live.remove(name);
            return;
          }
          try {
            live.put(name, value.text("inc"));
          } catch (BadMessage e) {
            live.remove(name);
          }
        });
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

  public static String nodeOf(String incarnation) {
    return incarnation.substring(0, incarnation.lastIndexOf('#'));
  }

  public void start() {
    store.grantLease(
        lifeS,
        granted -> {
          if (!granted.ok()) {
            timers.after(0.3, this::start);
            return;
          }
          long id = granted.revision();
          String name = node + "#" + id;
          String mark = store.newMark();
          Doc value = Doc.of().put("inc", name).put(Store.MARK, mark);
          store.tryTxn(
              new Txn().put(PREFIX + node, value, id),
              Store.Urgency.CORE,
              done -> {
                if (!done.ok()) {
                  timers.after(0.3, this::start);
                  return;
                }
                tenancy = id;
                self = name;
                replica.apply(PREFIX + node, value, done.revision());
                LOG.log(Level.INFO, "serving as {0}", name);
                reborn.run();
                timers.after(lifeS / 4, () -> renew(id));
              });
        });
  }

  private void renew(long id) {
    store.touchLease(
        id,
        done -> {
          if (done.outcome() == Store.Outcome.MISSING) {
            LOG.log(Level.INFO, "lease of {0} has ended", self);
            self = null;
            start();
          } else {
            timers.after(done.ok() ? lifeS / 4 : 0.3, () -> renew(id));
          }
        });
  }
}
