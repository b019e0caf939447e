package dev.dunefront.claim;

import dev.dunefront.book.HoldTable;
import dev.dunefront.claim.Chunk.Placement;
import dev.dunefront.job.JobRecord;
import dev.dunefront.store.Txn;
import dev.dunefront.store.TxnLimits;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The space that is left in a planned transaction of a job, and in the chunks that it writes. An
 * oversized transaction would be rejected on every retry, so what does not fit waits for the next
 * one.
 */
final class TransactionSpace {
  /** Room for the conditions on the job, its team and the roster, and for the team's new value. */
  private static final int FIXED_BYTES = 1024;

  /** Number of writes besides chunks: the job, its team, and one each in reserve. */
  private static final int FIXED_WRITES = 4;

  /** A transaction with more writes would wait longer for the write budget. */
  private static final int MAX_CHUNKS = 4;

  private final Claim claim;
  private final TxnLimits limits;
  private int bytesLeft;
  private int chunksLeft;

  /** Conditions on machines, besides those on the job, its chunks, its team and the roster. */
  private int conditionsLeft;

  private final Set<String> hosts = new HashSet<>();

  /** Bytes by which the value of each chunk in the transaction may still grow, by index. */
  private final Map<Integer, Integer> chunkBytesLeft = new HashMap<>();

  TransactionSpace(Claim claim, TxnLimits limits) {
    this.claim = claim;
    this.limits = limits;
    this.chunksLeft = Math.min(MAX_CHUNKS, limits.maxWrites() - FIXED_WRITES);
    this.conditionsLeft = limits.maxConditions() - chunksLeft - 3;
    this.bytesLeft =
        limits.maxBytes()
            - FIXED_BYTES
            - Txn.putBytes(JobRecord.key(claim.id()), claim.record.maxBytes());
  }

  /**
   * Takes the space for writing a chunk, if it is not in the transaction yet.
   *
   * @param chunk its present state, or null if it has none
   * @return false if there is not enough; then nothing is taken
   */
  boolean takeChunk(int index, Chunk chunk) {
    if (chunkBytesLeft.containsKey(index)) {
      return true;
    }
    String key = Chunk.key(claim.id(), index);
    int valueBytes = chunk == null ? new Chunk(0).estimatedBytes() : chunk.estimatedBytes();
    int needed =
        Txn.putBytes(key, valueBytes) + Txn.conditionBytes(key, chunk == null ? 0 : chunk.revision);
    // The first chunk is always taken: it fitted when it was written, and shrinks with each end.
    if (!chunkBytesLeft.isEmpty() && (needed > bytesLeft || chunksLeft == 0)) {
      return false;
    }
    chunkBytesLeft.put(index, limits.maxValueBytes() - valueBytes);
    bytesLeft -= needed;
    chunksLeft--;
    return true;
  }

  /** Whether there is space for the condition on a machine's hold, or it has it already. */
  boolean hasCondition(String host, long holdRevision) {
    // The first one is always taken, so that each transaction makes progress.
    return hosts.contains(host)
        || conditionsLeft > 0
            && (hosts.isEmpty() || conditionBytes(host, holdRevision) <= bytesLeft);
  }

  /**
   * Takes the space for the condition on a machine's hold, if it is not in the transaction yet.
   *
   * @return false if there is not enough; then nothing is taken
   */
  boolean takeCondition(String host, long holdRevision) {
    if (!hasCondition(host, holdRevision)) {
      return false;
    }
    if (hosts.add(host)) {
      bytesLeft -= conditionBytes(host, holdRevision);
      conditionsLeft--;
    }
    return true;
  }

  private static int conditionBytes(String host, long holdRevision) {
    return Txn.conditionBytes(HoldTable.key(host), Math.abs(holdRevision));
  }

  /**
   * Takes the space for a placement in a chunk that is in the transaction.
   *
   * @return false if there is not enough; then nothing is taken. With long machine names, not all
   *     tasks of a chunk can be placed at the same time.
   */
  boolean takePlacement(int index, Placement placement) {
    int needed = Chunk.placementBytes(placement);
    if (needed > bytesLeft || needed > chunkBytesLeft.get(index)) {
      return false;
    }
    chunkBytesLeft.merge(index, -needed, Integer::sum);
    bytesLeft -= needed;
    return true;
  }
}
