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
 * Sends orders to workers. If it is unknown whether a start was carried out, the machine's fencing
 * token is raised, so that the worker refuses whatever is still in transit.
 */
final class Orders {
  private static final System.Logger LOG = System.getLogger(Orders.class.getName());

  /** Timeout of a request with orders, in seconds. */
  private static final double ORDER_S = 3.0;

  /** Interval after which a stop or clear without effect is sent again, in seconds. */
  private static final double REPEAT_S = 2.0;

  private static final int MAX_ORDERS = 200;

  /** A worker reports within this many report intervals at the latest. */
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

  /** Time after which a clear is sent in a request of its own, in seconds. */
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

  /** Raises the token, so that the worker refuses earlier orders of unknown outcome from now on. */
  void raise(Machine m) {
    // A controller without an incarnation writes nothing: a hold record that names no incarnation
    // has no holder.
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
        result -> {
          m.raising = false;
          if (books.held(m.host) != m) {
            return;
          }
          if (!result.ok()) {
            books.dropHold(m, "another controller has acquired it");
            return;
          }
          m.token = token;
          m.holdStamp = result.revision();
          m.settled = false;
          m.doubt = false;
          m.resumed = false;
          m.fence.clear();
          m.dirty = true;
          holds.wrote(m.host, value, result.revision());
          // Another controller may have acquired the machine since, and the replica may have
          // shown that before this response arrived. Without this check of the record the machine
          // would stay held here forever.
          books.holdChanged(m.host);
          if (books.held(m.host) != m) {
            return;
          }
          LOG.log(Level.DEBUG, "raised the token of {0} to {1}", m.host, token);
          show(m);
        });
  }

  /** Sends the new token to the worker at once, in a request without orders. */
  private void show(Machine m) {
    send(m, List.of());
  }

  /**
   * Sends the pending orders. While the outcome of a start is unknown or the token is being raised,
   * starts and clears are held back. Stops are still sent: a stop names an attempt and has no
   * effect if the worker does not have it. If the start in transit arrives after the stop, the next
   * report shows the attempt and the stop is repeated. If stops were held back, too, they would
   * wait for the write that raises the token, and tasks of cancelled jobs would run on for the
   * whole of a state service outage.
   *
   * <p>No stop is sent before the worker has reported a token of this hold. It may still be
   * reporting to its previous holder and would ignore that one's answers after an order under the
   * new token, until its lease expires.
   */
  void give(Machine m) {
    if (m.ordering || m.lost || m.endpoint.isEmpty() || !standstill.current()) {
      return;
    }
    double now = timers.now();
    boolean allowed = sure(m);
    List<Order> orders = new ArrayList<>();
    for (var e : m.pending.entrySet()) {
      if (allowed && e.getValue().sentUnder == 0 && orders.size() < MAX_ORDERS) {
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
    if (allowed && (!orders.isEmpty() || clearsAreLate(m, now))) {
      // The worker executes clears first, since a task may be placed again on the machine on
      // which its previous attempt ended.
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
   * The orders that are sent with the answer to a report. Clears are not urgent and there is one
   * for each task that ends, so they are sent with an answer or with other orders instead of a
   * request of their own.
   */
  List<Order> withAnswer(Machine m) {
    return sure(m) && !m.ordering ? clears(m, timers.now(), MAX_ORDERS) : List.of();
  }

  /** Clears that have not been sent, or not within the resend interval. */
  private static List<Order> clears(Machine m, double now, int limit) {
    List<Order> clears = new ArrayList<>();
    for (var e : m.clears.entrySet()) {
      if (now - e.getValue().sentAt >= REPEAT_S && clears.size() < limit) {
        e.getValue().sentAt = now;
        clears.add(new Order.Clear(e.getKey(), e.getValue().attempt));
      }
    }
    return clears;
  }

  /**
   * Whether a clear has waited for longer than the longest report interval without an answer or
   * order to be sent with, or has been sent without effect, since an answer to a report may have
   * been lost.
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
          // The worker has carried out nothing of this request, so its starts may be sent again
          // if they are still wanted. Starts of earlier requests may yet be carried out and are
          // not sent again.
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
        LOG.log(
            Level.INFO, "cannot read the response of {0} to orders: {1}", m.host, e.getMessage());
        m.doubt |= !runs.isEmpty();
      }
    } else {
      if (!runs.isEmpty()) {
        // The start may be carried out now, minutes later or never.
        m.doubt = true;
        m.dirty = true;
      }
      listening.suspect(m, "a request with orders got no valid response");
    }
    books.act(m);
  }
}
