package dev.dunefront.store;

import dev.dunefront.wire.Doc;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An atomic change: conditions on stamps, then puts and removes. */
public final class Txn {
  private final List<Doc> when = new ArrayList<>();
  private final List<Doc> then = new ArrayList<>();
  private final Map<String, Long> conditions = new HashMap<>();
  private String firstPut;

  /** Requires the key to have this stamp; 0 means that it does not exist. */
  public Txn when(String key, long stamp) {
    Long known = conditions.putIfAbsent(key, stamp);
    if (known == null || known != stamp) {
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

  /** A put that disappears with the lease. */
  public Txn put(String key, Doc value, long tenancy) {
    if (firstPut == null) {
      firstPut = key;
    }
    then.add(Doc.of().put("put", key).put("data", value).put("tenancy", tenancy));
    return this;
  }

  public Txn remove(String key) {
    then.add(Doc.of().put("remove", key));
    return this;
  }

  public int changes() {
    return then.size();
  }

  /** The key by which an unclear outcome is read back. */
  String witness() {
    return firstPut;
  }

  byte[] encode() {
    return Doc.of().put("when", when).put("then", then).encode();
  }
}
