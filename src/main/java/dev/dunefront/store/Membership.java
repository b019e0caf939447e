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
 * Tracks which controllers are live. Each stores a key under a lease of its own; the lease ID is
 * part of the incarnation's name, so a controller that restarts or loses its lease is a new
 * incarnation to the others.
 */
public final class Membership {
  public static final String PREFIX = Replica.PREFIX + "n/";

  /** Even in an outage the lease is requested or renewed more often than this. */
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

  /** Zones of the live controllers, as they report them. */
  private final Map<String, String> zones = new TreeMap<>();

  private Runnable newIncarnationListener = () -> {};

  /** Revision of this controller's key as last seen; 0 if the key does not exist. */
  private long ownKeyRevision;

  private long leaseId;
  private String ownIncarnation;

  /** Revision of the first registration of this process; 0 before that. */
  private long firstRegistrationRevision;

  public Membership(
      String node,
      String zone,
      StateStore store,
      Replica replica,
      Timers timers,
      double leaseTtlS,
      LoopWatchdog loopWatchdog) {
    this.node = node;
    this.zone = zone;
    this.store = store;
    this.replica = replica;
    this.timers = timers;
    this.leaseTtlS = leaseTtlS;
    this.loopWatchdog = loopWatchdog;
    replica.addListener(
        PREFIX,
        (name, value, revision) -> {
          String incarnation = null;
          try {
            incarnation = value == null ? null : value.text("inc");
            zones.put(name, value == null ? "" : value.textOr("zone", ""));
          } catch (MalformedMessageException e) {
            LOG.log(
                Level.ERROR,
                "cannot decode the membership record of {0}: {1}",
                name,
                e.getMessage());
          }
          if (incarnation == null) {
            liveIncarnations.remove(name);
            zones.remove(name);
          } else {
            liveIncarnations.put(name, incarnation);
          }
          if (name.equals(node)) {
            ownKeyRevision = value == null ? 0 : revision;
            if (ownIncarnation != null && !ownIncarnation.equals(incarnation)) {
              rewriteOwnKey(ownIncarnation);
            }
          }
        });
  }

  /**
   * Rewrites this controller's key, which has been removed or names another incarnation although
   * this one is live. Either the lease has just expired, or another writer has overwritten the key;
   * the others would then treat this controller as dead for as long as it runs.
   */
  private void rewriteOwnKey(String name) {
    if (!name.equals(ownIncarnation) || name.equals(liveIncarnations.get(node))) {
      return;
    }
    Document value = memberRecord(name);
    store.tryTxn(
        new Txn().requireRevision(PREFIX + node, ownKeyRevision).put(PREFIX + node, value, leaseId),
        StateStore.RequestPriority.USER,
        result -> {
          if (!name.equals(ownIncarnation)) {
            return;
          }
          if (result.ok()) {
            replica.apply(PREFIX + node, value, result.revision());
          } else if (result.outcome() == StateStore.Outcome.NOT_FOUND) {
            leaseExpired();
          } else {
            timers.after(0.3, () -> rewriteOwnKey(name));
          }
        });
  }

  private void leaseExpired() {
    LOG.log(Level.INFO, "lease of {0} has expired", ownIncarnation);
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

  /** Sets the action to run whenever this controller has registered as a new incarnation. */
  public void onNewIncarnation(Runnable action) {
    newIncarnationListener = action;
  }

  /** Name of the current incarnation, or null while this controller is not registered. */
  public String ownIncarnation() {
    return ownIncarnation;
  }

  /**
   * The revision at which this process first registered, 0 before that. It is higher than all that
   * an earlier process of this node has seen or written.
   */
  public long firstRegistrationRevision() {
    return firstRegistrationRevision;
  }

  public long leaseId() {
    return leaseId;
  }

  public boolean alive(String incarnation) {
    return incarnation.equals(liveIncarnations.get(nodeOf(incarnation)));
  }

  /** Live incarnation of a node, or null. */
  public String liveIncarnation(String name) {
    return liveIncarnations.get(name);
  }

  public Set<String> liveNodes() {
    return liveIncarnations.keySet();
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
        result -> {
          if (!result.ok()) {
            LOG.log(Level.INFO, "lease request failed: {0}; retrying", result.outcome());
            timers.after(0.3, this::start);
            return;
          }
          loopWatchdog.recordIteration("lease renewal", timers.now(), STALL_TIMEOUT_S);
          register(result.revision());
        });
  }

  /**
   * Writes this controller's key under a new lease, on the condition that the key is unchanged.
   * Without it, a delayed write of an earlier attempt or incarnation could replace the key by one
   * that names a dead incarnation and is removed when that one's lease ends.
   */
  private void register(long newLeaseId) {
    String name = node + "#" + newLeaseId;
    store.get(
        PREFIX + node,
        // Highest priority: without a lease this controller cannot do anything else.
        StateStore.RequestPriority.USER,
        current -> {
          if (current.outcome() != StateStore.Outcome.OK
              && current.outcome() != StateStore.Outcome.NOT_FOUND) {
            retryRegistration(name, current.outcome());
            return;
          }
          Document value = memberRecord(name);
          store.tryTxn(
              new Txn()
                  .requireRevision(PREFIX + node, current.revision())
                  .put(PREFIX + node, value, newLeaseId),
              StateStore.RequestPriority.USER,
              result -> {
                if (!result.ok()) {
                  retryRegistration(name, result.outcome());
                  return;
                }
                leaseId = newLeaseId;
                ownIncarnation = name;
                if (firstRegistrationRevision == 0) {
                  firstRegistrationRevision = result.revision();
                }
                timers.after(leaseTtlS / 4, () -> renewPeriodically(newLeaseId));
                replica.apply(PREFIX + node, value, result.revision());
                LOG.log(Level.INFO, "serving as {0}", name);
                newIncarnationListener.run();
              });
        });
  }

  private void retryRegistration(String name, StateStore.Outcome outcome) {
    LOG.log(
        Level.INFO, "registration as {0} failed: {1}; retrying with a new lease", name, outcome);
    timers.after(0.3, this::start);
  }

  private void renewPeriodically(long id) {
    if (id == leaseId) {
      renewOnce(id, ok -> timers.after(ok ? leaseTtlS / 4 : 0.3, () -> renewPeriodically(id)));
    }
  }

  /**
   * Checks whether this incarnation's lease is still valid. The action runs after the response has
   * been processed.
   */
  void verifyLease(Runnable callback) {
    if (ownIncarnation == null) {
      callback.run();
    } else {
      renewOnce(leaseId, ok -> callback.run());
    }
  }

  private void renewOnce(long id, Consumer<Boolean> callback) {
    store.renewLease(
        id,
        result -> {
          loopWatchdog.recordIteration("lease renewal", timers.now(), STALL_TIMEOUT_S);
          if (result.outcome() == StateStore.Outcome.NOT_FOUND && id == leaseId) {
            leaseExpired();
          }
          callback.accept(result.ok());
        });
  }
}
