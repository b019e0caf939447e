package dev.dunefront.story;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that every task runs where its job allows it: on a machine type and in a zone that the job
 * names, all tasks in one zone if the job requires that, or at most half of them (rounded up) per
 * zone if it requires spreading. The check uses the tasks that workers run, including unreachable
 * workers.
 */
final class PlacementCheck {
  private final Map<String, Document> specs;

  /** The distinct violations found so far. */
  final List<String> violations = new ArrayList<>();

  /** Takes a live view of the submitted specifications, by job id. */
  PlacementCheck(Map<String, Document> specs) {
    this.specs = specs;
  }

  /** Checks the tasks that run now. */
  void check(Iterable<FakeWorker> workers) {
    Map<String, Map<String, Integer>> tasksPerZone = new HashMap<>();
    try {
      for (FakeWorker w : workers) {
        for (String task : w.running()) {
          String job = task.substring(0, task.indexOf('/'));
          Document spec = specs.get(job);
          if (spec == null) {
            continue;
          }
          tasksPerZone.computeIfAbsent(job, j -> new HashMap<>()).merge(w.zone(), 1, Integer::sum);
          recordIf(
              !w.zone().equals(spec.textOr("site", w.zone())),
              task + " runs in the disallowed zone " + w.zone());
          recordIf(
              spec.has("flavors") && !spec.texts("flavors").contains(w.type()),
              task + " runs on the disallowed machine type " + w.type());
        }
      }
      for (var e : tasksPerZone.entrySet()) {
        Document spec = specs.get(e.getKey());
        long half = (spec.count("pieces") + 1) / 2;
        recordIf(
            spec.flag("same_place") && e.getValue().size() > 1,
            e.getKey() + " runs in several zones");
        recordIf(
            spec.flag("apart") && e.getValue().values().stream().anyMatch(n -> n > half),
            e.getKey() + " runs more than half of its tasks in one zone");
      }
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  private void recordIf(boolean violated, String message) {
    if (violated && !violations.contains(message)) {
      violations.add(message);
    }
  }
}
