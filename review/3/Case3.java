package review;

import dev.dunefront.net.HttpCaller.Response;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A machine restarts between two reports and then hangs for most of its new lease. A start that was
 * sent to it meanwhile waits there and is carried out when it goes on.
 */
public final class Case3 {
  private static final double RUNS_S = 20;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Cluster c =
        new Cluster(Path.of(args[0]), List.of("schwechat", "salzach")) {
          @Override
          void reportSent(Worker w, byte[] body) {
            if (w.host.equals("host-000001")) {
              record.add("%s reports to node %d: %s", w.host, w.controller, Cluster.text(body));
            }
          }
        };
    c.startControllers(3);
    if (!c.awaitUp(30)) {
      stop(c, 2, "the controllers do not come up");
    }
    Judge judge = new Judge(c);
    HangingWorker m = new HangingWorker(c, "host-000001", "small", "schwechat", judge);
    c.addWorker(m, 0);
    c.addWorker(new Worker(c, "host-000002", "large", "salzach", judge), 1);
    if (!await(c, 20, () -> m.lastStatus == 200 && m.baton > 0)) {
      stop(c, 2, "the machine is not heard");
    }
    // Begins just after an answered report.
    double answeredBefore = c.loop.call(() -> m.lastAnsweredAt);
    double reportBefore = c.loop.call(() -> m.leaseFrom);
    if (!await(c, 10, () -> m.lastAnsweredAt > answeredBefore && m.leaseFrom > reportBefore)) {
      stop(c, 2, "the machine is not answered again");
    }
    if (trouble) {
      Thread.sleep(2300);
      c.loop.call(
          () -> {
            m.restart();
            return null;
          });
      Thread.sleep(400);
      c.loop.call(
          () -> {
            c.record.add("last answer to %s: %d", m.host, m.lastStatus);
            m.hang(true);
            return null;
          });
    }
    double hungAt = c.loop.now();
    int submitted =
        c.submit(Cluster.job("wk-000412", 1, 2.0).put("flavors", List.of("small")), 0);
    if (submitted > 201) {
      stop(c, 2, "the job is not accepted");
    }
    if (!await(c, 5, () -> !m.waiting.isEmpty() || judge.starts > 0)) {
      stop(c, 2, "no start is sent to the machine");
    }
    // Another machine comes up meanwhile.
    c.addWorker(new Worker(c, "host-000003", "small", "salzach", judge), 1);
    if (trouble) {
      // Goes on shortly before its own lease is over.
      double goesOnAt = c.loop.call(() -> m.leaseFrom) + c.leaseS - 0.6;
      Thread.sleep(Math.round((goesOnAt - c.loop.now()) * 1000));
      c.record.add("hung for %.1f s of a lease of %.0f s", c.loop.now() - hungAt, c.leaseS);
      c.loop.call(
          () -> {
            m.hang(false);
            return null;
          });
    }
    double until = c.loop.now() + 45;
    boolean done = false;
    while (!judge.broken && !done && c.loop.now() < until) {
      Thread.sleep(3000);
      done = Cluster.status(c.user(0, "GET", "/v1/jobs/wk-000412", null, 2)).equals("done");
    }
    stop(
        c,
        judge.broken ? 1 : done ? 0 : 2,
        judge.broken ? "BROKEN: " + judge.what : done ? "held" : "not done in time");
  }

  private static boolean await(Cluster c, double seconds, java.util.function.BooleanSupplier s)
      throws Exception {
    double until = c.loop.now() + seconds;
    while (c.loop.now() < until) {
      if (c.loop.call(s::getAsBoolean)) {
        return true;
      }
      Thread.sleep(20);
    }
    return false;
  }

  private static void stop(Cluster c, int code, String text) {
    c.record.add("%s", text);
    System.out.println(text);
    System.exit(code);
  }

  /** A worker whose machine can hang: what is sent to it waits, and it sends nothing. */
  private static final class HangingWorker extends Worker {
    final List<Runnable> waiting = new ArrayList<>();
    private boolean hanging;

    HangingWorker(Cluster cluster, String host, String flavor, String zone, Observer observer)
        throws Exception {
      super(cluster, host, flavor, zone, observer);
    }

    void hang(boolean on) {
      cluster.record.add("%s %s", host, on ? "HANGS" : "GOES ON");
      hanging = on;
      if (on) {
        schedule(1e6);
      } else {
        expireLease();
        List<Runnable> all = List.copyOf(waiting);
        waiting.clear();
        all.forEach(Runnable::run);
        schedule(0.1);
      }
    }

    @Override
    void handle(String method, String path, byte[] body, Consumer<Response> answer) {
      if (hanging) {
        cluster.record.add("a request to %s waits: %s %s", host, path, Cluster.text(body));
        waiting.add(() -> super.handle(method, path, body, answer));
      } else {
        super.handle(method, path, body, answer);
      }
    }

    @Override
    void schedule(double seconds) {
      if (!hanging || seconds > 1e5) {
        super.schedule(seconds);
      }
    }

    @Override
    void expireLease() {
      // A hanging machine does nothing; its lease is looked at before anything else once it goes on.
      if (!hanging) {
        super.expireLease();
      }
    }
  }

  /** Ends tasks, and checks that none starts on one machine while it is on another. */
  private static final class Judge implements Worker.Observer {
    private final Cluster c;
    volatile int starts;
    volatile boolean broken;
    String what;

    Judge(Cluster c) {
      this.c = c;
    }

    @Override
    public void started(Worker worker, String piece, long attempt) {
      starts++;
      for (Worker other : c.workers) {
        if (other != worker && other.has(piece)) {
          what = piece + " starts on " + worker.host + " while it is on " + other.host;
          c.record.add("ran_twice: %s", what);
          broken = true;
        }
      }
      c.loop.after(RUNS_S, () -> worker.end(piece, attempt, "done"));
    }

    @Override
    public void ended(Worker worker, String piece, long attempt, String why) {}
  }
}
