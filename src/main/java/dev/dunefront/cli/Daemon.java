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

/** One controller, put together from its parts; network, clock and store come from outside. */
public final class Daemon implements Peers.Listener {
  private static final System.Logger LOG = System.getLogger(Daemon.class.getName());
  private static final double TICK_S = 0.25;
  private static final double SLOW_TICK_S = 0.5;

  /** A loop that has not turned for so long will not turn again. */
  private static final double STALLED_S = 15;

  /** What is assumed of a controller that lives but is not heard: more than an equal part. */
  private static final Store.Use UNHEARD = new Store.Use(1e6, 1e6);

  /** How long a peer's word on the state service counts. */
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
      BiFunction<DecisionLock, Peers.Listener, Peers> peersMaker) {
    this.settings = settings;
    this.store = store;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.loops = loops;
    peers = peersMaker.apply(decisionLock, this);
    replica = new Replica(store, timers, decisionLock, loops);
    membership =
        new Membership(
            settings.node(), settings.zone(), store, replica, timers, tunables.nodeLeaseS(), loops);
    lending = new Lending(settings.node(), store, membership, peers, timers);
    // A lease is renewed four times in its life: in a shorter pause it cannot have run out.
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

  /** The lock round this controller's decisions. */
  public DecisionLock decisionLock() {
    return decisionLock;
  }

  /** What has been found of the invariants of this controller. */
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

  /** This process is about to end: hands over what only one controller may do. */
  public void leave(Runnable then) {
    decisionLock.run(() -> duties.leave(then));
  }

  /** Whether requests can be answered with knowledge. */
  public boolean informed() {
    return replica.ready() && catalog.known();
  }

  private void tick() {
    lag.fired(timers.now(), TICK_S);
    decisionLock.run(
        () -> {
          // Each of its own: what fails in one must not keep the others from their turn.
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
   * Tells the others what this controller asks of the state service, and takes its part of the
   * common budget. A living controller that is not heard counts with an equal part.
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
      // Nobody counts on a controller without a lease, nor does it know what the others ask. It
      // takes an equal part to become somebody again: the part that it had while it asked for
      // nothing can be too small for that.
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
   * Whether users' requests can be taken. A controller that the state service refuses while it
   * serves others sends its users to those; in an outage that all share, each goes on answering.
   */
  private boolean ready() {
    String stalled = loops.stalled(timers.now());
    if (stalled != null && !stalled.equals(saidStalled)) {
      LOG.log(Level.ERROR, "no longer turns: {0}", stalled);
    }
    saidStalled = stalled;
    if (stalled != null) {
      return false;
    }
    // Lost by all others as well as by the state service, it cannot hear that they are served.
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
          Answer out = outside(answer);
          try {
            route(request, out);
          } catch (RuntimeException e) {
            // Only the first answer counts, so this is heard where there was none.
            out.send(503, null, 1);
            throw e;
          }
        });
  }

  /** Answers are sent outside the lock. */
  private Answer outside(Answer answer) {
    return (status, body, retryAfterS) ->
        decisionLock.then(() -> answer.send(status, body, retryAfterS));
  }

  /** Counts the answer on its way out. */
  private Answer counted(Meters.Request kind, Answer answer) {
    double since = timers.now();
    return (status, body, retryAfterS) -> {
      meters.answered(kind, status, timers.now() - since);
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
    // It may have been away when they were told of, and the state service may refuse it.
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
