package dev.dunefront.store;

import dev.dunefront.wire.Document;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An atomic change: conditions on stamps, then puts and removes. */
public final class Txn {
  private final List<Document> requireRevision = new ArrayList<>();
  private final List<Document> operations = new ArrayList<>();
  private final Map<String, Long> requiredRevisions = new HashMap<>();
  private String firstPutKey;

  /** Requires the key to have this stamp; 0 means that it does not exist. */
  public Txn requireRevision(String key, long stamp) {
    Long known = requiredRevisions.putIfAbsent(key, stamp);
    if (known == null || known != stamp) {
      requireRevision.add(Document.create().put("k", key).put("stamp", stamp));
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

  /** A put that disappears with the lease. */
  public Txn put(String key, Document value, long tenancy) {
    if (firstPutKey == null) {
      firstPutKey = key;
    }
    operations.add(Document.create().put("put", key).put("data", value).put("tenancy", tenancy));
    return this;
  }

  public Txn remove(String key) {
    operations.add(Document.create().put("remove", key));
    return this;
  }

  public int writeCount() {
    return operations.size();
  }

  /** The key by which an unclear outcome is read back. */
  String readBackKey() {
    return firstPutKey;
  }

  byte[] encode() {
    return Document.create().put("when", requireRevision).put("then", operations).encode();
  }
}
