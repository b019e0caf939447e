package dev.dunefront.job;

import dev.dunefront.claim.Account;
import dev.dunefront.claim.Claims;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.net.HttpServer.Answer;
import dev.dunefront.wire.Doc;

/** What users are answered. */
final class Answers {
  private static final int AGAIN_S = 1;

  private Answers() {}

  static byte[] status(Claims claims, String id, Status status, JobTable.Entry entry) {
    Account.Counts counts = claims.account().counts(id);
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
    return Doc.of()
        .put("id", id)
        .put("status", word)
        .put("done", done)
        .put("running", status == Status.OPEN ? running : 0)
        .encode();
  }

  static byte[] error(String what) {
    return Doc.of().put("error", what).encode();
  }

  static void again(Answer answer) {
    answer.send(503, error("not now"), AGAIN_S);
  }
}
