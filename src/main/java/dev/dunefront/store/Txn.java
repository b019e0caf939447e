package dev.dunefront.store;

import dev.dunefront.wire.Document;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An atomic transaction: conditions on the revisions of keys, then puts and removals. It knows its
 * own size, so whoever collects changes for one asks it how many fit.
 */
public final class Txn {
  /** Size of a transaction without conditions and changes: {@code {"when":[],"then":[]}}. */
  private static final int EMPTY_BYTES = 21;

  /** Size of the name of a value's field and its comma: {@code ,"data":}. */
  private static final int VALUE_FIELD_BYTES = 8;

  private final List<Document> conditions = new ArrayList<>();
  private final List<Document> operations = new ArrayList<>();
  private final Map<String, Long> requiredRevisions = new HashMap<>();
  private String firstPutKey;
  private int conditionBytes;
  private int operationBytes;
  private int largestValueBytes;

  /** Requires the key to have this revision; 0 requires that the key does not exist. */
  public Txn requireRevision(String key, long revision) {
    Long previous = requiredRevisions.putIfAbsent(key, revision);
    if (previous == null || previous != revision) {
      conditions.add(Document.create().put("k", key).put("stamp", revision));
      conditionBytes += conditionBytes(key, revision);
    }
    return this;
  }

  public Txn put(String key, Document value) {
    return addPut(key, value, Document.create().put("put", key));
  }

  /** Puts a value that is removed when the lease ends. */
  public Txn put(String key, Document value, long leaseId) {
    return addPut(key, value, Document.create().put("put", key).put("tenancy", leaseId));
  }

  private Txn addPut(String key, Document value, Document withoutValue) {
    int valueBytes = value.jsonBytes();
    if (firstPutKey == null) {
      firstPutKey = key;
    }
    operationBytes += itemBytes(withoutValue) + VALUE_FIELD_BYTES + valueBytes;
    largestValueBytes = Math.max(largestValueBytes, valueBytes);
    operations.add(withoutValue.put("data", value));
    return this;
  }

  public Txn remove(String key) {
    Document operation = Document.create().put("remove", key);
    operations.add(operation);
    operationBytes += itemBytes(operation);
    return this;
  }

  /**
   * Adds the conditions and changes of another transaction if the result keeps the limits, so that
   * several can be sent as one.
   *
   * @return false if it would not; then nothing is added
   */
  public boolean addIfItFits(Txn other, TxnLimits limits) {
    boolean fits =
        operations.size() + other.operations.size() <= limits.maxWrites()
            && conditions.size() + other.conditions.size() <= limits.maxConditions()
            && bytes() + other.bytes() - EMPTY_BYTES <= limits.maxBytes()
            && other.largestValueBytes <= limits.maxValueBytes();
    if (fits) {
      other.requiredRevisions.forEach(this::requireRevision);
      operations.addAll(other.operations);
      operationBytes += other.operationBytes;
      largestValueBytes = Math.max(largestValueBytes, other.largestValueBytes);
      firstPutKey = firstPutKey == null ? other.firstPutKey : firstPutKey;
    }
    return fits;
  }

  /** The size of the transaction as JSON, in bytes. */
  public int bytes() {
    return EMPTY_BYTES + conditionBytes + operationBytes;
  }

  /** Whether the state service accepts a transaction of this size. */
  public boolean fits(TxnLimits limits) {
    return operations.size() <= limits.maxWrites()
        && conditions.size() <= limits.maxConditions()
        && bytes() <= limits.maxBytes()
        && largestValueBytes <= limits.maxValueBytes();
  }

  /** Size that a condition adds to a transaction, in bytes. */
  public static int conditionBytes(String key, long revision) {
    return itemBytes(Document.create().put("k", key).put("stamp", revision));
  }

  /** Size that the put of a value of this size adds to a transaction, in bytes. */
  public static int putBytes(String key, int valueBytes) {
    return itemBytes(Document.create().put("put", key)) + VALUE_FIELD_BYTES + valueBytes;
  }

  /** The size of an item of a list with its comma. */
  private static int itemBytes(Document item) {
    return item.jsonBytes() + 1;
  }

  public int writeCount() {
    return operations.size();
  }

  /** The size in a form for log messages. */
  String describeSize() {
    return operations.size()
        + " changes, "
        + conditions.size()
        + " conditions and "
        + bytes()
        + " bytes, the largest value of "
        + largestValueBytes
        + " bytes";
  }

  /** The key that is read back when the outcome is unknown. */
  String readBackKey() {
    return firstPutKey;
  }

  byte[] encode() {
    return Document.create().put("when", conditions).put("then", operations).encode();
  }
}
