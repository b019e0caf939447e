package dev.dunefront.standin;

import dev.dunefront.net.Caller.Reply;
import dev.dunefront.net.Timers;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** A fake state service: versioned keys, transactions, leases and watches. */
public final class StateStandIn {
  /** Maximum number of changes in a transaction; it may have four times as many conditions. */
  public static final int TXN_OPS = 24;

  /** Changes kept for watches; older ones are discarded. */
  private static final int KEPT = 10_000;

  private record Value(Doc data, long stamp, long tenancy) {}

  private record Change(long revision, String key, Doc data) {}

  private final Timers timers;
  private final TreeMap<String, Value> keys = new TreeMap<>();
  private final Map<Long, Double> leases = new HashMap<>();
  private final Map<Long, Double> lives = new HashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final List<Runnable> watches = new ArrayList<>();
  private final Map<String, Integer> written = new HashMap<>();
  private long revision = 1;
  private long lastLease = 6;
  private int wasted;
  private boolean out;

  public StateStandIn(Timers timers) {
    this.timers = timers;
  }

  /** Starts or ends an outage. At its end every lease is extended to its full duration. */
  public void outage(boolean on) {
    expire();
    out = on;
    if (!on) {
      double now = timers.now();
      leases.replaceAll((id, until) -> now + lives.get(id));
      wake();
    }
  }

  /** Changes in transactions with failed conditions so far; rate limits count them too. */
  public int wasted() {
    return wasted;
  }

  /** Expires a lease early, which removes its keys. */
  public void endLease(long id) {
    leases.computeIfPresent(id, (k, until) -> Double.NEGATIVE_INFINITY);
    expire();
  }

  /** Number of puts and removals of keys with the prefix so far. */
  public int written(String prefix) {
    return written.entrySet().stream()
        .filter(e -> e.getKey().startsWith(prefix))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  /** The value of a key, or null if it does not exist. */
  public Doc value(String key) {
    expire();
    Value v = keys.get(key);
    return v == null ? null : v.data;
  }

  public List<String> keys(String prefix) {
    expire();
    return keys.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
  }

  public void handle(String method, String pathAndQuery, byte[] body, Consumer<Reply> then) {
    expire();
    int questionMark = pathAndQuery.indexOf('?');
    String path = questionMark < 0 ? pathAndQuery : pathAndQuery.substring(0, questionMark);
    Map<String, String> query = new HashMap<>();
    if (questionMark >= 0) {
      for (String part : pathAndQuery.substring(questionMark + 1).split("&")) {
        int eq = part.indexOf('=');
        query.put(part.substring(0, eq), part.substring(eq + 1));
      }
    }
    if (out) {
      then.accept(reply(503, Doc.of()));
      return;
    }
    try {
      if (path.startsWith("/keys/")) {
        get(path.substring("/keys/".length()), then);
      } else if (path.equals("/keys")) {
        range(query, then);
      } else if (path.equals("/txn")) {
        txn(Doc.decode(body), then);
      } else if (path.equals("/leases")) {
        long id = ++lastLease;
        lives.put(id, Doc.decode(body).count("life_ms") / 1000.0);
        leases.put(id, timers.now() + lives.get(id));
        then.accept(reply(200, Doc.of().put("tenancy", id)));
      } else if (path.startsWith("/leases/")) {
        long id = Long.parseLong(path.split("/")[2]);
        if (!leases.containsKey(id)) {
          then.accept(reply(404, Doc.of()));
          return;
        }
        leases.put(id, timers.now() + lives.get(id));
        then.accept(reply(200, Doc.of().put("tenancy", id)));
      } else if (path.equals("/watch")) {
        double until =
            timers.now() + Double.parseDouble(query.getOrDefault("block_ms", "0")) / 1000;
        watch(query.get("prefix"), Long.parseLong(query.get("from")), until, then);
      } else {
        then.accept(reply(404, Doc.of()));
      }
    } catch (BadMessage e) {
      then.accept(reply(400, Doc.of()));
    }
  }

  private static Reply reply(int status, Doc doc) {
    return new Reply(status, doc.encode(), 0);
  }

  private void get(String key, Consumer<Reply> then) {
    Value v = keys.get(key);
    then.accept(
        v == null ? reply(404, Doc.of().put("ledger_rev", revision)) : reply(200, pair(key, v)));
  }

  private static Doc pair(String key, Value v) {
    return Doc.of().put("k", key).put("data", v.data).put("stamp", v.stamp);
  }

  private void range(Map<String, String> query, Consumer<Reply> then) {
    int page = Integer.parseInt(query.getOrDefault("page", "1000"));
    List<Doc> pairs = new ArrayList<>();
    boolean more = false;
    for (var e : keys.tailMap(query.getOrDefault("from", ""), false).entrySet()) {
      if (e.getKey().startsWith(query.get("prefix"))) {
        if (pairs.size() == page) {
          more = true;
          break;
        }
        pairs.add(pair(e.getKey(), e.getValue()));
      }
    }
    then.accept(
        reply(200, Doc.of().put("pairs", pairs).put("more", more).put("ledger_rev", revision)));
  }

  private void txn(Doc txn, Consumer<Reply> then) throws BadMessage {
    if (txn.docs("then").size() > TXN_OPS || txn.docs("when").size() > 4 * TXN_OPS) {
      then.accept(reply(400, Doc.of().put("error", "too much")));
      return;
    }
    List<String> failed = new ArrayList<>();
    for (Doc w : txn.docs("when")) {
      Value v = keys.get(w.text("k"));
      if ((v == null ? 0 : v.stamp) != w.count("stamp")) {
        failed.add(w.text("k"));
      }
    }
    for (Doc t : txn.docs("then")) {
      if (t.has("tenancy") && !leases.containsKey(t.count("tenancy"))) {
        then.accept(reply(400, Doc.of().put("error", "no such lease")));
        return;
      }
    }
    if (!failed.isEmpty()) {
      wasted += txn.docs("then").size();
      then.accept(reply(409, Doc.of().put("failed", failed).put("ledger_rev", revision)));
      return;
    }
    revision++;
    for (Doc t : txn.docs("then")) {
      if (t.has("put")) {
        written.merge(t.text("put"), 1, Integer::sum);
        keys.put(t.text("put"), new Value(t.doc("data"), revision, t.countOr("tenancy", 0)));
        changes.add(new Change(revision, t.text("put"), t.doc("data")));
      } else if (keys.remove(t.text("remove")) != null) {
        written.merge(t.text("remove"), 1, Integer::sum);
        changes.add(new Change(revision, t.text("remove"), null));
      }
    }
    then.accept(reply(200, Doc.of().put("ledger_rev", revision)));
    wake();
  }

  private void wake() {
    if (changes.size() > KEPT) {
      changes.subList(0, changes.size() - KEPT).clear();
    }
    List<Runnable> all = List.copyOf(watches);
    watches.clear();
    all.forEach(Runnable::run);
  }

  private void watch(String prefix, long from, double until, Consumer<Reply> then) {
    Map<String, Change> last = new LinkedHashMap<>();
    for (Change c : changes.subList(firstAfter(from), changes.size())) {
      if (c.key.startsWith(prefix)) {
        last.put(c.key, c);
      }
    }
    if (!out && (!last.isEmpty() || timers.now() >= until)) {
      List<Doc> events = new ArrayList<>();
      for (Change c : last.values()) {
        Doc e = Doc.of().put(c.data == null ? "remove" : "put", c.key).put("stamp", c.revision);
        events.add(c.data == null ? e : e.put("data", c.data));
      }
      then.accept(reply(200, Doc.of().put("ledger_rev", revision).put("events", events)));
      return;
    }
    boolean[] retried = {false};
    Runnable retry =
        () -> {
          if (!retried[0]) {
            retried[0] = true;
            watch(prefix, from, until, then);
          }
        };
    watches.add(retry);
    timers.after(Math.max(0.05, until - timers.now()), retry);
  }

  /** Index of the first change after a revision; changes are ordered by revision. */
  private int firstAfter(long from) {
    int first = changes.size();
    while (first > 0 && changes.get(first - 1).revision > from) {
      first--;
    }
    return first;
  }

  private void expire() {
    if (out) {
      return;
    }
    double now = timers.now();
    List<Long> ended = new ArrayList<>();
    leases.forEach(
        (id, until) -> {
          if (until < now) {
            ended.add(id);
          }
        });
    if (ended.isEmpty()) {
      return;
    }
    ended.forEach(leases::remove);
    for (var e : new TreeMap<>(keys).entrySet()) {
      if (ended.contains(e.getValue().tenancy)) {
        revision++;
        keys.remove(e.getKey());
        changes.add(new Change(revision, e.getKey(), null));
      }
    }
    wake();
  }
}
