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
 * The machine types. The first controller ever asks the cloud and leaves a copy in the state
 * service, so that a restart need not wait for the cloud.
 */
public final class Catalog {
  private static final String KEY = "c/catalog";
  private static final double ASK_AGAIN_S = 2;
  private static final int MAX_SIZES = 100;

  /** A type is dear to a replica if it costs this many times as much there as on the cheapest. */
  private static final double DEAR = 1.2;

  private final String cloud;
  private final Caller caller;
  private final Store store;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private Map<String, MachineType> types = Map.of();
  private Set<String> zones = Set.of();

  /** The sizes of tasks that have been seen; users have few of them. */
  private final Set<Size> sizes =
      Collections.newSetFromMap(
          new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Size, Boolean> eldest) {
              return size() > MAX_SIZES;
            }
          });

  /** A job of each class of urgent arrays that has been seen. */
  private final Map<String, JobSpec> urgentArrays = new LinkedHashMap<>();

  private final Set<String> urgentHomes = new HashSet<>();

  public Catalog(
      String cloud, Caller caller, Store store, Timers timers, DecisionLock decisionLock) {
    this.cloud = cloud;
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

  /** From this many tasks on, a machine is larger than a task needs. */
  public static final int OVERSIZE = 8;

  /** All zones in which there are machines. */
  public Set<String> zones() {
    return zones;
  }

  /** A job has been seen: what it needs is remembered, for others leave room to it. */
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
   * Whether urgent arrays may use machines of the kind. They come and go in bursts, and whether
   * they start in time is a matter of images that a machine has or has not.
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
   * The type on which a task costs least, for work that may not run on spot machines; null for work
   * that may.
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

  /** What a task costs on an ordinary machine of a type, if the machine is full. */
  private static double taskPrice(JobSpec spec, MachineType t) {
    return t.price() / Math.max(1, spec.size().timesIn(t.size()));
  }

  /** Whether there is urgent work that may not run on spot machines. */
  public boolean ordinaryNeeded() {
    return !urgentHomes.isEmpty();
  }

  /** Whether urgent work that may not run on spot machines is at home on the type. */
  public boolean urgentHome(String type) {
    return urgentHomes.contains(type);
  }

  private static boolean allows(JobSpec spec, MachineType t) {
    return (spec.types() == null || spec.types().contains(t.name())) && spec.size().fits(t.size());
  }

  /**
   * Whether a replica should wait for another type: it stays where it starts, and costs clearly
   * less there.
   */
  public boolean dear(JobSpec spec, MachineType type) {
    MachineType home = spec.service() ? home(spec) : null;
    return home != null && taskPrice(spec, type) > DEAR * taskPrice(spec, home);
  }

  /**
   * Whether machines on which the job's tasks would be lost in space should be left to others:
   * there is an allowed type that is not too large for it, and work that fits on no such type.
   */
  public boolean leavesLarge(JobSpec spec) {
    boolean smallerServes = false;
    Set<Size> needLarge = new HashSet<>(sizes);
    for (MachineType t : types()) {
      int times = spec.size().timesIn(t.size());
      if (times > 0 && times < OVERSIZE) {
        smallerServes |= spec.types() == null || spec.types().contains(t.name());
        needLarge.removeIf(s -> s.fits(t.size()));
      }
    }
    return smallerServes && !needLarge.isEmpty();
  }

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

  private void ask(boolean keep) {
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
                              // asked again below
                            }
                          }
                          if (doc == null || !take(doc)) {
                            timers.after(ASK_AGAIN_S, () -> decisionLock.run(this::start));
                          } else if (keep) {
                            store.tryTxn(
                                new Txn().put(KEY, doc), Store.Urgency.BACKGROUND, done -> {});
                          }
                        })));
  }

  /** Takes a catalog as the cloud gives it; false if it cannot be read. */
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
