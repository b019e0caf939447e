package dev.dunefront.fleet;

import dev.dunefront.config.Settings;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.HttpCaller;
import dev.dunefront.net.Timers;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Client of the cloud's machine API; makes one call at a time within the API's rate limit. */
final class CloudClient {
  private static final System.Logger LOG = System.getLogger(CloudClient.class.getName());
  private static final double CALL_TIMEOUT_S = 4;
  private static final int PAGE_SIZE = 500;

  /** After this many consecutive calls without a response the cloud counts as unreachable. */
  private static final int MAX_UNANSWERED_CALLS = 2;

  /**
   * Fraction of the rate limit that is used: a former holder's calls may still count towards it.
   */
  private static final double RATE_FRACTION = 0.9;

  /**
   * A machine in the cloud's list.
   *
   * @param statusSince time on the steady clock at which it was first listed with this status
   */
  record ListedMachine(String host, MachineKind kind, String status, double statusSince) {
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
  record RentRequest(String name, MachineKind kind, int count) {}

  /** Outcome of a request; after {@link #RATE_LIMITED} or {@link #UNKNOWN} it may be repeated. */
  enum Outcome {
    RENTED,
    REFUSED,
    RATE_LIMITED,
    UNKNOWN
  }

  /** Result of a rent request; there may be fewer machines than requested. */
  record RentResult(Outcome outcome, List<String> hosts) {}

  private final Settings settings;
  private final HttpCaller caller;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Runnable onCallFinished;
  private boolean callInProgress;
  private double nextCallAt;
  private double availableCalls = 1;
  private double availableCallsAt;
  private int unansweredCalls;

  /** {@code onCallFinished} runs after each call, so that the next one need not wait for a tick. */
  CloudClient(
      Settings settings,
      HttpCaller caller,
      Timers timers,
      DecisionLock decisionLock,
      Runnable onCallFinished) {
    this.settings = settings;
    this.caller = caller;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.onCallFinished = onCallFinished;
    this.availableCallsAt = timers.now();
  }

  /** Whether a call may be made now: none is in progress, and the token bucket has a token. */
  boolean canCall() {
    double now = timers.now();
    if (callInProgress || now < nextCallAt) {
      return false;
    }
    double rps = settings.cloudLimits().rps();
    availableCalls =
        Math.min(Math.max(1, rps), availableCalls + (now - availableCallsAt) * rps * RATE_FRACTION);
    availableCallsAt = now;
    return availableCalls >= 1;
  }

  /**
   * Resets the count of unanswered calls at the start of a term; those of earlier terms are stale.
   */
  void resetReachability() {
    unansweredCalls = 0;
  }

  /** Whether the cloud is reachable from this controller, judged by the latest calls. */
  boolean reachable() {
    return unansweredCalls < MAX_UNANSWERED_CALLS;
  }

  private void call(String method, String path, Document body, Consumer<HttpCaller.Response> then) {
    callInProgress = true;
    availableCalls -= 1;
    decisionLock.defer(
        () ->
            caller.call(
                settings.cloud(),
                method,
                path,
                body == null ? null : body.encode(),
                CALL_TIMEOUT_S,
                response ->
                    decisionLock.run(
                        () -> {
                          callInProgress = false;
                          unansweredCalls = response.status() == 0 ? unansweredCalls + 1 : 0;
                          if (response.status() == 503 || response.status() == 429) {
                            nextCallAt = Math.max(nextCallAt, timers.now() + 1);
                          }
                          then.accept(response);
                          onCallFinished.run();
                        })));
  }

  /** Lists all machines; {@code then} is not called if any page fails. */
  void listMachines(Consumer<List<ListedMachine>> then) {
    listMachines("", new ArrayList<>(), then);
  }

  private void listMachines(
      String from, List<ListedMachine> all, Consumer<List<ListedMachine>> then) {
    call(
        "GET",
        "/machines?" + (from.isEmpty() ? "" : "from=" + from + "&") + "page=" + PAGE_SIZE,
        null,
        response -> {
          if (!response.ok()) {
            return;
          }
          try {
            Document d = Document.decode(response.body());
            String last = from;
            for (Document m : d.documents("hosts")) {
              last = m.text("id");
              MachineKind kind =
                  new MachineKind(
                      m.text("flavor"), m.textOr("site", ""), m.flagOr("loaners", false));
              all.add(new ListedMachine(last, kind, m.text("status"), timers.now()));
            }
            if (d.flagOr("more", false) && !last.equals(from)) {
              listMachines(last, all, then);
            } else {
              then.accept(all);
            }
          } catch (MalformedMessageException e) {
            LOG.log(Level.INFO, "cannot read the machine list: {0}", e.getMessage());
          }
        });
  }

  /** Fetches the catalog with current prices; {@code then} is not called if that fails. */
  void fetchCatalog(Consumer<Document> then) {
    call(
        "GET",
        "/catalog",
        null,
        response -> {
          if (response.ok()) {
            try {
              then.accept(Document.decode(response.body()));
            } catch (MalformedMessageException e) {
              LOG.log(Level.INFO, "cannot read the catalog: {0}", e.getMessage());
            }
          }
        });
  }

  /** Outcome of a deletion; {@code REFUSED} means that nothing was deleted. */
  enum DeletionResult {
    CONFIRMED,
    REFUSED,
    UNKNOWN
  }

  void deleteMachines(List<String> hosts, Consumer<DeletionResult> then) {
    call(
        "POST",
        "/machines/delete",
        Document.create().put("hosts", hosts),
        response ->
            then.accept(
                response.ok()
                    ? DeletionResult.CONFIRMED
                    : outcome(response) == Outcome.UNKNOWN
                        ? DeletionResult.UNKNOWN
                        : DeletionResult.REFUSED));
  }

  /** Rents machines. */
  void rent(RentRequest request, Consumer<RentResult> then) {
    call(
        "POST",
        "/machines",
        Document.create()
            .put("hire", request.name)
            .put("flavor", request.kind.type())
            .put("site", request.kind.zone())
            .put("loaners", request.kind.spot())
            .put("how_many", request.count),
        response -> {
          List<String> hosts = List.of();
          if (response.ok()) {
            try {
              hosts = Document.decode(response.body()).texts("hosts");
            } catch (MalformedMessageException e) {
              LOG.log(
                  Level.INFO, "cannot read the response to a rent request: {0}", e.getMessage());
            }
          }
          then.accept(new RentResult(outcome(response), hosts));
        });
  }

  private static Outcome outcome(HttpCaller.Response response) {
    if (response.ok()) {
      return Outcome.RENTED;
    }
    return switch (response.status()) {
      case 503, 400 -> Outcome.REFUSED;
      case 429 -> Outcome.RATE_LIMITED;
      default -> Outcome.UNKNOWN;
    };
  }
}
