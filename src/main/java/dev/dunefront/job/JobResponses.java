package dev.dunefront.job;

import dev.dunefront.claim.Claims;
import dev.dunefront.claim.JobStatistics;
import dev.dunefront.evidence.AnswerRefusal;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.metrics.AnswerMonitor;
import dev.dunefront.net.HttpServer.Responder;
import dev.dunefront.wire.Document;
import java.lang.System.Logger.Level;

/** Sends the responses of the job API. A status is sent only with evidence that it is current. */
final class JobResponses {
  private static final System.Logger LOG = System.getLogger(JobResponses.class.getName());

  /** Value of {@code Retry-After} in a 503 response, in seconds. */
  private static final int RETRY_AFTER_S = 1;

  private final JobTable jobs;
  private final Claims claims;
  private final AnswerMonitor monitor;

  JobResponses(JobTable jobs, Claims claims, AnswerMonitor monitor) {
    this.jobs = jobs;
    this.claims = claims;
    this.monitor = monitor;
  }

  /** Responds with a job's status. */
  void sendStatus(Responder responder, String id, ConfirmedStatus confirmed) {
    sendStatus(responder, 200, id, confirmed);
  }

  /** Responds that a submission is accepted and with the job's status. */
  void sendAccepted(Responder responder, String id, ConfirmedStatus confirmed) {
    sendStatus(responder, 201, id, confirmed);
  }

  private void sendStatus(
      Responder responder, int httpStatus, String id, ConfirmedStatus confirmed) {
    // The job may have ended here while the evidence was being obtained.
    ConfirmedStatus known = jobs.confirmedFinalStatus(id);
    ConfirmedStatus reported = known == null ? confirmed : known;
    int reportedHttpStatus = known == null ? httpStatus : 200;
    LOG.log(Level.DEBUG, "answering {0} for job {1}: {2}", reportedHttpStatus, id, reported);
    monitor.answered(reported.evidence());
    responder.send(reportedHttpStatus, statusBody(id, reported.status()));
  }

  /**
   * The status of a job. The counts come from this controller's account of task progress; a job
   * that is done reports all its tasks as done.
   */
  private byte[] statusBody(String id, Status status) {
    JobStatistics.Counts counts = claims.statistics().counts(id);
    JobTable.Entry entry = jobs.get(id);
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

  /** Responds with an error status other than 503. */
  void sendError(Responder responder, int httpStatus, String message) {
    responder.send(httpStatus, errorBody(message));
  }

  /** Responds that there is no such job. */
  void sendNotFound(Responder responder) {
    sendError(responder, 404, "no such job");
  }

  /** Responds that the request cannot be served now and may be retried. */
  void sendRetryLater(Responder responder, AnswerRefusal reason) {
    monitor.refused(reason);
    responder.send(503, errorBody("not now"), RETRY_AFTER_S);
  }

  private static byte[] errorBody(String message) {
    return Document.create().put("error", message).encode();
  }
}
