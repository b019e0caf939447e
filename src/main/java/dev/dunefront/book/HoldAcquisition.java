package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
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
 * Reports of machines that this controller does not hold yet: holds them on, takes them, or sends
 * them to whoever holds them. No two controllers ever act for one machine under one token.
 */
final class HoldAcquisition {
  /** The part of a lease for which a silent holder is waited for. */
  private static final double SILENT_HOLDER_LEASE_FRACTION = 0.25;

  /** A machine that was sent to another controller and comes back this soon is taken. */
  private static final double REDIRECT_TTL_S = 20;

  /** A machine that was let go of comes within this time, or is asked after like any other. */
  private static final double RELEASE_TTL_S = 60;

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

  /** Reports that wait for a hold to be taken. */
  private final Map<String, List<PendingReport>> acquiring = new HashMap<>();

  /** Reports that wait for another controller, or the machine itself, to say who hears it. */
  private final Map<String, List<PendingReport>> querying = new HashMap<>();

  /** Machines that are asked what they are at, before they are taken from their holder. */
  private final Set<String> verifying = new HashSet<>();

  /** Since when a holder has left questions unanswered. */
  private final Map<String, SilentHolder> silentHolders = new HashMap<>();

  private record SilentHolder(String incarnation, double since) {}

  /** Since when other controllers have had no lease. */
  private final Map<String, Double> withoutLeaseSince = new HashMap<>();

  /** When a machine was last sent to another controller. */
  private final Map<String, Double> redirectedAt = new HashMap<>();

  /** Machines that were let go of, by whom and when. */
  private final Map<String, Release> released = new HashMap<>();

  private record Release(String node, double at) {}

  private double incarnationStartedAt;

  HoldAcquisition(
      ControllerContext context,
      ControllerLoads neighbours,
      StatusChecks listening,
      HeldMachines books) {
    this.settings = context.settings();
    this.membership = context.membership();
    this.holds = context.holds();
    this.catalog = context.catalog();
    this.store = context.store();
    this.peers = context.peers();
    this.timers = context.timers();
    this.decisionLock = context.decisionLock();
    this.controllerLoads = neighbours;
    this.statusChecks = listening;
    this.heldMachines = books;
    this.incarnationStartedAt = timers.now();
  }

  /** This controller has become another incarnation. */
  void incarnationChanged() {
    incarnationStartedAt = timers.now();
    acquiring.values().forEach(ws -> ws.forEach(w -> w.answer.send(503, null, 1)));
    acquiring.clear();
  }

  /** This controller has stood still: nobody else has been silent for as long as its clock says. */
  void resumedAfterPause() {
    silentHolders.clear();
  }

  /** Another controller has let go of a machine. */
  void released(String host, String from) {
    released.put(host, new Release(from, timers.now()));
  }

  /** Forgets what is over: of machines that come and go only what still matters is kept. */
  void removeExpired(double now) {
    for (Settings.Peer p : settings.peers()) {
      if (membership.liveNodes().contains(p.node())) {
        withoutLeaseSince.remove(p.node());
      } else {
        withoutLeaseSince.putIfAbsent(p.node(), now);
      }
    }
    redirectedAt.values().removeIf(at -> now - at > REDIRECT_TTL_S);
    released.values().removeIf(r -> now - r.at > RELEASE_TTL_S);
  }

  /** A controller has said whether it hears a machine. */
  void holdReplyReceived(String from, Message.HoldStatus say) {
    silentHolders.remove(from);
    completeHoldQuery(say.host(), say);
  }

  /** Sends a machine to another controller. */
  void sendToController(String host, String node, Responder answer) {
    redirectedAt.put(host, timers.now());
    redirect(answer, node);
  }

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
    boolean ours = holds.isHeldBy(settings.node(), hold);
    if (ours && r.token() <= hold.token()) {
      resumeHold(hold, r, answer);
    } else if (membership.ownIncarnation() == null || !catalog.isLoaded() || hold == null) {
      answer.send(503, null, 1);
    } else if (hold.machineDeleted()) {
      answer.send(503, null, 5);
    } else if (ours) {
      acquire(r, answer);
    } else {
      reportOfMachineHeldElsewhere(hold, r, answer);
    }
  }

  /** The machine has another holder; yet its worker has come here. */
  private void reportOfMachineHeldElsewhere(HoldTable.Hold hold, Report r, Responder answer) {
    String holder = Membership.nodeOf(hold.holder());
    boolean live = membership.liveNodes().contains(holder);
    Release release = released.get(r.host());
    if (release != null && holder.equals(release.node)) {
      acquire(r, answer);
    } else if (live && hold.isDefault() && !recentlyRedirected(r.host())) {
      // It has yet to learn who its natural holder is.
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
    Double sent = redirectedAt.get(host);
    return sent != null && timers.now() - sent < REDIRECT_TTL_S;
  }

  /**
   * Takes a machine, or sends it to a controller of its own zone, which goes on hearing it when the
   * zone is cut off. Once sent, a machine that comes back is taken: it cannot get there.
   */
  private void acquireForOwnZone(Report r, Responder answer) {
    if (!r.zone().equals(settings.zone())) {
      String near = controllerLoads.assignInZone(r.zone());
      if (near != null && !recentlyRedirected(r.host())) {
        sendToController(r.host(), near, answer);
        return;
      }
    }
    enqueue(r, answer);
    verifyWithWorker(r.host(), r.endpoint());
  }

  /**
   * A machine that is this controller's by nature, or that an earlier incarnation held and nobody
   * has taken since: it is held without a write. So the arrival of many machines, and a return of
   * many controllers at once costs no write for each machine, and no lease runs out behind the
   * budget. What the earlier incarnation may have sent is in doubt only for tasks that the worker
   * does not show.
   */
  private void resumeHold(HoldTable.Hold hold, Report r, Responder answer) {
    Machine m = new Machine(r, hold.token(), hold.revision(), timers.now());
    m.resumed = true;
    heldMachines.addMachine(m);
    if (timers.now() - incarnationStartedAt > settings.workers().leaseS()) {
      // In the first moments of a life all machines report here. Later an unknown one is new, or
      // this is a copy of a report of one that is gone: it is given no work before it has answered.
      statusChecks.suspect(m, "it is not known here");
    }
    heldMachines.processReport(m, r, answer);
  }

  /**
   * Whether a holder that does not answer is still waited for. A controller that crashes is back
   * within seconds and holds on to its machines; were they taken at once, a few survivors would
   * write a hold for each and sit on them all.
   */
  private boolean inGracePeriod(String holder) {
    String incarnation = membership.liveIncarnation(holder);
    SilentHolder s = silentHolders.get(holder);
    if (s == null || incarnation != null && !incarnation.equals(s.incarnation)) {
      // One whose lease has been over for a while is not about to be back.
      double dead =
          incarnation == null ? withoutLeaseSince.getOrDefault(holder, timers.now()) : timers.now();
      s = new SilentHolder(incarnation, dead);
      silentHolders.put(holder, s);
    }
    return timers.now() - s.since < settings.workers().leaseS() * SILENT_HOLDER_LEASE_FRACTION;
  }

  private void enqueue(Report r, Responder answer) {
    querying.put(r.host(), new ArrayList<>(List.of(new PendingReport(r, answer))));
  }

  /** Asks a live holder whether it hears the machine: its worker may have come for lack of that. */
  private void queryHolder(String holder, Report r, Responder answer) {
    enqueue(r, answer);
    peers.send(holder, new Message.HoldQuery(r.host(), r.session(), r.serial(), r.token()));
    timers.after(
        HOLD_QUERY_TIMEOUT_S, () -> decisionLock.run(() -> completeHoldQuery(r.host(), null)));
  }

  /** Another controller asks whether this one hears a machine. */
  void holdQueryReceived(String from, Message.HoldQuery ask) {
    String host = ask.host();
    Machine m = heldMachines.held(host);
    if (m != null) {
      statusChecks.reportedElsewhere(m, ask);
      m = heldMachines.held(host);
    }
    // A machine that this controller held before it crashed is waited for from its start on.
    HoldTable.Hold record = holds.recordOf(host);
    boolean ours = m != null || record == null || holds.isHeldBy(settings.node(), record);
    double heard = m != null ? m.lastContactAt : incarnationStartedAt;
    peers.send(from, new Message.HoldStatus(host, ours, timers.now() - heard));
  }

  private void completeHoldQuery(String host, Message.HoldStatus say) {
    if (verifying.contains(host)) {
      return;
    }
    List<PendingReport> waiting = querying.get(host);
    if (waiting == null) {
      return;
    }
    HoldTable.Hold hold = holds.holdOf(host, waiting.get(0).report.zone());
    boolean heard =
        say != null && say.held() && say.lastReportAgeS() < settings.workers().reportS() * 1.5;
    if (say == null && hold != null && !hold.machineDeleted() && heldMachines.held(host) == null) {
      if (inGracePeriod(Membership.nodeOf(hold.holder()))) {
        querying.remove(host);
        waiting.forEach(w -> w.answer.send(503, null, 1));
        return;
      }
    }
    if (heard && hold != null && !hold.holder().isEmpty()) {
      querying.remove(host);
      waiting.forEach(w -> redirect(w.answer, Membership.nodeOf(hold.holder())));
    } else if (heldMachines.held(host) != null || acquiring.containsKey(host)) {
      querying.remove(host);
      waiting.forEach(w -> heldMachines.report(w.report, w.answer));
    } else {
      verifyWithWorker(host, waiting.get(waiting.size() - 1).report.endpoint());
    }
  }

  /**
   * Asks a machine itself before it is taken from its holder: what came may be a late copy of a
   * report, or the machine may hear nobody and go round the controllers, and each would write its
   * hold anew. Nor does it help that the holder's lease is over: behind a cut, or refused by the
   * state service alone, it may go on hearing the machine.
   */
  private void verifyWithWorker(String host, String endpoint) {
    verifying.add(host);
    statusChecks.requestStatus(
        endpoint,
        now -> {
          verifying.remove(host);
          List<PendingReport> waiting = querying.remove(host);
          if (waiting == null) {
            return;
          }
          for (PendingReport w : waiting) {
            if (heldMachines.held(host) != null || acquiring.containsKey(host)) {
              heldMachines.report(w.report, w.answer);
            } else if (now == null || !now.host().equals(host)) {
              w.answer.send(503, null, 1);
            } else {
              acquire(now, w.answer);
            }
          }
        });
  }

  private static void redirect(Responder answer, String node) {
    answer.send(421, Document.create().put("overseer", node).encode());
  }

  /** Takes the hold of a machine, raising its token above all that its worker has seen. */
  private void acquire(Report r, Responder answer) {
    HoldTable.Hold hold = holds.holdOf(r.host(), r.zone());
    String self = membership.ownIncarnation();
    if (store.unavailable() || hold == null || self == null) {
      // An answer or a wait may have come between, and with it the end of this incarnation.
      answer.send(503, null, 1);
      return;
    }
    long token = Math.max(r.token(), hold.token()) + 1;
    String mark = store.newWriteId();
    Document value = HoldTable.write(self, token, mark);
    acquiring.put(r.host(), new ArrayList<>(List.of(new PendingReport(r, answer))));
    store.tryTxn(
        HoldTable.condition(new Txn(), r.host(), hold.revision())
            .put(HoldTable.key(r.host()), value),
        StateStore.RequestPriority.LEASE,
        done -> {
          List<PendingReport> waiting = acquiring.remove(r.host());
          if (waiting == null || !self.equals(membership.ownIncarnation())) {
            return;
          }
          if (!done.ok()) {
            // An unclear write may show later; the worker's next report finds it in the replica.
            waiting.forEach(w -> w.answer.send(503, null, 1));
            return;
          }
          holds.applyWrite(r.host(), value, done.revision());
          released.remove(r.host());
          Machine m = new Machine(r, token, done.revision(), timers.now());
          heldMachines.addMachine(m);
          // Taken by yet another since, as the replica may have shown before this answer came?
          heldMachines.holdChanged(r.host());
          waiting.forEach(w -> heldMachines.report(w.report, w.answer));
        });
  }
}
