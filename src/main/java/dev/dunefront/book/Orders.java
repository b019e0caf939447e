package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.evidence.Freshness;
import dev.dunefront.net.Caller;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.Standstill;
import dev.dunefront.store.Store;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import dev.dunefront.wire.Order;
import dev.dunefront.wire.Report;
import dev.dunefront.wire.TaskId;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;

/**
 * Sends orders to workers. When the fate of a start is unknown the machine's token is raised, so
 * that whatever is still on its way is refused there.
 */
final class Orders {
  private static final System.Logger LOG = System.getLogger(Orders.class.getName());
  private static final double ORDER_S = 3.0;
  private static final double REPEAT_S = 2.0;
  private static final int MAX_ORDERS = 200;

  /** A worker reports at least this many times as often as its rhythm says. */
  private static final double LONGEST_REPORT = 1.5;

  private final Membership membership;
  private final Holds holds;
  private final Store store;
  private final Caller caller;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Books books;
  private final Listening listening;
  private final Standstill standstill;

  /** A clear that has waited so long goes out on its own, in seconds. */
  private final double clearAloneS;

  Orders(ControllerContext context, Caller caller, Books books, Listening listening) {
    this.listening = listening;
    this.membership = context.membership();
    this.holds = context.holds();
    this.store = context.store();
    this.caller = caller;
    this.timers = context.timers();
    this.decisionLock = context.decisionLock();
    this.books = books;
    this.standstill = context.standstill();
    this.clearAloneS = context.settings().workers().reportS() * LONGEST_REPORT;
  }

  /** Raises the token, so that orders of unknown fate are refused by the worker from now on. */
  void raise(Machine m) {
    // While this controller is nobody it writes nothing: a hold that names nobody is held by
    // nobody.
    String self = membership.self();
    if (m.raising || store.down() || self == null) {
      return;
    }
    m.raising = true;
    m.offers.clear();
    long token = m.token + 1;
    String mark = store.newMark();
    Doc value = Holds.write(self, token, mark);
    store.commit(
        Holds.condition(new Txn(), m.host, m.holdStamp).put(Holds.key(m.host), value),
        mark,
        done -> {
          m.raising = false;
          if (books.held(m.host) != m) {
            return;
          }
          if (!done.ok()) {
            books.dropHold(m, "another controller has taken it");
            return;
          }
          m.token = token;
          m.holdStamp = done.revision();
          m.settled = false;
          m.doubt = false;
          m.resumed = false;
          m.fence.clear();
          m.dirty = true;
          holds.wrote(m.host, value, done.revision());
          // Somebody may have taken the machine since, and the replica have shown that before this
          // answer came: gone by what was written, it would be held here for ever.
          books.holdChanged(m.host);
          if (books.held(m.host) != m) {
            return;
          }
          LOG.log(Level.DEBUG, "token of {0} raised to {1}", m.host, token);
          show(m);
        });
  }

  /** Lets the worker see the new token at once. */
  private void show(Machine m) {
    send(m, List.of());
  }

  /**
   * Sends what there is to send. While the fate of an order is unknown or the token is being
   * raised, nothing is started or cleared: but a stop names an attempt, and does nothing if that is
   * not there. Should its start still be on the way and come after it, the attempt is shown and the
   * stop repeated. Held back with the others it would wait for the token to be raised, which takes
   * a write; in an outage what was cancelled would run on for as long as that lasts.
   *
   * <p>Not so before the worker has shown a token of this hold: it may still be with its former
   * holder, whose answers it would drop from then on until its lease is over.
   */
  void give(Machine m) {
    if (m.ordering || m.lost || m.endpoint.isEmpty() || !standstill.current()) {
      return;
    }
    double now = timers.now();
    boolean sure = sure(m);
    List<Order> orders = new ArrayList<>();
    for (var e : m.pending.entrySet()) {
      if (sure && e.getValue().sentUnder == 0 && orders.size() < MAX_ORDERS) {
        e.getValue().sentUnder = m.token;
        orders.add(new Order.Run(e.getKey(), e.getValue().attempt));
      }
    }
    for (var e : m.stops.entrySet()) {
      if (m.ours && now - e.getValue().sentAt >= REPEAT_S && orders.size() < MAX_ORDERS) {
        e.getValue().sentAt = now;
        orders.add(new Order.Stop(e.getKey(), e.getValue().attempt, e.getValue().graceS));
      }
    }
    if (sure && (!orders.isEmpty() || clearsAreLate(m, now))) {
      // Executed first: a task may come back to the machine on which its last attempt ended.
      orders.addAll(0, clears(m, now, MAX_ORDERS - orders.size()));
    }
    if (!orders.isEmpty()) {
      send(m, orders);
    }
  }

  private static boolean sure(Machine m) {
    return m.settled && !m.doubt && !m.raising;
  }

  /**
   * What goes out with the answer to a report. Nothing waits for a clear, so it rides along: with
   * an answer, or with another order. On its own it is a call to the worker, and there is one for
   * each task that ends.
   */
  List<Order> withAnswer(Machine m) {
    return sure(m) && !m.ordering ? clears(m, timers.now(), MAX_ORDERS) : List.of();
  }

  /** Clears that have not been sent, or not lately. */
  private static List<Order> clears(Machine m, double now, int most) {
    List<Order> clears = new ArrayList<>();
    for (var e : m.clears.entrySet()) {
      if (now - e.getValue().sentAt >= REPEAT_S && clears.size() < most) {
        e.getValue().sentAt = now;
        clears.add(new Order.Clear(e.getKey(), e.getValue().attempt));
      }
    }
    return clears;
  }

  /**
   * Whether a clear has found nothing to ride along with for longer than a worker is silent, or has
   * been sent and had no effect: an answer to a report may have been lost.
   */
  private boolean clearsAreLate(Machine m, double now) {
    for (Machine.Wish clear : m.clears.values()) {
      if (clear.sent() ? now - clear.sentAt >= REPEAT_S : now - clear.since >= clearAloneS) {
        return true;
      }
    }
    return false;
  }

  private void send(Machine m, List<Order> orders) {
    m.ordering = true;
    byte[] body = Order.direct(m.token, m.session, orders);
    List<TaskId> runs = new ArrayList<>();
    for (Order o : orders) {
      if (o instanceof Order.Run r) {
        runs.add(r.task());
      }
    }
    String endpoint = m.endpoint;
    Freshness known = m.fresh;
    decisionLock.then(
        () ->
            caller.call(
                endpoint,
                "POST",
                "/orders",
                body,
                ORDER_S,
                reply -> decisionLock.run(() -> ordered(m, known, runs, reply))));
  }

  private void ordered(Machine m, Freshness known, List<TaskId> runs, Caller.Reply reply) {
    m.ordering = false;
    if (books.held(m.host) != m) {
      return;
    }
    if (reply.status() == 200 || reply.status() == 409) {
      try {
        Report r = Report.read(Doc.decode(reply.body()));
        if (reply.status() == 409) {
          // Nothing was carried out: what was sent may be sent again, if it still makes sense; but
          // not what went out before and may yet be carried out.
          for (TaskId id : runs) {
            Machine.Pending p = m.pending.get(id);
            if (p != null) {
              p.sentUnder = 0;
            }
          }
        }
        if (!listening.answered(m, known, r)) {
          return;
        }
      } catch (BadMessage e) {
        LOG.log(Level.INFO, "{0} answers orders with nonsense: {1}", m.host, e.getMessage());
        m.doubt |= !runs.isEmpty();
      }
    } else {
      if (!runs.isEmpty()) {
        // The start may be carried out now, minutes later, or never.
        m.doubt = true;
        m.dirty = true;
      }
      listening.suspect(m, "an order had no answer");
    }
    books.act(m);
  }
}
