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
 * Processes reports of machines that this controller does not hold yet: it resumes an earlier hold,
 * acquires the machine, or redirects the worker to the current holder. No two controllers ever send
 * orders to one machine under the same token.
 */
final class Reception {
  /** The fraction of a lease duration for which an unreachable holder is waited for. */
  private static final double PATIENCE = 0.25;

  /**
   * A machine that comes back within this time after a redirect is acquired instead of redirected
   * again, in seconds.
   */
  private static final double SENT_S = 20;

  /**
   * A machine that its holder has released is acquired without a query if it reports within this
   * time, in seconds.
   */
  private static final double RELEASED_S = 60;

  /** Timeout of a query to the holder of a machine, in seconds. */
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

  /** Reports that wait for the write of a hold record, by host. */
  private final Map<String, List<Waiter>> taking = new HashMap<>();

  /**
   * Reports that wait for the holder to state whether it receives the machine's reports, or for the
   * status of the worker, by host.
   */
  private final Map<String, List<Waiter>> asking = new HashMap<>();

  /** Machines whose status is requested before they are taken over from their holder. */
  private final Set<String> verifying = new HashSet<>();

  /** Holders that have not replied to queries, by node. */
  private final Map<String, Silence> unanswered = new HashMap<>();

  /** An incarnation that does not reply, null if it has no lease, and since when. */
  private record Silence(String incarnation, double since) {}

  /** Since when other controllers have had no membership lease, by node. */
  private final Map<String, Double> deadSince = new HashMap<>();

  /** When a machine was last redirected to another controller, by host. */
  private final Map<String, Double> sentOn = new HashMap<>();

  /** Machines that other controllers have released, by host. */
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

  /** This controller continues under a new incarnation. */
  void reborn() {
    begun = timers.now();
    taking
        .values()
        .forEach(
            pendingReports -> pendingReports.forEach(pending -> pending.answer.send(503, null, 1)));
    taking.clear();
  }

  /**
   * This process was suspended. The time without a reply that its clock shows says nothing about
   * the other controllers.
   */
  void woken() {
    unanswered.clear();
  }

  /** Another controller has released a machine. */
  void released(String host, String from) {
    released.put(host, new Release(from, timers.now()));
  }

  /** Removes expired entries, so that memory stays bounded while machines come and go. */
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

  /** A controller has stated whether it receives the reports of a machine. */
  void answered(String from, Message.HoldSay reply) {
    unanswered.remove(from);
    settleAsk(reply.host(), reply);
  }

  /** Redirects a machine to another controller. */
  void send(String host, String node, Answer answer) {
    sentOn.put(host, timers.now());
    redirect(answer, node);
  }

  /** Processes a report of a machine that is not held here. */
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

  /** Another controller holds the machine, but the worker reports here. */
  private void reportOfOthers(Holds.Hold hold, Report r, Answer answer) {
    String holder = Membership.nodeOf(hold.holder());
    boolean live = membership.liveNodes().contains(holder);
    Release release = released.get(r.host());
    if (release != null && holder.equals(release.node)) {
      take(r, answer);
    } else if (live && hold.natural() && !sentLately(r.host())) {
      // The worker does not know its default holder yet.
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
    Double redirectTime = sentOn.get(host);
    return redirectTime != null && timers.now() - redirectTime < SENT_S;
  }

  /**
   * Acquires a machine, or redirects it to a controller of its own zone, which still reaches it
   * when the zone is partitioned. A redirected machine that comes back is acquired, since it cannot
   * reach the other controller.
   */
  private void takeNear(Report r, Answer answer) {
    if (!r.zone().equals(settings.zone())) {
      String target = neighbours.of(r.zone());
      if (target != null && !sentLately(r.host())) {
        send(r.host(), target, answer);
        return;
      }
    }
    await(r, answer);
    verify(r.host(), r.endpoint());
  }

  /**
   * Holds a machine without a write, because this controller is its default holder, or because an
   * earlier incarnation held it and no other controller has acquired it since. The arrival of many
   * machines or the restart of many controllers therefore costs no write for each machine, and no
   * worker lease expires while writes wait for the rate budget. Orders that the earlier incarnation
   * may have sent are in doubt only for tasks that the worker does not report.
   */
  private void resume(Holds.Hold hold, Report r, Answer answer) {
    Machine m = new Machine(r, hold.token(), hold.stamp(), timers.now());
    m.resumed = true;
    books.hold(m);
    if (timers.now() - begun > settings.workers().leaseS()) {
      // During the first lease duration of an incarnation all machines report here. An unknown
      // machine that reports later is new, or the report is a late duplicate from a machine that
      // no longer exists, so it gets no work until it has responded to a status request.
      listening.suspect(m, "it was unknown to this controller");
    }
    books.reportOfHeld(m, r, answer);
  }

  /**
   * Whether an unreachable holder is still waited for. A controller that crashes is usually back
   * within seconds and keeps its machines. If they were taken over at once, a few remaining
   * controllers would have to write a hold record for each and would end up with all of them.
   */
  private boolean patient(String holder) {
    String incarnation = membership.incarnation(holder);
    Silence silence = unanswered.get(holder);
    if (silence == null || incarnation != null && !incarnation.equals(silence.incarnation)) {
      // A holder whose membership lease expired a while ago is not expected back soon.
      double since =
          incarnation == null ? deadSince.getOrDefault(holder, timers.now()) : timers.now();
      silence = new Silence(incarnation, since);
      unanswered.put(holder, silence);
    }
    return timers.now() - silence.since < settings.workers().leaseS() * PATIENCE;
  }

  private void await(Report r, Answer answer) {
    asking.put(r.host(), new ArrayList<>(List.of(new Waiter(r, answer))));
  }

  /**
   * Asks a live holder whether it still receives the machine's reports. The worker may have come
   * here because it got no answer there.
   */
  private void ask(String holder, Report r, Answer answer) {
    await(r, answer);
    peers.send(holder, new Message.HoldAsk(r.host(), r.session(), r.serial(), r.token()));
    timers.after(ASK_S, () -> decisionLock.run(() -> settleAsk(r.host(), null)));
  }

  /** Another controller asks whether this one receives the reports of a machine. */
  void asked(String from, Message.HoldAsk query) {
    String host = query.host();
    Machine m = books.held(host);
    if (m != null) {
      listening.elsewhere(m, query);
      m = books.held(host);
    }
    // For a machine that this controller held before it crashed, the time without a report counts
    // from the start of this incarnation.
    Holds.Hold record = holds.get(host);
    boolean ours = m != null || record == null || holds.heldBy(settings.node(), record);
    double heard = m != null ? m.heard : begun;
    peers.send(from, new Message.HoldSay(host, ours, timers.now() - heard));
  }

  private void settleAsk(String host, Message.HoldSay reply) {
    if (verifying.contains(host)) {
      return;
    }
    List<Waiter> waiting = asking.get(host);
    if (waiting == null) {
      return;
    }
    Holds.Hold hold = holds.of(host, waiting.get(0).report.zone());
    boolean heard =
        reply != null && reply.held() && reply.heardAgoS() < settings.workers().reportS() * 1.5;
    if (reply == null && hold != null && !hold.dead() && books.held(host) == null) {
      if (patient(Membership.nodeOf(hold.holder()))) {
        asking.remove(host);
        waiting.forEach(pending -> pending.answer.send(503, null, 1));
        return;
      }
    }
    if (heard && hold != null && !hold.holder().isEmpty()) {
      asking.remove(host);
      waiting.forEach(pending -> redirect(pending.answer, Membership.nodeOf(hold.holder())));
    } else if (books.held(host) != null || taking.containsKey(host)) {
      asking.remove(host);
      waiting.forEach(pending -> books.report(pending.report, pending.answer));
    } else {
      verify(host, waiting.get(waiting.size() - 1).report.endpoint());
    }
  }

  /**
   * Requests the worker's status before the machine is taken over from its holder. The report may
   * be a late duplicate; or the machine may receive no answers and try all controllers in turn,
   * each of which would write its hold record anew. This applies even if the holder's membership
   * lease has expired: behind a partition, or if only its requests to the state service fail, it
   * may still receive the machine's reports.
   */
  private void verify(String host, String endpoint) {
    verifying.add(host);
    listening.ask(
        endpoint,
        status -> {
          verifying.remove(host);
          List<Waiter> waiting = asking.remove(host);
          if (waiting == null) {
            return;
          }
          for (Waiter pending : waiting) {
            if (books.held(host) != null || taking.containsKey(host)) {
              books.report(pending.report, pending.answer);
            } else if (status == null || !status.host().equals(host)) {
              pending.answer.send(503, null, 1);
            } else {
              take(status, pending.answer);
            }
          }
        });
  }

  private static void redirect(Answer answer, String node) {
    answer.send(421, Doc.of().put("overseer", node).encode());
  }

  /**
   * Acquires a machine with a hold record whose token is higher than any that its worker has seen.
   */
  private void take(Report r, Answer answer) {
    Holds.Hold hold = holds.of(r.host(), r.zone());
    String self = membership.self();
    if (store.down() || hold == null || self == null) {
      // The incarnation may have ended while a response was awaited.
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
        result -> {
          List<Waiter> waiting = taking.remove(r.host());
          if (waiting == null || !self.equals(membership.self())) {
            return;
          }
          if (!result.ok()) {
            // A write of unknown outcome may have succeeded; then the replica shows it by the
            // worker's next report.
            waiting.forEach(pending -> pending.answer.send(503, null, 1));
            return;
          }
          holds.wrote(r.host(), value, result.revision());
          released.remove(r.host());
          Machine m = new Machine(r, token, result.revision(), timers.now());
          books.hold(m);
          // Another controller may have acquired the machine since, as the replica may have shown
          // before this response arrived.
          books.holdChanged(r.host());
          waiting.forEach(pending -> books.report(pending.report, pending.answer));
        });
  }
}
