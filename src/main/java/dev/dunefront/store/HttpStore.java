package dev.dunefront.store;

import dev.dunefront.config.Settings;
import dev.dunefront.net.Caller;
import dev.dunefront.net.Caller.Reply;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
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
public final class HttpStore implements Store {
  private static final System.Logger LOG = System.getLogger(HttpStore.class.getName());
  private static final double CALL_S = 1.2;
  private static final double USER_QUEUE_S = 1.0;
  private static final double QUEUE_S = 3.0;
  private static final double PROBE_S = 0.3;
  private static final double PROBE_CALL_S = 0.8;

  /**
   * A request with a longer timeout is a blocking watch, for which a missing response is no sign of
   * an outage.
   */
  private static final double LONGEST_READ_S = CALL_S * 2;

  /**
   * A shortage that this controller's own rate covers within this time, in seconds, is not worth
   * borrowing for.
   */
  private static final double SHORT_S = 0.03;

  private record Waiting(double until, int writes, Runnable start, Runnable refuse) {}

  private final String address;
  private final Caller caller;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Budget budget;
  private final String markPrefix;
  private final Map<Urgency, ArrayDeque<Waiting>> queues = new EnumMap<>(Urgency.class);
  private IntConsumer shortOfChanges = missing -> {};
  private double asked;
  private double askedWrites;
  private double askedSince;
  private boolean pumping;

  /** Whether the last response other than 429 was a 503. */
  private boolean down;

  /** When the last response arrived. */
  private double answered = Double.NEGATIVE_INFINITY;

  /** Whether a probe has had no response and no other response has arrived since it was sent. */
  private boolean silent;

  private boolean probing;
  private long marks;

  public HttpStore(
      Settings settings,
      Caller caller,
      Timers timers,
      DecisionLock decisionLock,
      String markPrefix) {
    this.address = settings.state();
    this.caller = caller;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.budget = new Budget(settings, timers.now());
    this.markPrefix = markPrefix;
    this.askedSince = timers.now();
    for (Urgency u : Urgency.values()) {
      queues.put(u, new ArrayDeque<>());
    }
  }

  @Override
  public boolean down() {
    return down || silent;
  }

  @Override
  public double writeDelayS() {
    budget.refill(timers.now());
    return budget.delayS(queuedWrites(Urgency.CORE));
  }

  /** Queued writes of this and all higher priorities. */
  private int queuedWrites(Urgency lowest) {
    int queued = 0;
    for (var e : queues.entrySet()) {
      if (e.getKey().compareTo(lowest) <= 0) {
        for (Waiting w : e.getValue()) {
          queued += w.writes;
        }
      }
    }
    return queued;
  }

  @Override
  public Use use() {
    int queued = 0;
    for (ArrayDeque<Waiting> queue : queues.values()) {
      queued += queue.size();
    }
    double spanS = Math.max(0.1, timers.now() - askedSince);
    Use use =
        new Use(asked / spanS + queued, askedWrites / spanS + queuedWrites(Urgency.BACKGROUND));
    asked = 0;
    askedWrites = 0;
    askedSince = timers.now();
    return use;
  }

  @Override
  public void share(Use own, Collection<Use> others) {
    pump();
    budget.share(own, others);
  }

  @Override
  public void anticipate(int writes) {
    budget.refill(timers.now());
    askForMissing(budget.missing(Urgency.CORE, writes));
  }

  private void askForMissing(int missing) {
    if (missing > 0 && budget.waitS(missing) > SHORT_S && !down()) {
      shortOfChanges.accept(missing);
    }
  }

  @Override
  public void onShort(IntConsumer listener) {
    shortOfChanges = listener;
  }

  @Override
  public int lend(int writes) {
    budget.refill(timers.now());
    return down() || queuedWrites(Urgency.BACKGROUND) > 0 ? 0 : budget.lend(writes);
  }

  @Override
  public void borrow(int writes) {
    budget.borrow(writes, timers.now());
    pump();
  }

  @Override
  public String newMark() {
    return markPrefix + "-" + ++marks;
  }

  @Override
  public void get(String key, Urgency priority, Consumer<Got> callback) {
    ask(
        priority,
        0,
        "GET",
        "/keys/" + key,
        null,
        CALL_S,
        response -> {
          try {
            if (response.ok()) {
              Doc d = Doc.decode(response.body());
              callback.accept(new Got(Outcome.OK, d.doc("data"), d.count("stamp")));
            } else {
              callback.accept(new Got(outcome(response), null, 0));
            }
          } catch (BadMessage e) {
            callback.accept(new Got(Outcome.UNCLEAR, null, 0));
          }
        });
  }

  @Override
  public void range(String prefix, Urgency priority, Consumer<Range> callback) {
    page(prefix, "", priority, new ArrayList<>(), 0, callback);
  }

  private void page(
      String prefix,
      String from,
      Urgency priority,
      List<Pair> all,
      long revision,
      Consumer<Range> callback) {
    String path = "/keys?prefix=" + prefix + (from.isEmpty() ? "" : "&from=" + from) + "&page=500";
    ask(
        priority,
        0,
        "GET",
        path,
        null,
        CALL_S * 2,
        response -> {
          if (!response.ok()) {
            callback.accept(new Range(outcome(response), List.of(), 0));
            return;
          }
          try {
            Doc d = Doc.decode(response.body());
            // A watch must start at the revision of the first page, as later pages may be newer.
            long firstRevision = revision == 0 ? d.count("ledger_rev") : revision;
            for (Doc p : d.docs("pairs")) {
              all.add(new Pair(p.text("k"), p.doc("data"), p.count("stamp")));
            }
            if (d.flagOr("more", false) && !all.isEmpty()) {
              page(prefix, all.get(all.size() - 1).key(), priority, all, firstRevision, callback);
            } else {
              callback.accept(new Range(Outcome.OK, all, firstRevision));
            }
          } catch (BadMessage e) {
            callback.accept(new Range(Outcome.UNCLEAR, List.of(), 0));
          }
        });
  }

  @Override
  public void tryTxn(Txn txn, Urgency priority, Consumer<Done> callback) {
    ask(
        priority,
        txn.changes(),
        "POST",
        "/txn",
        txn.encode(),
        CALL_S,
        response -> callback.accept(done(response, "ledger_rev")));
  }

  @Override
  public void commit(Txn txn, String writeId, Urgency priority, Consumer<Done> callback) {
    attempt(txn, writeId, priority, false, 0.1, callback);
  }

  private void attempt(
      Txn txn,
      String writeId,
      Urgency priority,
      boolean outcomeUnknown,
      double pauseS,
      Consumer<Done> callback) {
    tryTxn(
        txn,
        priority,
        done -> {
          switch (done.outcome()) {
            case OK -> callback.accept(done);
            case REFUSED, UNCLEAR, MISSING -> {
              if (done.outcome() == Outcome.MISSING) {
                LOG.log(
                    Level.ERROR,
                    "state service rejected transaction {0} as malformed; retrying",
                    writeId);
              }
              boolean unknownSoFar = outcomeUnknown || done.outcome() == Outcome.UNCLEAR;
              timers.after(
                  pauseS,
                  () ->
                      attempt(
                          txn,
                          writeId,
                          priority,
                          unknownSoFar,
                          Math.min(1.0, pauseS * 2),
                          callback));
            }
            case CONFLICT -> {
              if (outcomeUnknown) {
                // An earlier attempt may have been applied and have caused the conflict.
                readBack(txn, writeId, done, callback);
              } else {
                callback.accept(done);
              }
            }
          }
        });
  }

  private void readBack(Txn txn, String writeId, Done conflict, Consumer<Done> callback) {
    get(
        txn.witness(),
        Urgency.CORE,
        got -> {
          switch (got.outcome()) {
            case OK -> {
              boolean ownWrite;
              try {
                ownWrite = writeId.equals(got.value().textOr(MARK, ""));
              } catch (BadMessage e) {
                ownWrite = false;
              }
              callback.accept(ownWrite ? new Done(Outcome.OK, got.stamp(), List.of()) : conflict);
            }
            case MISSING -> callback.accept(conflict);
            default -> timers.after(0.3, () -> readBack(txn, writeId, conflict, callback));
          }
        });
  }

  @Override
  public void watch(String prefix, long from, double blockS, Consumer<Watched> callback) {
    String path =
        "/watch?prefix=" + prefix + "&from=" + from + "&block_ms=" + Math.round(blockS * 1000);
    ask(
        // A non-blocking watch has a caller that waits for its result.
        blockS > 0 ? Urgency.CORE : Urgency.USER,
        0,
        "GET",
        path,
        null,
        blockS + 2,
        response -> {
          if (!response.ok()) {
            callback.accept(
                new Watched(outcome(response), List.of(), from, response.status() == 410));
            return;
          }
          try {
            Doc d = Doc.decode(response.body());
            List<Event> events = new ArrayList<>();
            for (Doc e : d.docs("events")) {
              boolean put = e.has("put");
              events.add(
                  new Event(
                      e.text(put ? "put" : "remove"),
                      put ? e.doc("data") : null,
                      e.count("stamp")));
            }
            callback.accept(new Watched(Outcome.OK, events, d.count("ledger_rev"), false));
          } catch (BadMessage e) {
            callback.accept(new Watched(Outcome.UNCLEAR, List.of(), from, true));
          }
        });
  }

  @Override
  public void grantLease(double ttlS, Consumer<Done> callback) {
    byte[] body = Doc.of().put("life_ms", Math.round(ttlS * 1000)).encode();
    ask(Urgency.USER, 0, "POST", "/leases", body, CALL_S, r -> callback.accept(done(r, "tenancy")));
  }

  @Override
  public void touchLease(long leaseId, Consumer<Done> callback) {
    ask(
        Urgency.USER,
        0,
        "POST",
        "/leases/" + leaseId + "/touch",
        Doc.of().encode(),
        CALL_S,
        r -> callback.accept(new Done(outcome(r), leaseId, List.of())));
  }

  private static Done done(Reply response, String field) {
    try {
      if (response.ok()) {
        return new Done(Outcome.OK, Doc.decode(response.body()).count(field), List.of());
      }
      if (response.status() == 409) {
        Doc d = Doc.decode(response.body());
        return new Done(Outcome.CONFLICT, d.countOr("ledger_rev", 0), d.texts("failed"));
      }
    } catch (BadMessage e) {
      return new Done(Outcome.UNCLEAR, 0, List.of());
    }
    return new Done(outcome(response), 0, List.of());
  }

  private static Outcome outcome(Reply response) {
    return switch (response.status()) {
      case 200 -> Outcome.OK;
      // A 400 can only mean an expired lease: this client builds the rest of each request.
      case 400, 404 -> Outcome.MISSING;
      case 409 -> Outcome.CONFLICT;
      case 429, 503 -> Outcome.REFUSED;
      default -> Outcome.UNCLEAR;
    };
  }

  private void ask(
      Urgency priority,
      int writes,
      String method,
      String path,
      byte[] body,
      double deadlineS,
      Consumer<Reply> callback) {
    Consumer<Reply> lockedCallback = response -> decisionLock.run(() -> callback.accept(response));
    decisionLock.run(
        () -> {
          double queueTimeoutS = priority == Urgency.USER ? USER_QUEUE_S : QUEUE_S;
          queues
              .get(priority)
              .add(
                  new Waiting(
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
                              decisionLock.run(() -> note(r, sentAt, deadlineS > LONGEST_READ_S));
                              lockedCallback.accept(r);
                            });
                      },
                      () -> lockedCallback.accept(new Reply(429, new byte[0], 0))));
          pump();
        });
  }

  /**
   * Records a response, or the lack of one. {@code blocking} is true for a request that waits for
   * changes, whose missing response is no sign of an outage.
   */
  private void note(Reply response, double sentAt, boolean blocking) {
    if (response.status() > 0) {
      answered = timers.now();
      silent = false;
      if (response.status() == 503) {
        down = true;
        probe(PROBE_S);
      } else if (response.status() != 429) {
        down = false;
      }
    } else if (!blocking && answered < sentAt) {
      probe(0);
    }
  }

  /**
   * Sends one small read after {@code pauseS} seconds. In an outage it is repeated, so that
   * recovery is noticed at once. It also follows a request without a response: a controller that
   * alone has lost the connection to the state service receives no error, and each user request
   * would wait in vain if that were not detected. One missing response may only mean that this
   * controller is slow; the service counts as unresponsive after two in a row.
   */
  private void probe(double pauseS) {
    if (probing) {
      return;
    }
    probing = true;
    timers.after(
        pauseS,
        () -> {
          double sentAt = timers.now();
          caller.call(
              address,
              "GET",
              "/keys/probe",
              null,
              PROBE_CALL_S,
              r ->
                  decisionLock.run(
                      () -> {
                        probing = false;
                        if (r.status() > 0) {
                          note(r, sentAt, false);
                        } else if (answered < sentAt) {
                          silent = true;
                          probe(PROBE_S);
                        } else if (down) {
                          probe(PROBE_S);
                        }
                      }));
        });
  }

  private void pump() {
    double now = timers.now();
    budget.refill(now);
    boolean requestsRemain = false;
    boolean writesBlocked = false;
    int missing = 0;
    for (var e : queues.entrySet()) {
      ArrayDeque<Waiting> queue = e.getValue();
      while (!queue.isEmpty()) {
        Waiting w = queue.peek();
        boolean writable =
            w.writes == 0 || !writesBlocked && budget.allowsChanges(e.getKey(), w.writes);
        if (w.until < now) {
          queue.poll();
          decisionLock.then(w.refuse);
        } else if (budget.allowsRequest() && writable) {
          queue.poll();
          budget.spend(w.writes);
          asked++;
          askedWrites += w.writes;
          decisionLock.then(w.start);
        } else {
          // Lower priorities must not take the tokens for which this request waits.
          if (!writable && !writesBlocked) {
            writesBlocked = true;
            missing = e.getKey() == Urgency.BACKGROUND ? 0 : budget.missing(e.getKey(), w.writes);
          }
          requestsRemain = true;
          break;
        }
      }
    }
    askForMissing(missing);
    if (requestsRemain && !pumping) {
      pumping = true;
      timers.after(
          0.02,
          () ->
              decisionLock.run(
                  () -> {
                    pumping = false;
                    pump();
                  }));
    }
  }
}
