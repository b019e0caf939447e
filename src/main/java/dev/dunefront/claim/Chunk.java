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
   * Tasks per chunk. As JSON a placement takes about 12 bytes and a machine name about 15, so the
   * value usually stays below 16 KiB even if every task is on a different machine.
   */
  static final int TASKS_PER_CHUNK = 512;

  /** Size of a task number, host index or length of a range within a chunk, with its comma. */
  private static final int INDEX_BYTES = 4;

  /** Maximum size of the field names, delimiters and the write id. */
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

  /** Upper estimate of the size of its value as JSON, in bytes. */
  int estimatedBytes() {
    int total = OVERHEAD_BYTES;
    for (int from = done.nextSetBit(0);
        from >= 0;
        from = done.nextSetBit(done.nextClearBit(from))) {
      total += 2 * INDEX_BYTES;
    }
    Set<String> hosts = new HashSet<>();
    for (Placement placement : placed.values()) {
      total += numberBytes(placement) + (hosts.add(placement.host) ? nameBytes(placement.host) : 0);
    }
    for (var entry : lastAttempts.entrySet()) {
      if (!placed.containsKey(entry.getKey())) {
        total += INDEX_BYTES + digits(entry.getValue()) + 1;
      }
    }
    return total;
  }

  /** The most bytes by which a placement makes the value larger. */
  static int placementBytes(Placement placement) {
    return numberBytes(placement) + nameBytes(placement.host);
  }

  /** Task, attempt, host index and session, each with a comma. */
  private static int numberBytes(Placement placement) {
    return INDEX_BYTES
        + (digits(placement.attempt) + 1)
        + INDEX_BYTES
        + (digits(placement.session) + 1);
  }

  /** The name with its quotes and a comma. */
  private static int nameBytes(String host) {
    return host.length() + 3;
  }

  private static int digits(long number) {
    int digits = 1;
    for (long rest = number / 10; rest > 0; rest /= 10) {
      digits++;
    }
    return digits;
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
