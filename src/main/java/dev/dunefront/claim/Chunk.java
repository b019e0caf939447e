package dev.dunefront.claim;

import dev.dunefront.store.Store;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is recorded of a run of consecutive tasks of one job: which are done, which are placed
 * where, and how many attempts the others have had. A key of its own keeps any job, however large,
 * within the state service's limits.
 */
final class Chunk {
  /** Tasks in a chunk; at about 40 bytes for each the value stays far below 16 KiB. */
  static final int TASKS = 128;

  static String prefix(String job) {
    return "t/" + job + "/";
  }

  static String key(String job, int index) {
    return prefix(job) + index;
  }

  record Placement(long attempt, String host, long tenure) {}

  final long stamp;
  final BitSet done = new BitSet();
  final Map<Integer, Placement> placed = new HashMap<>();
  final Map<Integer, Long> tries = new HashMap<>();

  Chunk(long stamp) {
    this.stamp = stamp;
  }

  /** A copy to be changed; only when it is written does it take the original's place. */
  Chunk copy(long newStamp) {
    Chunk c = new Chunk(newStamp);
    c.done.or(done);
    c.placed.putAll(placed);
    c.tries.putAll(tries);
    return c;
  }

  static Chunk read(Doc d, long stamp) throws BadMessage {
    Chunk c = new Chunk(stamp);
    for (long n : d.counts("done")) {
      c.done.set((int) n);
    }
    for (Doc p : d.docs("placed")) {
      int n = (int) p.count("n");
      Placement placement = new Placement(p.count("a"), p.text("h"), p.count("s"));
      c.placed.put(n, placement);
      c.tries.put(n, placement.attempt);
    }
    List<Long> tries = d.counts("tries");
    for (int i = 0; i + 1 < tries.size(); i += 2) {
      c.tries.put(tries.get(i).intValue(), tries.get(i + 1));
    }
    return c;
  }

  Doc write(String mark) {
    List<Object> doneList = new ArrayList<>();
    done.stream().forEach(n -> doneList.add((long) n));
    List<Object> placements = new ArrayList<>();
    placed.forEach(
        (n, p) ->
            placements.add(
                Doc.of().put("n", n).put("a", p.attempt).put("h", p.host).put("s", p.tenure)));
    List<Object> attempts = new ArrayList<>();
    tries.forEach(
        (n, a) -> {
          if (!placed.containsKey(n) && !done.get(n)) {
            attempts.add((long) n);
            attempts.add(a);
          }
        });
    return Doc.of()
        .put(Store.MARK, mark)
        .put("done", doneList)
        .put("placed", placements)
        .put("tries", attempts);
  }
}
