package dev.dunefront.fleet;

import dev.dunefront.net.Caller;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import dev.dunefront.store.Store;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import dev.dunefront.wire.Size;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The catalog of machine types. The first controller to start fetches it from the cloud and stores
 * a copy in the state service, so that a restart does not depend on the cloud. It also records the
 * observed task sizes and urgent jobs, which placement and scaling take into account.
 */
public final class Catalog {
  private static final String KEY = "c/catalog";
  private static final double ASK_AGAIN_S = 2;
  private static final int MAX_SIZES = 100;

  /**
   * A type is too expensive for a service replica if the replica costs more than this many times as
   * much there as on its cheapest type.
   */
  private static final double DEAR = 1.2;

  private final String cloud;
  private final Caller caller;
  private final Store store;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private Map<String, MachineType> types = Map.of();
  private Set<String> zones = Set.of();

  /** Task sizes observed so far, bounded by {@link #MAX_SIZES}; users submit few distinct sizes. */
  private final Set<Size> sizes =
      Collections.newSetFromMap(
          new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Size, Boolean> eldest) {
              return size() > MAX_SIZES;
            }
          });

  /** One observed job for each class of urgent arrays. */
  private final Map<String, JobSpec> urgentArrays = new LinkedHashMap<>();

  /** Types that are the cheapest for some observed urgent job that excludes spot machines. */
  private final Set<String> urgentHomes = new HashSet<>();

  public Catalog(
      String cloudAddress, Caller caller, Store store, Timers timers, DecisionLock decisionLock) {
    this.cloud = cloudAddress;
    this.caller = caller;
    this.store = store;
    this.timers = timers;
    this.decisionLock = decisionLock;
  }

  public boolean known() {
    return !types.isEmpty();
  }

  public MachineType type(String name) {
    return types.get(name);
  }

  public Collection<MachineType> types() {
    return types.values();
  }

  /** A machine that fits at least this many tasks of a job is oversized for that job. */
  public static final int OVERSIZE = 8;

  /** All zones in which a machine type is available. */
  public Set<String> zones() {
    return zones;
  }

  /** Records a job's requirements, for which other jobs leave room. */
  public void seen(JobSpec spec) {
    sizes.add(spec.size());
    if (!spec.priority().urgent()) {
      return;
    }
    if (!spec.service() && urgentArrays.size() < MAX_SIZES) {
      urgentArrays.putIfAbsent(spec.jobClass(), spec);
    }
    MachineType home = home(spec);
    if (home != null) {
      urgentHomes.add(home.name());
    }
  }

  /**
   * Whether urgent arrays may use machines of the kind. They arrive in bursts, and they start in
   * time only on machines that have their images cached.
   */
  boolean servesUrgentArrays(Kind kind) {
    MachineType t = types.get(kind.type());
    for (JobSpec spec : urgentArrays.values()) {
      if (t != null
          && spec.allows(kind.type(), kind.zone(), kind.spot())
          && spec.size().fits(t.size())) {
        return true;
      }
    }
    return false;
  }

  /**
   * The type on which a task of the job costs least, for a job that excludes spot machines; null
   * for a job that allows them, or if no type fits.
   */
  public MachineType home(JobSpec spec) {
    MachineType home = null;
    for (MachineType t : types()) {
      if (!spec.spot()
          && allows(spec, t)
          && (home == null || taskPrice(spec, t) < taskPrice(spec, home))) {
        home = t;
      }
    }
    return home;
  }

  /** Cost of one task on a fully used on-demand machine of the type. */
  private static double taskPrice(JobSpec spec, MachineType t) {
    return t.price() / Math.max(1, spec.size().timesIn(t.size()));
  }

  /** Whether an urgent job that excludes spot machines has been observed. */
  public boolean ordinaryNeeded() {
    return !urgentHomes.isEmpty();
  }

  /** Whether the type is the cheapest for an urgent job that excludes spot machines. */
  public boolean urgentHome(String type) {
    return urgentHomes.contains(type);
  }

  private static boolean allows(JobSpec spec, MachineType t) {
    return (spec.types() == null || spec.types().contains(t.name())) && spec.size().fits(t.size());
  }

  /**
   * Whether a service replica should wait for a cheaper type than this one. A replica stays on the
   * machine on which it starts, so it keeps costing the higher price.
   */
  public boolean dear(JobSpec spec, MachineType type) {
    MachineType home = spec.service() ? home(spec) : null;
    return home != null && taskPrice(spec, type) > DEAR * taskPrice(spec, home);
  }

  /**
   * Whether the job should avoid types that are oversized for it: it is allowed on a type that is
   * not, and some observed task size fits only on oversized ones.
   */
  public boolean leavesLarge(JobSpec spec) {
    boolean smallerAllowed = false;
    Set<Size> needLarge = new HashSet<>(sizes);
    for (MachineType t : types()) {
      int times = spec.size().timesIn(t.size());
      if (times > 0 && times < OVERSIZE) {
        smallerAllowed |= spec.types() == null || spec.types().contains(t.name());
        needLarge.removeIf(s -> s.fits(t.size()));
      }
    }
    return smallerAllowed && !needLarge.isEmpty();
  }

  /** Loads the catalog from the state service, or from the cloud if it is not stored there. */
  public void start() {
    store.get(
        KEY,
        Store.Urgency.CORE,
        got -> {
          if (got.outcome() == Store.Outcome.OK && take(got.value())) {
            return;
          }
          ask(got.outcome() == Store.Outcome.MISSING);
        });
  }

  private void ask(boolean storeCopy) {
    decisionLock.then(
        () ->
            caller.call(
                cloud,
                "GET",
                "/catalog",
                null,
                3,
                reply ->
                    decisionLock.run(
                        () -> {
                          Doc doc = null;
                          if (reply.ok()) {
                            try {
                              doc = Doc.decode(reply.body());
                            } catch (BadMessage e) {
                              // fetched again below
                            }
                          }
                          if (doc == null || !take(doc)) {
                            timers.after(ASK_AGAIN_S, () -> decisionLock.run(this::start));
                          } else if (storeCopy) {
                            store.tryTxn(
                                new Txn().put(KEY, doc), Store.Urgency.BACKGROUND, done -> {});
                          }
                        })));
  }

  /** Loads a catalog in the cloud's format; returns false if it is malformed or empty. */
  boolean take(Doc doc) {
    Map<String, MachineType> read = new LinkedHashMap<>();
    try {
      for (Doc d : doc.docs("flavors")) {
        MachineType t = MachineType.read(d);
        read.put(t.name(), t);
      }
    } catch (BadMessage e) {
      return false;
    }
    if (read.isEmpty()) {
      return false;
    }
    types = read;
    Set<String> all = new TreeSet<>();
    read.values().forEach(t -> all.addAll(t.zones()));
    zones = all;
    return true;
  }
}
