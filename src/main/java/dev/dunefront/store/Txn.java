package dev.dunefront.store;

import dev.dunefront.wire.Doc;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An atomic transaction: conditions on the stamps of keys, then puts and removals. */
public final class Txn {
  private final List<Doc> when = new ArrayList<>();
  private final List<Doc> then = new ArrayList<>();
  private final Map<String, Long> conditions = new HashMap<>();
  private String firstPut;

  /** Requires the key to have this stamp; 0 requires that the key does not exist. */
  public Txn when(String key, long stamp) {
    Long previous = conditions.putIfAbsent(key, stamp);
    if (previous == null || previous != stamp) {
      when.add(Doc.of().put("k", key).put("stamp", stamp));
    }
    return this;
  }

  public Txn put(String key, Doc value) {
    if (firstPut == null) {
      firstPut = key;
    }
    then.add(Doc.of().put("put", key).put("data", value));
    return this;
  }

  /** Puts a value that is removed when the lease ends. */
  public Txn put(String key, Doc value, long leaseId) {
    if (firstPut == null) {
      firstPut = key;
    }
    then.add(Doc.of().put("put", key).put("data", value).put("tenancy", leaseId));
    return this;
  }

  public Txn remove(String key) {
    then.add(Doc.of().put("remove", key));
    return this;
  }

  public int changes() {
    return then.size();
  }

  /** The key that is read back when the outcome is unknown. */
  String witness() {
    return firstPut;
  }

  byte[] encode() {
    return Doc.of().put("when", when).put("then", then).encode();
  }
}
