package dev.dunefront.load;

import dev.dunefront.net.HttpCaller;
import dev.dunefront.net.HttpCaller.Response;
import dev.dunefront.net.Timers;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * Simulated users: submit jobs at a steady rate, cancel some and poll each until it has finished.
 */
final class JobGenerator {
  private static final double SUBMIT_TIMEOUT_S = 5;
  private static final double POLL_TIMEOUT_S = 2;
  private static final double POLL_INTERVAL_S = 5;
  private static final double MIN_RETRY_DELAY_S = 1;
  private static final int IMAGES = 20;

  /** Maximum time between acceptance and cancellation of a job, in seconds. */
  private static final double CANCEL_WITHIN_S = 15;

  private final LoadOptions options;
  private final List<String> controllers;
  private final HttpCaller caller;
  private final Timers timers;
  private final InvariantChecker invariants;
  private final LatencyRecorder latencies;
  private final Random random;
  private boolean stopped;
  private int submittedJobs;
  private int acceptedJobs;
  private int openJobs;
  private int failedSubmissions;

  JobGenerator(
      LoadOptions options,
      List<String> controllers,
      HttpCaller caller,
      Timers timers,
      InvariantChecker invariants,
      LatencyRecorder latencies) {
    this.options = options;
    this.controllers = controllers;
    this.caller = caller;
    this.timers = timers;
    this.invariants = invariants;
    this.latencies = latencies;
    this.random = new Random(options.seed());
  }

  /** Submits jobs until {@link #stop}. */
  void start() {
    double intervalS = options.tasksPerJob() / options.startsPerS();
    submitNext(timers.now(), intervalS);
  }

  private void submitNext(double dueAt, double intervalS) {
    if (stopped) {
      return;
    }
    submit();
    double nextDueAt = dueAt + intervalS;
    timers.after(Math.max(0, nextDueAt - timers.now()), () -> submitNext(nextDueAt, intervalS));
  }

  void stop() {
    stopped = true;
  }

  /** Number of accepted jobs for which no final status was received. */
  int openJobs() {
    return openJobs;
  }

  int acceptedJobs() {
    return acceptedJobs;
  }

  /** Number of submission attempts that failed or were refused and were retried. */
  int failedSubmissions() {
    return failedSubmissions;
  }

  private void submit() {
    String id = String.format(Locale.ROOT, "wk-%06d", ++submittedJobs);
    boolean urgent = random.nextDouble() < options.urgentShare();
    String team = LoadSettings.team(random.nextInt(options.teams()));
    InvariantChecker.Job job =
        new InvariantChecker.Job(id, team, options.tasksPerJob(), urgent, timers.now());
    invariants.jobSubmitted(job);
    byte[] body =
        jobBody(options, job, urgent ? "high" : "normal", "img-" + random.nextInt(IMAGES));
    post(job, body, submittedJobs);
  }

  /** The body of a submission. */
  static byte[] jobBody(
      LoadOptions options, InvariantChecker.Job job, String urgency, String image) {
    return Document.create()
        .put("id", job.id())
        .put("batchclass", job.urgent() ? LoadSettings.URGENT_CLASS : "bulk")
        .put("owner", job.team())
        .put("shape", "sweep")
        .put("urgency", urgency)
        .put("pieces", job.tasks())
        .put("vcpus", options.taskCpus())
        .put("cards", 0.0)
        .put("ram_gb", options.taskCpus())
        .put("bundle", image)
        .put("size_gb", 1.0)
        .put("same_place", false)
        .put("apart", false)
        .put("loaners", true)
        .put("expect_s", options.runS())
        .put("snapshot_every_s", 0.0)
        .put("snapshot_s", 0.0)
        .encode();
  }

  private void post(InvariantChecker.Job job, byte[] body, int attempt) {
    String controller = controllers.get(attempt % controllers.size());
    caller.call(
        controller,
        "POST",
        "/v1/jobs",
        body,
        SUBMIT_TIMEOUT_S,
        reply -> {
          if (reply.status() == 201 || reply.ok()) {
            latencies.jobAccepted(timers.now() - job.submittedAt());
            acceptedJobs++;
            openJobs++;
            timers.after(POLL_INTERVAL_S, () -> poll(job.id(), attempt));
            if (options.cancelShare() > 0 && random.nextDouble() < options.cancelShare()) {
              double afterS = random.nextDouble() * CANCEL_WITHIN_S;
              timers.after(afterS, () -> cancel(job.id(), attempt));
            }
          } else {
            failedSubmissions++;
            timers.after(
                Math.max(MIN_RETRY_DELAY_S, reply.retryAfterS()),
                () -> post(job, body, attempt + 1));
          }
        });
  }

  private void cancel(String id, int attempt) {
    boolean askedAfterEnd = invariants.finished(id);
    caller.call(
        controllers.get(attempt % controllers.size()),
        "POST",
        "/v1/jobs/" + id + "/abort",
        new byte[0],
        SUBMIT_TIMEOUT_S,
        reply -> {
          if (reply.ok()) {
            recordStatus(id, reply, askedAfterEnd);
          } else {
            double delayS = Math.max(MIN_RETRY_DELAY_S, reply.retryAfterS());
            timers.after(delayS, () -> cancel(id, attempt + 1));
          }
        });
  }

  /** Polls a job until it has finished, and once more at another controller. */
  private void poll(String id, int attempt) {
    boolean askedAfterEnd = invariants.finished(id);
    caller.call(
        controllers.get(attempt % controllers.size()),
        "GET",
        "/v1/jobs/" + id,
        null,
        POLL_TIMEOUT_S,
        reply -> {
          if (reply.status() == 404) {
            invariants.jobNotFound(id);
          }
          if (reply.ok()) {
            recordStatus(id, reply, askedAfterEnd);
          }
          if (!askedAfterEnd || !reply.ok()) {
            int next = reply.ok() && !invariants.finished(id) ? attempt : attempt + 1;
            timers.after(POLL_INTERVAL_S, () -> poll(id, next));
          }
        });
  }

  private void recordStatus(String id, Response reply, boolean askedAfterEnd) {
    boolean alreadyFinished = invariants.finished(id);
    invariants.statusReported(id, statusOf(reply), askedAfterEnd);
    if (invariants.finished(id) && !alreadyFinished) {
      openJobs--;
    }
  }

  /** The job status in a response to a user. */
  static String statusOf(Response reply) {
    try {
      return Document.decode(reply.body()).text("status");
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }
}
