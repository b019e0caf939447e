package dev.dunefront.job;

import dev.dunefront.claim.Claims;
import dev.dunefront.claim.JobStatistics;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.net.HttpServer.Responder;
import dev.dunefront.wire.Document;

/** What users are answered. */
final class JobResponses {
  private static final int RETRY_AFTER_S = 1;

  private JobResponses() {}

  static byte[] statusBody(Claims claims, String id, Status status, JobTable.Entry entry) {
    JobStatistics.Counts counts = claims.statistics().counts(id);
    int done = counts.done();
    int running = counts.running();
    if (status == Status.DONE && entry != null) {
      done = entry.record().spec().tasks();
    }
    String word =
        switch (status) {
          case OPEN -> running > 0 ? "running" : "queued";
          case DONE -> "done";
          case CANCELLED -> "cancelled";
        };
    return Document.create()
        .put("id", id)
        .put("status", word)
        .put("done", done)
        .put("running", status == Status.OPEN ? running : 0)
        .encode();
  }

  static byte[] errorBody(String what) {
    return Document.create().put("error", what).encode();
  }

  static void sendRetryLater(Responder answer) {
    answer.send(503, errorBody("not now"), RETRY_AFTER_S);
  }
}
