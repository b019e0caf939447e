package review;

import java.nio.file.Path;
import java.util.List;

/**
 * A user cancels a running job of many short tasks. All machines can be reached, and all tasks are
 * gone within seconds; the user repeats the request for 60 s.
 */
public final class Case3 {
  private static final int PIECES = 16_000;
  private static final int DONE_WHEN_CANCELLED = 11_000;
  private static final double RUNS_S = 2.5;
  private static final String JOB = "wk-000412";

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int[] transactions = new int[1];
    Cluster c =
        new Cluster(Path.of(args[0]), List.of("schwechat", "salzach")) {
          @Override
          void stateRequest(
              int node,
              String method,
              String path,
              byte[] body,
              java.util.function.Consumer<dev.dunefront.net.HttpCaller.Response> answer) {
            transactions[0] += path.equals("/txn") ? 1 : 0;
            super.stateRequest(node, method, path, body, answer);
          }
        };
    c.record.detail = false;
    c.startControllers(3);
    if (!c.awaitUp(20)) {
      stop(c, 2, "the controllers do not come up");
    }
    Counter counter = new Counter(c);
    for (int i = 0; i < 16; i++) {
      String host = String.format("host-%06d", i + 1);
      c.addWorker(new Worker(c, host, "large", c.zones.get(i % 2), counter), i % 3);
    }
    Thread.sleep(5000);
    int status =
        c.submit(
            Cluster.job(JOB, PIECES, 0.1).put("ram_gb", 0.1).put("expect_s", RUNS_S), 0);
    if (status > 201) {
      stop(c, 2, "the job is not accepted");
    }
    double until = c.loop.now() + 60;
    int target = trouble ? DONE_WHEN_CANCELLED : PIECES;
    while (counter.done < target) {
      if (c.loop.now() > until) {
        stop(c, 2, "too slow: " + counter.done + " tasks done");
      }
      Thread.sleep(200);
    }
    c.record.add("%d tasks started, %d done", counter.started, counter.done);
    if (!trouble) {
      boolean done = false;
      until = c.loop.now() + 30;
      while (!done && c.loop.now() < until) {
        Thread.sleep(3000);
        done = Cluster.status(c.user(1, "GET", "/v1/jobs/" + JOB, null, 2)).equals("done");
      }
      stop(c, done ? 0 : 1, done ? "held: the job is done" : "BROKEN: never called done");
    }
    // Like a submission, the request is repeated for up to 60 s in total, at all controllers.
    double from = c.loop.now();
    double goneSince = Double.NaN;
    for (int i = 0; c.loop.now() < from + 60; i++) {
      String answer =
          Cluster.status(c.user(i % 3, "POST", "/v1/jobs/" + JOB + "/abort", null, 5));
      if (answer.equals("cancelled") || answer.equals("done")) {
        stop(c, 0, "held: answered " + answer);
      }
      int running = c.loop.call(counter::running);
      if (running == 0 && Double.isNaN(goneSince)) {
        goneSince = c.loop.now();
      }
      c.record.add(
          "tasks on machines: %d, transactions so far: %d", running, transactions[0]);
      Thread.sleep(1000);
    }
    c.user(0, "GET", "/v1/jobs/" + JOB, null, 2);
    stop(
        c,
        1,
        String.format(
            java.util.Locale.ROOT,
            "BROKEN: no answer to the cancellation within 60 s; no task on any machine for %.0f s",
            c.loop.now() - goneSince));
  }

  private static void stop(Cluster c, int code, String text) {
    c.record.add("%s", text);
    System.out.println(text);
    System.exit(code);
  }

  /** Ends tasks and counts them. */
  private static final class Counter implements Worker.Observer {
    private final Cluster c;
    volatile int started;
    volatile int done;

    Counter(Cluster c) {
      this.c = c;
    }

    @Override
    public void started(Worker worker, String piece, long attempt) {
      started++;
      c.loop.after(RUNS_S * (0.5 + Math.random()), () -> worker.end(piece, attempt, "done"));
    }

    @Override
    public void ended(Worker worker, String piece, long attempt, String why) {
      done += why.equals("done") ? 1 : 0;
    }

    int running() {
      int running = 0;
      for (Worker w : c.workers) {
        running += (int) w.tasks.values().stream().filter(t -> t.exitReason == null).count();
      }
      return running;
    }
  }
}
