package dev.dunefront.fleet;

import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.HttpCaller;
import dev.dunefront.net.Timers;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import dev.dunefront.wire.MalformedMessageException;
import dev.dunefront.wire.Resources;
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
public final class MachineCatalog {
  private static final String KEY = "c/catalog";
  private static final double RETRY_S = 2;
  private static final int MAX_SEEN_SIZES = 100;

  /**
   * A type is too expensive for a service replica if the replica costs more than this many times as
   * much there as on its cheapest type.
   */
  private static final double EXPENSIVE_PRICE_RATIO = 1.2;

  private final String cloudAddress;
  private final HttpCaller caller;
  private final StateStore store;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private Map<String, MachineType> types = Map.of();
  private Set<String> zones = Set.of();

  /**
   * Task sizes observed so far, bounded by {@link #MAX_SEEN_SIZES}; users submit few distinct
   * sizes.
   */
  private final Set<Resources> seenSizes =
      Collections.newSetFromMap(
          new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Resources, Boolean> eldest) {
              return size() > MAX_SEEN_SIZES;
            }
          });

  /** One observed job for each class of urgent arrays. */
  private final Map<String, JobSpec> urgentArraysByClass = new LinkedHashMap<>();

  /** Types that are the cheapest for some observed urgent job that excludes spot machines. */
  private final Set<String> cheapestUrgentTypes = new HashSet<>();

  public MachineCatalog(
      String cloudAddress,
      HttpCaller caller,
      StateStore store,
      Timers timers,
      DecisionLock decisionLock) {
    this.cloudAddress = cloudAddress;
    this.caller = caller;
    this.store = store;
    this.timers = timers;
    this.decisionLock = decisionLock;
  }

  public boolean isLoaded() {
    return !types.isEmpty();
  }

  public MachineType type(String name) {
    return types.get(name);
  }

  public Collection<MachineType> types() {
    return types.values();
  }

  /** A machine that fits at least this many tasks of a job is oversized for that job. */
  public static final int OVERSIZE_TASKS = 8;

  /** All zones in which a machine type is available. */
  public Set<String> zones() {
    return zones;
  }

  /** Records a job's requirements, for which other jobs leave room. */
  public void observe(JobSpec spec) {
    seenSizes.add(spec.taskResources());
    if (!spec.priority().urgent()) {
      return;
    }
    if (!spec.service() && urgentArraysByClass.size() < MAX_SEEN_SIZES) {
      urgentArraysByClass.putIfAbsent(spec.jobClass(), spec);
    }
    MachineType cheapest = cheapestType(spec);
    if (cheapest != null) {
      cheapestUrgentTypes.add(cheapest.name());
    }
  }

  /**
   * Whether urgent arrays may use machines of the kind. They arrive in bursts, and they start in
   * time only on machines that have their images cached.
   */
  boolean servesUrgentArrays(MachineKind kind) {
    MachineType t = types.get(kind.type());
    for (JobSpec spec : urgentArraysByClass.values()) {
      if (t != null
          && spec.allows(kind.type(), kind.zone(), kind.spot())
          && spec.taskResources().fitsIn(t.resources())) {
        return true;
      }
    }
    return false;
  }

  /**
   * The type on which a task of the job costs least, for a job that excludes spot machines; null
   * for a job that allows them, or if no type fits.
   */
  public MachineType cheapestType(JobSpec spec) {
    MachineType cheapest = null;
    for (MachineType t : types()) {
      if (!spec.spotAllowed()
          && allowsType(spec, t)
          && (cheapest == null || taskPrice(spec, t) < taskPrice(spec, cheapest))) {
        cheapest = t;
      }
    }
    return cheapest;
  }

  /** Cost of one task on a fully used on-demand machine of the type. */
  private static double taskPrice(JobSpec spec, MachineType t) {
    return t.price() / Math.max(1, spec.taskResources().countFittingIn(t.resources()));
  }

  /** Whether an urgent job that excludes spot machines has been observed. */
  public boolean needsOnDemand() {
    return !cheapestUrgentTypes.isEmpty();
  }

  /** Whether the type is the cheapest for an urgent job that excludes spot machines. */
  public boolean isCheapestForUrgent(String type) {
    return cheapestUrgentTypes.contains(type);
  }

  private static boolean allowsType(JobSpec spec, MachineType t) {
    return (spec.machineTypes() == null || spec.machineTypes().contains(t.name()))
        && spec.taskResources().fitsIn(t.resources());
  }

  /**
   * Whether a service replica should wait for a cheaper type than this one. A replica stays on the
   * machine on which it starts, so it keeps costing the higher price.
   */
  public boolean isExpensive(JobSpec spec, MachineType type) {
    MachineType cheapest = spec.service() ? cheapestType(spec) : null;
    return cheapest != null
        && taskPrice(spec, type) > EXPENSIVE_PRICE_RATIO * taskPrice(spec, cheapest);
  }

  /**
   * Whether the job should avoid types that are oversized for it: it is allowed on a type that is
   * not, and some observed task size fits only on oversized ones.
   */
  public boolean avoidsOversized(JobSpec spec) {
    boolean smallerAllowed = false;
    Set<Resources> needLarge = new HashSet<>(seenSizes);
    for (MachineType t : types()) {
      int perMachine = spec.taskResources().countFittingIn(t.resources());
      if (perMachine > 0 && perMachine < OVERSIZE_TASKS) {
        smallerAllowed |= spec.machineTypes() == null || spec.machineTypes().contains(t.name());
        needLarge.removeIf(s -> s.fitsIn(t.resources()));
      }
    }
    return smallerAllowed && !needLarge.isEmpty();
  }

  /** Loads the catalog from the state service, or from the cloud if it is not stored there. */
  public void start() {
    store.get(
        KEY,
        StateStore.RequestPriority.CORE,
        got -> {
          if (got.outcome() == StateStore.Outcome.OK && load(got.value())) {
            return;
          }
          fetch(got.outcome() == StateStore.Outcome.NOT_FOUND);
        });
  }

  private void fetch(boolean storeCopy) {
    decisionLock.defer(
        () ->
            caller.call(
                cloudAddress,
                "GET",
                "/catalog",
                null,
                3,
                response ->
                    decisionLock.run(
                        () -> {
                          Document doc = null;
                          if (response.ok()) {
                            try {
                              doc = Document.decode(response.body());
                            } catch (MalformedMessageException e) {
                              // fetched again below
                            }
                          }
                          if (doc == null || !load(doc)) {
                            timers.after(RETRY_S, () -> decisionLock.run(this::start));
                          } else if (storeCopy) {
                            store.tryTxn(
                                new Txn().put(KEY, doc),
                                StateStore.RequestPriority.BACKGROUND,
                                done -> {});
                          }
                        })));
  }

  /** Loads a catalog in the cloud's format; returns false if it is malformed or empty. */
  boolean load(Document doc) {
    Map<String, MachineType> read = new LinkedHashMap<>();
    try {
      for (Document d : doc.documents("flavors")) {
        MachineType t = MachineType.fromDocument(d);
        read.put(t.name(), t);
      }
    } catch (MalformedMessageException e) {
      return false;
    }
    if (read.isEmpty()) {
      return false;
    }
    types = read;
    Set<String> allZones = new TreeSet<>();
    read.values().forEach(t -> allZones.addAll(t.zones()));
    zones = allZones;
    return true;
  }
}
