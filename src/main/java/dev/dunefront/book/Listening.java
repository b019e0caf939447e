package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
import dev.dunefront.evidence.Freshness;
import dev.dunefront.net.Caller;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import dev.dunefront.wire.Report;
import java.lang.System.Logger.Level;
import java.util.function.Consumer;

/**
 * Requests the status of workers where reports alone are not conclusive: stale reports may arrive
 * late, a machine may send reports but receive nothing, and a worker may restart. A response to a
 * status request shows the current state of the worker.
 */
final class Listening {
  private static final System.Logger LOG = System.getLogger(Listening.class.getName());

  /** Timeout of a status request, in seconds. */
  private static final double QUESTION_S = 1;

  /**
   * If this controller's timers run later than this, in seconds, it may itself have been too slow
   * to receive a response in time, so a timeout does not count against the machine.
   */
  private static final double SLOW_S = 0.4;

  /**
   * Time after which a worker whose report got no answer tries another controller, in seconds, with
   * some margin for network delay.
   */
  private static final double ELSEWHERE_S = 6;

  private final Settings settings;
  private final Caller caller;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Books books;
  private final Reports reports;
  private double lateS;
  private int copies;
  private int deafened;

  Listening(ControllerContext context, Caller caller, Books books, Reports reports) {
    this.settings = context.settings();
    this.caller = caller;
    this.timers = context.timers();
    this.decisionLock = context.decisionLock();
    this.books = books;
    this.reports = reports;
  }

  /** Records by how much this controller's timers run late, in seconds. */
  void late(double seconds) {
    lateS = seconds;
  }

  /** Number of stale reports received so far. */
  int copies() {
    return copies;
  }

  /** Number of times that a machine has been found unresponsive. */
  int deafened() {
    return deafened;
  }

  /**
   * Requests the status of a worker. The callback receives null if no valid response arrives in
   * time, or if the endpoint is empty.
   */
  void ask(String endpoint, Consumer<Report> callback) {
    if (endpoint.isEmpty()) {
      callback.accept(null);
      return;
    }
    decisionLock.then(
        () ->
            caller.call(
                endpoint,
                "GET",
                "/status",
                null,
                QUESTION_S,
                reply -> decisionLock.run(() -> callback.accept(read(reply)))));
  }

  private static Report read(Caller.Reply reply) {
    if (!reply.ok()) {
      return null;
    }
    try {
      return Report.read(Doc.decode(reply.body()));
    } catch (BadMessage e) {
      LOG.log(Level.INFO, "cannot read the status response of a worker: {0}", e.getMessage());
      return null;
    }
  }

  /**
   * A stale report has arrived, which carries no information. If no newer one arrives for longer
   * than the report interval, the worker may have restarted in a session lower than the known one,
   * so its status is requested.
   */
  void copied(Machine m) {
    copies++;
    if (timers.now() - m.heard > settings.workers().reportS()) {
      question(m);
    }
  }

  /** There is evidence that messages to the machine do not arrive. */
  void suspect(Machine m, String why) {
    if (m.responsiveness.trusted()) {
      LOG.log(Level.DEBUG, "{0} may be unresponsive: {1}", m.host, why);
    }
    m.responsiveness = m.responsiveness.suspected(timers.now());
    if (m.responsiveness.asks(timers.now())) {
      question(m);
    }
  }

  /**
   * The worker of a held machine has reported to another controller, which asks whether this one
   * still receives its reports.
   */
  void elsewhere(Machine m, Message.HoldAsk query) {
    if (m.fresh.of(query.session(), query.serial(), query.token()) != Freshness.Worth.NEW) {
      return;
    }
    boolean later = query.session() > m.session && m.session > 0;
    if (later) {
      reports.laterSession(m, query.session());
    }
    if (timers.now() - m.answered < ELSEWHERE_S + settings.workers().reportS()) {
      suspect(m, "it reports to another controller although its reports were answered here");
    }
    if (later) {
      // This comes last, so that a machine just suspected to be unresponsive gets no work.
      books.act(m);
    }
  }

  /** A report with new information has arrived. Requests the status if that is due. */
  void reported(Machine m, Report r) {
    double now = timers.now();
    boolean laterSession = m.fresh.session() > 0 && r.session() > m.fresh.session();
    if (laterSession && now - m.answered < settings.workers().leaseS() * 0.9) {
      suspect(m, "its session ended although its reports were answered within the lease");
    } else if (m.responsiveness.asks(now)) {
      question(m);
    }
  }

  /** Advances the responsiveness state; called several times a second. */
  void tick(Machine m, double now) {
    if (!m.responsiveness.trusted()) {
      m.responsiveness =
          m.responsiveness.passed(now, settings.workers().reportS(), settings.workers().leaseS());
      m.dirty |= m.responsiveness.trusted();
    }
  }

  private void question(Machine m) {
    if (m.questioned) {
      return;
    }
    m.questioned = true;
    Freshness known = m.fresh;
    m.responsiveness = m.responsiveness.asked(timers.now(), QUESTION_S);
    ask(
        m.endpoint,
        r -> {
          m.questioned = false;
          if (books.held(m.host) != m) {
            return;
          }
          if (r != null) {
            answered(m, known, r);
          } else {
            unanswered(m);
          }
        });
  }

  private void unanswered(Machine m) {
    if (m.responsiveness.trusted() || lateS > SLOW_S) {
      return;
    }
    if (!m.responsiveness.deaf()) {
      deafened++;
      m.dirty = true;
      LOG.log(
          Level.INFO,
          "{0} is unresponsive: its reports arrive, but it does not answer requests",
          m.host);
    }
    m.responsiveness = m.responsiveness.unanswered(timers.now());
    books.act(m);
  }

  /**
   * The worker has responded to a request sent when {@code known} was the known report sequence.
   * Returns whether the machine is still held here.
   */
  boolean answered(Machine m, Freshness known, Report r) {
    if (m.responsiveness.deaf()) {
      LOG.log(Level.INFO, "{0} responds again", m.host);
    }
    m.dirty |= !m.responsiveness.trusted();
    m.responsiveness = m.responsiveness.answered(timers.now());
    if (r.token() > m.token) {
      books.dropHold(m, "its worker has reported a higher token");
      return false;
    }
    if (known.begunAnew(r)) {
      m.heard = timers.now();
      reports.begunAnew(m, r);
    } else {
      reports.answered(m, r);
    }
    books.act(m);
    return true;
  }
}
