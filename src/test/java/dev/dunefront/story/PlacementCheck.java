package dev.dunefront.story;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Every task is where its job allows it, given the job's other tasks: on a type and in a zone that
 * it names, in one zone with the others, or with no more than half of them in one. Goes by what
 * workers run, those that nobody can reach included.
 */
final class PlacementCheck {
  private final Map<String, Document> specs;

  /** What was found, without repeats. */
  final List<String> wrong = new ArrayList<>();

  /** The specs are what users have submitted, by job, as they are at any time. */
  PlacementCheck(Map<String, Document> specs) {
    this.specs = specs;
  }

  void look(Iterable<FakeWorker> workers) {
    Map<String, Map<String, Integer>> zones = new HashMap<>();
    try {
      for (FakeWorker w : workers) {
        for (String task : w.running()) {
          String job = task.substring(0, task.indexOf('/'));
          Document spec = specs.get(job);
          if (spec == null) {
            continue;
          }
          zones.computeIfAbsent(job, j -> new HashMap<>()).merge(w.zone(), 1, Integer::sum);
          recordIf(
              !w.zone().equals(spec.textOr("site", w.zone())), task + " is in zone " + w.zone());
          recordIf(
              spec.has("flavors") && !spec.texts("flavors").contains(w.type()),
              task + " is on a " + w.type());
        }
      }
      for (var e : zones.entrySet()) {
        Document spec = specs.get(e.getKey());
        long half = (spec.count("pieces") + 1) / 2;
        recordIf(
            spec.flag("same_place") && e.getValue().size() > 1, e.getKey() + " is in two zones");
        recordIf(
            spec.flag("apart") && e.getValue().values().stream().anyMatch(n -> n > half),
            e.getKey() + " has more than half in one zone");
      }
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  private void recordIf(boolean isWrong, String what) {
    if (isWrong && !wrong.contains(what)) {
      wrong.add(what);
    }
  }
}
