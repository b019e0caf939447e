package review;

import dev.dunefront.net.HttpCaller.Response;
import dev.dunefront.standin.FakeCloud;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** A stand-in worker after the protocol page. All methods run on the loop. */
class Worker {
  static final class Task {
    final long attempt;
    String state = "running";
    String exitReason;
    double startedAt;

    Task(long attempt) {
      this.attempt = attempt;
    }
  }

  /** Told about starts and ends of tasks. */
  interface Observer {
    void started(Worker worker, String piece, long attempt);

    void ended(Worker worker, String piece, long attempt, String why);
  }

  final String host;
  final String flavor;
  final String zone;
  final Cluster cluster;
  final Observer observer;
  String endpoint;
  final Map<String, Task> tasks = new LinkedHashMap<>();
  long tenure = 1;
  long serial;
  long baton;
  int controller;
  double leaseFrom;
  double lastReportAt = Double.NEGATIVE_INFINITY;
  boolean reportInFlight;
  boolean reportAgain;
  long timer;

  /** How often it has restarted. */
  int life;

  /** Status and time of the last answer to a report. */
  int lastStatus;
  double lastAnsweredAt;

  /** The machine is gone, with all that was on it. */
  boolean gone;

  Worker(Cluster cluster, String host, String flavor, String zone, Observer observer)
      throws Exception {
    this.cluster = cluster;
    this.host = host;
    this.flavor = flavor;
    this.zone = zone;
    this.observer = observer;
    this.endpoint = Http.serve(cluster.loop, this::handle);
  }

  void start(int firstController) {
    controller = firstController;
    leaseFrom = cluster.loop.now();
    schedule(0.1);
    checkLease();
  }

  /** A request to this worker's address. */
  void handle(String method, String path, byte[] body, Consumer<Response> answer) {
    if (gone) {
      answer.accept(Response.NO_RESPONSE);
    } else if (path.equals("/status")) {
      answer.accept(new Response(200, report(), 0));
    } else if (path.equals("/orders")) {
      answer.accept(orders(body));
    } else {
      answer.accept(new Response(404, new byte[0], 0));
    }
  }

  final Response orders(byte[] body) {
    try {
      expireLease();
      Document d = Document.decode(body);
      if (!d.has("baton") || !d.has("tenure")) {
        return new Response(400, new byte[0], 0);
      }
      boolean refused = d.count("baton") < baton || d.count("tenure") != tenure;
      cluster.record.task("%s gets /orders %s: %s", host, d, refused ? 409 : 200);
      if (!refused) {
        sawToken(d.count("baton"));
        execute(d.documents("orders"));
      }
      return new Response(refused ? 409 : 200, report(), 0);
    } catch (MalformedMessageException e) {
      return new Response(400, new byte[0], 0);
    }
  }

  private void sawToken(long token) {
    if (token > baton) {
      baton = token;
      reportSoon();
    }
  }

  private void execute(List<Document> orders) throws MalformedMessageException {
    for (Document order : orders) {
      String piece = order.text("piece");
      long attempt = order.count("try_no");
      Task t = tasks.get(piece);
      switch (order.text("verb")) {
        case "run" -> {
          String refusal = t == null ? refusal(piece) : null;
          if (refusal != null) {
            Task refused = new Task(attempt);
            refused.state = "exited";
            refused.exitReason = refusal;
            tasks.put(piece, refused);
            cluster.record.task("%s refuses %s attempt %d: %s", host, piece, attempt, refusal);
            reportSoon();
          } else if (t == null) {
            Task started = new Task(attempt);
            started.startedAt = cluster.loop.now();
            tasks.put(piece, started);
            cluster.record.task("%s STARTS %s attempt %d", host, piece, attempt);
            observer.started(this, piece, attempt);
            reportSoon();
          }
        }
        case "stop" -> {
          if (t != null && t.attempt == attempt && t.exitReason == null) {
            end(piece, attempt, "stopped");
          }
        }
        case "clear" -> {
          if (t != null && t.attempt == attempt && t.exitReason != null) {
            tasks.remove(piece);
            cluster.record.task("%s clears %s attempt %d", host, piece, attempt);
            reportSoon();
          }
        }
        default -> throw new MalformedMessageException("verb");
      }
    }
  }

  /** Why a start is refused, or null. */
  private String refusal(String piece) {
    Double cpus = cluster.taskCpus.get(jobOf(piece));
    if (cpus == null) {
      return "no_such";
    }
    double used = cpus;
    for (Map.Entry<String, Task> e : tasks.entrySet()) {
      used += e.getValue().exitReason == null ? cluster.taskCpus.get(jobOf(e.getKey())) : 0;
    }
    double all = flavor.equals("small") ? FakeCloud.SMALL_CPUS : FakeCloud.LARGE_CPUS;
    return used > all + 1e-6 ? "no_room" : null;
  }

  private static String jobOf(String piece) {
    return piece.substring(0, piece.lastIndexOf('/'));
  }

  /** A task ends, by itself or by command. */
  void end(String piece, long attempt, String why) {
    Task t = tasks.get(piece);
    if (!gone && t != null && t.attempt == attempt && t.exitReason == null) {
      t.state = "exited";
      t.exitReason = why;
      cluster.record.task("%s ENDS %s attempt %d: %s", host, piece, attempt, why);
      observer.ended(this, piece, attempt, why);
      reportSoon();
    }
  }

  boolean has(String piece) {
    Task t = tasks.get(piece);
    return t != null && t.exitReason == null;
  }

  byte[] report() {
    serial++;
    List<Document> pieces = new ArrayList<>();
    tasks.forEach(
        (id, t) -> {
          Document d =
              Document.create().put("piece", id).put("try_no", t.attempt).put("status", t.state);
          pieces.add(t.exitReason == null ? d : d.put("exit_reason", t.exitReason));
        });
    return Document.create()
        .put("host", host)
        .put("endpoint", endpoint)
        .put("flavor", flavor)
        .put("site", zone)
        .put("loaners", false)
        .put("tenure", tenure)
        .put("serial", serial)
        .put("baton", baton)
        .put("pieces", pieces)
        .encode();
  }

  void reportSoon() {
    if (reportInFlight) {
      reportAgain = true;
    } else {
      schedule(Math.max(0.01, lastReportAt + 0.5 - cluster.loop.now()));
    }
  }

  /** Schedules the next report, in place of the one that is scheduled. */
  void schedule(double seconds) {
    long id = ++timer;
    cluster.loop.after(
        seconds,
        () -> {
          if (id == timer && !gone) {
            sendReport();
          }
        });
  }

  /** Whether reports reach a controller now. */
  boolean reaches(int node) {
    return true;
  }

  private void sendReport() {
    if (reportInFlight) {
      reportAgain = true;
      return;
    }
    expireLease();
    reportInFlight = true;
    reportAgain = false;
    lastReportAt = cluster.loop.now();
    double sentAt = lastReportAt;
    long session = tenure;
    int sentInLife = life;
    byte[] body = report();
    cluster.reportSent(this, body);
    if (!reaches(controller)) {
      cluster.loop.after(4, () -> answered(Response.NO_RESPONSE, sentAt, session, sentInLife));
      return;
    }
    Http.callAsync(cluster.controllers.get(controller).listen, "POST", "/hello", body, 4)
        .thenAccept(r -> cluster.loop.run(() -> answered(r, sentAt, session, sentInLife)));
  }

  private void answered(Response r, double sentAt, long session, int sentInLife) {
    if (sentInLife != life) {
      return;
    }
    reportInFlight = false;
    lastStatus = r.status();
    lastAnsweredAt = cluster.loop.now();
    if (gone) {
      return;
    }
    expireLease();
    try {
      if (r.status() == 200) {
        Document d = Document.decode(r.body());
        schedule(cluster.reportS * (0.75 + Math.random() / 2));
        if (session == tenure && d.countOr("baton", 0) >= baton && d.has("baton")) {
          leaseFrom = Math.max(leaseFrom, sentAt);
          sawToken(d.count("baton"));
          execute(d.documents("orders"));
        }
        if (reportAgain) {
          reportSoon();
        }
        return;
      }
      int next = -1;
      if (r.status() == 421 && r.body().length > 0) {
        next = cluster.indexOf(Document.decode(r.body()).textOr("overseer", ""));
      }
      if (next >= 0 && next != controller) {
        controller = next;
        schedule(Math.random() / 2);
      } else {
        controller = (controller + 1) % cluster.controllers.size();
        schedule(1);
      }
    } catch (MalformedMessageException e) {
      schedule(1);
    }
  }

  void expireLease() {
    if (cluster.loop.now() - leaseFrom > cluster.leaseS) {
      cluster.record.add("%s: lease of session %d is over", host, tenure);
      for (Map.Entry<String, Task> e : new LinkedHashMap<>(tasks).entrySet()) {
        if (e.getValue().exitReason == null) {
          cluster.record.add("%s KILLS %s attempt %d", host, e.getKey(), e.getValue().attempt);
          observer.ended(this, e.getKey(), e.getValue().attempt, "killed");
        }
      }
      tasks.clear();
      tenure++;
      leaseFrom = cluster.loop.now();
      reportSoon();
    }
  }

  /** The machine restarts: its worker begins anew and knows nothing. */
  void restart() {
    cluster.record.add("%s RESTARTS", host);
    tasks.forEach(
        (piece, t) -> {
          if (t.exitReason == null) {
            observer.ended(this, piece, t.attempt, "machine restarted");
          }
        });
    tasks.clear();
    life++;
    tenure = 1;
    serial = 0;
    baton = 0;
    reportInFlight = false;
    leaseFrom = cluster.loop.now();
    schedule(0.2);
  }

  /** The machine ends, and all its tasks with it. */
  void remove() {
    gone = true;
    cluster.record.add("%s is gone", host);
    tasks.forEach(
        (piece, t) -> {
          if (t.exitReason == null) {
            observer.ended(this, piece, t.attempt, "machine gone");
          }
        });
    tasks.clear();
  }

  private void checkLease() {
    if (gone) {
      return;
    }
    expireLease();
    cluster.loop.after(0.05, this::checkLease);
  }
}
