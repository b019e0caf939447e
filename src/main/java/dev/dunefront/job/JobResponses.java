package dev.dunefront.job;

import dev.dunefront.claim.Claims;
import dev.dunefront.claim.JobStatistics;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.net.HttpServer.Responder;
import dev.dunefront.wire.Document;

/** Response bodies of the job API. */
final class JobResponses {
  /** Value of {@code Retry-After} in a 503 response, in seconds. */
  private static final int RETRY_AFTER_S = 1;

  private JobResponses() {}

  /**
   * The status of a job. The counts come from this controller's account of task progress; a job
   * that is done reports all its tasks as done.
   *
   * @param entry the live record, or null if there is none
   */
  static byte[] statusBody(Claims claims, String id, Status status, JobTable.Entry entry) {
    JobStatistics.Counts counts = claims.statistics().counts(id);
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
    return Document.create()
        .put("id", id)
        .put("status", statusName)
        .put("done", done)
        .put("running", status == Status.OPEN ? running : 0)
        .encode();
  }

  static byte[] errorBody(String message) {
    return Document.create().put("error", message).encode();
  }

  /** Responds that the request cannot be served now and may be retried. */
  static void sendRetryLater(Responder responder) {
    responder.send(503, errorBody("not now"), RETRY_AFTER_S);
  }
}
