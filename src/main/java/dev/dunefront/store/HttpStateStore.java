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

/**
 * Client of the state service over HTTP, within this controller's share of the service's rate
 * limit.
 */
public final class HttpStateStore implements StateStore {
  private static final System.Logger LOG = System.getLogger(HttpStateStore.class.getName());
  private static final double CALL_TIMEOUT_S = 1.2;
  private static final double USER_QUEUE_TIMEOUT_S = 1.0;
  private static final double QUEUE_TIMEOUT_S = 3.0;
  private static final double PROBE_INTERVAL_S = 0.3;
  private static final double PROBE_TIMEOUT_S = 0.8;

  /**
   * A request with a longer timeout is a blocking watch, for which a missing response is no sign of
   * an outage.
   */
  private static final double MAX_NON_BLOCKING_TIMEOUT_S = CALL_TIMEOUT_S * 2;

  /**
   * A shortage that this controller's own rate covers within this time, in seconds, is not worth
   * borrowing for.
   */
  private static final double MIN_BORROW_WAIT_S = 0.03;

  private record QueuedRequest(double expiresAt, int writes, Runnable send, Runnable reject) {}

  private final String address;
  private final HttpCaller caller;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final RateLimiter rateLimiter;
  private final TxnLimits txnLimits;
  private final String writeIdPrefix;
  private final Map<RequestPriority, ArrayDeque<QueuedRequest>> queues =
      new EnumMap<>(RequestPriority.class);
  private IntConsumer writeShortageListener = missing -> {};
  private double requestsSent;
  private double writesSent;
  private double usageSince;
  private boolean dispatchScheduled;

  /** Whether the last response other than 429 was 503 (Service Unavailable). */
  private boolean refusing;

  /** When the last response arrived. */
  private double lastResponseAt = Double.NEGATIVE_INFINITY;

  /** Whether a probe has had no response and no other response has arrived since it was sent. */
  private boolean unresponsive;

  private boolean probePending;
  private long issuedWriteIds;
  private int malformedCount;

  public HttpStateStore(
      Settings settings,
      HttpCaller caller,
      Timers timers,
      DecisionLock decisionLock,
      String writeIdPrefix) {
    this.address = settings.state();
    this.caller = caller;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.rateLimiter = new RateLimiter(settings, timers.now());
    this.txnLimits = TxnLimits.of(settings.stateLimits());
    this.writeIdPrefix = writeIdPrefix;
    this.usageSince = timers.now();
    for (RequestPriority priority : RequestPriority.values()) {
      queues.put(priority, new ArrayDeque<>());
    }
  }

  @Override
  public boolean unavailable() {
    return refusing || unresponsive;
  }

  @Override
  public double writeDelayS() {
    rateLimiter.refill(timers.now());
    return rateLimiter.writeDelayS(queuedWrites(RequestPriority.CORE));
  }

  /** Queued writes of this and all higher priorities. */
  private int queuedWrites(RequestPriority lowest) {
    int queued = 0;
    for (var e : queues.entrySet()) {
      if (e.getKey().compareTo(lowest) <= 0) {
        for (QueuedRequest request : e.getValue()) {
          queued += request.writes;
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
    Usage usage =
        new Usage(
            requestsSent / spanS + queued,
            writesSent / spanS + queuedWrites(RequestPriority.BACKGROUND));
    requestsSent = 0;
    writesSent = 0;
    usageSince = timers.now();
    return usage;
  }

  @Override
  public void updateShares(Usage own, Collection<Usage> others) {
    dispatchQueued();
    rateLimiter.updateRates(own, others);
  }

  @Override
  public void anticipateWrites(int writes) {
    rateLimiter.refill(timers.now());
    reportWriteShortage(rateLimiter.missingWrites(RequestPriority.CORE, writes));
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
  public int lendWrites(int writes) {
    rateLimiter.refill(timers.now());
    return unavailable() || queuedWrites(RequestPriority.BACKGROUND) > 0
        ? 0
        : rateLimiter.lend(writes);
  }

  @Override
  public void addBorrowedWrites(int writes) {
    rateLimiter.borrow(writes, timers.now());
    dispatchQueued();
  }

  @Override
  public int malformedCount() {
    return malformedCount;
  }

  @Override
  public TxnLimits txnLimits() {
    return txnLimits;
  }

  @Override
  public String newWriteId() {
    return writeIdPrefix + "-" + ++issuedWriteIds;
  }

  @Override
  public void get(String key, RequestPriority priority, Consumer<GetResult> callback) {
    enqueue(
        priority,
        0,
        "GET",
        "/keys/" + key,
        null,
        CALL_TIMEOUT_S,
        response -> {
          try {
            if (response.ok()) {
              Document d = Document.decode(response.body());
              callback.accept(new GetResult(Outcome.OK, d.document("data"), d.count("stamp")));
            } else {
              callback.accept(new GetResult(StateResponses.outcome(response), null, 0));
            }
          } catch (MalformedMessageException e) {
            callback.accept(new GetResult(Outcome.UNKNOWN, null, 0));
          }
        });
  }

  @Override
  public void range(String prefix, RequestPriority priority, Consumer<RangeResult> callback) {
    readPage(prefix, "", priority, new ArrayList<>(), 0, callback);
  }

  private void readPage(
      String prefix,
      String from,
      RequestPriority priority,
      List<KeyValue> all,
      long revision,
      Consumer<RangeResult> callback) {
    String path = "/keys?prefix=" + prefix + (from.isEmpty() ? "" : "&from=" + from) + "&page=500";
    enqueue(
        priority,
        0,
        "GET",
        path,
        null,
        CALL_TIMEOUT_S * 2,
        response -> {
          if (!response.ok()) {
            callback.accept(new RangeResult(StateResponses.outcome(response), List.of(), 0));
            return;
          }
          try {
            Document d = Document.decode(response.body());
            // A watch must start at the revision of the first page, as later pages may be newer.
            long firstRevision = revision == 0 ? d.count("ledger_rev") : revision;
            for (Document p : d.documents("pairs")) {
              all.add(new KeyValue(p.text("k"), p.document("data"), p.count("stamp")));
            }
            if (d.flagOr("more", false) && !all.isEmpty()) {
              readPage(
                  prefix, all.get(all.size() - 1).key(), priority, all, firstRevision, callback);
            } else {
              callback.accept(new RangeResult(Outcome.OK, all, firstRevision));
            }
          } catch (MalformedMessageException e) {
            callback.accept(new RangeResult(Outcome.UNKNOWN, List.of(), 0));
          }
        });
  }

  @Override
  public void tryTxn(Txn txn, RequestPriority priority, Consumer<WriteResult> callback) {
    if (!txn.fits(txnLimits)) {
      malformedCount++;
      LOG.log(
          Level.ERROR,
          "a transaction that writes {0} is too large and not sent: {1}",
          txn.readBackKey(),
          txn.describeSize());
      timers.after(
          0, () -> decisionLock.run(() -> callback.accept(WriteResult.of(Outcome.MALFORMED))));
      return;
    }
    enqueue(
        priority,
        txn.writeCount(),
        "POST",
        "/txn",
        txn.encode(),
        CALL_TIMEOUT_S,
        response -> {
          WriteResult result = StateResponses.toWriteResult(response, "ledger_rev");
          if (result.outcome() == Outcome.MALFORMED) {
            malformedCount++;
            LOG.log(
                Level.ERROR,
                "the state service calls a transaction that writes {0} malformed: {1}",
                txn.readBackKey(),
                txn.describeSize());
          }
          callback.accept(result);
        });
  }

  @Override
  public void commit(
      Txn txn, String writeId, RequestPriority priority, Consumer<WriteResult> callback) {
    tryCommit(txn, writeId, priority, false, 0.1, callback);
  }

  private void tryCommit(
      Txn txn,
      String writeId,
      RequestPriority priority,
      boolean outcomeUnknown,
      double retryDelayS,
      Consumer<WriteResult> callback) {
    tryTxn(
        txn,
        priority,
        result -> {
          switch (result.outcome()) {
            case OK -> callback.accept(result);
            case REFUSED, UNKNOWN -> {
              boolean unknownSoFar = outcomeUnknown || result.outcome() == Outcome.UNKNOWN;
              timers.after(
                  retryDelayS,
                  () ->
                      tryCommit(
                          txn,
                          writeId,
                          priority,
                          unknownSoFar,
                          Math.min(1.0, retryDelayS * 2),
                          callback));
            }
            // Repeating a malformed transaction, or one whose lease is gone, cannot succeed.
            case CONFLICT, MALFORMED, NOT_FOUND -> {
              if (outcomeUnknown) {
                // An earlier attempt may have been applied and have caused the conflict.
                readBack(txn, writeId, result, callback);
              } else {
                callback.accept(result);
              }
            }
          }
        });
  }

  private void readBack(
      Txn txn, String writeId, WriteResult conflict, Consumer<WriteResult> callback) {
    get(
        txn.readBackKey(),
        RequestPriority.CORE,
        current -> {
          switch (current.outcome()) {
            case OK -> {
              boolean ownWrite;
              try {
                ownWrite = writeId.equals(current.value().textOr(WRITE_ID_FIELD, ""));
              } catch (MalformedMessageException e) {
                ownWrite = false;
              }
              callback.accept(
                  ownWrite ? new WriteResult(Outcome.OK, current.revision(), List.of()) : conflict);
            }
            case NOT_FOUND -> callback.accept(conflict);
            default -> timers.after(0.3, () -> readBack(txn, writeId, conflict, callback));
          }
        });
  }

  @Override
  public void watch(String prefix, long from, double blockS, Consumer<WatchResult> callback) {
    String path =
        "/watch?prefix=" + prefix + "&from=" + from + "&block_ms=" + Math.round(blockS * 1000);
    enqueue(
        // A non-blocking watch has a caller that waits for its result.
        blockS > 0 ? RequestPriority.CORE : RequestPriority.USER,
        0,
        "GET",
        path,
        null,
        blockS + 2,
        response -> {
          if (!response.ok()) {
            callback.accept(
                new WatchResult(
                    StateResponses.outcome(response), List.of(), from, response.status() == 410));
            return;
          }
          try {
            Document d = Document.decode(response.body());
            List<WatchEvent> events = new ArrayList<>();
            for (Document e : d.documents("events")) {
              boolean put = e.has("put");
              events.add(
                  new WatchEvent(
                      e.text(put ? "put" : "remove"),
                      put ? e.document("data") : null,
                      e.count("stamp")));
            }
            callback.accept(new WatchResult(Outcome.OK, events, d.count("ledger_rev"), false));
          } catch (MalformedMessageException e) {
            callback.accept(new WatchResult(Outcome.UNKNOWN, List.of(), from, true));
          }
        });
  }

  @Override
  public void grantLease(double ttlS, Consumer<WriteResult> callback) {
    byte[] body = Document.create().put("life_ms", Math.round(ttlS * 1000)).encode();
    enqueue(
        RequestPriority.USER,
        0,
        "POST",
        "/leases",
        body,
        CALL_TIMEOUT_S,
        r -> callback.accept(StateResponses.toWriteResult(r, "tenancy")));
  }

  @Override
  public void renewLease(long leaseId, Consumer<WriteResult> callback) {
    enqueue(
        RequestPriority.USER,
        0,
        "POST",
        "/leases/" + leaseId + "/touch",
        Document.create().encode(),
        CALL_TIMEOUT_S,
        r -> callback.accept(new WriteResult(StateResponses.outcome(r), leaseId, List.of())));
  }

  private void enqueue(
      RequestPriority priority,
      int writes,
      String method,
      String path,
      byte[] body,
      double deadlineS,
      Consumer<Response> callback) {
    Consumer<Response> lockedCallback =
        response -> decisionLock.run(() -> callback.accept(response));
    decisionLock.run(
        () -> {
          double queueTimeoutS =
              priority == RequestPriority.USER ? USER_QUEUE_TIMEOUT_S : QUEUE_TIMEOUT_S;
          queues
              .get(priority)
              .add(
                  new QueuedRequest(
                      timers.now() + queueTimeoutS,
                      writes,
                      () -> {
                        double sentAt = timers.now();
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
                                          r, sentAt, deadlineS > MAX_NON_BLOCKING_TIMEOUT_S));
                              lockedCallback.accept(r);
                            });
                      },
                      () -> lockedCallback.accept(new Response(429, new byte[0], 0))));
          dispatchQueued();
        });
  }

  /**
   * Records a response, or the lack of one. {@code blocking} is true for a request that waits for
   * changes, whose missing response is no sign of an outage.
   */
  private void recordResponse(Response response, double sentAt, boolean blocking) {
    if (response.status() > 0) {
      lastResponseAt = timers.now();
      unresponsive = false;
      if (response.status() == 503) {
        refusing = true;
        probe(PROBE_INTERVAL_S);
      } else if (response.status() != 429) {
        refusing = false;
      }
    } else if (!blocking && lastResponseAt < sentAt) {
      probe(0);
    }
  }

  /**
   * Sends one small read after {@code delayS} seconds. In an outage it is repeated, so that
   * recovery is noticed at once. It also follows a request without a response: a controller that
   * alone has lost the connection to the state service receives no error, and each user request
   * would wait in vain if that were not detected. One missing response may only mean that this
   * controller is slow; the service counts as unresponsive after two in a row.
   */
  private void probe(double delayS) {
    if (probePending) {
      return;
    }
    probePending = true;
    timers.after(
        delayS,
        () -> {
          double sentAt = timers.now();
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
                          recordResponse(r, sentAt, false);
                        } else if (lastResponseAt < sentAt) {
                          unresponsive = true;
                          probe(PROBE_INTERVAL_S);
                        } else if (refusing) {
                          probe(PROBE_INTERVAL_S);
                        }
                      }));
        });
  }

  private void dispatchQueued() {
    double now = timers.now();
    rateLimiter.refill(now);
    boolean requestsRemain = false;
    boolean writesBlocked = false;
    int missing = 0;
    for (var e : queues.entrySet()) {
      ArrayDeque<QueuedRequest> queue = e.getValue();
      while (!queue.isEmpty()) {
        QueuedRequest request = queue.peek();
        boolean writable =
            request.writes == 0
                || !writesBlocked && rateLimiter.allowsWrites(e.getKey(), request.writes);
        if (request.expiresAt < now) {
          queue.poll();
          decisionLock.defer(request.reject);
        } else if (rateLimiter.allowsRequest() && writable) {
          queue.poll();
          rateLimiter.consume(request.writes);
          requestsSent++;
          writesSent += request.writes;
          decisionLock.defer(request.send);
        } else {
          // Lower priorities must not take the tokens for which this request waits.
          if (!writable && !writesBlocked) {
            writesBlocked = true;
            missing =
                e.getKey() == RequestPriority.BACKGROUND
                    ? 0
                    : rateLimiter.missingWrites(e.getKey(), request.writes);
          }
          requestsRemain = true;
          break;
        }
      }
    }
    reportWriteShortage(missing);
    if (requestsRemain && !dispatchScheduled) {
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
