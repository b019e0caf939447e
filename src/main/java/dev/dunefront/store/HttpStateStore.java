package dev.dunefront.store;

import dev.dunefront.config.Settings;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.HttpCaller;
import dev.dunefront.net.HttpCaller.Response;
import dev.dunefront.net.Timers;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/** The state service over HTTP, within this controller's part of the common budget. */
public final class HttpStateStore implements StateStore {
  private static final System.Logger LOG = System.getLogger(HttpStateStore.class.getName());
  private static final double CALL_TIMEOUT_S = 1.2;
  private static final double USER_QUEUE_TIMEOUT_S = 1.0;
  private static final double QUEUE_TIMEOUT_S = 3.0;
  private static final double PROBE_INTERVAL_S = 0.3;
  private static final double PROBE_TIMEOUT_S = 0.8;

  /** A request with a later deadline waits for changes, and may rightly have no answer for long. */
  private static final double MAX_NON_BLOCKING_TIMEOUT_S = CALL_TIMEOUT_S * 2;

  /** A shorter wait for changes is not worth asking others for some, in seconds. */
  private static final double MIN_BORROW_WAIT_S = 0.03;

  private record QueuedRequest(double expiresAt, int writes, Runnable send, Runnable reject) {}

  private final String address;
  private final HttpCaller caller;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final RateLimiter rateLimiter;
  private final String writeIdPrefix;
  private final Map<RequestPriority, ArrayDeque<QueuedRequest>> queues =
      new EnumMap<>(RequestPriority.class);
  private IntConsumer writeShortageListener = missing -> {};
  private double requestsSent;
  private double writesSent;
  private double usageSince;
  private boolean dispatchScheduled;
  private boolean down;

  /** When anything was last answered. */
  private double lastResponseAt = Double.NEGATIVE_INFINITY;

  /** A request has had no answer, nor has any that was sent after it. */
  private boolean unresponsive;

  private boolean probePending;
  private long issuedWriteIds;

  public HttpStateStore(
      Settings settings,
      HttpCaller caller,
      Timers timers,
      DecisionLock decisionLock,
      String markPrefix) {
    this.address = settings.state();
    this.caller = caller;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.rateLimiter = new RateLimiter(settings, timers.now());
    this.writeIdPrefix = markPrefix;
    this.usageSince = timers.now();
    for (RequestPriority u : RequestPriority.values()) {
      queues.put(u, new ArrayDeque<>());
    }
  }

  @Override
  public boolean unavailable() {
    return down || unresponsive;
  }

  @Override
  public double writeDelayS() {
    rateLimiter.refill(timers.now());
    return rateLimiter.writeDelayS(queuedWrites(RequestPriority.CORE));
  }

  /** Changes that wait, of this and all greater urgencies. */
  private int queuedWrites(RequestPriority least) {
    int queued = 0;
    for (var e : queues.entrySet()) {
      if (e.getKey().compareTo(least) <= 0) {
        for (QueuedRequest w : e.getValue()) {
          queued += w.writes;
        }
      }
    }
    return queued;
  }

  @Override
  public Usage takeUsage() {
    int queued = 0;
    for (ArrayDeque<QueuedRequest> queue : queues.values()) {
      queued += queue.size();
    }
    double spanS = Math.max(0.1, timers.now() - usageSince);
    Usage use =
        new Usage(
            requestsSent / spanS + queued,
            writesSent / spanS + queuedWrites(RequestPriority.BACKGROUND));
    requestsSent = 0;
    writesSent = 0;
    usageSince = timers.now();
    return use;
  }

  @Override
  public void updateShares(Usage own, Collection<Usage> others) {
    dispatchQueued();
    rateLimiter.updateRates(own, others);
  }

  @Override
  public void anticipateWrites(int changes) {
    rateLimiter.refill(timers.now());
    reportWriteShortage(rateLimiter.missingWrites(RequestPriority.CORE, changes));
  }

  private void reportWriteShortage(int missing) {
    if (missing > 0 && rateLimiter.refillTimeS(missing) > MIN_BORROW_WAIT_S && !unavailable()) {
      writeShortageListener.accept(missing);
    }
  }

  @Override
  public void onWriteShortage(IntConsumer listener) {
    writeShortageListener = listener;
  }

  @Override
  public int lendWrites(int changes) {
    rateLimiter.refill(timers.now());
    return unavailable() || queuedWrites(RequestPriority.BACKGROUND) > 0
        ? 0
        : rateLimiter.lend(changes);
  }

  @Override
  public void addBorrowedWrites(int changes) {
    rateLimiter.borrow(changes, timers.now());
    dispatchQueued();
  }

  @Override
  public String newWriteId() {
    return writeIdPrefix + "-" + ++issuedWriteIds;
  }

  @Override
  public void get(String key, RequestPriority urgency, Consumer<GetResult> then) {
    enqueue(
        urgency,
        0,
        "GET",
        "/keys/" + key,
        null,
        CALL_TIMEOUT_S,
        reply -> {
          try {
            if (reply.ok()) {
              Document d = Document.decode(reply.body());
              then.accept(new GetResult(Outcome.OK, d.document("data"), d.count("stamp")));
            } else {
              then.accept(new GetResult(outcome(reply), null, 0));
            }
          } catch (MalformedMessageException e) {
            then.accept(new GetResult(Outcome.UNKNOWN, null, 0));
          }
        });
  }

  @Override
  public void range(String prefix, RequestPriority urgency, Consumer<RangeResult> then) {
    readPage(prefix, "", urgency, new ArrayList<>(), 0, then);
  }

  private void readPage(
      String prefix,
      String from,
      RequestPriority urgency,
      List<KeyValue> all,
      long revision,
      Consumer<RangeResult> then) {
    String path = "/keys?prefix=" + prefix + (from.isEmpty() ? "" : "&from=" + from) + "&page=500";
    enqueue(
        urgency,
        0,
        "GET",
        path,
        null,
        CALL_TIMEOUT_S * 2,
        reply -> {
          if (!reply.ok()) {
            then.accept(new RangeResult(outcome(reply), List.of(), 0));
            return;
          }
          try {
            Document d = Document.decode(reply.body());
            // The first page's revision is the safe point to watch from: later pages may be newer.
            long first = revision == 0 ? d.count("ledger_rev") : revision;
            for (Document p : d.documents("pairs")) {
              all.add(new KeyValue(p.text("k"), p.document("data"), p.count("stamp")));
            }
            if (d.flagOr("more", false) && !all.isEmpty()) {
              readPage(prefix, all.get(all.size() - 1).key(), urgency, all, first, then);
            } else {
              then.accept(new RangeResult(Outcome.OK, all, first));
            }
          } catch (MalformedMessageException e) {
            then.accept(new RangeResult(Outcome.UNKNOWN, List.of(), 0));
          }
        });
  }

  @Override
  public void tryTxn(Txn txn, RequestPriority urgency, Consumer<WriteResult> then) {
    enqueue(
        urgency,
        txn.writeCount(),
        "POST",
        "/txn",
        txn.encode(),
        CALL_TIMEOUT_S,
        reply -> then.accept(toWriteResult(reply, "ledger_rev")));
  }

  @Override
  public void commit(Txn txn, String mark, RequestPriority urgency, Consumer<WriteResult> then) {
    tryCommit(txn, mark, urgency, false, 0.1, then);
  }

  private void tryCommit(
      Txn txn,
      String mark,
      RequestPriority urgency,
      boolean unclear,
      double pauseS,
      Consumer<WriteResult> then) {
    tryTxn(
        txn,
        urgency,
        done -> {
          switch (done.outcome()) {
            case OK -> then.accept(done);
            case REFUSED, UNKNOWN, NOT_FOUND -> {
              if (done.outcome() == Outcome.NOT_FOUND) {
                LOG.log(Level.ERROR, "the state service calls a transaction malformed: {0}", mark);
              }
              boolean nowUnclear = unclear || done.outcome() == Outcome.UNKNOWN;
              timers.after(
                  pauseS,
                  () -> tryCommit(txn, mark, urgency, nowUnclear, Math.min(1.0, pauseS * 2), then));
            }
            case CONFLICT -> {
              if (unclear) {
                // An earlier attempt may be what made the condition fail.
                readBack(txn, mark, done, then);
              } else {
                then.accept(done);
              }
            }
          }
        });
  }

  private void readBack(Txn txn, String mark, WriteResult conflict, Consumer<WriteResult> then) {
    get(
        txn.readBackKey(),
        RequestPriority.CORE,
        got -> {
          switch (got.outcome()) {
            case OK -> {
              boolean ours;
              try {
                ours = mark.equals(got.value().textOr(WRITE_ID_FIELD, ""));
              } catch (MalformedMessageException e) {
                ours = false;
              }
              then.accept(ours ? new WriteResult(Outcome.OK, got.revision(), List.of()) : conflict);
            }
            case NOT_FOUND -> then.accept(conflict);
            default -> timers.after(0.3, () -> readBack(txn, mark, conflict, then));
          }
        });
  }

  @Override
  public void watch(String prefix, long from, double blockS, Consumer<WatchResult> then) {
    String path =
        "/watch?prefix=" + prefix + "&from=" + from + "&block_ms=" + Math.round(blockS * 1000);
    enqueue(
        // Somebody waits for one that does not wait itself.
        blockS > 0 ? RequestPriority.CORE : RequestPriority.USER,
        0,
        "GET",
        path,
        null,
        blockS + 2,
        reply -> {
          if (!reply.ok()) {
            then.accept(new WatchResult(outcome(reply), List.of(), from, reply.status() == 410));
            return;
          }
          try {
            Document d = Document.decode(reply.body());
            List<WatchEvent> events = new ArrayList<>();
            for (Document e : d.documents("events")) {
              boolean put = e.has("put");
              events.add(
                  new WatchEvent(
                      e.text(put ? "put" : "remove"),
                      put ? e.document("data") : null,
                      e.count("stamp")));
            }
            then.accept(new WatchResult(Outcome.OK, events, d.count("ledger_rev"), false));
          } catch (MalformedMessageException e) {
            then.accept(new WatchResult(Outcome.UNKNOWN, List.of(), from, true));
          }
        });
  }

  @Override
  public void grantLease(double lifeS, Consumer<WriteResult> then) {
    byte[] body = Document.create().put("life_ms", Math.round(lifeS * 1000)).encode();
    enqueue(
        RequestPriority.USER,
        0,
        "POST",
        "/leases",
        body,
        CALL_TIMEOUT_S,
        r -> then.accept(toWriteResult(r, "tenancy")));
  }

  @Override
  public void renewLease(long tenancy, Consumer<WriteResult> then) {
    enqueue(
        RequestPriority.USER,
        0,
        "POST",
        "/leases/" + tenancy + "/touch",
        Document.create().encode(),
        CALL_TIMEOUT_S,
        r -> then.accept(new WriteResult(outcome(r), tenancy, List.of())));
  }

  private static WriteResult toWriteResult(Response reply, String field) {
    try {
      if (reply.ok()) {
        return new WriteResult(Outcome.OK, Document.decode(reply.body()).count(field), List.of());
      }
      if (reply.status() == 409) {
        Document d = Document.decode(reply.body());
        return new WriteResult(Outcome.CONFLICT, d.countOr("ledger_rev", 0), d.texts("failed"));
      }
    } catch (MalformedMessageException e) {
      return new WriteResult(Outcome.UNKNOWN, 0, List.of());
    }
    return new WriteResult(outcome(reply), 0, List.of());
  }

  private static Outcome outcome(Response reply) {
    return switch (reply.status()) {
      case 200 -> Outcome.OK;
      // A 400 here can only be a lease that has ended: everything else is made by this program.
      case 400, 404 -> Outcome.NOT_FOUND;
      case 409 -> Outcome.CONFLICT;
      case 429, 503 -> Outcome.REFUSED;
      default -> Outcome.UNKNOWN;
    };
  }

  private void enqueue(
      RequestPriority urgency,
      int changes,
      String method,
      String path,
      byte[] body,
      double deadlineS,
      Consumer<Response> then) {
    Consumer<Response> guarded = reply -> decisionLock.run(() -> then.accept(reply));
    decisionLock.run(
        () -> {
          double wait = urgency == RequestPriority.USER ? USER_QUEUE_TIMEOUT_S : QUEUE_TIMEOUT_S;
          queues
              .get(urgency)
              .add(
                  new QueuedRequest(
                      timers.now() + wait,
                      changes,
                      () -> {
                        double sent = timers.now();
                        caller.call(
                            address,
                            method,
                            path,
                            body,
                            deadlineS,
                            r -> {
                              decisionLock.run(
                                  () ->
                                      recordResponse(
                                          r, sent, deadlineS > MAX_NON_BLOCKING_TIMEOUT_S));
                              guarded.accept(r);
                            });
                      },
                      () -> guarded.accept(new Response(429, new byte[0], 0))));
          dispatchQueued();
        });
  }

  /** Hears of an answer, or that there was none to a request that may not wait for changes. */
  private void recordResponse(Response reply, double sent, boolean waits) {
    if (reply.status() > 0) {
      lastResponseAt = timers.now();
      unresponsive = false;
      if (reply.status() == 503) {
        down = true;
        probe(PROBE_INTERVAL_S);
      } else if (reply.status() != 429) {
        down = false;
      }
    } else if (!waits && lastResponseAt < sent) {
      probe(0);
    }
  }

  /**
   * In an outage a single small read goes out now and then, so that its end is noticed at once. One
   * goes out as well when a request has no answer: a controller that has lost the state service
   * alone is told nothing by it, and were that not noticed each user would wait in vain. One lost
   * answer says little, for this controller itself may be slow; two in a row are believed.
   */
  private void probe(double pauseS) {
    if (probePending) {
      return;
    }
    probePending = true;
    timers.after(
        pauseS,
        () -> {
          double sent = timers.now();
          caller.call(
              address,
              "GET",
              "/keys/probe",
              null,
              PROBE_TIMEOUT_S,
              r ->
                  decisionLock.run(
                      () -> {
                        probePending = false;
                        if (r.status() > 0) {
                          recordResponse(r, sent, false);
                        } else if (lastResponseAt < sent) {
                          unresponsive = true;
                          probe(PROBE_INTERVAL_S);
                        } else if (down) {
                          probe(PROBE_INTERVAL_S);
                        }
                      }));
        });
  }

  private void dispatchQueued() {
    double now = timers.now();
    rateLimiter.refill(now);
    boolean left = false;
    boolean held = false;
    int missing = 0;
    for (var e : queues.entrySet()) {
      ArrayDeque<QueuedRequest> queue = e.getValue();
      while (!queue.isEmpty()) {
        QueuedRequest w = queue.peek();
        boolean writable = w.writes == 0 || !held && rateLimiter.allowsWrites(e.getKey(), w.writes);
        if (w.expiresAt < now) {
          queue.poll();
          decisionLock.defer(w.reject);
        } else if (rateLimiter.allowsRequest() && writable) {
          queue.poll();
          rateLimiter.consume(w.writes);
          requestsSent++;
          writesSent += w.writes;
          decisionLock.defer(w.send);
        } else {
          // What is less urgent must not take what this saves up for.
          if (!writable && !held) {
            held = true;
            missing =
                e.getKey() == RequestPriority.BACKGROUND
                    ? 0
                    : rateLimiter.missingWrites(e.getKey(), w.writes);
          }
          left = true;
          break;
        }
      }
    }
    reportWriteShortage(missing);
    if (left && !dispatchScheduled) {
      dispatchScheduled = true;
      timers.after(
          0.02,
          () ->
              decisionLock.run(
                  () -> {
                    dispatchScheduled = false;
                    dispatchQueued();
                  }));
    }
  }
}
