package dev.dunefront.story;

import dev.dunefront.standin.FakeCloud;
import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Checks that no job waits for 90 s while a suitable machine has room and its team is below its
 * limit. The check uses only the submitted specifications and the tasks that workers run, never the
 * controllers' own data. Jobs whose tasks constrain each other's placement are excluded, because
 * the scheduler's placement rules decide whether a machine fits them.
 */
final class StarvationCheck {
  static final double MAX_WAIT_S = 90;

  private final Map<String, Document> specs;

  /** When each job that waits now was first seen waiting although a machine has room. */
  private final Map<String, Double> waitingSince = new HashMap<>();

  private final Predicate<FakeWorker> reachable;
  private double teamLimitCpus = Double.POSITIVE_INFINITY;

  /** The distinct violations found so far. */
  final List<String> violations = new ArrayList<>();

  /**
   * @param specs a live view of the submitted specifications, by job id
   * @param reachable whether a worker can be reached by controllers
   */
  StarvationCheck(Map<String, Document> specs, Predicate<FakeWorker> reachable) {
    this.specs = specs;
    this.reachable = reachable;
  }

  /** Sets the CPU limit of the single team that owns all jobs. */
  void setTeamLimitCpus(double cpusMax) {
    teamLimitCpus = cpusMax;
  }

  /**
   * Checks the jobs that wait now.
   *
   * @param ids accepted jobs without a cancellation request
   * @param done ids of all completed tasks
   * @param now the time in seconds
   */
  void check(Set<String> ids, Iterable<FakeWorker> workers, Set<String> done, double now) {
    try {
      Set<String> runningOrDone = new HashSet<>(done);
      Map<FakeWorker, Double> free = new HashMap<>();
      double used = 0;
      for (FakeWorker w : workers) {
        double cpus = w.type().equals("small") ? FakeCloud.SMALL_CPUS : FakeCloud.LARGE_CPUS;
        for (String task : w.running()) {
          Document spec = specs.get(task.substring(0, task.indexOf('/')));
          double each = spec == null ? 0 : spec.amount("vcpus");
          runningOrDone.add(task);
          cpus -= each;
          used += each;
        }
        if (reachable.test(w)) {
          free.put(w, cpus);
        }
      }
      Set<String> starving = new HashSet<>();
      for (String id : ids) {
        Document spec = specs.get(id);
        if (spec != null
            && hasUnplacedTask(id, spec, runningOrDone)
            && hasRoomForTask(spec, free, used)) {
          starving.add(id);
        }
      }
      waitingSince.keySet().retainAll(starving);
      for (String id : starving) {
        String message = id + " has waited for 90 s beside room";
        if (now - waitingSince.computeIfAbsent(id, k -> now) >= MAX_WAIT_S
            && !violations.contains(message)) {
          violations.add(message);
        }
      }
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  private static boolean hasUnplacedTask(String id, Document spec, Set<String> runningOrDone)
      throws MalformedMessageException {
    for (int i = 0; i < spec.count("pieces"); i++) {
      if (!runningOrDone.contains(id + "/" + i)) {
        return true;
      }
    }
    return false;
  }

  private boolean hasRoomForTask(Document spec, Map<FakeWorker, Double> free, double used)
      throws MalformedMessageException {
    double each = spec.amount("vcpus");
    if (spec.flag("same_place") || spec.flag("apart") || used + each > teamLimitCpus + 1e-9) {
      return false;
    }
    for (var e : free.entrySet()) {
      String zone = spec.textOr("site", e.getKey().zone());
      boolean typeAllowed =
          !spec.has("flavors") || spec.texts("flavors").contains(e.getKey().type());
      if (typeAllowed && zone.equals(e.getKey().zone()) && e.getValue() + 1e-9 >= each) {
        return true;
      }
    }
    return false;
  }
}
