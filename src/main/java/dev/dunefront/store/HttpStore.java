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

/** The state service over HTTP, within this controller's part of the common budget. */
public final class HttpStore implements Store {
  private static final System.Logger LOG = System.getLogger(HttpStore.class.getName());
  private static final double CALL_S = 1.2;
  private static final double USER_QUEUE_S = 1.0;
  private static final double QUEUE_S = 3.0;
  private static final double PROBE_S = 0.3;
  private static final double PROBE_CALL_S = 0.8;

  /** A request with a later deadline waits for changes, and may rightly have no answer for long. */
  private static final double LONGEST_READ_S = CALL_S * 2;

  /** A shorter wait for changes is not worth asking others for some, in seconds. */
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
  private boolean down;

  /** When anything was last answered. */
  private double answered = Double.NEGATIVE_INFINITY;

  /** A request has had no answer, nor has any that was sent after it. */
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

  /** Changes that wait, of this and all greater urgencies. */
  private int queuedWrites(Urgency least) {
    int queued = 0;
    for (var e : queues.entrySet()) {
      if (e.getKey().compareTo(least) <= 0) {
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
  public void anticipate(int changes) {
    budget.refill(timers.now());
    askForMissing(budget.missing(Urgency.CORE, changes));
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
  public int lend(int changes) {
    budget.refill(timers.now());
    return down() || queuedWrites(Urgency.BACKGROUND) > 0 ? 0 : budget.lend(changes);
  }

  @Override
  public void borrow(int changes) {
    budget.borrow(changes, timers.now());
    pump();
  }

  @Override
  public String newMark() {
    return markPrefix + "-" + ++marks;
  }

  @Override
  public void get(String key, Urgency urgency, Consumer<Got> then) {
    ask(
        urgency,
        0,
        "GET",
        "/keys/" + key,
        null,
        CALL_S,
        reply -> {
          try {
            if (reply.ok()) {
              Doc d = Doc.decode(reply.body());
              then.accept(new Got(Outcome.OK, d.doc("data"), d.count("stamp")));
            } else {
              then.accept(new Got(outcome(reply), null, 0));
            }
          } catch (BadMessage e) {
            then.accept(new Got(Outcome.UNCLEAR, null, 0));
          }
        });
  }

  @Override
  public void range(String prefix, Urgency urgency, Consumer<Range> then) {
    page(prefix, "", urgency, new ArrayList<>(), 0, then);
  }

  private void page(
      String prefix,
      String from,
      Urgency urgency,
      List<Pair> all,
      long revision,
      Consumer<Range> then) {
    String path = "/keys?prefix=" + prefix + (from.isEmpty() ? "" : "&from=" + from) + "&page=500";
    ask(
        urgency,
        0,
        "GET",
        path,
        null,
        CALL_S * 2,
        reply -> {
          if (!reply.ok()) {
            then.accept(new Range(outcome(reply), List.of(), 0));
            return;
          }
          try {
            Doc d = Doc.decode(reply.body());
            // The first page's revision is the safe point to watch from: later pages may be newer.
            long first = revision == 0 ? d.count("ledger_rev") : revision;
            for (Doc p : d.docs("pairs")) {
              all.add(new Pair(p.text("k"), p.doc("data"), p.count("stamp")));
            }
            if (d.flagOr("more", false) && !all.isEmpty()) {
              page(prefix, all.get(all.size() - 1).key(), urgency, all, first, then);
            } else {
              then.accept(new Range(Outcome.OK, all, first));
            }
          } catch (BadMessage e) {
            then.accept(new Range(Outcome.UNCLEAR, List.of(), 0));
          }
        });
  }

  @Override
  public void tryTxn(Txn txn, Urgency urgency, Consumer<Done> then) {
    ask(
        urgency,
        txn.changes(),
        "POST",
        "/txn",
        txn.encode(),
        CALL_S,
        reply -> then.accept(done(reply, "ledger_rev")));
  }

  @Override
  public void commit(Txn txn, String mark, Urgency urgency, Consumer<Done> then) {
    attempt(txn, mark, urgency, false, 0.1, then);
  }

  private void attempt(
      Txn txn, String mark, Urgency urgency, boolean unclear, double pauseS, Consumer<Done> then) {
    tryTxn(
        txn,
        urgency,
        done -> {
          switch (done.outcome()) {
            case OK -> then.accept(done);
            case REFUSED, UNCLEAR, MISSING -> {
              if (done.outcome() == Outcome.MISSING) {
                LOG.log(Level.ERROR, "the state service calls a transaction malformed: {0}", mark);
              }
              boolean nowUnclear = unclear || done.outcome() == Outcome.UNCLEAR;
              timers.after(
                  pauseS,
                  () -> attempt(txn, mark, urgency, nowUnclear, Math.min(1.0, pauseS * 2), then));
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

  private void readBack(Txn txn, String mark, Done conflict, Consumer<Done> then) {
    get(
        txn.witness(),
        Urgency.CORE,
        got -> {
          switch (got.outcome()) {
            case OK -> {
              boolean ours;
              try {
                ours = mark.equals(got.value().textOr(MARK, ""));
              } catch (BadMessage e) {
                ours = false;
              }
              then.accept(ours ? new Done(Outcome.OK, got.stamp(), List.of()) : conflict);
            }
            case MISSING -> then.accept(conflict);
            default -> timers.after(0.3, () -> readBack(txn, mark, conflict, then));
          }
        });
  }

  @Override
  public void watch(String prefix, long from, double blockS, Consumer<Watched> then) {
    String path =
        "/watch?prefix=" + prefix + "&from=" + from + "&block_ms=" + Math.round(blockS * 1000);
    ask(
        // Somebody waits for one that does not wait itself.
        blockS > 0 ? Urgency.CORE : Urgency.USER,
        0,
        "GET",
        path,
        null,
        blockS + 2,
        reply -> {
          if (!reply.ok()) {
            then.accept(new Watched(outcome(reply), List.of(), from, reply.status() == 410));
            return;
          }
          try {
            Doc d = Doc.decode(reply.body());
            List<Event> events = new ArrayList<>();
            for (Doc e : d.docs("events")) {
              boolean put = e.has("put");
              events.add(
                  new Event(
                      e.text(put ? "put" : "remove"),
                      put ? e.doc("data") : null,
                      e.count("stamp")));
            }
            then.accept(new Watched(Outcome.OK, events, d.count("ledger_rev"), false));
          } catch (BadMessage e) {
            then.accept(new Watched(Outcome.UNCLEAR, List.of(), from, true));
          }
        });
  }

  @Override
  public void grantLease(double lifeS, Consumer<Done> then) {
    byte[] body = Doc.of().put("life_ms", Math.round(lifeS * 1000)).encode();
    ask(Urgency.USER, 0, "POST", "/leases", body, CALL_S, r -> then.accept(done(r, "tenancy")));
  }

  @Override
  public void touchLease(long tenancy, Consumer<Done> then) {
    ask(
        Urgency.USER,
        0,
        "POST",
        "/leases/" + tenancy + "/touch",
        Doc.of().encode(),
        CALL_S,
        r -> then.accept(new Done(outcome(r), tenancy, List.of())));
  }

  private static Done done(Reply reply, String field) {
    try {
      if (reply.ok()) {
        return new Done(Outcome.OK, Doc.decode(reply.body()).count(field), List.of());
      }
      if (reply.status() == 409) {
        Doc d = Doc.decode(reply.body());
        return new Done(Outcome.CONFLICT, d.countOr("ledger_rev", 0), d.texts("failed"));
      }
    } catch (BadMessage e) {
      return new Done(Outcome.UNCLEAR, 0, List.of());
    }
    return new Done(outcome(reply), 0, List.of());
  }

  private static Outcome outcome(Reply reply) {
    return switch (reply.status()) {
      case 200 -> Outcome.OK;
      // A 400 here can only be a lease that has ended: everything else is made by this program.
      case 400, 404 -> Outcome.MISSING;
      case 409 -> Outcome.CONFLICT;
      case 429, 503 -> Outcome.REFUSED;
      default -> Outcome.UNCLEAR;
    };
  }

  private void ask(
      Urgency urgency,
      int changes,
      String method,
      String path,
      byte[] body,
      double deadlineS,
      Consumer<Reply> then) {
    Consumer<Reply> guarded = reply -> decisionLock.run(() -> then.accept(reply));
    decisionLock.run(
        () -> {
          double wait = urgency == Urgency.USER ? USER_QUEUE_S : QUEUE_S;
          queues
              .get(urgency)
              .add(
                  new Waiting(
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
                              decisionLock.run(() -> note(r, sent, deadlineS > LONGEST_READ_S));
                              guarded.accept(r);
                            });
                      },
                      () -> guarded.accept(new Reply(429, new byte[0], 0))));
          pump();
        });
  }

  /** Hears of an answer, or that there was none to a request that may not wait for changes. */
  private void note(Reply reply, double sent, boolean waits) {
    if (reply.status() > 0) {
      answered = timers.now();
      silent = false;
      if (reply.status() == 503) {
        down = true;
        probe(PROBE_S);
      } else if (reply.status() != 429) {
        down = false;
      }
    } else if (!waits && answered < sent) {
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
    if (probing) {
      return;
    }
    probing = true;
    timers.after(
        pauseS,
        () -> {
          double sent = timers.now();
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
                          note(r, sent, false);
                        } else if (answered < sent) {
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
    boolean left = false;
    boolean held = false;
    int missing = 0;
    for (var e : queues.entrySet()) {
      ArrayDeque<Waiting> queue = e.getValue();
      while (!queue.isEmpty()) {
        Waiting w = queue.peek();
        boolean writable = w.writes == 0 || !held && budget.allowsChanges(e.getKey(), w.writes);
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
          // What is less urgent must not take what this saves up for.
          if (!writable && !held) {
            held = true;
            missing = e.getKey() == Urgency.BACKGROUND ? 0 : budget.missing(e.getKey(), w.writes);
          }
          left = true;
          break;
        }
      }
    }
    askForMissing(missing);
    if (left && !pumping) {
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
