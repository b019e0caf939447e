package dev.dunefront.store;

import dev.dunefront.wire.Document;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An atomic transaction: conditions on the revisions of keys, then puts and removals. */
public final class Txn {
  private final List<Document> conditions = new ArrayList<>();
  private final List<Document> operations = new ArrayList<>();
  private final Map<String, Long> requiredRevisions = new HashMap<>();
  private String firstPutKey;

  /** Requires the key to have this revision; 0 requires that the key does not exist. */
  public Txn requireRevision(String key, long revision) {
    Long previous = requiredRevisions.putIfAbsent(key, revision);
    if (previous == null || previous != revision) {
      conditions.add(Document.create().put("k", key).put("stamp", revision));
    }
    return this;
  }

  public Txn put(String key, Document value) {
    if (firstPutKey == null) {
      firstPutKey = key;
    }
    operations.add(Document.create().put("put", key).put("data", value));
    return this;
  }

  /** Puts a value that is removed when the lease ends. */
  public Txn put(String key, Document value, long leaseId) {
    if (firstPutKey == null) {
      firstPutKey = key;
    }
    operations.add(Document.create().put("put", key).put("data", value).put("tenancy", leaseId));
    return this;
  }

  public Txn remove(String key) {
    operations.add(Document.create().put("remove", key));
    return this;
  }

  public int writeCount() {
    return operations.size();
  }

  /** The key that is read back when the outcome is unknown. */
  String readBackKey() {
    return firstPutKey;
  }

  byte[] encode() {
    return Document.create().put("when", conditions).put("then", operations).encode();
  }
}
