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
 * No job may wait for 90 s while a machine that fits has room and its team is under its limit. Goes
 * by what users submitted and workers run, never by what controllers say. Jobs whose tasks depend
 * on each other's places are left out, for whether a machine fits them is for the rules to say.
 */
final class StarvationCheck {
  static final double MAX_WAIT_S = 90;

  private final Map<String, Document> specs;
  private final Map<String, Double> waitingSince = new HashMap<>();
  private final Predicate<FakeWorker> reachable;
  private double teamLimitCpus = Double.POSITIVE_INFINITY;

  /** What was found, without repeats. */
  final List<String> wrong = new ArrayList<>();

  /** The specs are what users have submitted, by job, as they are at any time. */
  StarvationCheck(Map<String, Document> specs, Predicate<FakeWorker> reachable) {
    this.specs = specs;
    this.reachable = reachable;
  }

  /** All jobs are of one team, whose tasks may use so much at most. */
  void teamLimitCpus(double cpusMax) {
    teamLimitCpus = cpusMax;
  }

  /**
   * Looks at what waits now.
   *
   * @param ids accepted jobs that nobody has cancelled
   */
  void check(Set<String> ids, Iterable<FakeWorker> workers, Set<String> done, double now) {
    try {
      Set<String> placed = new HashSet<>(done);
      Map<FakeWorker, Double> free = new HashMap<>();
      double used = 0;
      for (FakeWorker w : workers) {
        double cpus = w.type().equals("small") ? FakeCloud.SMALL_CPUS : FakeCloud.LARGE_CPUS;
        for (String task : w.running()) {
          Document spec = specs.get(task.substring(0, task.indexOf('/')));
          double each = spec == null ? 0 : spec.amount("vcpus");
          placed.add(task);
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
        if (spec != null && hasUnplacedTask(id, spec, placed) && hasRoomForTask(spec, free, used)) {
          starving.add(id);
        }
      }
      waitingSince.keySet().retainAll(starving);
      for (String id : starving) {
        String found = id + " has waited for 90 s beside room";
        if (now - waitingSince.computeIfAbsent(id, k -> now) >= MAX_WAIT_S
            && !wrong.contains(found)) {
          wrong.add(found);
        }
      }
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  private static boolean hasUnplacedTask(String id, Document spec, Set<String> placed)
      throws MalformedMessageException {
    for (int i = 0; i < spec.count("pieces"); i++) {
      if (!placed.contains(id + "/" + i)) {
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
      boolean type = !spec.has("flavors") || spec.texts("flavors").contains(e.getKey().type());
      if (type && zone.equals(e.getKey().zone()) && e.getValue() + 1e-9 >= each) {
        return true;
      }
    }
    return false;
  }
}
