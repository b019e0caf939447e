package review;

import java.nio.file.Path;
import java.util.List;

/**
 * A machine restarts and gets work; later its controller's process ends and is back at once. A late
 * copy of a report that the machine sent before its restart is the first that the new process
 * hears of the machine.
 */
public final class Case1 {
  private static final double RUNS_S = 45;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    byte[][] copy = new byte[1][];
    Cluster c =
        new Cluster(Path.of(args[0]), List.of("schwechat", "salzach")) {
          @Override
          void reportSent(Worker w, byte[] body) {
            if (w.host.equals("host-000001") && w.life == 0) {
              copy[0] = body;
            }
          }
        };
    c.prepareControllers(3);
    Judge judge = new Judge(c);
    // The machines are up some time before the controllers start.
    Worker m =
        c.addWorker(new Worker(c, "host-000001", "small", "schwechat", judge), 0);
    c.addWorker(new Worker(c, "host-000002", "large", "salzach", judge), 1);
    Thread.sleep(Math.round(c.leaseS * 1000) + 1500);
    for (Cluster.Node n : c.controllers) {
      c.start(n);
    }
    if (!c.awaitUp(30) || !await(c, 20, () -> m.lastStatus == 200 && m.baton > 0)) {
      stop(c, 2, "the controllers do not come up");
    }
    Thread.sleep(3000);
    if (trouble) {
      c.loop.call(
          () -> {
            c.record.add("last report before the restart: %s", Cluster.text(copy[0]));
            m.restart();
            return null;
          });
    }
    if (!await(c, 25, () -> m.lastStatus == 200 && m.baton > 0)) {
      stop(c, 2, "the machine is not heard again");
    }
    Thread.sleep(2000);
    int submitted =
        c.submit(Cluster.job("wk-000412", 1, 2.0).put("flavors", List.of("small")), 0);
    if (submitted > 201 || !await(c, 20, () -> judge.starts > 0)) {
      stop(c, 2, "the job does not start");
    }
    c.addWorker(new Worker(c, "host-000003", "small", "salzach", judge), 1);
    Thread.sleep(6000);
    // Ends the holder's process just after it has answered the machine.
    double answeredBefore = c.loop.call(() -> m.lastAnsweredAt);
    await(c, 10, () -> m.lastAnsweredAt > answeredBefore);
    Cluster.Node holder = c.controllers.get(m.controller);
    if (trouble) {
      c.kill(holder);
      c.start(holder);
      double until = c.loop.now() + 10;
      while (Http.call(holder.listen, "GET", "/up", null, 1).status() != 200
          && c.loop.now() < until) {
        Thread.sleep(20);
      }
      c.record.add("late copy to %s: %s", holder.name, Cluster.text(copy[0]));
      int answer = Http.call(holder.listen, "POST", "/hello", copy[0], 4).status();
      c.record.add("answer to the late copy: %d", answer);
    }
    double until = c.loop.now() + 30;
    while (!judge.broken && c.loop.now() < until) {
      Thread.sleep(200);
    }
    boolean done = judge.broken;
    until = c.loop.now() + 30;
    while (!done && c.loop.now() < until) {
      Thread.sleep(5000);
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

  /** Ends tasks, and checks that none starts on one machine while it is on another. */
  private static final class Judge implements Worker.Observer {
    private final Cluster c;
    int starts;
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
