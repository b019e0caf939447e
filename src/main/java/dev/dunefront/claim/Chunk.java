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
 * The recorded state of a range of consecutive tasks of one job: which are done, where the placed
 * ones are, and how many attempts the others have had. Each chunk has its own key, so that jobs of
 * any size stay within the state service's limits.
 */
final class Chunk {
  /**
   * Tasks per chunk. A placement takes about 12 bytes and a machine name about 15, so the value
   * usually stays below 16 KiB even if every task is on a different machine.
   */
  static final int TASKS_PER_CHUNK = 512;

  /** Maximum encoded size of the numbers of one placement. */
  private static final int PLACEMENT_BYTES = 16;

  /** Maximum encoded size of one range of done tasks. */
  private static final int RANGE_BYTES = 8;

  /** Maximum encoded size of the field names and delimiters. */
  private static final int OVERHEAD_BYTES = 200;

  static String prefix(String job) {
    return "t/" + job + "/";
  }

  static String key(String job, int index) {
    return prefix(job) + index;
  }

  /** Where and in which worker session an attempt of a task is placed. */
  record Placement(long attempt, String host, long session) {
    /** The attempt in the form that {@link EndProof} checks. */
    EndProof.Attempt toAttempt() {
      return new EndProof.Attempt(attempt, host, session);
    }

    @Override
    public boolean equals(Object o) {
      return o instanceof Placement placement
          && attempt == placement.attempt
          && session == placement.session
          && host.equals(placement.host);
    }

    @Override
    public int hashCode() {
      return 31 * host.hashCode() + Long.hashCode(attempt);
    }
  }

  final long revision;
  final BitSet done = new BitSet();
  final Map<Integer, Placement> placed = new HashMap<>();

  /** Number of the latest attempt of each task, by task number within the chunk. */
  final Map<Integer, Long> lastAttempts = new HashMap<>();

  Chunk(long revision) {
    this.revision = revision;
  }

  /** A mutable copy; it replaces the original only after it has been written. */
  Chunk copy(long newRevision) {
    Chunk chunk = new Chunk(newRevision);
    chunk.done.or(done);
    chunk.placed.putAll(placed);
    chunk.lastAttempts.putAll(lastAttempts);
    return chunk;
  }

  /** Upper estimate of the encoded size, which the state service limits. */
  int estimatedBytes() {
    int ranges = 0;
    for (int from = done.nextSetBit(0);
        from >= 0;
        from = done.nextSetBit(done.nextClearBit(from))) {
      ranges++;
    }
    Set<String> hosts = new HashSet<>();
    int nameBytes = 0;
    for (Placement placement : placed.values()) {
      nameBytes += hosts.add(placement.host) ? placement.host.length() + 3 : 0;
    }
    return OVERHEAD_BYTES
        + nameBytes
        + RANGE_BYTES * ranges
        + PLACEMENT_BYTES * Math.max(placed.size(), lastAttempts.size());
  }

  /** Maximum number of bytes that a placement on this machine adds. */
  static int placementBytes(String host) {
    return PLACEMENT_BYTES + host.length() + 3;
  }

  static Chunk fromDocument(Document doc, long revision) throws MalformedMessageException {
    Chunk chunk = new Chunk(revision);
    List<Long> done = doc.counts("done");
    for (int i = 0; i + 1 < done.size(); i += 2) {
      int from = done.get(i).intValue();
      chunk.done.set(from, from + done.get(i + 1).intValue());
    }
    List<String> hosts = doc.texts("hosts");
    List<Long> placed = doc.counts("placed");
    for (int i = 0; i + 3 < placed.size(); i += 4) {
      int host = placed.get(i + 2).intValue();
      if (host < 0 || host >= hosts.size()) {
        throw new MalformedMessageException("placement refers to a host index that is not listed");
      }
      int offset = placed.get(i).intValue();
      Placement placement = new Placement(placed.get(i + 1), hosts.get(host), placed.get(i + 3));
      chunk.placed.put(offset, placement);
      chunk.lastAttempts.put(offset, placement.attempt);
    }
    List<Long> tries = doc.counts("tries");
    for (int i = 0; i + 1 < tries.size(); i += 2) {
      chunk.lastAttempts.put(tries.get(i).intValue(), tries.get(i + 1));
    }
    return chunk;
  }

  /**
   * Encodes done tasks as ranges (first, length) and placements as (task, attempt, host index,
   * session).
   */
  Document toDocument(String writeId) {
    List<Object> ranges = new ArrayList<>();
    for (int from = done.nextSetBit(0); from >= 0; ) {
      int to = done.nextClearBit(from);
      ranges.add((long) from);
      ranges.add((long) (to - from));
      from = done.nextSetBit(to);
    }
    List<Object> hosts = new ArrayList<>();
    Map<String, Integer> index = new HashMap<>();
    List<Object> placements = new ArrayList<>();
    placed.forEach(
        (offset, placement) -> {
          Integer host = index.get(placement.host);
          if (host == null) {
            host = hosts.size();
            index.put(placement.host, host);
            hosts.add(placement.host);
          }
          placements.add((long) offset);
          placements.add(placement.attempt);
          placements.add((long) host);
          placements.add(placement.session);
        });
    List<Object> attempts = new ArrayList<>();
    lastAttempts.forEach(
        (offset, attempt) -> {
          if (!placed.containsKey(offset) && !done.get(offset)) {
            attempts.add((long) offset);
            attempts.add(attempt);
          }
        });
    return Document.create()
        .put(StateStore.WRITE_ID_FIELD, writeId)
        .put("done", ranges)
        .put("hosts", hosts)
        .put("placed", placements)
        .put("tries", attempts);
  }
}
