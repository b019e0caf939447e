package dev.dunefront.job;

import dev.dunefront.claim.Account;
import dev.dunefront.claim.Claims;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.net.HttpServer.Answer;
import dev.dunefront.wire.Doc;

/** Response bodies of the job API. */
final class Answers {
  /** Value of {@code Retry-After} in a 503 response, in seconds. */
  private static final int AGAIN_S = 1;

  private Answers() {}

  /**
   * The status of a job. The counts come from this controller's account of task progress; a job
   * that is done reports all its tasks as done.
   *
   * @param entry the live record, or null if there is none
   */
  static byte[] status(Claims claims, String id, Status status, JobTable.Entry entry) {
    Account.Counts counts = claims.account().counts(id);
    int done = counts.done();
    int running = counts.running();
    if (status == Status.DONE && entry != null) {
      done = entry.record().spec().tasks();
    }
    String statusName =
        switch (status) {
          case OPEN -> running > 0 ? "running" : "queued";
          case DONE -> "done";
          case CANCELLED -> "cancelled";
        };
    return Doc.of()
        .put("id", id)
        .put("status", statusName)
        .put("done", done)
        .put("running", status == Status.OPEN ? running : 0)
        .encode();
  }

  static byte[] error(String message) {
    return Doc.of().put("error", message).encode();
  }

  /** Responds that the request cannot be served now and may be retried. */
  static void again(Answer answer) {
    answer.send(503, error("not now"), AGAIN_S);
  }
}
