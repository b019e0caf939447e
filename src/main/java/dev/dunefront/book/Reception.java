package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
import dev.dunefront.fleet.Catalog;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.HttpServer.Answer;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.Store;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.Doc;
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
final class Reception {
  /** The part of a lease for which a silent holder is waited for. */
  private static final double PATIENCE = 0.25;

  /** A machine that was sent to another controller and comes back this soon is taken. */
  private static final double SENT_S = 20;

  /** A machine that was let go of comes within this time, or is asked after like any other. */
  private static final double RELEASED_S = 60;

  private static final double ASK_S = 0.5;

  private final Settings settings;
  private final Membership membership;
  private final Holds holds;
  private final Catalog catalog;
  private final Store store;
  private final Peers peers;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Neighbours neighbours;
  private final Listening listening;
  private final Books books;

  private record Waiter(Report report, Answer answer) {}

  /** Reports that wait for a hold to be taken. */
  private final Map<String, List<Waiter>> taking = new HashMap<>();

  /** Reports that wait for another controller, or the machine itself, to say who hears it. */
  private final Map<String, List<Waiter>> asking = new HashMap<>();

  /** Machines that are asked what they are at, before they are taken from their holder. */
  private final Set<String> verifying = new HashSet<>();

  /** Since when a holder has left questions unanswered. */
  private final Map<String, Silence> unanswered = new HashMap<>();

  private record Silence(String incarnation, double since) {}

  /** Since when other controllers have had no lease. */
  private final Map<String, Double> deadSince = new HashMap<>();

  /** When a machine was last sent to another controller. */
  private final Map<String, Double> sentOn = new HashMap<>();

  /** Machines that were let go of, by whom and when. */
  private final Map<String, Release> released = new HashMap<>();

  private record Release(String node, double at) {}

  private double begun;

  Reception(ControllerContext context, Neighbours neighbours, Listening listening, Books books) {
    this.settings = context.settings();
    this.membership = context.membership();
    this.holds = context.holds();
    this.catalog = context.catalog();
    this.store = context.store();
    this.peers = context.peers();
    this.timers = context.timers();
    this.decisionLock = context.decisionLock();
    this.neighbours = neighbours;
    this.listening = listening;
    this.books = books;
    this.begun = timers.now();
  }

  /** This controller has become another incarnation. */
  void reborn() {
    begun = timers.now();
    taking.values().forEach(ws -> ws.forEach(w -> w.answer.send(503, null, 1)));
    taking.clear();
  }

  /** This controller has stood still: nobody else has been silent for as long as its clock says. */
  void woken() {
    unanswered.clear();
  }

  /** Another controller has let go of a machine. */
  void released(String host, String from) {
    released.put(host, new Release(from, timers.now()));
  }

  /** Forgets what is over: of machines that come and go only what still matters is kept. */
  void forget(double now) {
    for (Settings.Peer p : settings.peers()) {
      if (membership.liveNodes().contains(p.node())) {
        deadSince.remove(p.node());
      } else {
        deadSince.putIfAbsent(p.node(), now);
      }
    }
    sentOn.values().removeIf(at -> now - at > SENT_S);
    released.values().removeIf(r -> now - r.at > RELEASED_S);
  }

  /** A controller has said whether it hears a machine. */
  void answered(String from, Message.HoldSay say) {
    unanswered.remove(from);
    settleAsk(say.host(), say);
  }

  /** Sends a machine to another controller. */
  void send(String host, String node, Answer answer) {
    sentOn.put(host, timers.now());
    redirect(answer, node);
  }

  void report(Report r, Answer answer) {
    if (taking.containsKey(r.host())) {
      taking.get(r.host()).add(new Waiter(r, answer));
      return;
    }
    if (asking.containsKey(r.host())) {
      asking.get(r.host()).add(new Waiter(r, answer));
      return;
    }
    Holds.Hold hold = holds.of(r.host(), r.zone());
    boolean ours = holds.heldBy(settings.node(), hold);
    if (ours && r.token() <= hold.token()) {
      resume(hold, r, answer);
    } else if (membership.self() == null || !catalog.known() || hold == null) {
      answer.send(503, null, 1);
    } else if (hold.dead()) {
      answer.send(503, null, 5);
    } else if (ours) {
      take(r, answer);
    } else {
      reportOfOthers(hold, r, answer);
    }
  }

  /** The machine has another holder; yet its worker has come here. */
  private void reportOfOthers(Holds.Hold hold, Report r, Answer answer) {
    String holder = Membership.nodeOf(hold.holder());
    boolean live = membership.liveNodes().contains(holder);
    Release release = released.get(r.host());
    if (release != null && holder.equals(release.node)) {
      take(r, answer);
    } else if (live && hold.natural() && !sentLately(r.host())) {
      // It has yet to learn who its natural holder is.
      send(r.host(), holder, answer);
    } else if (live) {
      ask(holder, r, answer);
    } else if (patient(holder)) {
      answer.send(503, null, 1);
    } else {
      takeNear(r, answer);
    }
  }

  private boolean sentLately(String host) {
    Double sent = sentOn.get(host);
    return sent != null && timers.now() - sent < SENT_S;
  }

  /**
   * Takes a machine, or sends it to a controller of its own zone, which goes on hearing it when the
   * zone is cut off. Once sent, a machine that comes back is taken: it cannot get there.
   */
  private void takeNear(Report r, Answer answer) {
    if (!r.zone().equals(settings.zone())) {
      String near = neighbours.of(r.zone());
      if (near != null && !sentLately(r.host())) {
        send(r.host(), near, answer);
        return;
      }
    }
    await(r, answer);
    verify(r.host(), r.endpoint());
  }

  /**
   * A machine that is this controller's by nature, or that an earlier incarnation held and nobody
   * has taken since: it is held without a write. So the arrival of many machines, and a return of
   * many controllers at once costs no write for each machine, and no lease runs out behind the
   * budget. What the earlier incarnation may have sent is in doubt only for tasks that the worker
   * does not show.
   */
  private void resume(Holds.Hold hold, Report r, Answer answer) {
    Machine m = new Machine(r, hold.token(), hold.stamp(), timers.now());
    m.resumed = true;
    books.hold(m);
    if (timers.now() - begun > settings.workers().leaseS()) {
      // In the first moments of a life all machines report here. Later an unknown one is new, or
      // this is a copy of a report of one that is gone: it is given no work before it has answered.
      listening.suspect(m, "it is not known here");
    }
    books.reportOfHeld(m, r, answer);
  }

  /**
   * Whether a holder that does not answer is still waited for. A controller that crashes is back
   * within seconds and holds on to its machines; were they taken at once, a few survivors would
   * write a hold for each and sit on them all.
   */
  private boolean patient(String holder) {
    String incarnation = membership.incarnation(holder);
    Silence s = unanswered.get(holder);
    if (s == null || incarnation != null && !incarnation.equals(s.incarnation)) {
      // One whose lease has been over for a while is not about to be back.
      double dead =
          incarnation == null ? deadSince.getOrDefault(holder, timers.now()) : timers.now();
      s = new Silence(incarnation, dead);
      unanswered.put(holder, s);
    }
    return timers.now() - s.since < settings.workers().leaseS() * PATIENCE;
  }

  private void await(Report r, Answer answer) {
    asking.put(r.host(), new ArrayList<>(List.of(new Waiter(r, answer))));
  }

  /** Asks a live holder whether it hears the machine: its worker may have come for lack of that. */
  private void ask(String holder, Report r, Answer answer) {
    await(r, answer);
    peers.send(holder, new Message.HoldAsk(r.host(), r.session(), r.serial(), r.token()));
    timers.after(ASK_S, () -> decisionLock.run(() -> settleAsk(r.host(), null)));
  }

  /** Another controller asks whether this one hears a machine. */
  void asked(String from, Message.HoldAsk ask) {
    String host = ask.host();
    Machine m = books.held(host);
    if (m != null) {
      listening.elsewhere(m, ask);
      m = books.held(host);
    }
    // A machine that this controller held before it crashed is waited for from its start on.
    Holds.Hold record = holds.get(host);
    boolean ours = m != null || record == null || holds.heldBy(settings.node(), record);
    double heard = m != null ? m.heard : begun;
    peers.send(from, new Message.HoldSay(host, ours, timers.now() - heard));
  }

  private void settleAsk(String host, Message.HoldSay say) {
    if (verifying.contains(host)) {
      return;
    }
    List<Waiter> waiting = asking.get(host);
    if (waiting == null) {
      return;
    }
    Holds.Hold hold = holds.of(host, waiting.get(0).report.zone());
    boolean heard =
        say != null && say.held() && say.heardAgoS() < settings.workers().reportS() * 1.5;
    if (say == null && hold != null && !hold.dead() && books.held(host) == null) {
      if (patient(Membership.nodeOf(hold.holder()))) {
        asking.remove(host);
        waiting.forEach(w -> w.answer.send(503, null, 1));
        return;
      }
    }
    if (heard && hold != null && !hold.holder().isEmpty()) {
      asking.remove(host);
      waiting.forEach(w -> redirect(w.answer, Membership.nodeOf(hold.holder())));
    } else if (books.held(host) != null || taking.containsKey(host)) {
      asking.remove(host);
      waiting.forEach(w -> books.report(w.report, w.answer));
    } else {
      verify(host, waiting.get(waiting.size() - 1).report.endpoint());
    }
  }

  /**
   * Asks a machine itself before it is taken from its holder: what came may be a late copy of a
   * report, or the machine may hear nobody and go round the controllers, and each would write its
   * hold anew. Nor does it help that the holder's lease is over: behind a cut, or refused by the
   * state service alone, it may go on hearing the machine.
   */
  private void verify(String host, String endpoint) {
    verifying.add(host);
    listening.ask(
        endpoint,
        now -> {
          verifying.remove(host);
          List<Waiter> waiting = asking.remove(host);
          if (waiting == null) {
            return;
          }
          for (Waiter w : waiting) {
            if (books.held(host) != null || taking.containsKey(host)) {
              books.report(w.report, w.answer);
            } else if (now == null || !now.host().equals(host)) {
              w.answer.send(503, null, 1);
            } else {
              take(now, w.answer);
            }
          }
        });
  }

  private static void redirect(Answer answer, String node) {
    answer.send(421, Doc.of().put("overseer", node).encode());
  }

  /** Takes the hold of a machine, raising its token above all that its worker has seen. */
  private void take(Report r, Answer answer) {
    Holds.Hold hold = holds.of(r.host(), r.zone());
    String self = membership.self();
    if (store.down() || hold == null || self == null) {
      // An answer or a wait may have come between, and with it the end of this incarnation.
      answer.send(503, null, 1);
      return;
    }
    long token = Math.max(r.token(), hold.token()) + 1;
    String mark = store.newMark();
    Doc value = Holds.write(self, token, mark);
    taking.put(r.host(), new ArrayList<>(List.of(new Waiter(r, answer))));
    store.tryTxn(
        Holds.condition(new Txn(), r.host(), hold.stamp()).put(Holds.key(r.host()), value),
        Store.Urgency.LEASE,
        done -> {
          List<Waiter> waiting = taking.remove(r.host());
          if (waiting == null || !self.equals(membership.self())) {
            return;
          }
          if (!done.ok()) {
            // An unclear write may show later; the worker's next report finds it in the replica.
            waiting.forEach(w -> w.answer.send(503, null, 1));
            return;
          }
          holds.wrote(r.host(), value, done.revision());
          released.remove(r.host());
          Machine m = new Machine(r, token, done.revision(), timers.now());
          books.hold(m);
          // Taken by yet another since, as the replica may have shown before this answer came?
          books.holdChanged(r.host());
          waiting.forEach(w -> books.report(w.report, w.answer));
        });
  }
}
