package dev.dunefront.claim;

import dev.dunefront.evidence.EndProof;
import dev.dunefront.store.StateStore;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What is recorded of a run of consecutive tasks of one job: which are done, which are placed
 * where, and how many attempts the others have had. A key of its own keeps any job, however large,
 * within the state service's limits.
 */
final class Chunk {
  /**
   * Tasks in a chunk. A placement takes some 12 bytes and a machine's name some 15, so the value
   * mostly stays below 16 KiB even if every task is on a machine of its own.
   */
  static final int TASKS_PER_CHUNK = 512;

  /** The most that a placement's numbers take as text, and a run's, and all that is around them. */
  private static final int PLACEMENT_BYTES = 16;

  private static final int RANGE_BYTES = 8;
  private static final int OVERHEAD_BYTES = 200;

  static String prefix(String job) {
    return "t/" + job + "/";
  }

  static String key(String job, int index) {
    return prefix(job) + index;
  }

  record Placement(long attempt, String host, long session) {
    /** The attempt, for whoever looks for a proof that it is over. */
    EndProof.Attempt toAttempt() {
      return new EndProof.Attempt(attempt, host, session);
    }

    @Override
    public boolean equals(Object o) {
      return o instanceof Placement p
          && attempt == p.attempt
          && session == p.session
          && host.equals(p.host);
    }

    @Override
    public int hashCode() {
      return 31 * host.hashCode() + Long.hashCode(attempt);
    }
  }

  final long revision;
  final BitSet done = new BitSet();
  final Map<Integer, Placement> placed = new HashMap<>();
  final Map<Integer, Long> lastAttempts = new HashMap<>();

  Chunk(long stamp) {
    this.revision = stamp;
  }

  /** A copy to be changed; only when it is written does it take the original's place. */
  Chunk copy(long newStamp) {
    Chunk c = new Chunk(newStamp);
    c.done.or(done);
    c.placed.putAll(placed);
    c.lastAttempts.putAll(lastAttempts);
    return c;
  }

  /** About how large the value is as text; the state service limits that. */
  int estimatedBytes() {
    int runs = 0;
    for (int from = done.nextSetBit(0);
        from >= 0;
        from = done.nextSetBit(done.nextClearBit(from))) {
      runs++;
    }
    Set<String> hosts = new HashSet<>();
    int names = 0;
    for (Placement p : placed.values()) {
      names += hosts.add(p.host) ? p.host.length() + 3 : 0;
    }
    return OVERHEAD_BYTES
        + names
        + RANGE_BYTES * runs
        + PLACEMENT_BYTES * Math.max(placed.size(), lastAttempts.size());
  }

  /** How much another placement may add. */
  static int placementBytes(String host) {
    return PLACEMENT_BYTES + host.length() + 3;
  }

  static Chunk read(Document d, long stamp) throws MalformedMessageException {
    Chunk c = new Chunk(stamp);
    List<Long> done = d.counts("done");
    for (int i = 0; i + 1 < done.size(); i += 2) {
      int from = done.get(i).intValue();
      c.done.set(from, from + done.get(i + 1).intValue());
    }
    List<String> hosts = d.texts("hosts");
    List<Long> placed = d.counts("placed");
    for (int i = 0; i + 3 < placed.size(); i += 4) {
      int host = placed.get(i + 2).intValue();
      if (host < 0 || host >= hosts.size()) {
        throw new MalformedMessageException("a placement on a machine that is not listed");
      }
      int n = placed.get(i).intValue();
      Placement placement = new Placement(placed.get(i + 1), hosts.get(host), placed.get(i + 3));
      c.placed.put(n, placement);
      c.lastAttempts.put(n, placement.attempt);
    }
    List<Long> tries = d.counts("tries");
    for (int i = 0; i + 1 < tries.size(); i += 2) {
      c.lastAttempts.put(tries.get(i).intValue(), tries.get(i + 1));
    }
    return c;
  }

  /** Done tasks as runs (first, length); placements as (task, attempt, index of host, session). */
  Document write(String mark) {
    List<Object> runs = new ArrayList<>();
    for (int from = done.nextSetBit(0); from >= 0; ) {
      int to = done.nextClearBit(from);
      runs.add((long) from);
      runs.add((long) (to - from));
      from = done.nextSetBit(to);
    }
    List<Object> hosts = new ArrayList<>();
    Map<String, Integer> index = new HashMap<>();
    List<Object> placements = new ArrayList<>();
    placed.forEach(
        (n, p) -> {
          Integer host = index.get(p.host);
          if (host == null) {
            host = hosts.size();
            index.put(p.host, host);
            hosts.add(p.host);
          }
          placements.add((long) n);
          placements.add(p.attempt);
          placements.add((long) host);
          placements.add(p.session);
        });
    List<Object> attempts = new ArrayList<>();
    lastAttempts.forEach(
        (n, a) -> {
          if (!placed.containsKey(n) && !done.get(n)) {
            attempts.add((long) n);
            attempts.add(a);
          }
        });
    return Document.create()
        .put(StateStore.WRITE_ID_FIELD, mark)
        .put("done", runs)
        .put("hosts", hosts)
        .put("placed", placements)
        .put("tries", attempts);
  }
}
