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
 * The machines that this controller holds: takes reports, keeps a book for each and deals freed
 * room. {@link Reception} takes the reports of others, {@link Orders} talks to workers, {@link
 * Views} to the controllers.
 */
public final class Books {
  private static final System.Logger LOG = System.getLogger(Books.class.getName());

  /** A controller that is behind keeps at least so many machines. */
  private static final int KEEP = 5;

  /** How often a machine is looked at on which nothing is known to wait. */
  private static final double IDLE_LOOK_S = 1;

  /** Steady clocks differ by this part at most. */
  private static final double DRIFT = 0.001;

  /** A machine that has been lost for so many leases is no longer held. */
  private static final double FORGET_LEASES = 10;

  private final Settings settings;
  private final Membership membership;
  private final Holds holds;
  private final JobTable jobs;
  private final Peers peers;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Map<String, Machine> held = new HashMap<>();

  /** What was called gone on machines let go of since without a new token; see {@link #hold}. */
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
   * Takes a worker's report. After a standstill the worker waits a moment: it may have another
   * holder by now, from which an answer under the old token would keep it.
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

  /** A controller tells how many machines it holds, and how late its timers are. */
  public void load(String node, int machines, double lateS) {
    neighbours.tells(node, machines, lateS);
  }

  /** Whether this controller is far behind with its work while another is not. */
  public boolean overloaded() {
    return neighbours.idler() != null;
  }

  /** The machine, if this controller holds it, or null. */
  Machine held(String host) {
    return held.get(host);
  }

  /**
   * From now on this controller holds the machine. Under the token under which it has held it
   * before, what it has called gone stays refused: the start may still be on its way here.
   */
  void hold(Machine m) {
    held.put(m.host, m);
    Map<TaskId, Long> fence = fences.remove(m.host);
    if (fence != null && m.resumed) {
      m.fence.putAll(fence);
    }
    LOG.log(
        Level.INFO,
        "holding {0}, a {1}, under token {2}, hold stamp {3}, session {4}",
        m.host,
        m.typeName,
        m.token,
        m.holdStamp,
        m.session);
  }

  void reportOfHeld(Machine m, Report r, Answer answer) {
    if (r.token() > m.token) {
      // Somebody with a higher token commands this machine.
      dropHold(m, "a higher token is out");
      answer.send(421, null);
      return;
    }
    Freshness.Worth worth = m.fresh.of(r);
    if (worth == Freshness.Worth.COPY) {
      // Nobody waits for the answer, unless the worker has begun anew.
      answer.send(503, null, 1);
      listening.copied(m);
      return;
    }
    if (m.lost && r.session() <= m.session) {
      // Its tasks have been given up for gone; nothing may renew this lease any more.
      answer.send(503, null, 1);
      return;
    }
    m.heard = timers.now();
    if (worth == Freshness.Worth.NEW) {
      listening.reported(m, r);
    }
    reports.reported(m, r);
    String away = leaving.whereTo(m, held.values());
    if (away != null) {
      dropHold(m, "alone here, it goes to " + away);
      reception.send(m.host, away, answer);
      return;
    }
    if (m.sendTo == null && held.size() > KEEP) {
      m.sendTo = neighbours.idler();
    }
    if (m.sendTo != null) {
      String to = m.sendTo;
      m.sendTo = null;
      if (neighbours.reachable(to)
          && !m.busy()
          // Sent on, a machine that does not hear it would go round instead.
          && m.responsiveness.trusted()
          && !m.doubt
          && !m.raising
          && !m.retiring(timers.now())) {
        dropHold(m, "it is better held by " + to);
        reception.send(m.host, to, answer);
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

  void dropHold(Machine m, String why) {
    if (held.remove(m.host, m)) {
      if (!m.fence.isEmpty()) {
        fences.put(m.host, m.fence);
      }
      LOG.log(
          Level.INFO,
          "no longer holding {0}: {1}; it was token {2}, hold stamp {3}, session {4}",
          m.host,
          why,
          m.token,
          m.holdStamp,
          m.session);
      peers.broadcast(new Message.Unheld(m.host));
    }
  }

  /** This controller has become another incarnation. */
  public void reborn() {
    holdChanges.reborn();
    reception.reborn();
  }

  /** The replica shows a changed hold record. */
  public void holdChanged(String host) {
    holdChanges.changed(host);
    if (!held.containsKey(host)) {
      // Held under another token from now on, if ever again.
      fences.remove(host);
    }
  }

  /** A live record has changed; a job that must no longer run is stopped without being asked. */
  public void jobChanged(String id, JobTable.Entry before, JobTable.Entry entry) {
    boolean over = over(entry);
    if (!over && !over(before) && Objects.equals(before.record().claim(), entry.record().claim())) {
      // Most changes grant tasks; who is told of the job's tasks, and what they take, stays.
      return;
    }
    for (Machine m : held.values()) {
      if (over) {
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

  /** A job is to end: what of it runs here is stopped, what is about to start is refused. */
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

  /** A controller's link is gone, and with it all that it wanted. */
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

  /** A controller can be reached again: it hears of every held machine. */
  public void reached(String node) {
    views.reached(node);
  }

  // ---- dealing ----

  /** Deals what room there is, sends what orders there are, tells what has changed. */
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

  // ---- time ----

  public int heldMachines() {
    return held.size();
  }

  /** Copies of old reports that have come so far. */
  public int copies() {
    return listening.copies();
  }

  /** How often a machine has turned out to be heard and not to hear so far. */
  public int deafened() {
    return listening.deafened();
  }

  /** Machines that this controller has sent away because it was alone with them so far. */
  public int sentAway() {
    return leaving.sent();
  }

  /** Whether neither the state service nor any other controller answers. */
  public boolean alone() {
    return leaving.alone();
  }

  /** Called several times a second. */
  public void tick(double lateS) {
    neighbours.late(lateS);
    listening.late(lateS);
    double now = timers.now();
    double lease = settings.workers().leaseS();
    if (!standstill.current()) {
      return;
    }
    holdChanges.tick();
    leaving.tick(now);
    for (Machine m : List.copyOf(held.values())) {
      // What cannot be done for one machine is no reason to leave the others alone.
      decisionLock.run(() -> tick(m, now, lease));
    }
    if (now - strangersAt > IDLE_LOOK_S) {
      strangersAt = now;
      upkeep.stopWhatIsOver(held.values(), now);
      reception.forget(now);
    }
    dealing.spread(held.values(), now);
  }

  private void tick(Machine m, double now, double lease) {
    boolean expired = false;
    for (Iterator<Machine.Offered> i = m.offers.values().iterator(); i.hasNext(); ) {
      if (i.next().until() < now) {
        i.remove();
        expired = true;
      }
    }
    m.dirty |= expired;
    if (m.retiringUntil > 0 && !m.retiring(now)) {
      m.retiringUntil = 0;
      m.dirty = true;
    }
    listening.tick(m, now);
    double surelyOver = lease * (1 + DRIFT) + 0.3;
    if (!m.lost && m.ours && now - m.renewed() > surelyOver) {
      // No report of this session has been answered for longer than its lease lasts. A token
      // raised since, which the worker may never see, changes nothing in that: a machine that
      // ended just after would otherwise never be called lost, and its jobs never end.
      m.lost = true;
      m.pending.clear();
      m.offers.clear();
      m.dirty = true;
      LOG.log(Level.INFO, "{0} is silent; the lease of its session {1} is over", m.host, m.session);
    }
    if (!m.ours && now - m.heard > surelyOver) {
      // It never showed a token of this hold, so its lease proves nothing here; a late copy of a
      // report may have come of a machine that is gone. Held on to it would be told of for ever as
      // one that is neither well nor lost, and nobody would have its end proven.
      dropHold(m, "it fell silent before it had shown its token");
      return;
    }
    if (m.lost && now - m.renewed() > lease * FORGET_LEASES) {
      // All that ran there has been given up for gone. Should its worker come back after all it is
      // in another session, for which no start is on its way that was meant for this one.
      m.fence.clear();
      dropHold(m, "it has been silent for long");
      return;
    }
    if (m.noticeS != null) {
      upkeep.clearOut(m, m.noticeS - (now - m.noticeAt), now);
    }
    boolean waits = m.dirty || !m.pending.isEmpty() || !m.stops.isEmpty() || !m.clears.isEmpty();
    if (waits || now - m.looked > IDLE_LOOK_S) {
      m.looked = now;
      act(m);
    }
  }
}
