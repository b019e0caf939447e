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
import dev.dunefront.metrics.AnswerMonitor;
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

/** A controller, assembled from its components. Network, clock and state service are injected. */
public final class Controller implements Peers.Listener {
  private static final System.Logger LOG = System.getLogger(Controller.class.getName());
  private static final double TICK_S = 0.25;
  private static final double SLOW_TICK_S = 0.5;

  /** Time without an iteration after which a periodic loop is considered stalled. */
  private static final double LOOP_STALL_TIMEOUT_S = 15;

  /** Assumed demand of a live controller whose demand is unknown: more than an equal share. */
  private static final StateStore.Usage ASSUMED_USAGE = new StateStore.Usage(1e6, 1e6);

  /** How long a peer's status message counts as proof that the state service serves it. */
  private static final double STATUS_VALIDITY_S = 2;

  private final Settings settings;
  private final StateStore store;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final LoopWatchdog loopWatchdog;
  private final Replica replica;
  private final Membership membership;
  private final WriteLoans writeLoans;
  private final Duties duties;
  private final MachineCatalog catalog;
  private final JobTable jobs;
  private final HoldTable holds;
  private final HeldMachines heldMachines;
  private final Claims claims;
  private final Autoscaler autoscaler;
  private final MachineRecordCleanup recordCleanup;
  private final RosterUpdater rosterUpdater;
  private final JobApi api;
  private final Peers peers;
  private final Meters meters = new Meters();
  private final SafetyMonitor safety = new SafetyMonitor();
  private final AnswerMonitor answers = new AnswerMonitor();
  private final Map<String, StateStore.Usage> storeUsageByNode = new HashMap<>();
  private final TimerLag timerLag = new TimerLag();
  private String lastLoggedStall;
  private double lastServedElsewhereAt = Double.NEGATIVE_INFINITY;

  public Controller(
      Settings settings,
      Tunables tunables,
      StateStore store,
      HttpCaller caller,
      Timers timers,
      DecisionLock decisionLock,
      LoopWatchdog loopWatchdog,
      BiFunction<DecisionLock, Peers.Listener, Peers> peersFactory) {
    this.settings = settings;
    this.store = store;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.loopWatchdog = loopWatchdog;
    peers = peersFactory.apply(decisionLock, this);
    replica = new Replica(store, timers, decisionLock, loopWatchdog);
    membership =
        new Membership(
            settings.node(),
            settings.zone(),
            store,
            replica,
            timers,
            tunables.nodeLeaseS(),
            loopWatchdog);
    writeLoans = new WriteLoans(settings.node(), store, membership, peers, timers);
    // The lease is renewed every quarter of its duration, so it cannot expire in a shorter pause.
    PauseDetector pauseDetector =
        new PauseDetector(
            replica, membership, timers, decisionLock, loopWatchdog, tunables.nodeLeaseS() / 2);
    duties =
        new Duties(
            settings.node(),
            store,
            replica,
            membership,
            peers,
            timers,
            decisionLock,
            pauseDetector);
    catalog = new MachineCatalog(settings.cloud(), caller, store, timers, decisionLock);
    holds = new HoldTable(replica);
    jobs = new JobTable(store, replica, timers, safety);
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
            pauseDetector,
            duties,
            safety);
    heldMachines = new HeldMachines(context, caller);
    claims = new Claims(context);
    autoscaler =
        new Autoscaler(
            context,
            claims.machineTable(),
            claims.capacitySubscription(),
            claims.ranking(),
            caller);
    recordCleanup = new MachineRecordCleanup(context);
    rosterUpdater = new RosterUpdater(context);
    ReadBarrier readBarrier =
        new ReadBarrier(store, replica, timers, decisionLock, JobRecord.PREFIX);
    api =
        new JobApi(
            settings,
            membership,
            jobs,
            claims,
            catalog,
            store,
            readBarrier,
            peers,
            timers,
            decisionLock,
            answers);
    holds.setListener(
        host -> {
          heldMachines.holdChanged(host);
          claims.holdChanged(host);
        });
    jobs.addListener(
        (id, before, entry) -> {
          if (entry != null) {
            catalog.observe(entry.record().spec());
          }
        });
    jobs.addListener(claims::jobChanged);
    jobs.addListener(heldMachines::jobChanged);
    membership.onNewIncarnation(
        () -> {
          claims.incarnationChanged();
          heldMachines.incarnationChanged();
        });
    registerMeters(readBarrier);
  }

  private void registerMeters(ReadBarrier readBarrier) {
    safety.register(meters);
    answers.register(meters);
    meters.gauge("dunefront.replica.lag.ms", () -> (int) Math.round(replica.lagS() * 1000));
    meters.gauge("dunefront.polls.waiting", readBarrier::waiting);
    meters.gauge("dunefront.polls.oldest.ms", () -> (int) Math.round(readBarrier.oldestS() * 1000));
    meters.gauge("dunefront.polls.proofs", readBarrier::readCount);
    meters.gauge("dunefront.reports.copies", heldMachines::staleReportCount);
    meters.gauge("dunefront.machines.deafened", heldMachines::unresponsiveCount);
    meters.gauge("dunefront.machines.sent.away", heldMachines::sentAwayCount);
    meters.gauge("dunefront.alone", () -> heldMachines.isolated() ? 1 : 0);
    meters.gauge("dunefront.machines.held", heldMachines::machineCount);
    meters.gauge("dunefront.jobs.claimed", claims.statistics()::claimedJobs);
    meters.gauge("dunefront.tasks.unstarted", claims.statistics()::unstarted);
    meters.gauge("dunefront.jobs.unbegun.oldest.seconds", claims.statistics()::oldestUnstartedAgeS);
    meters.labelledGauge("dunefront.jobs.unbegun.seconds", this::unstartedJobAges);
    meters.gauge("dunefront.cancellations.waiting", jobs.cancellations()::count);
    meters.gauge("dunefront.cancellations.oldest.seconds", jobs.cancellations()::oldestS);
    meters.gauge("dunefront.state.down", () -> store.unavailable() ? 1 : 0);
    meters.gauge("dunefront.state.malformed", store::malformedCount);
    meters.gauge("dunefront.decisions.failed", loopWatchdog::failures);
    meters.gauge("dunefront.peer.sent.records", () -> (int) peers.sentTraffic().records());
    meters.gauge("dunefront.peer.sent.kilobytes", () -> (int) (peers.sentTraffic().bytes() / 1024));
    meters.gauge("dunefront.cleanup.removed", recordCleanup::removedCount);
    meters.gauge("dunefront.rent.repeated", autoscaler::repeatedOperations);
    meters.gauge("dunefront.rent.dropped", autoscaler::droppedOperations);
    for (Duty d : Duty.values()) {
      String name = "dunefront.duty." + d.label();
      meters.gauge(name + ".held", () -> duties.held(d));
      meters.gauge(name + ".taken", () -> duties.acquisitions(d));
      meters.gauge(name + ".handed.over", () -> duties.handovers(d));
      meters.gauge(name + ".refused", () -> duties.refusals(d));
      meters.gauge(name + ".longest.gap.ms", () -> duties.longestVacancyMs(d));
    }
  }

  /** Age in seconds of the oldest open job without a placed task, by class and team. */
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
          replica.start(() -> holds.createRoster(settings, store));
          membership.start();
          catalog.start();
        });
    tick();
    slowTick();
  }

  /** Hands over the duties that this controller holds, before its process ends. */
  public void handOverDuties(Runnable then) {
    decisionLock.run(() -> duties.releaseAll(then));
  }

  /** Whether the state and the catalog have been loaded, which serving requests requires. */
  public boolean hasLoadedState() {
    return replica.ready() && catalog.isLoaded();
  }

  private void tick() {
    timerLag.fired(timers.now(), TICK_S);
    decisionLock.run(
        () -> {
          // Each call is a decision of its own: an exception in one must not prevent the others.
          decisionLock.run(() -> heldMachines.tick(timerLag.seconds()));
          decisionLock.run(claims::tick);
          decisionLock.run(() -> duties.tick(timerLag.seconds()));
          decisionLock.run(autoscaler::tick);
          decisionLock.run(recordCleanup::tick);
          decisionLock.run(rosterUpdater::tick);
          loopWatchdog.recordIteration("tick", timers.now(), LOOP_STALL_TIMEOUT_S);
        });
    timers.after(TICK_S, this::tick);
  }

  private void slowTick() {
    decisionLock.run(
        () -> {
          loopWatchdog.recordIteration("slow tick", timers.now(), LOOP_STALL_TIMEOUT_S);
          decisionLock.run(this::updateStoreBudget);
          holds.createRoster(settings, store);
          jobs.verifyOldestCancellation();
          Message.JobProgress progress = claims.statistics().changedProgress();
          if (!progress.counts().isEmpty()) {
            peers.broadcast(progress);
          }
          String leader = autoscaler.rentingNode();
          if (leader != null && membership.ownIncarnation() != null) {
            peers.send(leader, claims.statistics().demand());
          }
        });
    timers.after(SLOW_TICK_S, this::slowTick);
  }

  /**
   * Computes this controller's share of the common request budget of the state service from the
   * demand of all live controllers, and sends its own demand to its peers. A live controller from
   * which no demand is known counts with an equal share.
   */
  private void updateStoreBudget() {
    StateStore.Usage own = store.takeUsage();
    storeUsageByNode.keySet().retainAll(membership.liveNodes());
    List<StateStore.Usage> others = new ArrayList<>();
    for (String node : membership.liveNodes()) {
      if (!node.equals(settings.node())) {
        others.add(storeUsageByNode.getOrDefault(node, ASSUMED_USAGE));
      }
    }
    if (membership.ownIncarnation() == null) {
      // Without a lease the others do not count this controller, and it does not know their demand.
      // It takes an equal share to register again: the share that it had while idle can be too
      // small for that.
      store.updateShares(
          ASSUMED_USAGE, Collections.nCopies(settings.peers().size(), ASSUMED_USAGE));
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
              heldMachines.machineCount(),
              timerLag.seconds()));
    }
  }

  /**
   * Whether this controller can serve users' requests. A controller that the state service refuses
   * while it serves other controllers reports that it is not ready, which directs users to those;
   * in an outage that affects all, every controller stays ready.
   */
  private boolean isReady() {
    String stalled = loopWatchdog.stalledLoop(timers.now());
    if (stalled != null && !stalled.equals(lastLoggedStall)) {
      LOG.log(Level.ERROR, "loop stalled; this controller is not ready: {0}", stalled);
    }
    lastLoggedStall = stalled;
    if (stalled != null) {
      return false;
    }
    // Cut off from all peers as well, this controller cannot learn that the state service serves
    // them; it then counts as refused too.
    boolean refusedAlone =
        store.unavailable()
            && (timers.now() - lastServedElsewhereAt < STATUS_VALIDITY_S
                || heldMachines.isolated());
    return !refusedAlone
        && !heldMachines.overloaded()
        && replica.ready()
        && membership.ownIncarnation() != null
        && catalog.isLoaded();
  }

  // ---- requests ----

  public void handle(Request request, Responder responder) {
    decisionLock.run(
        () -> {
          Responder deferred = sendOutsideLock(responder);
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
  private Responder sendOutsideLock(Responder responder) {
    return (status, body, retryAfterS) ->
        decisionLock.defer(() -> responder.send(status, body, retryAfterS));
  }

  /** A response that is counted, with its latency, when it is sent. */
  private Responder countResponse(Meters.Request kind, Responder responder) {
    double receivedAt = timers.now();
    return (status, body, retryAfterS) -> {
      meters.recordRequest(kind, status, timers.now() - receivedAt);
      responder.send(status, body, retryAfterS);
    };
  }

  private void route(Request r, Responder responder) {
    String path = r.path();
    if (path.equals("/up")) {
      if (requireMethod(r, "GET", responder)) {
        responder.send(isReady() ? 200 : 503, null);
      }
    } else if (path.equals(HttpServer.METRICS_PATH)) {
      if (requireMethod(r, "GET", responder)) {
        responder.send(200, meters.scrape().getBytes(StandardCharsets.UTF_8));
      }
    } else if (path.equals("/hello")) {
      if (requireMethod(r, "POST", responder)) {
        handleReport(r, countResponse(Meters.Request.REPORT, responder));
      }
    } else if (path.equals("/v1/jobs")) {
      if (requireMethod(r, "POST", responder)) {
        if (replica.ready()) {
          api.submit(r.body(), countResponse(Meters.Request.SUBMIT, responder));
        } else {
          responder.send(503, null, 1);
        }
      }
    } else if (path.startsWith("/v1/jobs/") && path.endsWith("/abort")) {
      if (requireMethod(r, "POST", responder)) {
        api.cancel(
            path.substring("/v1/jobs/".length(), path.length() - "/abort".length()),
            countResponse(Meters.Request.CANCEL, responder));
      }
    } else if (path.startsWith("/v1/jobs/")) {
      if (requireMethod(r, "GET", responder)) {
        api.poll(
            path.substring("/v1/jobs/".length()), countResponse(Meters.Request.POLL, responder));
      }
    } else {
      responder.send(404, null);
    }
  }

  /** Whether the request has this method; if not, responds with a 405. */
  private static boolean requireMethod(Request r, String method, Responder responder) {
    if (r.method().equals(method)) {
      return true;
    }
    responder.send(405, null);
    return false;
  }

  private void handleReport(Request r, Responder responder) {
    Report report;
    try {
      report = Report.fromDocument(Document.decode(r.body()));
    } catch (MalformedMessageException e) {
      responder.send(400, Document.create().put("error", e.getMessage()).encode());
      return;
    }
    if (replica.ready()) {
      heldMachines.report(report, responder);
    } else {
      responder.send(503, null, 1);
    }
  }

  // ---- peers ----

  @Override
  public void received(String from, Message m) {
    if (m instanceof Message.Demand d) {
      autoscaler.receiveDemand(from, d);
    } else if (m instanceof Message.JobEnded e) {
      jobs.finalStatusAnnounced(
          e.job(), e.done() ? JobRecord.Status.DONE : JobRecord.Status.CANCELLED, from);
    } else if (m instanceof Message.JobCancelled c) {
      jobs.cancellationRecorded(c.job());
      claims.jobCancelled(c.job());
      heldMachines.jobCancelled(c.job());
    } else if (m instanceof Message.DutyTerm t) {
      duties.receive(t);
    } else if (m instanceof Message.LoanRequest a) {
      writeLoans.received(from, a);
    } else if (m instanceof Message.Loan l) {
      writeLoans.received(l);
    } else if (m instanceof Message.ControllerStatus h) {
      heldMachines.controllerLoadReceived(from, h.heldMachines(), h.timerLagS());
      duties.recordTimerLag(from, h.timerLagS());
      storeUsageByNode.put(from, new StateStore.Usage(h.requestsPerS(), h.writesPerS()));
      if (h.stateAvailable()) {
        lastServedElsewhereAt = timers.now();
      }
    } else {
      claims.received(from, m);
      heldMachines.messageReceived(from, m);
    }
  }

  @Override
  public void connected(String node) {
    // The peer may have missed the announcements, and the state service may refuse it.
    jobs.cancellations().all().forEach(id -> peers.send(node, new Message.JobCancelled(id)));
    heldMachines.peerConnected(node);
    claims.peerConnected(node);
  }

  @Override
  public void disconnected(String node) {
    storeUsageByNode.remove(node);
    duties.peerDisconnected(node);
    heldMachines.peerDisconnected(node);
    claims.peerDisconnected(node);
    autoscaler.peerDisconnected(node);
  }
}
