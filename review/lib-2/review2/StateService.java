package review2;

import dev.dunefront.net.HttpCaller.Response;
import dev.dunefront.net.Timers;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.msgpack.core.MessagePack;

/**
 * A state service after the protocol page, with its limits: sizes are counted as JSON, requests and
 * changes by the second. Runs on one thread.
 */
final class StateService {
  private record Value(Document data, long stamp, long lease, int jsonBytes) {}

  private record Change(long revision, String key, Document data) {}

  private static final class Lease {
    double lifeS;
    double until;
  }

  private final Timers timers;
  private final Consumer<String> log;
  private final double rps;
  private final double writeRps;
  private final int txnOps;
  private final int valueBytes;
  private final TreeMap<String, Value> keys = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final List<Runnable> watches = new ArrayList<>();
  private long revision = 1;
  private long lastLease = 6;
  private boolean outage;
  private double requestTokens;
  private double writeTokens;
  private double refilledAt;
  private long forgotten;

  StateService(
      Timers timers, Consumer<String> log, double rps, double writeRps, int txnOps, double kb) {
    this.timers = timers;
    this.log = log;
    this.rps = rps;
    this.writeRps = writeRps;
    this.txnOps = txnOps;
    this.valueBytes = (int) (kb * 1024);
    this.requestTokens = rps;
    this.writeTokens = writeRps;
    this.refilledAt = timers.now();
    expirePeriodically();
  }

  private void expirePeriodically() {
    expireLeases();
    timers.after(0.05, this::expirePeriodically);
  }

  void setOutage(boolean on) {
    expireLeases();
    outage = on;
    if (!on) {
      leases.values().forEach(l -> l.until = timers.now() + l.lifeS);
      wake();
    }
  }

  Document value(String key) {
    Value v = keys.get(key);
    return v == null ? null : v.data;
  }

  List<String> keys(String prefix) {
    return keys.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
  }

  /** Size of a MessagePack body in the JSON form in which the protocol counts. */
  static int jsonBytes(byte[] body) {
    try (var in = MessagePack.newDefaultUnpacker(body)) {
      return in.unpackValue().toJson().getBytes(StandardCharsets.UTF_8).length;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private boolean takeTokens(int writes) {
    double now = timers.now();
    requestTokens = Math.min(rps, requestTokens + (now - refilledAt) * rps);
    writeTokens = Math.min(writeRps, writeTokens + (now - refilledAt) * writeRps);
    refilledAt = now;
    if (requestTokens < 1 || writeTokens < writes) {
      return false;
    }
    requestTokens -= 1;
    writeTokens -= writes;
    return true;
  }

  void handle(String method, String pathAndQuery, byte[] body, Consumer<Response> then) {
    expireLeases();
    int mark = pathAndQuery.indexOf('?');
    String path = mark < 0 ? pathAndQuery : pathAndQuery.substring(0, mark);
    Map<String, String> query = new HashMap<>();
    if (mark >= 0) {
      for (String part : pathAndQuery.substring(mark + 1).split("&")) {
        int eq = part.indexOf('=');
        query.put(part.substring(0, eq), part.substring(eq + 1));
      }
    }
    if (outage) {
      then.accept(answer(503, Document.create().put("error", "trouble")));
      return;
    }
    try {
      if (path.equals("/txn")) {
        txn(body, then);
        return;
      }
      if (!takeTokens(0)) {
        then.accept(answer(429, Document.create()));
      } else if (path.startsWith("/keys/")) {
        Value v = keys.get(path.substring("/keys/".length()));
        then.accept(
            v == null
                ? answer(404, Document.create().put("ledger_rev", revision))
                : answer(200, pair(path.substring("/keys/".length()), v)));
      } else if (path.equals("/keys")) {
        range(query, then);
      } else if (path.equals("/leases")) {
        Lease l = new Lease();
        l.lifeS = Document.decode(body).count("life_ms") / 1000.0;
        l.until = timers.now() + l.lifeS;
        leases.put(++lastLease, l);
        then.accept(answer(200, Document.create().put("tenancy", lastLease)));
      } else if (path.startsWith("/leases/")) {
        long id = Long.parseLong(path.split("/")[2]);
        Lease l = leases.get(id);
        if (l == null) {
          then.accept(answer(404, Document.create()));
        } else if (method.equals("DELETE")) {
          l.until = Double.NEGATIVE_INFINITY;
          expireLeases();
          then.accept(answer(200, Document.create()));
        } else {
          l.until = timers.now() + l.lifeS;
          then.accept(answer(200, Document.create().put("tenancy", id)));
        }
      } else if (path.equals("/watch")) {
        double until =
            timers.now() + Double.parseDouble(query.getOrDefault("block_ms", "0")) / 1000;
        long from = Long.parseLong(query.get("from"));
        if (from < forgotten) {
          then.accept(answer(410, Document.create().put("ledger_rev", revision)));
        } else {
          watch(query.get("prefix"), from, until, then);
        }
      } else {
        then.accept(answer(404, Document.create()));
      }
    } catch (MalformedMessageException e) {
      then.accept(answer(400, Document.create()));
    }
  }

  private static Response answer(int status, Document d) {
    return new Response(status, d.encode(), 0);
  }

  private static Document pair(String key, Value v) {
    Document d = Document.create().put("k", key).put("data", v.data).put("stamp", v.stamp);
    return v.lease == 0 ? d : d.put("tenancy", v.lease);
  }

  private void range(Map<String, String> query, Consumer<Response> then) {
    int page = Math.min(1000, Integer.parseInt(query.getOrDefault("page", "1000")));
    String prefix = query.get("prefix");
    List<Document> pairs = new ArrayList<>();
    int bytes = 100;
    boolean more = false;
    for (var e : keys.tailMap(query.getOrDefault("from", ""), false).entrySet()) {
      if (!e.getKey().startsWith(prefix)) {
        continue;
      }
      int size = e.getValue().jsonBytes + e.getKey().length() + 60;
      if (pairs.size() == page || bytes + size > 512 * 1024) {
        more = true;
        break;
      }
      bytes += size;
      pairs.add(pair(e.getKey(), e.getValue()));
    }
    then.accept(
        answer(
            200,
            Document.create().put("pairs", pairs).put("more", more).put("ledger_rev", revision)));
  }

  private void txn(byte[] body, Consumer<Response> then) throws MalformedMessageException {
    Document txn = Document.decode(body);
    List<Document> when = txn.documents("when");
    List<Document> thenOps = txn.documents("then");
    if (!takeTokens(thenOps.size())) {
      then.accept(answer(429, Document.create()));
      return;
    }
    int total = jsonBytes(body);
    if (thenOps.size() > txnOps || when.size() > 4 * txnOps || total > 64 * 1024) {
      log.accept(
          "state: 400, transaction of "
              + thenOps.size()
              + " changes, "
              + when.size()
              + " conditions, "
              + total
              + " bytes as JSON (limits "
              + txnOps
              + ", "
              + 4 * txnOps
              + ", 65536)");
      then.accept(answer(400, Document.create().put("error", "too large")));
      return;
    }
    Map<String, Integer> sizes = new HashMap<>();
    for (Document t : thenOps) {
      if (t.has("put")) {
        int size = jsonBytes(t.document("data").encode());
        sizes.put(t.text("put"), size);
        if (size > valueBytes) {
          log.accept("state: 400, value of " + size + " bytes for " + t.text("put"));
          then.accept(answer(400, Document.create().put("error", "value too large")));
          return;
        }
        if (t.has("tenancy") && !leases.containsKey(t.count("tenancy"))) {
          then.accept(answer(400, Document.create().put("error", "no such lease")));
          return;
        }
      }
    }
    List<String> failed = new ArrayList<>();
    for (Document w : when) {
      Value v = keys.get(w.text("k"));
      if ((v == null ? 0 : v.stamp) != w.count("stamp")) {
        failed.add(w.text("k"));
      }
    }
    if (!failed.isEmpty()) {
      then.accept(answer(409, Document.create().put("failed", failed).put("ledger_rev", revision)));
      return;
    }
    if (thenOps.isEmpty()) {
      then.accept(answer(200, Document.create().put("ledger_rev", revision)));
      return;
    }
    revision++;
    for (Document t : thenOps) {
      if (t.has("put")) {
        String k = t.text("put");
        keys.put(k, new Value(t.document("data"), revision, t.countOr("tenancy", 0), sizes.get(k)));
        changes.add(new Change(revision, k, t.document("data")));
      } else if (keys.remove(t.text("remove")) != null) {
        changes.add(new Change(revision, t.text("remove"), null));
      }
    }
    then.accept(answer(200, Document.create().put("ledger_rev", revision)));
    wake();
  }

  private void wake() {
    while (changes.size() > 10_000) {
      forgotten = changes.remove(0).revision;
    }
    List<Runnable> all = List.copyOf(watches);
    watches.clear();
    all.forEach(Runnable::run);
  }

  private void watch(String prefix, long from, double until, Consumer<Response> then) {
    if (!outage) {
      Map<String, Change> last = new LinkedHashMap<>();
      for (int i = changes.size() - 1; i >= 0 && changes.get(i).revision > from; i--) {
        Change c = changes.get(i);
        if (c.key.startsWith(prefix)) {
          last.putIfAbsent(c.key, c);
        }
      }
      if (!last.isEmpty() || timers.now() >= until) {
        List<Document> events = new ArrayList<>();
        for (Change c : last.values()) {
          Document e =
              Document.create()
                  .put(c.data == null ? "remove" : "put", c.key)
                  .put("stamp", c.revision);
          events.add(0, c.data == null ? e : e.put("data", c.data));
        }
        then.accept(
            answer(200, Document.create().put("ledger_rev", revision).put("events", events)));
        return;
      }
    }
    boolean[] done = {false};
    Runnable retry =
        () -> {
          if (!done[0]) {
            done[0] = true;
            watch(prefix, from, until, then);
          }
        };
    watches.add(retry);
    timers.after(Math.max(0.05, until - timers.now()), retry);
  }

  private void expireLeases() {
    if (outage) {
      return;
    }
    List<Long> ended = new ArrayList<>();
    leases.forEach(
        (id, l) -> {
          if (l.until < timers.now()) {
            ended.add(id);
          }
        });
    if (ended.isEmpty()) {
      return;
    }
    ended.forEach(leases::remove);
    boolean removed = false;
    for (var e : new TreeMap<>(keys).entrySet()) {
      if (ended.contains(e.getValue().lease)) {
        keys.remove(e.getKey());
        changes.add(new Change(++revision, e.getKey(), null));
        removed = true;
      }
    }
    if (removed) {
      wake();
    }
  }
}
