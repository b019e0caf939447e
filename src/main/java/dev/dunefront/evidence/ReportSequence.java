package dev.dunefront.evidence;

import dev.dunefront.wire.Report;

/**
 * Tracks the reports and responses received from a worker and classifies further ones. Duplicates
 * of reports may arrive seconds or several lease durations late and describe the state at the time
 * of sending. None of them may renew a lease, count as a response to a request, or update the known
 * state.
 *
 * @param session the latest session of the worker
 * @param highestSerial the highest serial number received in that session, in a report or a
 *     response
 * @param highestReportSerial the highest serial number received in that session in a report; -1
 *     before the first
 * @param highestToken the highest token that the worker has reported; a worker keeps it until it
 *     restarts
 */
public record ReportSequence(
    long session, long highestSerial, long highestReportSerial, long highestToken) {
  /** Nothing has been received. */
  public static final ReportSequence NONE = new ReportSequence(0, -1, -1, 0);

  /** The classes of reports. */
  public enum Classification {
    /**
     * It may be from an earlier boot of the worker, see {@link WorkerBoot}. It carries no
     * information, but its sender may be waiting for the answer, from which it learns the token.
     */
    UNCONFIRMED,
    /** It carries new information. */
    NEW,
    /**
     * A response to commands that the worker sent later has arrived earlier. The report carries no
     * new information, but its sender may be waiting for the answer, which renews the lease.
     */
    OVERTAKEN,
    /**
     * A duplicate, or sent before a report that was already received. The sender does not wait for
     * its answer.
     */
    STALE
  }

  public Classification classify(Report r) {
    return classify(r.session(), r.serial(), r.token());
  }

  /** Classifies a report by its session, its serial number and the token in it. */
  public Classification classify(long reportSession, long reportSerial, long reportToken) {
    if (reportToken < highestToken) {
      return Classification.STALE;
    }
    if (reportSession > session || reportSession == session && reportSerial > highestSerial) {
      return Classification.NEW;
    }
    // A worker sends one report at a time, so its reports arrive in the order of their serial
    // numbers.
    return reportSession == session && reportSerial > highestReportSerial
        ? Classification.OVERTAKEN
        : Classification.STALE;
  }

  /** Returns the state after a report that is not stale. */
  public ReportSequence afterReport(Report r) {
    ReportSequence next = afterReply(r);
    return new ReportSequence(
        next.session,
        next.highestSerial,
        Math.max(r.serial(), next.highestReportSerial),
        next.highestToken);
  }

  /** Returns the state after a response to commands or to a status request. */
  public ReportSequence afterReply(Report r) {
    long newHighestToken = Math.max(highestToken, r.token());
    if (!r.newerThan(session, highestSerial)) {
      return new ReportSequence(session, highestSerial, highestReportSerial, newHighestToken);
    }
    return new ReportSequence(
        r.session(), r.serial(), r.session() > session ? -1 : highestReportSerial, newHighestToken);
  }

  /**
   * Whether a response proves that the worker has restarted, given that this was the known state
   * when the request was sent: its token or serial numbers have fallen behind those reported
   * earlier. A late duplicate cannot look like that, since it is not the response to a request sent
   * now.
   */
  public boolean provesRestart(Report answer) {
    return session > 0
        && (answer.token() < highestToken
            || answer.session() < session
            || answer.session() == session && answer.serial() <= highestSerial);
  }
}
