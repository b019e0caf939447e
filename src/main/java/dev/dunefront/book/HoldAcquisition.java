package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
import dev.dunefront.evidence.WorkerBoot;
import dev.dunefront.fleet.MachineCatalog;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.HttpServer.Responder;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.Report;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Processes reports of machines that this controller does not hold yet: it resumes an earlier hold,
 * acquires the machine, or redirects the worker to the current holder. No two controllers ever send
 * commands to one machine under the same token.
 */
final class HoldAcquisition {
  /** The fraction of a lease duration for which an unreachable holder is waited for. */
  private static final double SILENT_HOLDER_LEASE_FRACTION = 0.25;

  /**
   * A machine that comes back within this time after a redirect is acquired instead of redirected
   * again, in seconds.
   */
  private static final double REDIRECT_TTL_S = 20;

  /**
   * A machine that its holder has released is acquired without a query if it reports within this
   * time, in seconds.
   */
  private static final double RELEASE_TTL_S = 60;

  /** Timeout of a query to the holder of a machine, in seconds. */
  private static final double HOLD_QUERY_TIMEOUT_S = 0.5;

  private final Settings settings;
  private final Membership membership;
  private final HoldTable holds;
  private final MachineCatalog catalog;
  private final StateStore store;
  private final Peers peers;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final ControllerLoads controllerLoads;
  private final StatusChecks statusChecks;
  private final HeldMachines heldMachines;

  private record PendingReport(Report report, Responder answer) {}

  /** Reports that wait for the write of a hold record, by host. */
  private final Map<String, List<PendingReport>> acquiring = new HashMap<>();

  /**
   * Reports that wait for the holder to state whether it receives the machine's reports, or for the
   * status of the worker, by host.
   */
  private final Map<String, List<PendingReport>> querying = new HashMap<>();

  /** Machines whose status is requested before they are taken over from their holder. */
  private final Set<String> verifying = new HashSet<>();

  /** Holders that have not replied to queries, by node. */
  private final Map<String, SilentHolder> silentHolders = new HashMap<>();

  /** An incarnation that does not reply, null if it has no lease, and since when. */
  private record SilentHolder(String incarnation, double since) {}

  /** Since when other controllers have had no membership lease, by node. */
  private final Map<String, Double> withoutLeaseSince = new HashMap<>();

  /** When a machine was last redirected to another controller, by host. */
  private final Map<String, Double> redirectedAt = new HashMap<>();

  /** Machines that other controllers have released, by host. */
  private final Map<String, Release> releases = new HashMap<>();

  private record Release(String node, double receivedAt) {}

  private double incarnationStartedAt;

  HoldAcquisition(
      ControllerContext context,
      ControllerLoads controllerLoads,
      StatusChecks statusChecks,
      HeldMachines heldMachines) {
    this.settings = context.settings();
    this.membership = context.membership();
    this.holds = context.holdTable();
    this.catalog = context.catalog();
    this.store = context.store();
    this.peers = context.peers();
    this.timers = context.timers();
    this.decisionLock = context.decisionLock();
    this.controllerLoads = controllerLoads;
    this.statusChecks = statusChecks;
    this.heldMachines = heldMachines;
    this.incarnationStartedAt = timers.now();
  }

  /** This controller continues under a new incarnation. */
  void incarnationChanged() {
    incarnationStartedAt = timers.now();
    acquiring
        .values()
        .forEach(
            pendingReports -> pendingReports.forEach(pending -> pending.answer.send(503, null, 1)));
    acquiring.clear();
  }

  /**
   * This process was suspended. The time without a reply that its clock shows says nothing about
   * the other controllers.
   */
  void resumedAfterPause() {
    silentHolders.clear();
  }

  /** Another controller has released a machine. */
  void holderReleased(String host, String from) {
    releases.put(host, new Release(from, timers.now()));
  }

  /** Removes expired entries, so that memory stays bounded while machines come and go. */
  void removeExpired(double now) {
    for (Settings.Peer p : settings.peers()) {
      if (membership.liveNodes().contains(p.node())) {
        withoutLeaseSince.remove(p.node());
      } else {
        withoutLeaseSince.putIfAbsent(p.node(), now);
      }
    }
    redirectedAt.values().removeIf(at -> now - at > REDIRECT_TTL_S);
    releases.values().removeIf(r -> now - r.receivedAt > RELEASE_TTL_S);
  }

  /** A controller has stated whether it receives the reports of a machine. */
  void holdStatusReceived(String from, Message.HoldStatus status) {
    silentHolders.remove(from);
    completeHoldQuery(status.host(), status);
  }

  /** Redirects a machine to another controller. */
  void sendToController(String host, String node, Responder answer) {
    redirectedAt.put(host, timers.now());
    redirect(answer, node);
  }

  /** Processes a report of a machine that is not held here. */
  void reportReceived(Report r, Responder answer) {
    if (acquiring.containsKey(r.host())) {
      acquiring.get(r.host()).add(new PendingReport(r, answer));
      return;
    }
    if (querying.containsKey(r.host())) {
      querying.get(r.host()).add(new PendingReport(r, answer));
      return;
    }
    HoldTable.Hold hold = holds.holdOf(r.host(), r.zone());
    boolean heldHere = holds.isHeldBy(settings.node(), hold);
    if (heldHere && !mayResumeHolds()) {
      answer.send(503, null, 1);
    } else if (heldHere && r.token() < firstUnusedToken(hold)) {
      resumeHold(hold, r, answer);
    } else if (membership.ownIncarnation() == null || !catalog.isLoaded() || hold == null) {
      answer.send(503, null, 1);
    } else if (hold.machineDeleted()) {
      answer.send(503, null, 5);
    } else if (heldHere) {
      acquire(r, answer);
    } else {
      reportOfMachineHeldElsewhere(hold, r, answer);
    }
  }

  /**
   * Whether this process may hold machines without a write: it has registered, which sets its
   * tokens apart from those of earlier processes, and it knows who acquired machines before that.
   */
  private boolean mayResumeHolds() {
    long registrationRevision = membership.firstRegistrationRevision();
    return registrationRevision > 0 && holds.appliedUpTo(registrationRevision);
  }

  private long firstToken(HoldTable.Hold hold) {
    return HoldTable.tokenFor(hold, membership.firstRegistrationRevision());
  }

  private long firstUnusedToken(HoldTable.Hold hold) {
    return heldMachines.releasedHolds().firstUnusedToken(hold.host(), firstToken(hold));
  }

  /** Another controller holds the machine, but the worker reports here. */
  private void reportOfMachineHeldElsewhere(HoldTable.Hold hold, Report r, Responder answer) {
    String holder = Membership.nodeOf(hold.holder());
    boolean live = membership.liveNodes().contains(holder);
    Release release = releases.get(r.host());
    if (release != null && holder.equals(release.node)) {
      acquire(r, answer);
    } else if (live && hold.isDefault() && !recentlyRedirected(r.host())) {
      // The worker does not know its default holder yet.
      sendToController(r.host(), holder, answer);
    } else if (live) {
      queryHolder(holder, r, answer);
    } else if (inGracePeriod(holder)) {
      answer.send(503, null, 1);
    } else {
      acquireForOwnZone(r, answer);
    }
  }

  private boolean recentlyRedirected(String host) {
    Double redirectTime = redirectedAt.get(host);
    return redirectTime != null && timers.now() - redirectTime < REDIRECT_TTL_S;
  }

  /**
   * Acquires a machine, or redirects it to a controller of its own zone, which still reaches it
   * when the zone is partitioned. A redirected machine that comes back is acquired, since it cannot
   * reach the other controller.
   */
  private void acquireForOwnZone(Report r, Responder answer) {
    if (!r.zone().equals(settings.zone())) {
      String target = controllerLoads.assignInZone(r.zone());
      if (target != null && !recentlyRedirected(r.host())) {
        sendToController(r.host(), target, answer);
        return;
      }
    }
    enqueue(r, answer);
    verifyWithWorker(r.host(), r.endpoint());
  }

  /**
   * Holds a machine without a write, because this controller is its default holder, or because an
   * earlier incarnation held it and no other controller has acquired it since. The arrival of many
   * machines or the restart of many controllers therefore costs no write for each machine, and no
   * worker lease expires while writes wait for the rate budget. The tokens of this process are
   * higher than those of earlier ones, so the worker refuses their commands once it has confirmed
   * one of these.
   */
  private void resumeHold(HoldTable.Hold hold, Report r, Responder answer) {
    WorkerBoot boot = WorkerBoot.unknown(firstUnusedToken(hold));
    Machine m = new Machine(r, boot, firstToken(hold), hold.revision(), timers.now());
    m.resumed = true;
    heldMachines.addMachine(m);
    if (timers.now() - incarnationStartedAt > settings.workers().leaseS()) {
      // During the first lease duration of an incarnation all machines report here. An unknown
      // machine that reports later is new, or the report is a late duplicate from a machine that
      // no longer exists, so it gets no work until it has responded to a status request.
      statusChecks.suspect(m, "it was unknown to this controller");
    }
    heldMachines.processReport(m, r, answer);
  }

  /**
   * Whether an unreachable holder is still waited for. A controller that crashes is usually back
   * within seconds and keeps its machines. If they were taken over at once, a few remaining
   * controllers would have to write a hold record for each and would end up with all of them.
   */
  private boolean inGracePeriod(String holder) {
    String incarnation = membership.liveIncarnation(holder);
    SilentHolder silence = silentHolders.get(holder);
    if (silence == null || incarnation != null && !incarnation.equals(silence.incarnation)) {
      // A holder whose membership lease expired a while ago is not expected back soon.
      double since =
          incarnation == null ? withoutLeaseSince.getOrDefault(holder, timers.now()) : timers.now();
      silence = new SilentHolder(incarnation, since);
      silentHolders.put(holder, silence);
    }
    return timers.now() - silence.since
        < settings.workers().leaseS() * SILENT_HOLDER_LEASE_FRACTION;
  }

  private void enqueue(Report r, Responder answer) {
    querying.put(r.host(), new ArrayList<>(List.of(new PendingReport(r, answer))));
  }

  /**
   * Asks a live holder whether it still receives the machine's reports. The worker may have come
   * here because it got no answer there.
   */
  private void queryHolder(String holder, Report r, Responder answer) {
    enqueue(r, answer);
    peers.send(holder, new Message.HoldQuery(r.host(), r.session(), r.serial(), r.token()));
    timers.after(
        HOLD_QUERY_TIMEOUT_S, () -> decisionLock.run(() -> completeHoldQuery(r.host(), null)));
  }

  /** Another controller asks whether this one receives the reports of a machine. */
  void holdQueryReceived(String from, Message.HoldQuery query) {
    String host = query.host();
    Machine m = heldMachines.get(host);
    if (m != null) {
      statusChecks.reportedElsewhere(m, query);
      m = heldMachines.get(host);
    }
    // For a machine that this controller held before it crashed, the time without a report counts
    // from the start of this incarnation.
    HoldTable.Hold record = holds.recordOf(host);
    boolean heldHere = m != null || record == null || holds.isHeldBy(settings.node(), record);
    double lastContactAt = m != null ? m.lastContactAt : incarnationStartedAt;
    peers.send(from, new Message.HoldStatus(host, heldHere, timers.now() - lastContactAt));
  }

  private void completeHoldQuery(String host, Message.HoldStatus status) {
    if (verifying.contains(host)) {
      return;
    }
    List<PendingReport> pendingReports = querying.get(host);
    if (pendingReports == null) {
      return;
    }
    HoldTable.Hold hold = holds.holdOf(host, pendingReports.get(0).report.zone());
    boolean receivedRecently =
        status != null
            && status.held()
            && status.lastReportAgeS() < settings.workers().reportS() * 1.5;
    if (status == null
        && hold != null
        && !hold.machineDeleted()
        && heldMachines.get(host) == null) {
      if (inGracePeriod(Membership.nodeOf(hold.holder()))) {
        querying.remove(host);
        pendingReports.forEach(pending -> pending.answer.send(503, null, 1));
        return;
      }
    }
    if (receivedRecently && hold != null && !hold.holder().isEmpty()) {
      querying.remove(host);
      pendingReports.forEach(pending -> redirect(pending.answer, Membership.nodeOf(hold.holder())));
    } else if (heldMachines.get(host) != null || acquiring.containsKey(host)) {
      querying.remove(host);
      pendingReports.forEach(pending -> heldMachines.report(pending.report, pending.answer));
    } else {
      verifyWithWorker(host, pendingReports.get(pendingReports.size() - 1).report.endpoint());
    }
  }

  /**
   * Requests the worker's status before the machine is taken over from its holder. The report may
   * be a late duplicate; or the machine may receive no answers and try all controllers in turn,
   * each of which would write its hold record anew. This applies even if the holder's membership
   * lease has expired: behind a partition, or if only its requests to the state service fail, it
   * may still receive the machine's reports.
   */
  private void verifyWithWorker(String host, String endpoint) {
    verifying.add(host);
    statusChecks.requestStatus(
        endpoint,
        status -> {
          verifying.remove(host);
          List<PendingReport> pendingReports = querying.remove(host);
          if (pendingReports == null) {
            return;
          }
          for (PendingReport pending : pendingReports) {
            if (heldMachines.get(host) != null || acquiring.containsKey(host)) {
              heldMachines.report(pending.report, pending.answer);
            } else if (status == null || !status.host().equals(host)) {
              pending.answer.send(503, null, 1);
            } else {
              acquire(status, pending.answer);
            }
          }
        });
  }

  private static void redirect(Responder answer, String node) {
    answer.send(421, Document.create().put("overseer", node).encode());
  }

  /**
   * Acquires a machine with a hold record whose token is higher than any that its worker has seen.
   */
  private void acquire(Report r, Responder answer) {
    HoldTable.Hold hold = holds.holdOf(r.host(), r.zone());
    String self = membership.ownIncarnation();
    if (store.unavailable() || hold == null || self == null) {
      // The incarnation may have ended while a response was awaited.
      answer.send(503, null, 1);
      return;
    }
    long lowestToken = Math.max(r.token(), hold.token()) + 1;
    String writeId = store.newWriteId();
    Document value = HoldTable.write(self, lowestToken, writeId);
    acquiring.put(r.host(), new ArrayList<>(List.of(new PendingReport(r, answer))));
    store.tryTxn(
        HoldTable.condition(new Txn(), r.host(), hold.revision())
            .put(HoldTable.key(r.host()), value),
        StateStore.RequestPriority.LEASE,
        result -> {
          List<PendingReport> pendingReports = acquiring.remove(r.host());
          if (pendingReports == null || !self.equals(membership.ownIncarnation())) {
            return;
          }
          if (!result.ok()) {
            // A write of unknown outcome may have succeeded; then the replica shows it by the
            // worker's next report.
            pendingReports.forEach(pending -> pending.answer.send(503, null, 1));
            return;
          }
          holds.applyWrite(r.host(), value, result.revision());
          releases.remove(r.host());
          long token = HoldTable.tokenOf(result.revision(), lowestToken);
          WorkerBoot boot = WorkerBoot.unknown(token);
          heldMachines.addMachine(new Machine(r, boot, token, result.revision(), timers.now()));
          // Another controller may have acquired the machine since, as the replica may have shown
          // before this response arrived.
          heldMachines.holdChanged(r.host());
          pendingReports.forEach(pending -> heldMachines.report(pending.report, pending.answer));
        });
  }
}
