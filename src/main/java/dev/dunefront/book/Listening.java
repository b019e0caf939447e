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
 * Asks workers what they are at, where reports alone do not tell: copies of old reports come late,
 * machines are heard that do not hear, and workers begin anew. An answer to a question asked now is
 * as good as a look.
 */
final class Listening {
  private static final System.Logger LOG = System.getLogger(Listening.class.getName());

  /** How long a question waits for its answer, in seconds. */
  private static final double QUESTION_S = 1;

  /** A controller whose timers are later than this, in seconds, may have been too slow to hear. */
  private static final double SLOW_S = 0.4;

  /**
   * A worker that had no answer tries elsewhere after so long, in seconds, and a bit for the way.
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

  /** How late this controller's own timers are, in seconds. */
  void late(double seconds) {
    lateS = seconds;
  }

  /** Copies of old reports that have come so far. */
  int copies() {
    return copies;
  }

  /** How often a machine has turned out not to hear so far. */
  int deafened() {
    return deafened;
  }

  /** Asks a worker; what comes is null if no answer came in time. */
  void ask(String endpoint, Consumer<Report> then) {
    if (endpoint.isEmpty()) {
      then.accept(null);
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
                reply -> decisionLock.run(() -> then.accept(read(reply)))));
  }

  private static Report read(Caller.Reply reply) {
    if (!reply.ok()) {
      return null;
    }
    try {
      return Report.read(Doc.decode(reply.body()));
    } catch (BadMessage e) {
      LOG.log(Level.INFO, "a worker answers with nonsense: {0}", e.getMessage());
      return null;
    }
  }

  /**
   * A copy of an old report has come, which says nothing. But if nothing newer comes, its worker
   * may have begun anew, in a session that is lower than what is known.
   */
  void copied(Machine m) {
    copies++;
    if (timers.now() - m.heard > settings.workers().reportS()) {
      question(m);
    }
  }

  /** There is evidence that the machine does not hear. */
  void suspect(Machine m, String why) {
    if (m.responsiveness.trusted()) {
      LOG.log(Level.DEBUG, "{0} may not hear: {1}", m.host, why);
    }
    m.responsiveness = m.responsiveness.suspected(timers.now());
    if (m.responsiveness.asks(timers.now())) {
      question(m);
    }
  }

  /** The machine's worker has reported to another controller, which asks after it. */
  void elsewhere(Machine m, Message.HoldAsk seen) {
    if (m.fresh.of(seen.session(), seen.serial(), seen.token()) != Freshness.Worth.NEW) {
      return;
    }
    boolean later = seen.session() > m.session && m.session > 0;
    if (later) {
      reports.laterSession(m, seen.session());
    }
    if (timers.now() - m.answered < ELSEWHERE_S + settings.workers().reportS()) {
      suspect(m, "it was answered here and reports elsewhere");
    }
    if (later) {
      // Only now: a machine that may not hear is given no work.
      books.act(m);
    }
  }

  /** A report that says something new has come: time for a question, if one is due. */
  void reported(Machine m, Report r) {
    double now = timers.now();
    boolean rose = m.fresh.session() > 0 && r.session() > m.fresh.session();
    if (rose && now - m.answered < settings.workers().leaseS() * 0.9) {
      suspect(m, "its session has ended although it was answered");
    } else if (m.responsiveness.asks(now)) {
      question(m);
    }
  }

  /** Time has passed. */
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
      LOG.log(Level.INFO, "{0} is heard but does not hear", m.host);
    }
    m.responsiveness = m.responsiveness.unanswered(timers.now());
    books.act(m);
  }

  /**
   * The worker has answered what was asked or ordered when {@code known} was what was known. Says
   * whether the machine is still held here.
   */
  boolean answered(Machine m, Freshness known, Report r) {
    if (m.responsiveness.deaf()) {
      LOG.log(Level.INFO, "{0} hears again", m.host);
    }
    m.dirty |= !m.responsiveness.trusted();
    m.responsiveness = m.responsiveness.answered(timers.now());
    if (r.token() > m.token) {
      books.dropHold(m, "a higher token is out");
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
