package dev.dunefront.job;

import dev.dunefront.claim.Claims;
import dev.dunefront.config.Settings;
import dev.dunefront.fleet.MachineCatalog;
import dev.dunefront.metrics.AnswerMonitor;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.HttpServer.Responder;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.ReadBarrier;
import dev.dunefront.store.StateStore;

/**
 * Serves the users' requests to submit, poll and cancel jobs. A change is confirmed only after it
 * is written to the state service. A status that can still change is reported only with evidence
 * that is newer than the request ({@link ConfirmedStatus}): submit and cancel read the job's keys
 * or write them conditionally, polls share one read of all changes ({@link ReadBarrier}). A request
 * that cannot be served is refused immediately with a 503.
 */
public final class JobApi {
  private final Submissions submissions;
  private final StatusPolls statusPolls;
  private final CancelRequests cancelRequests;

  public JobApi(
      Settings settings,
      Membership membership,
      JobTable jobs,
      Claims claims,
      MachineCatalog catalog,
      StateStore store,
      ReadBarrier readBarrier,
      Peers peers,
      Timers timers,
      DecisionLock decisionLock,
      AnswerMonitor answerMonitor) {
    JobResponses responses = new JobResponses(jobs, claims, answerMonitor);
    submissions =
        new Submissions(settings, membership, jobs, claims, responses, catalog, store, timers);
    statusPolls = new StatusPolls(jobs, responses, store, readBarrier);
    cancelRequests = new CancelRequests(jobs, responses, store, peers, timers, decisionLock);
    jobs.addListener((id, before, entry) -> onJobChanged(id, entry));
  }

  public void submit(byte[] body, Responder responder) {
    submissions.submit(body, responder);
  }

  public void poll(String id, Responder responder) {
    statusPolls.poll(id, responder);
  }

  public void cancel(String id, Responder responder) {
    cancelRequests.cancel(id, responder);
  }

  private void onJobChanged(String id, JobTable.Entry entry) {
    if (entry != null) {
      submissions.onRecordReplicated(id, entry);
    }
    cancelRequests.onJobChanged(id, entry);
  }
}
