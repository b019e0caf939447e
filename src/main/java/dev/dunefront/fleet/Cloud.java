package dev.dunefront.fleet;

import dev.dunefront.config.Settings;
import dev.dunefront.net.Caller;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Client of the cloud's machine API; makes one call at a time within the API's rate limit. */
final class Cloud {
  private static final System.Logger LOG = System.getLogger(Cloud.class.getName());
  private static final double CALL_S = 4;
  private static final int PAGE = 500;

  /** After this many consecutive calls without a response the cloud counts as unreachable. */
  private static final int CUT_OFF = 2;

  /**
   * Fraction of the rate limit that is used: a former holder's calls may still count towards it.
   */
  private static final double RATE_PART = 0.9;

  /**
   * A machine in the cloud's list.
   *
   * @param since time on the steady clock at which it was first listed with this status
   */
  record Listed(String host, Kind kind, String status, double since) {
    boolean failed() {
      return status.equals("failed");
    }

    boolean booting() {
      return status.equals("booting");
    }

    boolean running() {
      return status.equals("running");
    }
  }

  /** A request to rent machines. Its name is unique and makes a repeated request idempotent. */
  record Hire(String name, Kind kind, int count) {}

  /** Outcome of a request; after {@code TOO_FAST} or {@code UNCLEAR} it may be repeated. */
  enum Outcome {
    RENTED,
    REFUSED,
    TOO_FAST,
    UNCLEAR
  }

  /** Result of a rent request; there may be fewer machines than requested. */
  record Rented(Outcome outcome, List<String> hosts) {}

  private final Settings settings;
  private final Caller caller;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Runnable ready;
  private boolean calling;
  private double nextCall;
  private double calls = 1;
  private double callsAt;
  private int unanswered;

  /** {@code onCallFinished} runs after each call, so that the next one need not wait for a tick. */
  Cloud(
      Settings settings,
      Caller caller,
      Timers timers,
      DecisionLock decisionLock,
      Runnable onCallFinished) {
    this.settings = settings;
    this.caller = caller;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.ready = onCallFinished;
    this.callsAt = timers.now();
  }

  /** Whether a call may be made now: none is in progress, and the token bucket has a token. */
  boolean free() {
    double now = timers.now();
    if (calling || now < nextCall) {
      return false;
    }
    double rps = settings.cloudLimits().rps();
    calls = Math.min(Math.max(1, rps), calls + (now - callsAt) * rps * RATE_PART);
    callsAt = now;
    return calls >= 1;
  }

  /**
   * Resets the count of unanswered calls at the start of a term; those of earlier terms are stale.
   */
  void begin() {
    unanswered = 0;
  }

  /** Whether the cloud is reachable from this controller, judged by the latest calls. */
  boolean reachable() {
    return unanswered < CUT_OFF;
  }

  private void call(String method, String path, Doc body, Consumer<Caller.Reply> then) {
    calling = true;
    calls -= 1;
    decisionLock.then(
        () ->
            caller.call(
                settings.cloud(),
                method,
                path,
                body == null ? null : body.encode(),
                CALL_S,
                reply ->
                    decisionLock.run(
                        () -> {
                          calling = false;
                          unanswered = reply.status() == 0 ? unanswered + 1 : 0;
                          if (reply.status() == 503 || reply.status() == 429) {
                            nextCall = Math.max(nextCall, timers.now() + 1);
                          }
                          then.accept(reply);
                          ready.run();
                        })));
  }

  /** Lists all machines; {@code then} is not called if any page fails. */
  void list(Consumer<List<Listed>> then) {
    list("", new ArrayList<>(), then);
  }

  private void list(String from, List<Listed> all, Consumer<List<Listed>> then) {
    call(
        "GET",
        "/machines?" + (from.isEmpty() ? "" : "from=" + from + "&") + "page=" + PAGE,
        null,
        reply -> {
          if (!reply.ok()) {
            return;
          }
          try {
            Doc d = Doc.decode(reply.body());
            String last = from;
            for (Doc m : d.docs("hosts")) {
              last = m.text("id");
              Kind kind =
                  new Kind(m.text("flavor"), m.textOr("site", ""), m.flagOr("loaners", false));
              all.add(new Listed(last, kind, m.text("status"), timers.now()));
            }
            if (d.flagOr("more", false) && !last.equals(from)) {
              list(last, all, then);
            } else {
              then.accept(all);
            }
          } catch (BadMessage e) {
            LOG.log(Level.INFO, "cannot read the machine list: {0}", e.getMessage());
          }
        });
  }

  /** Fetches the catalog with current prices; {@code then} is not called if that fails. */
  void catalog(Consumer<Doc> then) {
    call(
        "GET",
        "/catalog",
        null,
        reply -> {
          if (reply.ok()) {
            try {
              then.accept(Doc.decode(reply.body()));
            } catch (BadMessage e) {
              LOG.log(Level.INFO, "cannot read the catalog: {0}", e.getMessage());
            }
          }
        });
  }

  /** Outcome of a deletion; {@code REFUSED} means that nothing was deleted. */
  enum Deletion {
    CONFIRMED,
    REFUSED,
    UNCLEAR
  }

  void delete(List<String> hosts, Consumer<Deletion> then) {
    call(
        "POST",
        "/machines/delete",
        Doc.of().put("hosts", hosts),
        reply ->
            then.accept(
                reply.ok()
                    ? Deletion.CONFIRMED
                    : outcome(reply) == Outcome.UNCLEAR ? Deletion.UNCLEAR : Deletion.REFUSED));
  }

  /** Rents machines. */
  void hire(Hire h, Consumer<Rented> then) {
    call(
        "POST",
        "/machines",
        Doc.of()
            .put("hire", h.name)
            .put("flavor", h.kind.type())
            .put("site", h.kind.zone())
            .put("loaners", h.kind.spot())
            .put("how_many", h.count),
        reply -> {
          List<String> hosts = List.of();
          if (reply.ok()) {
            try {
              hosts = Doc.decode(reply.body()).texts("hosts");
            } catch (BadMessage e) {
              LOG.log(
                  Level.INFO, "cannot read the response to a rent request: {0}", e.getMessage());
            }
          }
          then.accept(new Rented(outcome(reply), hosts));
        });
  }

  private static Outcome outcome(Caller.Reply reply) {
    if (reply.ok()) {
      return Outcome.RENTED;
    }
    return switch (reply.status()) {
      case 503, 400 -> Outcome.REFUSED;
      case 429 -> Outcome.TOO_FAST;
      default -> Outcome.UNCLEAR;
    };
  }
}
