package dev.dunefront.store;

import dev.dunefront.net.LoopWatchdog;
import dev.dunefront.net.Timers;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
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
  private static final double STALL_TIMEOUT_S = 30;

  private static final System.Logger LOG = System.getLogger(Membership.class.getName());

  private final String node;
  private final String zone;
  private final StateStore store;
  private final Replica replica;
  private final Timers timers;
  private final double leaseTtlS;
  private final LoopWatchdog loopWatchdog;
  private final Map<String, String> liveIncarnations = new TreeMap<>();

  /** The zones of living controllers, as they tell. */
  private final Map<String, String> zones = new TreeMap<>();

  private Runnable newIncarnationListener = () -> {};

  /** The stamp of this controller's key as last seen; 0 if it is not there. */
  private long ownKeyRevision;

  private long leaseId;
  private String ownIncarnation;

  public Membership(
      String node,
      String zone,
      StateStore store,
      Replica replica,
      Timers timers,
      double lifeS,
      LoopWatchdog loops) {
    this.node = node;
    this.zone = zone;
    this.store = store;
    this.replica = replica;
    this.timers = timers;
    this.leaseTtlS = lifeS;
    this.loopWatchdog = loops;
    replica.addListener(
        PREFIX,
        (name, value, stamp) -> {
          String incarnation = null;
          try {
            incarnation = value == null ? null : value.text("inc");
            zones.put(name, value == null ? "" : value.textOr("zone", ""));
          } catch (MalformedMessageException e) {
            LOG.log(Level.ERROR, "the record of {0} cannot be read: {1}", name, e.getMessage());
          }
          if (incarnation == null) {
            liveIncarnations.remove(name);
            zones.remove(name);
          } else {
            liveIncarnations.put(name, incarnation);
          }
          if (name.equals(node)) {
            ownKeyRevision = value == null ? 0 : stamp;
            if (ownIncarnation != null && !ownIncarnation.equals(incarnation)) {
              rewriteOwnKey(ownIncarnation);
            }
          }
        });
  }

  /**
   * This controller's key shows another name or is gone, while it serves. Either its lease has just
   * run out, or somebody has written over it: then the others would take it for dead for ever while
   * it goes on.
   */
  private void rewriteOwnKey(String name) {
    if (!name.equals(ownIncarnation) || name.equals(liveIncarnations.get(node))) {
      return;
    }
    Document value = memberRecord(name);
    store.tryTxn(
        new Txn().requireRevision(PREFIX + node, ownKeyRevision).put(PREFIX + node, value, leaseId),
        StateStore.RequestPriority.USER,
        done -> {
          if (!name.equals(ownIncarnation)) {
            return;
          }
          if (done.ok()) {
            replica.apply(PREFIX + node, value, done.revision());
          } else if (done.outcome() == StateStore.Outcome.NOT_FOUND) {
            leaseExpired();
          } else {
            timers.after(0.3, () -> rewriteOwnKey(name));
          }
        });
  }

  private void leaseExpired() {
    LOG.log(Level.INFO, "lease of {0} has ended", ownIncarnation);
    ownIncarnation = null;
    leaseId = 0;
    start();
  }

  private Document memberRecord(String name) {
    return Document.create()
        .put("inc", name)
        .put("zone", zone)
        .put(StateStore.WRITE_ID_FIELD, store.newWriteId());
  }

  /** What to do whenever this controller has become a new incarnation. */
  public void onNewIncarnation(Runnable action) {
    newIncarnationListener = action;
  }

  /** This incarnation's name, or null while there is none. */
  public String ownIncarnation() {
    return ownIncarnation;
  }

  public long leaseId() {
    return leaseId;
  }

  public boolean alive(String incarnation) {
    return incarnation.equals(liveIncarnations.get(nodeOf(incarnation)));
  }

  /** The living incarnation of a node, or null. */
  public String liveIncarnation(String name) {
    return liveIncarnations.get(name);
  }

  public Set<String> liveNodes() {
    return liveIncarnations.keySet();
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
  public static long leaseIdOf(String incarnation) {
    try {
      return Long.parseLong(incarnation.substring(incarnation.lastIndexOf('#') + 1));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  public void start() {
    store.grantLease(
        leaseTtlS,
        granted -> {
          if (!granted.ok()) {
            LOG.log(Level.INFO, "no lease is granted yet: {0}", granted.outcome());
            timers.after(0.3, this::start);
            return;
          }
          loopWatchdog.recordIteration("renewing the lease", timers.now(), STALL_TIMEOUT_S);
          register(granted.revision());
        });
  }

  /**
   * Writes this controller's key under a new lease, on the condition of what it shows now: the
   * write of an earlier try, or of an earlier life, may come late, and would show a name that is
   * dead and take the key along when that one's lease ends.
   */
  private void register(long id) {
    String name = node + "#" + id;
    store.get(
        PREFIX + node,
        // Without a lease nothing else can be done: it waits behind nothing.
        StateStore.RequestPriority.USER,
        got -> {
          if (got.outcome() != StateStore.Outcome.OK
              && got.outcome() != StateStore.Outcome.NOT_FOUND) {
            retryRegistration(name, got.outcome());
            return;
          }
          Document value = memberRecord(name);
          store.tryTxn(
              new Txn()
                  .requireRevision(PREFIX + node, got.revision())
                  .put(PREFIX + node, value, id),
              StateStore.RequestPriority.USER,
              done -> {
                if (!done.ok()) {
                  retryRegistration(name, done.outcome());
                  return;
                }
                leaseId = id;
                ownIncarnation = name;
                timers.after(leaseTtlS / 4, () -> renewPeriodically(id));
                replica.apply(PREFIX + node, value, done.revision());
                LOG.log(Level.INFO, "serving as {0}", name);
                newIncarnationListener.run();
              });
        });
  }

  private void retryRegistration(String name, StateStore.Outcome why) {
    LOG.log(Level.INFO, "not enrolled as {0} yet: {1}", name, why);
    timers.after(0.3, this::start);
  }

  private void renewPeriodically(long id) {
    if (id == leaseId) {
      renewOnce(id, ok -> timers.after(ok ? leaseTtlS / 4 : 0.3, () -> renewPeriodically(id)));
    }
  }

  /** Asks whether this incarnation still lives; by the time the action runs that is known. */
  void verifyLease(Runnable then) {
    if (ownIncarnation == null) {
      then.run();
    } else {
      renewOnce(leaseId, ok -> then.run());
    }
  }

  private void renewOnce(long id, Consumer<Boolean> then) {
    store.renewLease(
        id,
        done -> {
          loopWatchdog.recordIteration("renewing the lease", timers.now(), STALL_TIMEOUT_S);
          if (done.outcome() == StateStore.Outcome.NOT_FOUND && id == leaseId) {
            leaseExpired();
          }
          then.accept(done.ok());
        });
  }
}
