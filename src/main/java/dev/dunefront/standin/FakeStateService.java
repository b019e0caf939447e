package dev.dunefront.standin;

import dev.dunefront.net.HttpCaller.Response;
import dev.dunefront.net.Timers;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** A fake state service: versioned keys, transactions, leases and watches. */
public final class FakeStateService {
  /** Maximum number of changes in a transaction; it may have four times as many conditions. */
  public static final int MAX_TXN_OPS = 24;

  /** Maximum size of a transaction as JSON, in bytes. */
  private static final int MAX_TXN_BYTES = 64 * 1024;

  /** Changes kept for watches; older ones are discarded. */
  private static final int MAX_CHANGES_KEPT = 10_000;

  private record Value(Document data, long revision, long leaseId) {}

  private record Change(long revision, String key, Document data) {}

  private final Timers timers;
  private final TreeMap<String, Value> keys = new TreeMap<>();
  private final Map<Long, Double> leaseExpiries = new HashMap<>();
  private final Map<Long, Double> leaseDurationsS = new HashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final List<Runnable> watches = new ArrayList<>();
  private final Map<String, Integer> writes = new HashMap<>();
  private long revision = 1;
  private long lastLease = 6;
  private int failedTxnOps;
  private int malformedTxns;
  private int maxValueBytes = Integer.MAX_VALUE;
  private boolean inOutage;
  private boolean watchesReportEveryChange;

  public FakeStateService(Timers timers) {
    this.timers = timers;
  }

  /** Starts or ends an outage. At its end every lease is extended to its full duration. */
  public void outage(boolean on) {
    expireLeases();
    inOutage = on;
    if (!on) {
      double now = timers.now();
      leaseExpiries.replaceAll((id, until) -> now + leaseDurationsS.get(id));
      notifyWatches();
    }
  }

  /** Lets watches report every change of a key instead of its last one alone; both are allowed. */
  public void setWatchesReportEveryChange(boolean on) {
    watchesReportEveryChange = on;
  }

  /** Changes in transactions with failed conditions so far; rate limits count them too. */
  public int failedTxnOps() {
    return failedTxnOps;
  }

  /** Transactions rejected because they were too large. */
  public int malformedTxns() {
    return malformedTxns;
  }

  /** Sets the limit on the size of a value as JSON, in kB. */
  public void setValueKb(double kb) {
    maxValueBytes = (int) (kb * 1024);
  }

  /** Expires a lease early, which removes its keys. */
  public void endLease(long id) {
    leaseExpiries.computeIfPresent(id, (k, until) -> Double.NEGATIVE_INFINITY);
    expireLeases();
  }

  /** Number of puts and removals of keys with the prefix so far. */
  public int writes(String prefix) {
    return writes.entrySet().stream()
        .filter(e -> e.getKey().startsWith(prefix))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  /** The value of a key, or null if it does not exist. */
  public Document value(String key) {
    expireLeases();
    Value v = keys.get(key);
    return v == null ? null : v.data;
  }

  public List<String> keys(String prefix) {
    expireLeases();
    return keys.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
  }

  public void handle(String method, String pathAndQuery, byte[] body, Consumer<Response> then) {
    expireLeases();
    int questionMark = pathAndQuery.indexOf('?');
    String path = questionMark < 0 ? pathAndQuery : pathAndQuery.substring(0, questionMark);
    Map<String, String> query = new HashMap<>();
    if (questionMark >= 0) {
      for (String part : pathAndQuery.substring(questionMark + 1).split("&")) {
        int eq = part.indexOf('=');
        query.put(part.substring(0, eq), part.substring(eq + 1));
      }
    }
    if (inOutage) {
      then.accept(response(503, Document.create()));
      return;
    }
    try {
      if (path.startsWith("/keys/")) {
        get(path.substring("/keys/".length()), then);
      } else if (path.equals("/keys")) {
        range(query, then);
      } else if (path.equals("/txn")) {
        txn(Document.decode(body), then);
      } else if (path.equals("/leases")) {
        long id = ++lastLease;
        leaseDurationsS.put(id, Document.decode(body).count("life_ms") / 1000.0);
        leaseExpiries.put(id, timers.now() + leaseDurationsS.get(id));
        then.accept(response(200, Document.create().put("tenancy", id)));
      } else if (path.startsWith("/leases/")) {
        long id = Long.parseLong(path.split("/")[2]);
        if (!leaseExpiries.containsKey(id)) {
          then.accept(response(404, Document.create()));
          return;
        }
        leaseExpiries.put(id, timers.now() + leaseDurationsS.get(id));
        then.accept(response(200, Document.create().put("tenancy", id)));
      } else if (path.equals("/watch")) {
        double until =
            timers.now() + Double.parseDouble(query.getOrDefault("block_ms", "0")) / 1000;
        watch(query.get("prefix"), Long.parseLong(query.get("from")), until, then);
      } else {
        then.accept(response(404, Document.create()));
      }
    } catch (MalformedMessageException e) {
      then.accept(response(400, Document.create()));
    }
  }

  private static Response response(int status, Document doc) {
    return new Response(status, doc.encode(), 0);
  }

  private void get(String key, Consumer<Response> then) {
    Value v = keys.get(key);
    then.accept(
        v == null
            ? response(404, Document.create().put("ledger_rev", revision))
            : response(200, pair(key, v)));
  }

  private static Document pair(String key, Value v) {
    return Document.create().put("k", key).put("data", v.data).put("stamp", v.revision);
  }

  private void range(Map<String, String> query, Consumer<Response> then) {
    int page = Integer.parseInt(query.getOrDefault("page", "1000"));
    List<Document> pairs = new ArrayList<>();
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
        response(
            200,
            Document.create().put("pairs", pairs).put("more", more).put("ledger_rev", revision)));
  }

  private void txn(Document txn, Consumer<Response> then) throws MalformedMessageException {
    if (isTooLarge(txn)) {
      malformedTxns++;
      then.accept(response(400, Document.create().put("error", "too much")));
      return;
    }
    List<String> failed = new ArrayList<>();
    for (Document w : txn.documents("when")) {
      Value v = keys.get(w.text("k"));
      if ((v == null ? 0 : v.revision) != w.count("stamp")) {
        failed.add(w.text("k"));
      }
    }
    for (Document t : txn.documents("then")) {
      if (t.has("tenancy") && !leaseExpiries.containsKey(t.count("tenancy"))) {
        then.accept(response(400, Document.create().put("error", "no such lease")));
        return;
      }
    }
    if (!failed.isEmpty()) {
      failedTxnOps += txn.documents("then").size();
      then.accept(
          response(409, Document.create().put("failed", failed).put("ledger_rev", revision)));
      return;
    }
    revision++;
    for (Document t : txn.documents("then")) {
      if (t.has("put")) {
        writes.merge(t.text("put"), 1, Integer::sum);
        keys.put(t.text("put"), new Value(t.document("data"), revision, t.countOr("tenancy", 0)));
        changes.add(new Change(revision, t.text("put"), t.document("data")));
      } else if (keys.remove(t.text("remove")) != null) {
        writes.merge(t.text("remove"), 1, Integer::sum);
        changes.add(new Change(revision, t.text("remove"), null));
      }
    }
    then.accept(response(200, Document.create().put("ledger_rev", revision)));
    notifyWatches();
  }

  private boolean isTooLarge(Document txn) throws MalformedMessageException {
    boolean tooLarge =
        txn.documents("then").size() > MAX_TXN_OPS
            || txn.documents("when").size() > 4 * MAX_TXN_OPS
            || txn.jsonBytes() > MAX_TXN_BYTES;
    for (Document t : txn.documents("then")) {
      tooLarge |= t.has("put") && t.document("data").jsonBytes() > maxValueBytes;
    }
    return tooLarge;
  }

  private void notifyWatches() {
    if (changes.size() > MAX_CHANGES_KEPT) {
      changes.subList(0, changes.size() - MAX_CHANGES_KEPT).clear();
    }
    List<Runnable> all = List.copyOf(watches);
    watches.clear();
    all.forEach(Runnable::run);
  }

  private void watch(String prefix, long from, double until, Consumer<Response> then) {
    List<Change> reported = changesAfter(from, prefix);
    if (!inOutage && (!reported.isEmpty() || timers.now() >= until)) {
      List<Document> events = new ArrayList<>();
      for (Change c : reported) {
        Document e =
            Document.create()
                .put(c.data == null ? "remove" : "put", c.key)
                .put("stamp", c.revision);
        events.add(c.data == null ? e : e.put("data", c.data));
      }
      then.accept(
          response(200, Document.create().put("ledger_rev", revision).put("events", events)));
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

  private List<Change> changesAfter(long from, String prefix) {
    List<Change> every = new ArrayList<>();
    Map<String, Change> last = new LinkedHashMap<>();
    for (Change c : changes.subList(firstIndexAfter(from), changes.size())) {
      if (c.key.startsWith(prefix)) {
        every.add(c);
        last.put(c.key, c);
      }
    }
    return watchesReportEveryChange ? every : List.copyOf(last.values());
  }

  /** Index of the first change after a revision; changes are ordered by revision. */
  private int firstIndexAfter(long from) {
    int first = changes.size();
    while (first > 0 && changes.get(first - 1).revision > from) {
      first--;
    }
    return first;
  }

  private void expireLeases() {
    if (inOutage) {
      return;
    }
    double now = timers.now();
    List<Long> ended = new ArrayList<>();
    leaseExpiries.forEach(
        (id, until) -> {
          if (until < now) {
            ended.add(id);
          }
        });
    if (ended.isEmpty()) {
      return;
    }
    ended.forEach(leaseExpiries::remove);
    for (var e : new TreeMap<>(keys).entrySet()) {
      if (ended.contains(e.getValue().leaseId)) {
        revision++;
        keys.remove(e.getKey());
        changes.add(new Change(revision, e.getKey(), null));
      }
    }
    notifyWatches();
  }
}
