package review;

import dev.dunefront.net.HttpCaller.Response;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;

/**
 * A copy of a direct command that was carried out and answered arrives again, 10 s later. The task
 * that it starts has failed on that machine meanwhile and runs on another one.
 */
public final class Case2 {
  private static final double COPY_AFTER_S = 10;
  private static final double FAILS_AFTER_S = 1;
  private static final double RUNS_S = 40;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Path.of(args[0]);
    Cluster c = new Cluster(folder, List.of("schwechat", "salzach"));
    c.startControllers(3);
    if (!c.awaitUp(30)) {
      c.record.add("the controllers do not come up");
      System.exit(2);
    }
    Judge judge = new Judge(c);
    for (int i = 0; i < 4; i++) {
      Worker w =
          new Worker(
              c, "host-00000" + (i + 1), "small", c.zones.get(i % 2), judge) {
            @Override
            void handle(String method, String path, byte[] body, Consumer<Response> answer) {
              boolean first = judge.starts == 0;
              super.handle(method, path, body, answer);
              if (trouble && first && judge.starts > 0) {
                // The network delivers the request that started the task once more, late; nobody
                // waits for its answer.
                cluster.loop.after(
                    COPY_AFTER_S,
                    () -> {
                      cluster.record.add("a late copy of the first start reaches %s", host);
                      if (!gone) {
                        orders(body);
                      }
                    });
              }
            }
          };
      c.addWorker(w, i % 3);
    }
    Thread.sleep(8000);
    int status = c.submit(Cluster.job("wk-000412", 1, 2.0), 0);
    if (status != 201 && status != 200) {
      c.record.add("the job is not accepted");
      System.exit(2);
    }
    double until = c.loop.now() + 80;
    boolean done = false;
    while (!done && c.loop.now() < until) {
      Thread.sleep(5000);
      done = Cluster.status(c.user(0, "GET", "/v1/jobs/wk-000412", null, 2)).equals("done");
    }
    int starts = judge.starts;
    c.record.add("starts: %d, job done: %s, started twice at once: %s", starts, done, judge.broken);
    System.out.println(
        judge.broken ? "BROKEN: " + judge.what : done ? "held" : "could not run: not done");
    System.exit(judge.broken ? 1 : done && starts >= 2 ? 0 : 2);
  }

  /** Ends tasks, and checks that none starts on one machine while it is on another. */
  private static final class Judge implements Worker.Observer {
    private final Cluster c;
    private String faultyHost;
    int starts;
    boolean broken;
    String what;

    Judge(Cluster c) {
      this.c = c;
    }

    @Override
    public void started(Worker worker, String piece, long attempt) {
      starts++;
      for (Worker other : c.workers) {
        if (other != worker && other.has(piece)) {
          broken = true;
          what = piece + " starts on " + worker.host + " while it is on " + other.host;
          c.record.add("ran_twice: %s", what);
        }
      }
      if (faultyHost == null) {
        // The first machine is a faulty one: tasks fail there after a moment.
        faultyHost = worker.host;
      }
      boolean fails = worker.host.equals(faultyHost);
      c.loop.after(
          fails ? FAILS_AFTER_S : RUNS_S,
          () -> worker.end(piece, attempt, fails ? "error" : "done"));
    }

    @Override
    public void ended(Worker worker, String piece, long attempt, String why) {}
  }
}
