package dev.dunefront.load;

import dev.dunefront.net.Caller.Reply;
import dev.dunefront.net.Timers;
import dev.dunefront.net.UndertowCaller;
import dev.dunefront.standin.WorkerStandIn;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.xnio.XnioIoThread;

/**
 * A worker without tasks of its own: it reports, obeys and ends tasks after drawn run times, in the
 * rhythm of the protocol. All of it runs on one I/O thread, which it shares with hundreds of
 * others.
 */
final class HollowWorker {
  static final double REPORT_S = 4;
  static final double LEASE_S = 22;
  private static final double LEAST_PAUSE_S = 0.5;
  private static final double NEXT_NODE_S = 1;
  private static final double ANSWER_S = 4;

  /** What all hollow workers have in common. */
  record Common(
      List<String> controllers,
      Map<String, Integer> controllerByName,
      RuleChecker rules,
      StartLog starts,
      double meanRunS,
      Reach reach) {}

  /** Whether a worker in a zone reaches a controller now. */
  interface Reach {
    boolean reaches(String zone, int controller);
  }

  private final WorkerStandIn worker;
  private final Common common;
  private final XnioIoThread thread;
  private final UndertowCaller caller;
  private final Timers timers;
  private final Random random;
  private final FleetUse use;

  /** Attempts of the tasks that run here. */
  private final Map<String, String> attempts = new HashMap<>();

  private int startsSeen;
  private int node;
  private double sentAt = Double.NEGATIVE_INFINITY;
  private double answeredSentAt;
  private boolean calling;
  private double reportAt = Double.POSITIVE_INFINITY;
  private boolean changedMeanwhile;
  private boolean stopped;
  private int session = 1;

  HollowWorker(
      WorkerStandIn worker,
      Common common,
      XnioIoThread thread,
      UndertowCaller caller,
      Timers timers,
      FleetUse use,
      int firstNode,
      long seed) {
    this.worker = worker;
    this.common = common;
    this.thread = thread;
    this.caller = caller;
    this.timers = timers;
    this.use = use;
    this.node = firstNode;
    this.random = new Random(seed);
  }

  XnioIoThread thread() {
    return thread;
  }

  String host() {
    return worker.host();
  }

  String zone() {
    return worker.zone();
  }

  void start() {
    answeredSentAt = timers.now();
    reportIn(random.nextDouble() * REPORT_S);
    watchLease();
  }

  /** The machine fails with all that is on it. */
  void stop() {
    stopped = true;
    attempts.keySet().forEach(task -> common.rules().ended(task, host(), false));
    attempts.clear();
  }

  /** Takes a direct command. */
  Reply orders(byte[] body) {
    if (stopped) {
      return Reply.UNCLEAR;
    }
    try {
      Reply reply = worker.orders(body);
      use.orders++;
      use.bytesIn += body.length;
      use.bytesOut += reply.body().length;
      if (reply.ok()) {
        follow();
      }
      return reply;
    } catch (BadMessage e) {
      return new Reply(400, new byte[0], 0);
    }
  }

  private void report() {
    if (stopped || calling) {
      return;
    }
    calling = true;
    reportAt = Double.POSITIVE_INFINITY;
    changedMeanwhile = false;
    sentAt = timers.now();
    double sent = sentAt;
    int inSession = session;
    byte[] body = worker.report();
    use.reports++;
    use.bytesOut += body.length;
    if (!common.reach().reaches(zone(), node)) {
      timers.after(ANSWER_S, () -> heard(Reply.UNCLEAR, sent, inSession));
      return;
    }
    caller.call(
        common.controllers().get(node),
        "POST",
        "/hello",
        body,
        ANSWER_S,
        reply -> heard(reply, sent, inSession));
  }

  private void heard(Reply reply, double sent, int inSession) {
    calling = false;
    use.bytesIn += reply.body().length;
    if (!stopped) {
      answered(reply, sent, inSession);
    }
  }

  private void answered(Reply reply, double sent, int inSession) {
    try {
      if (reply.ok()) {
        if (inSession == session && worker.answered(reply.body())) {
          answeredSentAt = sent;
          follow();
        }
        reportIn(REPORT_S * (0.75 + random.nextDouble() / 2));
        if (changedMeanwhile) {
          changed();
        }
        return;
      }
      Integer named = null;
      if (reply.status() == 421 && reply.body().length > 0) {
        named = common.controllerByName().get(Doc.decode(reply.body()).textOr("overseer", ""));
      }
      boolean elsewhere = named != null && named != node;
      node = elsewhere ? named : (node + 1) % common.controllers().size();
      reportIn(elsewhere ? random.nextDouble() / 2 : NEXT_NODE_S);
    } catch (BadMessage e) {
      throw new IllegalStateException(e);
    }
  }

  /** Plans the next report, in the place of one that was planned for later. */
  private void reportIn(double seconds) {
    double at = timers.now() + seconds;
    if (at >= reportAt) {
      return;
    }
    reportAt = at;
    timers.after(
        seconds,
        () -> {
          if (reportAt == at) {
            report();
          }
        });
  }

  /**
   * Something has changed: a report goes out soon, though not more often than every half second.
   */
  private void changed() {
    if (calling) {
      changedMeanwhile = true;
    } else {
      reportIn(Math.max(0, sentAt + LEAST_PAUSE_S - timers.now()));
    }
  }

  /** Takes up what commands have changed. */
  private void follow() {
    List<String> all = worker.starts();
    for (; startsSeen < all.size(); startsSeen++) {
      begin(all.get(startsSeen));
    }
    List<String> running = worker.running();
    for (String task : List.copyOf(attempts.keySet())) {
      if (!running.contains(task)) {
        attempts.remove(task);
        common.rules().ended(task, host(), false);
        changed();
      }
    }
  }

  private void begin(String attempt) {
    String task = attempt.substring(0, attempt.lastIndexOf('#'));
    attempts.put(task, attempt);
    common.rules().started(task, host());
    common.starts().started(common.rules().jobOf(task), timers.now());
    double runS = common.meanRunS() * (0.5 + random.nextDouble());
    timers.after(runS, () -> end(task, attempt));
    changed();
  }

  private void end(String task, String attempt) {
    if (!stopped && attempts.remove(task, attempt)) {
      worker.exit(task, "done");
      common.rules().ended(task, host(), true);
      changed();
    }
  }

  private void watchLease() {
    if (stopped) {
      return;
    }
    if (timers.now() - answeredSentAt > LEASE_S) {
      attempts.keySet().forEach(task -> common.rules().ended(task, host(), false));
      attempts.clear();
      worker.newSession();
      session++;
      answeredSentAt = timers.now();
    }
    timers.after(LEAST_PAUSE_S, this::watchLease);
  }
}
