package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
import dev.dunefront.evidence.Freshness;
import dev.dunefront.job.JobRecord;
import dev.dunefront.job.JobTable;
import dev.dunefront.net.Caller;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.HttpServer.Answer;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.Standstill;
import dev.dunefront.wire.Order;
import dev.dunefront.wire.Report;
import dev.dunefront.wire.TaskId;
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The machines that this controller holds, meaning that it alone sends them orders and offers their
 * room. Dispatches worker reports, keeps the want book of each machine and drives periodic work.
 * {@link Reception} processes reports of machines not held here, {@link Orders} sends orders to
 * workers, {@link Views} publishes machine state to the controllers.
 */
public final class Books {
  private static final System.Logger LOG = System.getLogger(Books.class.getName());

  /** An overloaded controller keeps at least this many machines. */
  private static final int KEEP = 5;

  /** Interval at which a machine without pending work is checked, in seconds. */
  private static final double IDLE_LOOK_S = 1;

  /** Largest relative rate difference between the monotonic clocks of two hosts. */
  private static final double DRIFT = 0.001;

  /** A machine whose lease expired is released after this many lease durations without a report. */
  private static final double FORGET_LEASES = 10;

  private final Settings settings;
  private final Membership membership;
  private final Holds holds;
  private final JobTable jobs;
  private final Peers peers;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Map<String, Machine> held = new HashMap<>();

  /**
   * Attempts denied on machines that were released since, by host; see {@link #hold}. Removed once
   * the machine is held under a new token.
   */
  private final Map<String, Map<TaskId, Long>> fences = new HashMap<>();

  private final Views views;
  private final Preemption preemption;
  private final Reports reports;
  private final Starts starts;
  private final Upkeep upkeep;
  private final Orders orders;
  private final Listening listening;
  private final Leaving leaving;

  private final HoldChanges holdChanges;
  private final Neighbours neighbours;
  private final Reception reception;
  private final Standstill standstill;
  private final Dealing dealing;
  private final Inbox inbox;

  private double strangersAt;

  public Books(ControllerContext context, Caller caller) {
    this.settings = context.settings();
    this.membership = context.membership();
    this.holds = context.holds();
    this.jobs = context.jobs();
    this.peers = context.peers();
    this.timers = context.timers();
    this.decisionLock = context.decisionLock();
    this.views = new Views(context, held);
    this.preemption = new Preemption(context, views);
    this.reports = new Reports(context);
    this.listening = new Listening(context, caller, this, reports);
    this.orders = new Orders(context, caller, this, listening);
    this.starts = new Starts(context, this, orders, views);
    this.upkeep = new Upkeep(context);
    this.holdChanges = new HoldChanges(context, this);
    this.neighbours = new Neighbours(settings, membership);
    this.leaving = new Leaving(context, neighbours);
    this.reception = new Reception(context, neighbours, listening, this);
    this.standstill = context.standstill();
    this.dealing = new Dealing(context, neighbours, views);
    this.inbox = new Inbox(context, this, starts, preemption, reception);
    standstill.listen(reception::woken);
  }

  // ---- reports ----

  /**
   * Processes a worker's report. After this process was suspended, the report waits until the state
   * is known to be current: another controller may hold the worker by now, and an answer under the
   * old token would keep the worker here.
   */
  public void report(Report r, Answer answer) {
    standstill.whenCurrent(() -> taken(r, answer));
  }

  private void taken(Report r, Answer answer) {
    leaving.reported(r.host());
    Machine m = held.get(r.host());
    if (m != null) {
      reportOfHeld(m, r, answer);
    } else {
      reception.report(r, answer);
    }
  }

  /**
   * Another controller has reported how many machines it holds and how late its timers run, in
   * seconds.
   */
  public void load(String node, int machineCount, double lateS) {
    neighbours.tells(node, machineCount, lateS);
  }

  /** Whether this controller's timers run late while another controller keeps up. */
  public boolean overloaded() {
    return neighbours.idler() != null;
  }

  /** The machine, if this controller holds it, or null. */
  Machine held(String host) {
    return held.get(host);
  }

  /**
   * Starts to hold the machine. If it is held again under the token of an earlier hold here, the
   * attempts denied then stay denied, because their start requests may still be in transit to this
   * controller.
   */
  void hold(Machine m) {
    held.put(m.host, m);
    Map<TaskId, Long> denied = fences.remove(m.host);
    if (denied != null && m.resumed) {
      m.fence.putAll(denied);
    }
    LOG.log(
        Level.INFO,
        "holding {0} of type {1}: token {2}, hold revision {3}, session {4}",
        m.host,
        m.typeName,
        m.token,
        m.holdStamp,
        m.session);
  }

  void reportOfHeld(Machine m, Report r, Answer answer) {
    if (r.token() > m.token) {
      // Another controller holds this machine under a higher token.
      dropHold(m, "its worker has reported a higher token");
      answer.send(421, null);
      return;
    }
    Freshness.Worth classification = m.fresh.of(r);
    if (classification == Freshness.Worth.COPY) {
      // The sender no longer waits for this answer, unless the worker has restarted.
      answer.send(503, null, 1);
      listening.copied(m);
      return;
    }
    if (m.lost && r.session() <= m.session) {
      // Its tasks have been declared ended, so nothing may renew the lease of this session.
      answer.send(503, null, 1);
      return;
    }
    m.heard = timers.now();
    if (classification == Freshness.Worth.NEW) {
      listening.reported(m, r);
    }
    reports.reported(m, r);
    String redirectTarget = leaving.whereTo(m, held.values());
    if (redirectTarget != null) {
      dropHold(m, "this controller is isolated; redirecting it to " + redirectTarget);
      reception.send(m.host, redirectTarget, answer);
      return;
    }
    if (m.sendTo == null && held.size() > KEEP) {
      m.sendTo = neighbours.idler();
    }
    if (m.sendTo != null) {
      String target = m.sendTo;
      m.sendTo = null;
      if (neighbours.reachable(target)
          && !m.busy()
          // An unresponsive machine would not receive the redirect and would retry all
          // controllers in turn.
          && m.responsiveness.trusted()
          && !m.doubt
          && !m.raising
          && !m.retiring(timers.now())) {
        dropHold(m, "balancing load; redirecting it to " + target);
        reception.send(m.host, target, answer);
        return;
      }
    }
    if (m.doubt) {
      orders.raise(m);
    }
    m.answered = timers.now();
    answer.send(200, Order.answer(m.token, orders.withAnswer(m)));
    act(m);
  }

  void dropHold(Machine m, String reason) {
    if (held.remove(m.host, m)) {
      if (!m.fence.isEmpty()) {
        fences.put(m.host, m.fence);
      }
      LOG.log(
          Level.INFO,
          "released {0}: {1}; token {2}, hold revision {3}, session {4}",
          m.host,
          reason,
          m.token,
          m.holdStamp,
          m.session);
      peers.broadcast(new Message.Unheld(m.host));
    }
  }

  /** This controller continues under a new incarnation. */
  public void reborn() {
    holdChanges.reborn();
    reception.reborn();
  }

  /** The hold record of a machine has changed in the replica. */
  public void holdChanged(String host) {
    holdChanges.changed(host);
    if (!held.containsKey(host)) {
      // Any later hold of this machine has a higher token, so the denials are no longer needed.
      fences.remove(host);
    }
  }

  /**
   * The record of an unfinished job has changed. Tasks of a job that must not run any more are
   * stopped without a request from its claimant.
   */
  public void jobChanged(String id, JobTable.Entry before, JobTable.Entry entry) {
    boolean ended = over(entry);
    if (!ended
        && !over(before)
        && Objects.equals(before.record().claim(), entry.record().claim())) {
      // Most changes only grant tasks, which affects neither the controller that receives the
      // task states nor the size of the tasks.
      return;
    }
    for (Machine m : held.values()) {
      if (ended) {
        m.book.dropJob(id);
      }
      if (m.has(id)) {
        if (entry != null && entry.record().status() == JobRecord.Status.CANCELLED) {
          upkeep.stopJob(m, id);
        }
        m.dirty = true;
        act(m);
      }
    }
  }

  /** A job has been cancelled: stops its running tasks here and refuses its pending starts. */
  public void cancelled(String id) {
    for (Machine m : held.values()) {
      upkeep.stopJob(m, id);
      m.book.dropJob(id);
      act(m);
    }
  }

  /** All machines that this controller holds. */
  Collection<Machine> all() {
    return held.values();
  }

  static boolean over(JobTable.Entry entry) {
    return entry == null || entry.record().status() != JobRecord.Status.OPEN;
  }

  // ---- messages ----

  public void received(String from, Message message) {
    if (message instanceof Message.Interest i) {
      views.interested(from, i.detail());
    } else {
      inbox.received(from, message);
    }
  }

  /** The connection to a controller has closed. Its wants and offers are dropped. */
  public void gone(String node) {
    neighbours.gone(node);
    views.gone(node);
    for (Machine m : held.values()) {
      m.book.drop(node);
      if (m.offers.values().removeIf(o -> o.node().equals(node))) {
        m.dirty = true;
        act(m);
      }
    }
  }

  /** The connection to a controller is open again. It receives the state of every held machine. */
  public void reached(String node) {
    views.reached(node);
  }

  // ---- allocation ----

  /**
   * Offers free room to wants, sends pending orders and publishes the machine's state if it has
   * changed.
   */
  void act(Machine m) {
    if (held.get(m.host) != m) {
      return;
    }
    dealing.deal(m);
    orders.give(m);
    if (m.dirty) {
      m.dirty = false;
      views.tellSoon(m);
    }
  }

  // ---- metrics and periodic work ----

  public int heldMachines() {
    return held.size();
  }

  /** Number of stale reports received since the start of the process. */
  public int copies() {
    return listening.copies();
  }

  /** Number of times that a machine whose reports arrive has been found unresponsive. */
  public int deafened() {
    return listening.deafened();
  }

  /** Number of workers that this controller has redirected because it was isolated. */
  public int sentAway() {
    return leaving.sent();
  }

  /** Whether neither the state service nor any other controller is reachable. */
  public boolean alone() {
    return leaving.alone();
  }

  /**
   * Periodic work, called several times a second.
   *
   * @param lateS by how much this controller's timers run late, in seconds
   */
  public void tick(double lateS) {
    neighbours.late(lateS);
    listening.late(lateS);
    double now = timers.now();
    double leaseS = settings.workers().leaseS();
    if (!standstill.current()) {
      return;
    }
    holdChanges.tick();
    leaving.tick(now);
    for (Machine m : List.copyOf(held.values())) {
      // A failure on one machine must not keep the others from being processed.
      decisionLock.run(() -> tick(m, now, leaseS));
    }
    if (now - strangersAt > IDLE_LOOK_S) {
      strangersAt = now;
      upkeep.stopWhatIsOver(held.values(), now);
      reception.forget(now);
    }
    dealing.spread(held.values(), now);
  }

  private void tick(Machine m, double now, double leaseS) {
    boolean offerExpired = false;
    for (Iterator<Machine.Offered> iterator = m.offers.values().iterator(); iterator.hasNext(); ) {
      if (iterator.next().until() < now) {
        iterator.remove();
        offerExpired = true;
      }
    }
    m.dirty |= offerExpired;
    if (m.retiringUntil > 0 && !m.retiring(now)) {
      m.retiringUntil = 0;
      m.dirty = true;
    }
    listening.tick(m, now);
    double leaseCertainlyOverS = leaseS * (1 + DRIFT) + 0.3;
    if (!m.lost && m.ours && now - m.renewed() > leaseCertainlyOverS) {
      // No report of this session has been answered for longer than its lease lasts. A token
      // raised meanwhile does not change that, since the worker may never receive it: a machine
      // that ended just after the write would otherwise never count as lost, and its jobs would
      // never end.
      m.lost = true;
      m.pending.clear();
      m.offers.clear();
      m.dirty = true;
      LOG.log(
          Level.INFO,
          "no report from {0}; the lease of its session {1} has expired",
          m.host,
          m.session);
    }
    if (!m.ours && now - m.heard > leaseCertainlyOverS) {
      // The worker has not reported a token of this hold, so an expired lease proves nothing
      // here; the report that started the hold may be a late duplicate from a machine that no
      // longer exists. If the machine stayed held, it would be published forever as neither
      // healthy nor lost, and nobody would prove the end of its attempts.
      dropHold(m, "its reports stopped before its worker had reported the current token");
      return;
    }
    if (m.lost && now - m.renewed() > leaseS * FORGET_LEASES) {
      // All its attempts have been declared ended. If its worker reports again, it does so in a
      // later session, and no start request in transit is addressed to that one.
      m.fence.clear();
      dropHold(m, "no report for a long time");
      return;
    }
    if (m.noticeS != null) {
      upkeep.clearOut(m, m.noticeS - (now - m.noticeAt), now);
    }
    boolean hasPendingWork =
        m.dirty || !m.pending.isEmpty() || !m.stops.isEmpty() || !m.clears.isEmpty();
    if (hasPendingWork || now - m.looked > IDLE_LOOK_S) {
      m.looked = now;
      act(m);
    }
  }
}
