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
 * The machine types. The first controller ever asks the cloud and leaves a copy in the state
 * service, so that a restart need not wait for the cloud.
 */
public final class MachineCatalog {
  private static final String KEY = "c/catalog";
  private static final double RETRY_S = 2;
  private static final int MAX_SEEN_SIZES = 100;

  /** A type is dear to a replica if it costs this many times as much there as on the cheapest. */
  private static final double EXPENSIVE_PRICE_RATIO = 1.2;

  private final String cloudAddress;
  private final HttpCaller caller;
  private final StateStore store;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private Map<String, MachineType> types = Map.of();
  private Set<String> zones = Set.of();

  /** The sizes of tasks that have been seen; users have few of them. */
  private final Set<Resources> seenSizes =
      Collections.newSetFromMap(
          new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Resources, Boolean> eldest) {
              return size() > MAX_SEEN_SIZES;
            }
          });

  /** A job of each class of urgent arrays that has been seen. */
  private final Map<String, JobSpec> urgentArraysByClass = new LinkedHashMap<>();

  private final Set<String> cheapestUrgentTypes = new HashSet<>();

  public MachineCatalog(
      String cloud, HttpCaller caller, StateStore store, Timers timers, DecisionLock decisionLock) {
    this.cloudAddress = cloud;
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

  /** From this many tasks on, a machine is larger than a task needs. */
  public static final int OVERSIZE_TASKS = 8;

  /** All zones in which there are machines. */
  public Set<String> zones() {
    return zones;
  }

  /** A job has been seen: what it needs is remembered, for others leave room to it. */
  public void observe(JobSpec spec) {
    seenSizes.add(spec.taskResources());
    if (!spec.priority().urgent()) {
      return;
    }
    if (!spec.service() && urgentArraysByClass.size() < MAX_SEEN_SIZES) {
      urgentArraysByClass.putIfAbsent(spec.jobClass(), spec);
    }
    MachineType home = cheapestType(spec);
    if (home != null) {
      cheapestUrgentTypes.add(home.name());
    }
  }

  /**
   * Whether urgent arrays may use machines of the kind. They come and go in bursts, and whether
   * they start in time is a matter of images that a machine has or has not.
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
   * The type on which a task costs least, for work that may not run on spot machines; null for work
   * that may.
   */
  public MachineType cheapestType(JobSpec spec) {
    MachineType home = null;
    for (MachineType t : types()) {
      if (!spec.spotAllowed()
          && allowsType(spec, t)
          && (home == null || taskPrice(spec, t) < taskPrice(spec, home))) {
        home = t;
      }
    }
    return home;
  }

  /** What a task costs on an ordinary machine of a type, if the machine is full. */
  private static double taskPrice(JobSpec spec, MachineType t) {
    return t.price() / Math.max(1, spec.taskResources().countFittingIn(t.resources()));
  }

  /** Whether there is urgent work that may not run on spot machines. */
  public boolean needsOnDemand() {
    return !cheapestUrgentTypes.isEmpty();
  }

  /** Whether urgent work that may not run on spot machines is at home on the type. */
  public boolean isCheapestForUrgent(String type) {
    return cheapestUrgentTypes.contains(type);
  }

  private static boolean allowsType(JobSpec spec, MachineType t) {
    return (spec.machineTypes() == null || spec.machineTypes().contains(t.name()))
        && spec.taskResources().fitsIn(t.resources());
  }

  /**
   * Whether a replica should wait for another type: it stays where it starts, and costs clearly
   * less there.
   */
  public boolean isExpensive(JobSpec spec, MachineType type) {
    MachineType home = spec.service() ? cheapestType(spec) : null;
    return home != null && taskPrice(spec, type) > EXPENSIVE_PRICE_RATIO * taskPrice(spec, home);
  }

  /**
   * Whether machines on which the job's tasks would be lost in space should be left to others:
   * there is an allowed type that is not too large for it, and work that fits on no such type.
   */
  public boolean avoidsOversized(JobSpec spec) {
    boolean smallerServes = false;
    Set<Resources> needLarge = new HashSet<>(seenSizes);
    for (MachineType t : types()) {
      int times = spec.taskResources().countFittingIn(t.resources());
      if (times > 0 && times < OVERSIZE_TASKS) {
        smallerServes |= spec.machineTypes() == null || spec.machineTypes().contains(t.name());
        needLarge.removeIf(s -> s.fitsIn(t.resources()));
      }
    }
    return smallerServes && !needLarge.isEmpty();
  }

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

  private void fetch(boolean keep) {
    decisionLock.defer(
        () ->
            caller.call(
                cloudAddress,
                "GET",
                "/catalog",
                null,
                3,
                reply ->
                    decisionLock.run(
                        () -> {
                          Document doc = null;
                          if (reply.ok()) {
                            try {
                              doc = Document.decode(reply.body());
                            } catch (MalformedMessageException e) {
                              // asked again below
                            }
                          }
                          if (doc == null || !load(doc)) {
                            timers.after(RETRY_S, () -> decisionLock.run(this::start));
                          } else if (keep) {
                            store.tryTxn(
                                new Txn().put(KEY, doc),
                                StateStore.RequestPriority.BACKGROUND,
                                done -> {});
                          }
                        })));
  }

  /** Takes a catalog as the cloud gives it; false if it cannot be read. */
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
    Set<String> all = new TreeSet<>();
    read.values().forEach(t -> all.addAll(t.zones()));
    zones = all;
    return true;
  }
}
