package dev.dunefront.cli;

import dev.dunefront.book.HeldMachines;
import dev.dunefront.book.HoldTable;
import dev.dunefront.claim.Claims;
import dev.dunefront.claim.ControllerContext;
import dev.dunefront.cleanup.MachineRecordCleanup;
import dev.dunefront.cleanup.RosterUpdater;
import dev.dunefront.config.Settings;
import dev.dunefront.config.Tunables;
import dev.dunefront.duty.Duties;
import dev.dunefront.duty.Duty;
import dev.dunefront.fleet.Autoscaler;
import dev.dunefront.fleet.MachineCatalog;
import dev.dunefront.job.JobApi;
import dev.dunefront.job.JobRecord;
import dev.dunefront.job.JobTable;
import dev.dunefront.metrics.Meters;
import dev.dunefront.metrics.SafetyMonitor;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.HttpCaller;
import dev.dunefront.net.HttpServer;
import dev.dunefront.net.HttpServer.Request;
import dev.dunefront.net.HttpServer.Responder;
import dev.dunefront.net.LoopWatchdog;
import dev.dunefront.net.TimerLag;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.PauseDetector;
import dev.dunefront.store.ReadBarrier;
import dev.dunefront.store.Replica;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.WriteLoans;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
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
public final class Controller implements Peers.Listener {
  private static final System.Logger LOG = System.getLogger(Controller.class.getName());
  private static final double TICK_S = 0.25;
  private static final double SLOW_TICK_S = 0.5;

  /** A loop that has not turned for so long will not turn again. */
  private static final double LOOP_STALL_TIMEOUT_S = 15;

  /** What is assumed of a controller that lives but is not heard: more than an equal part. */
  private static final StateStore.Usage ASSUMED_USE = new StateStore.Usage(1e6, 1e6);

  /** How long a peer's word on the state service counts. */
  private static final double HEALTH_VALIDITY_S = 2;

  private final Settings settings;
  private final StateStore store;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final LoopWatchdog loops;
  private final Replica replica;
  private final Membership membership;
  private final WriteLoans lending;
  private final Duties duties;
  private final MachineCatalog catalog;
  private final JobTable jobs;
  private final HoldTable holds;
  private final HeldMachines books;
  private final Claims claims;
  private final Autoscaler fleet;
  private final MachineRecordCleanup cleanup;
  private final RosterUpdater joining;
  private final JobApi api;
  private final Peers peers;
  private final Meters meters = new Meters();
  private final SafetyMonitor safety = new SafetyMonitor();
  private final Map<String, StateStore.Usage> storeUseByNode = new HashMap<>();
  private final TimerLag lag = new TimerLag();
  private String lastLoggedStall;
  private double lastServedElsewhereAt = Double.NEGATIVE_INFINITY;

  public Controller(
      Settings settings,
      Tunables tunables,
      StateStore store,
      HttpCaller caller,
      Timers timers,
      DecisionLock decisionLock,
      LoopWatchdog loops,
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
    lending = new WriteLoans(settings.node(), store, membership, peers, timers);
    // A lease is renewed four times in its life: in a shorter pause it cannot have run out.
    PauseDetector standstill =
        new PauseDetector(
            replica, membership, timers, decisionLock, loops, tunables.nodeLeaseS() / 2);
    duties =
        new Duties(
            settings.node(), store, replica, membership, peers, timers, decisionLock, standstill);
    catalog = new MachineCatalog(settings.cloud(), caller, store, timers, decisionLock);
    holds = new HoldTable(replica);
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
    books = new HeldMachines(context, caller);
    claims = new Claims(context);
    fleet =
        new Autoscaler(
            context,
            claims.machineTable(),
            claims.capacitySubscription(),
            claims.ranking(),
            caller);
    cleanup = new MachineRecordCleanup(context);
    joining = new RosterUpdater(context);
    ReadBarrier proofs = new ReadBarrier(store, replica, timers, decisionLock, JobRecord.PREFIX);
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
    meters.gauge("dunefront.polls.proofs", proofs::readCount);
    meters.gauge("dunefront.reports.copies", books::staleReportCount);
    meters.gauge("dunefront.machines.deafened", books::unresponsiveCount);
    meters.gauge("dunefront.machines.sent.away", books::sentAwayCount);
    meters.gauge("dunefront.alone", () -> books.isolated() ? 1 : 0);
    holds.listen(
        host -> {
          books.holdChanged(host);
          claims.holdChanged(host);
        });
    meters.gauge("dunefront.machines.held", books::machineCount);
    meters.gauge("dunefront.jobs.claimed", claims.statistics()::claimedJobs);
    meters.gauge("dunefront.tasks.unstarted", claims.statistics()::unstarted);
    meters.gauge("dunefront.jobs.unbegun.oldest.seconds", claims.statistics()::oldestUnstartedAgeS);
    meters.gauges("dunefront.jobs.unbegun.seconds", this::unstartedJobAges);
    meters.gauge("dunefront.cancellations.waiting", jobs.cancellations()::count);
    meters.gauge("dunefront.cancellations.oldest.seconds", jobs.cancellations()::oldestS);
    meters.gauge("dunefront.state.down", () -> store.unavailable() ? 1 : 0);
    meters.gauge("dunefront.decisions.failed", loops::failures);
    meters.gauge("dunefront.peer.sent.records", () -> (int) peers.sentTraffic().records());
    meters.gauge("dunefront.peer.sent.kilobytes", () -> (int) (peers.sentTraffic().bytes() / 1024));
    for (Duty d : Duty.values()) {
      String name = "dunefront.duty." + d.label();
      meters.gauge(name + ".held", () -> duties.held(d));
      meters.gauge(name + ".taken", () -> duties.acquisitions(d));
      meters.gauge(name + ".handed.over", () -> duties.handovers(d));
      meters.gauge(name + ".refused", () -> duties.refusals(d));
      meters.gauge(name + ".longest.gap.ms", () -> duties.longestVacancyMs(d));
    }
    meters.gauge("dunefront.cleanup.removed", cleanup::removedCount);
    meters.gauge("dunefront.rent.repeated", fleet::repeatedOperations);
    meters.gauge("dunefront.rent.dropped", fleet::droppedOperations);
    jobs.addListener(
        (id, before, entry) -> {
          if (entry != null) {
            catalog.observe(entry.record().spec());
          }
        });
    jobs.addListener(claims::jobChanged);
    jobs.addListener(books::jobChanged);
    membership.onNewIncarnation(
        () -> {
          claims.incarnationChanged();
          books.incarnationChanged();
        });
  }

  private List<Meters.LabelledValue> unstartedJobAges() {
    List<Meters.LabelledValue> all = new ArrayList<>();
    claims
        .statistics()
        .oldestUnstartedAgesS()
        .forEach(
            (g, ageS) ->
                all.add(
                    new Meters.LabelledValue(
                        Map.of("class", g.jobClass(), "team", g.team()), ageS)));
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
          replica.start(() -> holds.createRoster(settings, store));
          membership.start();
          catalog.start();
        });
    tick();
    slowTick();
  }

  /** This process is about to end: hands over what only one controller may do. */
  public void handOverDuties(Runnable then) {
    decisionLock.run(() -> duties.releaseAll(then));
  }

  /** Whether requests can be answered with knowledge. */
  public boolean hasLoadedState() {
    return replica.ready() && catalog.isLoaded();
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
          loops.recordIteration("tick", timers.now(), LOOP_STALL_TIMEOUT_S);
        });
    timers.after(TICK_S, this::tick);
  }

  private void slowTick() {
    decisionLock.run(
        () -> {
          loops.recordIteration("slow tick", timers.now(), LOOP_STALL_TIMEOUT_S);
          decisionLock.run(this::updateStoreBudget);
          holds.createRoster(settings, store);
          jobs.verifyOldestCancellation();
          Message.JobProgress progress = claims.statistics().changedProgress();
          if (!progress.counts().isEmpty()) {
            peers.broadcast(progress);
          }
          String leader = fleet.rentingNode();
          if (leader != null && membership.ownIncarnation() != null) {
            peers.send(leader, claims.statistics().demand());
          }
        });
    timers.after(SLOW_TICK_S, this::slowTick);
  }

  /**
   * Tells the others what this controller asks of the state service, and takes its part of the
   * common budget. A living controller that is not heard counts with an equal part.
   */
  private void updateStoreBudget() {
    StateStore.Usage own = store.takeUsage();
    storeUseByNode.keySet().retainAll(membership.liveNodes());
    List<StateStore.Usage> others = new ArrayList<>();
    for (String node : membership.liveNodes()) {
      if (!node.equals(settings.node())) {
        others.add(storeUseByNode.getOrDefault(node, ASSUMED_USE));
      }
    }
    if (membership.ownIncarnation() == null) {
      // Nobody counts on a controller without a lease, nor does it know what the others ask. It
      // takes an equal part to become somebody again: the part that it had while it asked for
      // nothing can be too small for that.
      store.updateShares(ASSUMED_USE, Collections.nCopies(settings.peers().size(), ASSUMED_USE));
    } else if (replica.ready()) {
      store.updateShares(own, others);
    }
    for (Settings.Peer p : settings.peers()) {
      peers.send(
          p.node(),
          new Message.ControllerStatus(
              !store.unavailable(),
              own.requestsPerS(),
              own.writesPerS(),
              books.machineCount(),
              lag.seconds()));
    }
  }

  /**
   * Whether users' requests can be taken. A controller that the state service refuses while it
   * serves others sends its users to those; in an outage that all share, each goes on answering.
   */
  private boolean isReady() {
    String stalled = loops.stalledLoop(timers.now());
    if (stalled != null && !stalled.equals(lastLoggedStall)) {
      LOG.log(Level.ERROR, "no longer turns: {0}", stalled);
    }
    lastLoggedStall = stalled;
    if (stalled != null) {
      return false;
    }
    // Lost by all others as well as by the state service, it cannot hear that they are served.
    boolean refusedAlone =
        store.unavailable()
            && (timers.now() - lastServedElsewhereAt < HEALTH_VALIDITY_S || books.isolated());
    return !refusedAlone
        && !books.overloaded()
        && replica.ready()
        && membership.ownIncarnation() != null
        && catalog.isLoaded();
  }

  // ---- requests ----

  public void handle(Request request, Responder answer) {
    decisionLock.run(
        () -> {
          Responder out = sendOutsideLock(answer);
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
  private Responder sendOutsideLock(Responder answer) {
    return (status, body, retryAfterS) ->
        decisionLock.defer(() -> answer.send(status, body, retryAfterS));
  }

  /** Counts the answer on its way out. */
  private Responder countResponse(Meters.Request kind, Responder answer) {
    double since = timers.now();
    return (status, body, retryAfterS) -> {
      meters.recordRequest(kind, status, timers.now() - since);
      answer.send(status, body, retryAfterS);
    };
  }

  private void route(Request r, Responder answer) {
    String path = r.path();
    if (path.equals("/up")) {
      if (requireMethod(r, "GET", answer)) {
        answer.send(isReady() ? 200 : 503, null);
      }
    } else if (path.equals(HttpServer.METRICS_PATH)) {
      if (requireMethod(r, "GET", answer)) {
        answer.send(200, meters.scrape().getBytes(StandardCharsets.UTF_8));
      }
    } else if (path.equals("/hello")) {
      if (requireMethod(r, "POST", answer)) {
        handleReport(r, countResponse(Meters.Request.REPORT, answer));
      }
    } else if (path.equals("/v1/jobs")) {
      if (requireMethod(r, "POST", answer)) {
        if (replica.ready()) {
          api.submit(r.body(), countResponse(Meters.Request.SUBMIT, answer));
        } else {
          answer.send(503, null, 1);
        }
      }
    } else if (path.startsWith("/v1/jobs/") && path.endsWith("/abort")) {
      if (requireMethod(r, "POST", answer)) {
        api.cancel(
            path.substring("/v1/jobs/".length(), path.length() - "/abort".length()),
            countResponse(Meters.Request.CANCEL, answer));
      }
    } else if (path.startsWith("/v1/jobs/")) {
      if (requireMethod(r, "GET", answer)) {
        api.poll(path.substring("/v1/jobs/".length()), countResponse(Meters.Request.POLL, answer));
      }
    } else {
      answer.send(404, null);
    }
  }

  private static boolean requireMethod(Request r, String method, Responder answer) {
    if (r.method().equals(method)) {
      return true;
    }
    answer.send(405, null);
    return false;
  }

  private void handleReport(Request r, Responder answer) {
    Report report;
    try {
      report = Report.fromDocument(Document.decode(r.body()));
    } catch (MalformedMessageException e) {
      answer.send(400, Document.create().put("error", e.getMessage()).encode());
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
    } else if (m instanceof Message.JobEnded e) {
      jobs.finalStatusRecorded(
          e.job(), e.done() ? JobRecord.Status.DONE : JobRecord.Status.CANCELLED);
    } else if (m instanceof Message.JobCancelled c) {
      jobs.cancellationRecorded(c.job());
      claims.jobCancelled(c.job());
      books.jobCancelled(c.job());
    } else if (m instanceof Message.DutyTerm t) {
      duties.receive(t);
    } else if (m instanceof Message.LoanRequest a) {
      lending.received(from, a);
    } else if (m instanceof Message.Loan l) {
      lending.received(l);
    } else if (m instanceof Message.ControllerStatus h) {
      books.controllerLoadReceived(from, h.heldMachines(), h.timerLagS());
      duties.recordTimerLag(from, h.timerLagS());
      storeUseByNode.put(from, new StateStore.Usage(h.requestsPerS(), h.writesPerS()));
      if (h.stateAvailable()) {
        lastServedElsewhereAt = timers.now();
      }
    } else {
      claims.received(from, m);
      books.messageReceived(from, m);
    }
  }

  @Override
  public void connected(String node) {
    // It may have been away when they were told of, and the state service may refuse it.
    jobs.cancellations().all().forEach(id -> peers.send(node, new Message.JobCancelled(id)));
    books.peerConnected(node);
    claims.peerConnected(node);
  }

  @Override
  public void disconnected(String node) {
    storeUseByNode.remove(node);
    duties.peerDisconnected(node);
    books.peerDisconnected(node);
    claims.peerDisconnected(node);
    fleet.peerDisconnected(node);
  }
}
