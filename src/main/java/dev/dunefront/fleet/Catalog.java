package dev.dunefront.fleet;

import dev.dunefront.net.Caller;
import dev.dunefront.net.Timers;
import dev.dunefront.net.Ward;
import dev.dunefront.store.Store;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The machine types. The first controller ever asks the cloud and leaves a copy in the state
 * service, so that a restart need not wait for the cloud.
 */
public final class Catalog {
  private static final String KEY = "c/catalog";
  private static final double ASK_AGAIN_S = 2;

  private final String cloud;
  private final Caller caller;
  private final Store store;
  private final Timers timers;
  private final Ward ward;
  private Map<String, MachineType> types = Map.of();

  public Catalog(String cloud, Caller caller, Store store, Timers timers, Ward ward) {
    this.cloud = cloud;
    this.caller = caller;
    this.store = store;
    this.timers = timers;
    this.ward = ward;
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

  /** Whether there is an allowed type on which the job's tasks would not be lost in space. */
  public boolean smallerServes(JobSpec spec) {
    for (MachineType t : types()) {
      int times = spec.size().timesIn(t.size());
      if (times > 0
          && times < OVERSIZE
          && (spec.types() == null || spec.types().contains(t.name()))) {
        return true;
      }
    }
    return false;
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
    ward.then(
        () ->
            caller.call(
                cloud,
                "GET",
                "/catalog",
                null,
                3,
                reply ->
                    ward.run(
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
                            timers.after(ASK_AGAIN_S, () -> ward.run(this::start));
                          } else if (keep) {
                            store.tryTxn(
                                new Txn().put(KEY, doc), Store.Urgency.BACKGROUND, done -> {});
                          }
                        })));
  }

  private boolean take(Doc doc) {
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
    return true;
  }
}
