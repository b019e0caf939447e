package dev.dunefront.cli;

import dev.dunefront.book.Books;
import dev.dunefront.book.Holds;
import dev.dunefront.claim.Claims;
import dev.dunefront.claim.ControllerContext;
import dev.dunefront.cleanup.Cleanup;
import dev.dunefront.cleanup.Joining;
import dev.dunefront.config.Settings;
import dev.dunefront.config.Tunables;
import dev.dunefront.duty.Duties;
import dev.dunefront.duty.Duty;
import dev.dunefront.fleet.Catalog;
import dev.dunefront.fleet.Fleet;
import dev.dunefront.job.JobApi;
import dev.dunefront.job.JobRecord;
import dev.dunefront.job.JobTable;
import dev.dunefront.metrics.Meters;
import dev.dunefront.metrics.SafetyMonitor;
import dev.dunefront.net.Caller;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.HttpServer;
import dev.dunefront.net.HttpServer.Answer;
import dev.dunefront.net.HttpServer.Request;
import dev.dunefront.net.Lag;
import dev.dunefront.net.Loops;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Lending;
import dev.dunefront.store.Membership;
import dev.dunefront.store.Proofs;
import dev.dunefront.store.Replica;
import dev.dunefront.store.Standstill;
import dev.dunefront.store.Store;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import dev.dunefront.wire.Report;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

/** A controller, assembled from its components. Network, clock and state service are injected. */
public final class Daemon implements Peers.Listener {
  private static final System.Logger LOG = System.getLogger(Daemon.class.getName());
  private static final double TICK_S = 0.25;
  private static final double SLOW_TICK_S = 0.5;

  /** Time without an iteration after which a periodic loop is considered stalled. */
  private static final double STALLED_S = 15;

  /** Assumed demand of a live controller whose demand is unknown: more than an equal share. */
  private static final Store.Use UNHEARD = new Store.Use(1e6, 1e6);

  /** How long a peer's health message counts as proof that the state service serves it. */
  private static final double HEALTH_S = 2;

  private final Settings settings;
  private final Store store;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Loops loops;
  private final Replica replica;
  private final Membership membership;
  private final Lending lending;
  private final Duties duties;
  private final Catalog catalog;
  private final JobTable jobs;
  private final Holds holds;
  private final Books books;
  private final Claims claims;
  private final Fleet fleet;
  private final Cleanup cleanup;
  private final Joining joining;
  private final JobApi api;
  private final Peers peers;
  private final Meters meters = new Meters();
  private final SafetyMonitor safety = new SafetyMonitor();
  private final Map<String, Store.Use> uses = new HashMap<>();
  private final Lag lag = new Lag();
  private String saidStalled;
  private double servedElsewhere = Double.NEGATIVE_INFINITY;

  public Daemon(
      Settings settings,
      Tunables tunables,
      Store store,
      Caller caller,
      Timers timers,
      DecisionLock decisionLock,
      Loops loops,
      BiFunction<DecisionLock, Peers.Listener, Peers> peersFactory) {
    this.settings = settings;
    this.store = store;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.loops = loops;
    peers = peersFactory.apply(decisionLock, this);
    replica = new Replica(store, timers, decisionLock, loops);
    membership =
        new Membership(
            settings.node(), settings.zone(), store, replica, timers, tunables.nodeLeaseS(), loops);
    lending = new Lending(settings.node(), store, membership, peers, timers);
    // The lease is renewed every quarter of its duration, so it cannot expire in a shorter pause.
    Standstill standstill =
        new Standstill(replica, membership, timers, decisionLock, loops, tunables.nodeLeaseS() / 2);
    duties =
        new Duties(
            settings.node(), store, replica, membership, peers, timers, decisionLock, standstill);
    catalog = new Catalog(settings.cloud(), caller, store, timers, decisionLock);
    holds = new Holds(replica);
    jobs = new JobTable(store, replica, timers);
    safety.register(meters);
    ControllerContext context =
        new ControllerContext(
            settings,
            tunables,
            membership,
            replica,
            holds,
            jobs,
            catalog,
            store,
            peers,
            timers,
            decisionLock,
            standstill,
            duties,
            safety);
    books = new Books(context, caller);
    claims = new Claims(context);
    fleet = new Fleet(context, claims.room(), claims.interest(), claims.urgencies(), caller);
    cleanup = new Cleanup(context);
    joining = new Joining(context);
    Proofs proofs = new Proofs(store, replica, timers, decisionLock, JobRecord.PREFIX);
    api =
        new JobApi(
            settings,
            membership,
            jobs,
            claims,
            catalog,
            store,
            proofs,
            peers,
            timers,
            decisionLock);
    meters.gauge("dunefront.polls.waiting", proofs::waiting);
    meters.gauge("dunefront.polls.oldest.ms", () -> (int) Math.round(proofs.oldestS() * 1000));
    meters.gauge("dunefront.polls.proofs", proofs::made);
    meters.gauge("dunefront.reports.copies", books::copies);
    meters.gauge("dunefront.machines.deafened", books::deafened);
    meters.gauge("dunefront.machines.sent.away", books::sentAway);
    meters.gauge("dunefront.alone", () -> books.alone() ? 1 : 0);
    holds.listen(
        host -> {
          books.holdChanged(host);
          claims.holdChanged(host);
        });
    meters.gauge("dunefront.machines.held", books::heldMachines);
    meters.gauge("dunefront.jobs.claimed", claims.account()::claimed);
    meters.gauge("dunefront.tasks.unstarted", claims.account()::unstarted);
    meters.gauge("dunefront.jobs.unbegun.oldest.seconds", claims.account()::oldestUnbegunS);
    meters.gauges("dunefront.jobs.unbegun.seconds", this::unbegun);
    meters.gauge("dunefront.cancellations.waiting", jobs.cancellations()::waiting);
    meters.gauge("dunefront.cancellations.oldest.seconds", jobs.cancellations()::oldestS);
    meters.gauge("dunefront.state.down", () -> store.down() ? 1 : 0);
    meters.gauge("dunefront.decisions.failed", loops::failures);
    meters.gauge("dunefront.peer.sent.records", () -> (int) peers.sent().records());
    meters.gauge("dunefront.peer.sent.kilobytes", () -> (int) (peers.sent().bytes() / 1024));
    for (Duty d : Duty.values()) {
      String name = "dunefront.duty." + d.label();
      meters.gauge(name + ".held", () -> duties.held(d));
      meters.gauge(name + ".taken", () -> duties.taken(d));
      meters.gauge(name + ".handed.over", () -> duties.handed(d));
      meters.gauge(name + ".refused", () -> duties.refused(d));
      meters.gauge(name + ".longest.gap.ms", () -> duties.longestGapMs(d));
    }
    meters.gauge("dunefront.cleanup.removed", cleanup::removed);
    meters.gauge("dunefront.rent.repeated", fleet::repeated);
    meters.gauge("dunefront.rent.dropped", fleet::dropped);
    jobs.listen(
        (id, before, entry) -> {
          if (entry != null) {
            catalog.seen(entry.record().spec());
          }
        });
    jobs.listen(claims::jobChanged);
    jobs.listen(books::jobChanged);
    membership.onReborn(
        () -> {
          claims.reborn();
          books.reborn();
        });
  }

  /** Age in seconds of the oldest open job without a placed task, by class and team. */
  private List<Meters.Labelled> unbegun() {
    List<Meters.Labelled> all = new ArrayList<>();
    claims
        .account()
        .unbegunS()
        .forEach(
            (g, ageS) ->
                all.add(
                    new Meters.Labelled(Map.of("class", g.jobClass(), "team", g.team()), ageS)));
    return all;
  }

  /** The lock that serializes this controller's decisions. */
  public DecisionLock decisionLock() {
    return decisionLock;
  }

  /** Counts of safety decisions and violated invariants of this controller. */
  public SafetyMonitor safety() {
    return safety;
  }

  public void start() {
    decisionLock.run(
        () -> {
          replica.start(() -> holds.establish(settings, store));
          membership.start();
          catalog.start();
        });
    tick();
    slowTick();
  }

  /** Hands over the duties that this controller holds, before its process ends. */
  public void leave(Runnable then) {
    decisionLock.run(() -> duties.leave(then));
  }

  /** Whether the state and the catalog have been loaded, which serving requests requires. */
  public boolean informed() {
    return replica.ready() && catalog.known();
  }

  private void tick() {
    lag.fired(timers.now(), TICK_S);
    decisionLock.run(
        () -> {
          // Each call is a decision of its own: an exception in one must not prevent the others.
          decisionLock.run(() -> books.tick(lag.seconds()));
          decisionLock.run(claims::tick);
          decisionLock.run(() -> duties.tick(lag.seconds()));
          decisionLock.run(fleet::tick);
          decisionLock.run(cleanup::tick);
          decisionLock.run(joining::tick);
          loops.turned("tick", timers.now(), STALLED_S);
        });
    timers.after(TICK_S, this::tick);
  }

  private void slowTick() {
    decisionLock.run(
        () -> {
          loops.turned("slow tick", timers.now(), STALLED_S);
          decisionLock.run(this::shareBudget);
          holds.establish(settings, store);
          jobs.tidy();
          Message.Progress progress = claims.account().progress();
          if (!progress.counts().isEmpty()) {
            peers.broadcast(progress);
          }
          String leader = fleet.leaderNode();
          if (leader != null && membership.self() != null) {
            peers.send(leader, claims.account().demand());
          }
        });
    timers.after(SLOW_TICK_S, this::slowTick);
  }

  /**
   * Computes this controller's share of the common request budget of the state service from the
   * demand of all live controllers, and sends its own demand to its peers. A live controller from
   * which no demand is known counts with an equal share.
   */
  private void shareBudget() {
    Store.Use own = store.use();
    uses.keySet().retainAll(membership.liveNodes());
    List<Store.Use> others = new ArrayList<>();
    for (String node : membership.liveNodes()) {
      if (!node.equals(settings.node())) {
        others.add(uses.getOrDefault(node, UNHEARD));
      }
    }
    if (membership.self() == null) {
      // Without a lease the others do not count this controller, and it does not know their demand.
      // It takes an equal share to register again: the share that it had while idle can be too
      // small for that.
      store.share(UNHEARD, Collections.nCopies(settings.peers().size(), UNHEARD));
    } else if (replica.ready()) {
      store.share(own, others);
    }
    for (Settings.Peer p : settings.peers()) {
      peers.send(
          p.node(),
          new Message.Health(
              !store.down(), own.requests(), own.writes(), books.heldMachines(), lag.seconds()));
    }
  }

  /**
   * Whether this controller can serve users' requests. A controller that the state service refuses
   * while it serves other controllers reports that it is not ready, which directs users to those;
   * in an outage that affects all, every controller stays ready.
   */
  private boolean ready() {
    String stalled = loops.stalled(timers.now());
    if (stalled != null && !stalled.equals(saidStalled)) {
      LOG.log(Level.ERROR, "loop stalled; this controller is not ready: {0}", stalled);
    }
    saidStalled = stalled;
    if (stalled != null) {
      return false;
    }
    // Cut off from all peers as well, this controller cannot learn that the state service serves
    // them; it then counts as refused too.
    boolean refusedAlone =
        store.down() && (timers.now() - servedElsewhere < HEALTH_S || books.alone());
    return !refusedAlone
        && !books.overloaded()
        && replica.ready()
        && membership.self() != null
        && catalog.known();
  }

  // ---- requests ----

  public void handle(Request request, Answer answer) {
    decisionLock.run(
        () -> {
          Answer deferred = outside(answer);
          try {
            route(request, deferred);
          } catch (RuntimeException e) {
            // Only the first response is sent, so this one applies only if there was none.
            deferred.send(503, null, 1);
            throw e;
          }
        });
  }

  /** A response that is sent after the decision lock is released. */
  private Answer outside(Answer answer) {
    return (status, body, retryAfterS) ->
        decisionLock.then(() -> answer.send(status, body, retryAfterS));
  }

  /** A response that is counted, with its latency, when it is sent. */
  private Answer counted(Meters.Request kind, Answer answer) {
    double receivedAt = timers.now();
    return (status, body, retryAfterS) -> {
      meters.answered(kind, status, timers.now() - receivedAt);
      answer.send(status, body, retryAfterS);
    };
  }

  private void route(Request r, Answer answer) {
    String path = r.path();
    if (path.equals("/up")) {
      if (allowed(r, "GET", answer)) {
        answer.send(ready() ? 200 : 503, null);
      }
    } else if (path.equals(HttpServer.TEXT_PATH)) {
      if (allowed(r, "GET", answer)) {
        answer.send(200, meters.scrape().getBytes(StandardCharsets.UTF_8));
      }
    } else if (path.equals("/hello")) {
      if (allowed(r, "POST", answer)) {
        hello(r, counted(Meters.Request.REPORT, answer));
      }
    } else if (path.equals("/v1/jobs")) {
      if (allowed(r, "POST", answer)) {
        if (replica.ready()) {
          api.submit(r.body(), counted(Meters.Request.SUBMIT, answer));
        } else {
          answer.send(503, null, 1);
        }
      }
    } else if (path.startsWith("/v1/jobs/") && path.endsWith("/abort")) {
      if (allowed(r, "POST", answer)) {
        api.cancel(
            path.substring("/v1/jobs/".length(), path.length() - "/abort".length()),
            counted(Meters.Request.CANCEL, answer));
      }
    } else if (path.startsWith("/v1/jobs/")) {
      if (allowed(r, "GET", answer)) {
        api.poll(path.substring("/v1/jobs/".length()), counted(Meters.Request.POLL, answer));
      }
    } else {
      answer.send(404, null);
    }
  }

  /** Whether the request has this method; if not, responds with a 405. */
  private static boolean allowed(Request r, String method, Answer answer) {
    if (r.method().equals(method)) {
      return true;
    }
    answer.send(405, null);
    return false;
  }

  private void hello(Request r, Answer answer) {
    Report report;
    try {
      report = Report.read(Doc.decode(r.body()));
    } catch (BadMessage e) {
      answer.send(400, Doc.of().put("error", e.getMessage()).encode());
      return;
    }
    if (replica.ready()) {
      books.report(report, answer);
    } else {
      answer.send(503, null, 1);
    }
  }

  // ---- peers ----

  @Override
  public void received(String from, Message m) {
    if (m instanceof Message.Demand d) {
      fleet.received(from, d);
    } else if (m instanceof Message.Ended e) {
      jobs.ended(e.job(), e.done() ? JobRecord.Status.DONE : JobRecord.Status.CANCELLED);
    } else if (m instanceof Message.Cancelled c) {
      jobs.cancelling(c.job());
      claims.cancelled(c.job());
      books.cancelled(c.job());
    } else if (m instanceof Message.DutyTerm t) {
      duties.received(t);
    } else if (m instanceof Message.LoanAsk a) {
      lending.received(from, a);
    } else if (m instanceof Message.Loan l) {
      lending.received(l);
    } else if (m instanceof Message.Health h) {
      books.load(from, h.held(), h.lagS());
      duties.load(from, h.lagS());
      uses.put(from, new Store.Use(h.requests(), h.writes()));
      if (h.stateServes()) {
        servedElsewhere = timers.now();
      }
    } else {
      claims.received(from, m);
      books.received(from, m);
    }
  }

  @Override
  public void reached(String node) {
    // The peer may have missed the announcements, and the state service may refuse it.
    jobs.cancellations().all().forEach(id -> peers.send(node, new Message.Cancelled(id)));
    books.reached(node);
    claims.reached(node);
  }

  @Override
  public void gone(String node) {
    uses.remove(node);
    duties.gone(node);
    books.gone(node);
    claims.gone(node);
    fleet.gone(node);
  }
}
