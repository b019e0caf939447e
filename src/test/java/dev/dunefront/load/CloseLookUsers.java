package dev.dunefront.load;

import dev.dunefront.net.HttpCaller;
import dev.dunefront.net.HttpCaller.Response;
import dev.dunefront.net.Timers;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Simulated users who cancel each job at once and then, within milliseconds after the confirmation,
 * repeat its submission at all controllers and poll it there. Their jobs are so large that most are
 * not claimed by any controller.
 */
final class CloseLookUsers {
  private static final double TIMEOUT_S = 5;
  private static final double RETRY_DELAY_S = 1;
  private static final int MAX_CANCEL_TRIES = 40;
  private static final int TASKS_PER_WORKER = 3;

  /** Maximum time between acceptance and cancellation of a job, in seconds. */
  private static final double CANCEL_WITHIN_S = 0.1;

  /** Times after the confirmation at which all controllers are asked, in seconds. */
  private static final List<Double> LOOKS_AFTER_S = List.of(0.0, 0.01, 0.03, 0.1, 0.3);

  private final LoadOptions options;
  private final List<String> controllers;
  private final HttpCaller caller;
  private final Timers timers;
  private final InvariantChecker invariants;
  private final Random random;
  private boolean stopped;
  private int submittedJobs;
  private int looks;

  CloseLookUsers(
      LoadOptions options,
      List<String> controllers,
      HttpCaller caller,
      Timers timers,
      InvariantChecker invariants) {
    this.options = options;
    this.controllers = controllers;
    this.caller = caller;
    this.timers = timers;
    this.invariants = invariants;
    this.random = new Random(options.seed() + 1);
  }

  /** Submits jobs until {@link #stop}, if the options ask for any. */
  void start() {
    if (options.closeLooksPerS() > 0 && !stopped) {
      submit();
      timers.after(1 / options.closeLooksPerS(), this::start);
    }
  }

  void stop() {
    stopped = true;
  }

  /** Number of answers received to requests sent after the confirmation of a cancellation. */
  int looks() {
    return looks;
  }

  private void submit() {
    String id = String.format(Locale.ROOT, "wk-9%05d", ++submittedJobs);
    InvariantChecker.Job job =
        new InvariantChecker.Job(
            id,
            LoadSettings.team(random.nextInt(options.teams())),
            options.workers() * TASKS_PER_WORKER,
            false,
            timers.now());
    invariants.jobSubmitted(job);
    byte[] body = JobGenerator.jobBody(options, job, "normal", "img-0");
    int controller = random.nextInt(controllers.size());
    double cancelAfterS = CANCEL_WITHIN_S * random.nextDouble();
    post(
        controller,
        id,
        body,
        reply -> timers.after(cancelAfterS, () -> cancel(id, body, controller + 1, 1)));
  }

  private void post(int controller, String id, byte[] body, Consumer<Response> callback) {
    boolean askedAfterEnd = invariants.finished(id);
    call(
        controller,
        "POST",
        "/v1/jobs",
        body,
        reply -> {
          recordAnswer(id, reply, askedAfterEnd);
          callback.accept(reply);
        });
  }

  private void cancel(String id, byte[] body, int controller, int attempt) {
    call(
        controller,
        "POST",
        "/v1/jobs/" + id + "/abort",
        new byte[0],
        reply -> {
          if (reply.ok()) {
            recordAnswer(id, reply, false);
            LOOKS_AFTER_S.forEach(s -> timers.after(s, () -> lookAtAllControllers(id, body)));
          } else if (reply.status() != 404 && attempt < MAX_CANCEL_TRIES) {
            timers.after(RETRY_DELAY_S, () -> cancel(id, body, controller + 1, attempt + 1));
          }
        });
  }

  private void lookAtAllControllers(String id, byte[] body) {
    for (int i = 0; i < controllers.size(); i++) {
      post(i, id, body, reply -> {});
      call(i, "GET", "/v1/jobs/" + id, null, reply -> recordAnswer(id, reply, true));
    }
  }

  private void recordAnswer(String id, Response reply, boolean askedAfterEnd) {
    if (askedAfterEnd && reply.status() == 404) {
      invariants.jobNotFound(id);
    }
    if (reply.ok() || reply.status() == 201) {
      looks += askedAfterEnd ? 1 : 0;
      invariants.statusReported(id, JobGenerator.statusOf(reply), askedAfterEnd);
    }
  }

  private void call(
      int controller, String method, String path, byte[] body, Consumer<Response> callback) {
    caller.call(
        controllers.get(controller % controllers.size()),
        method,
        path,
        body,
        TIMEOUT_S,
        callback::accept);
  }
}
