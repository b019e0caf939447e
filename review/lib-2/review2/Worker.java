package review2;

import dev.dunefront.net.HttpCaller.Response;
import dev.dunefront.net.HttpServer;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** A worker after the protocol page, with its lease, sessions, tokens, reports and commands. */
final class Worker {
  private static final class Task {
    final String piece;
    final long attempt;
    String status = "fetching";
    String why;
    double started;

    Task(String piece, long attempt) {
      this.piece = piece;
      this.attempt = attempt;
    }
  }

  final String host;
  final String type;
  final String zone;
  final boolean spot;
  final String endpoint;
  private final Site site;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Integer> livePieces = new java.util.HashMap<>();
  private double usedCpus;
  private double usedRamGb;
  private long session = 1;
  private long serial;
  private long token;
  private int node;
  private double leaseFrom;
  private boolean inFlight;
  private double lastSent = Double.NEGATIVE_INFINITY;
  private double nextAt = Double.POSITIVE_INFINITY;
  private boolean gone;
  int largestReport;

  /** How the cloud lists its machine. */
  String listedAs = "running";

  /**
   * Once it has learned a higher token, its next report is held back for so many seconds and it
   * restarts while it waits for the answer; 0 for neither.
   */
  double holdReportAndRestartS;

  /** How long after that report was sent the machine restarts. */
  private static final double RESTART_S = 2;

  private boolean holdNextReport;

  /** Messages from this worker to controllers and back are lost while true. */
  boolean mute;

  /** Direct commands to it are held while true and executed when it becomes false. */
  boolean holdCommands;

  private final List<Runnable> heldCommands = new ArrayList<>();

  Worker(Site site, String host, String type, String zone, boolean spot, String endpoint) {
    this.site = site;
    this.host = host;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.endpoint = endpoint;
    this.node = Math.floorMod(host.hashCode(), site.count);
  }

  void boot() {
    leaseFrom = site.now();
    schedule(site.random.nextDouble() * site.reportS);
    watchLease();
  }

  void end() {
    gone = true;
    killAll("its machine is gone");
  }

  long boots() {
    return boot;
  }

  long session() {
    return session;
  }

  private void killAll(String cause) {
    tasks.values().stream()
        .filter(t -> !t.status.equals("exited"))
        .forEach(t -> site.taskOff(this, t.piece, t.attempt, cause));
    tasks.clear();
    livePieces.clear();
    usedCpus = 0;
    usedRamGb = 0;
  }

  private long boot = 1;

  /** The machine restarts within a moment: its worker has forgotten everything. */
  void restart() {
    site.log(host + " restarts");
    killAll("restart");
    boot++;
    session = 1;
    serial = 0;
    token = 0;
    leaseFrom = site.now();
    inFlight = false;
    heldCommands.clear();
    schedule(0.2);
  }

  private void watchLease() {
    if (!gone) {
      expire();
      site.timers.after(0.1, this::watchLease);
    }
  }

  private static String text(byte[] body) {
    try {
      return Document.decode(body).toString();
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  private void expire() {
    if (!gone && site.now() - leaseFrom > site.leaseS) {
      site.log(host + ": lease of session " + session + " is over, " + tasks.size() + " tasks");
      killAll("lease over");
      session++;
      serial = 0;
      leaseFrom = site.now();
      schedule(0);
    }
  }

  private Document report() {
    serial++;
    List<Document> pieces = new ArrayList<>();
    for (Task t : tasks.values()) {
      Document d =
          Document.create().put("piece", t.piece).put("try_no", t.attempt).put("status", t.status);
      pieces.add(t.why == null ? d : d.put("exit_reason", t.why));
    }
    return Document.create()
        .put("host", host)
        .put("endpoint", endpoint)
        .put("flavor", type)
        .put("site", zone)
        .put("loaners", spot)
        .put("tenure", session)
        .put("serial", serial)
        .put("baton", token)
        .put("recall_s", null)
        .put("pieces", pieces);
  }

  private void schedule(double seconds) {
    double at = site.now() + seconds;
    if (at < nextAt) {
      nextAt = at;
      site.timers.after(
          seconds,
          () -> {
            if (nextAt == at) {
              send();
            }
          });
    }
  }

  private void changed() {
    if (!inFlight) {
      schedule(Math.max(0, lastSent + 0.5 - site.now()));
    }
  }

  private void send() {
    nextAt = Double.POSITIVE_INFINITY;
    if (gone || inFlight) {
      return;
    }
    expire();
    inFlight = true;
    double sent = site.now();
    lastSent = sent;
    long inSession = session;
    long inBoot = boot;
    byte[] body = report().encode();
    if (tasks.size() <= 3000) {
      largestReport = Math.max(largestReport, StateService.jsonBytes(body));
    }
    if (holdNextReport) {
      holdNextReport = false;
      int to = node;
      site.log(host + ": report to " + site.nodeName(to) + " is held back: " + text(body));
      site.timers.after(
          holdReportAndRestartS,
          () -> {
            site.log(host + ": the report that was held back arrives at " + site.nodeName(to));
            site.caller.call(site.userAddress(to), "POST", "/hello", body, 4, r -> {});
          });
      site.timers.after(RESTART_S, this::restart);
      return;
    }
    if (mute) {
      site.timers.after(4, () -> answered(Response.NO_RESPONSE, sent, inSession, inBoot));
      return;
    }
    site.caller.call(
        site.userAddress(node),
        "POST",
        "/hello",
        body,
        4,
        r -> answered(mute ? Response.NO_RESPONSE : r, sent, inSession, inBoot));
  }

  private void answered(Response r, double sent, long inSession, long inBoot) {
    if (gone || inBoot != boot) {
      return;
    }
    inFlight = false;
    expire();
    try {
      if (r.status() == 200) {
        Document d = Document.decode(r.body());
        if (inSession == session && d.countOr("baton", 0) >= token && d.has("baton")) {
          boolean higher = d.count("baton") > token;
          token = d.count("baton");
          leaseFrom = Math.max(leaseFrom, sent);
          execute(d.documents("orders"));
          if (higher && holdReportAndRestartS > 0 && boot == 1) {
            holdNextReport = true;
            changed();
          }
        }
        schedule(site.reportS * (0.75 + site.random.nextDouble() / 2));
        return;
      }
      int next = -1;
      if (r.status() == 421 && r.body().length > 0) {
        next = site.nodeNumber(Document.decode(r.body()).textOr("overseer", ""));
      }
      if (next >= 0 && next != node) {
        node = next;
        schedule(site.random.nextDouble() / 2);
      } else {
        if (r.status() != 503 && r.status() != 421 && r.status() != 0) {
          site.log(host + ": report of " + largestReport + " bytes answered " + r.status());
        }
        node = (node + 1) % site.count;
        schedule(1);
      }
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  void serve(HttpServer.Request request, Consumer<Response> then) {
    if (gone) {
      return;
    }
    if (holdCommands) {
      heldCommands.add(() -> serveNow(request, then));
      return;
    }
    serveNow(request, then);
  }

  void releaseCommands() {
    holdCommands = false;
    List<Runnable> all = List.copyOf(heldCommands);
    heldCommands.clear();
    all.forEach(Runnable::run);
  }

  private void serveNow(HttpServer.Request request, Consumer<Response> then) {
    expire();
    if (request.path().equals("/status")) {
      then.accept(new Response(200, report().encode(), 0));
      return;
    }
    try {
      Document d = Document.decode(request.body());
      if (!d.has("baton") || !d.has("tenure")) {
        then.accept(new Response(400, new byte[0], 0));
      } else if (d.count("baton") < token || d.count("tenure") != session) {
        then.accept(new Response(409, report().encode(), 0));
      } else {
        boolean higher = d.count("baton") > token;
        token = d.count("baton");
        execute(d.documents("orders"));
        then.accept(new Response(200, report().encode(), 0));
        if (higher) {
          changed();
        }
      }
    } catch (MalformedMessageException e) {
      then.accept(new Response(400, new byte[0], 0));
    }
  }

  private void execute(List<Document> orders) throws MalformedMessageException {
    for (Document o : orders) {
      String piece = o.text("piece");
      long attempt = o.count("try_no");
      String key = piece + "#" + attempt;
      Task t = tasks.get(key);
      switch (o.text("verb")) {
        case "run" -> {
          if (t == null) {
            start(key, piece, attempt);
          }
        }
        case "stop" -> {
          if (t != null && !t.status.equals("exited")) {
            exit(t, "stopped");
          }
        }
        case "clear" -> {
          if (t != null && t.status.equals("exited")) {
            tasks.remove(key);
          }
        }
        default -> throw new MalformedMessageException("verb");
      }
    }
  }

  private void start(String key, String piece, long attempt) {
    Task t = new Task(piece, attempt);
    boolean busy = livePieces.containsKey(piece);
    tasks.put(key, t);
    site.runExecuted(this, piece, attempt);
    if (site.job(piece) == null) {
      refuse(t, "no_such");
    } else if (busy) {
      refuse(t, "busy");
    } else if (!fits(piece, t)) {
      refuse(t, "no_room");
    } else {
      long inSession = session;
      long inBoot = boot;
      livePieces.merge(piece, 1, Integer::sum);
      usedCpus += site.job(piece).cpus;
      usedRamGb += site.job(piece).ramGb;
      site.timers.after(
          site.fetchS,
          () -> {
            if (isLive(key, t, inBoot, inSession)) {
              t.status = "running";
              site.taskOn(this, piece, attempt);
              changed();
              site.timers.after(
                  site.runS(piece),
                  () -> {
                    if (isLive(key, t, inBoot, inSession)) {
                      exit(t, "done");
                    }
                  });
            }
          });
    }
    changed();
  }

  private boolean isLive(String key, Task t, long inBoot, long inSession) {
    return !gone
        && boot == inBoot
        && session == inSession
        && tasks.get(key) == t
        && t.why == null;
  }

  private boolean fits(String piece, Task added) {
    Site.Job j = site.job(piece);
    Site.Type ty = site.types.get(type);
    return usedCpus + j.cpus <= ty.cpus() + 1e-6 && usedRamGb + j.ramGb <= ty.ramGb() + 1e-6;
  }

  private void refuse(Task t, String why) {
    t.status = "exited";
    t.why = why;
  }

  private void exit(Task t, String why) {
    boolean was = t.status.equals("running");
    t.status = "exited";
    t.why = why;
    livePieces.remove(t.piece);
    usedCpus -= site.job(t.piece).cpus;
    usedRamGb -= site.job(t.piece).ramGb;
    if (was) {
      if (why.equals("done")) {
        site.taskDone(this, t.piece, t.attempt);
      } else {
        site.taskOff(this, t.piece, t.attempt, why);
      }
    }
    changed();
  }
}
