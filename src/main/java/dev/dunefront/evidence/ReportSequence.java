package dev.dunefront.evidence;

import dev.dunefront.wire.Report;

/**
 * What has been seen of a worker's messages so far, and what one more of them is worth. Copies of
 * reports may come late, by seconds or by several leases, and say what was true when they were
 * sent: none of them may count as a sign of life, as an answer waited for, or as news.
 *
 * @param session the worker's latest session
 * @param highestSerial the largest serial seen in it, of reports and of answers to orders
 * @param reported the largest serial seen in it of reports alone
 * @param highestToken the highest token that the worker has shown; it never forgets one while it
 *     lives
 */
public record ReportSequence(long session, long highestSerial, long reported, long highestToken) {
  /** Nothing has been seen. */
  public static final ReportSequence NONE = new ReportSequence(0, -1, -1, 0);

  /** What a report is worth. */
  public enum Classification {
    /** It tells something. */
    NEW,
    /**
     * An answer to orders that was given after it came before it. It tells nothing, but its sender
     * may be waiting for the answer, which renews the lease.
     */
    OVERTAKEN,
    /** It was seen before, or was sent before something that was: nobody waits for its answer. */
    STALE
  }

  public Classification classify(Report r) {
    return classify(r.session(), r.serial(), r.token());
  }

  /** What a report of this session, with this serial and showing this token is worth. */
  public Classification classify(long itsSession, long itsSerial, long itsToken) {
    if (itsToken < highestToken) {
      return Classification.STALE;
    }
    if (itsSession > session || itsSession == session && itsSerial > highestSerial) {
      return Classification.NEW;
    }
    // A worker has one report under way at a time, so its reports come in the order of serials.
    return itsSession == session && itsSerial > reported
        ? Classification.OVERTAKEN
        : Classification.STALE;
  }

  /** A report has been taken that was no copy. */
  public ReportSequence reported(Report r) {
    ReportSequence next = afterReply(r);
    return new ReportSequence(
        next.session, next.highestSerial, Math.max(r.serial(), next.reported), next.highestToken);
  }

  /** An answer to orders or to a question has been taken. */
  public ReportSequence afterReply(Report r) {
    long shown = Math.max(highestToken, r.token());
    if (!r.newerThan(session, highestSerial)) {
      return new ReportSequence(session, highestSerial, reported, shown);
    }
    return new ReportSequence(
        r.session(), r.serial(), r.session() > session ? -1 : reported, shown);
  }

  /**
   * Whether a worker that gives this answer now, to a question asked when this was known, has begun
   * anew: everything that it has ever said counts from a beginning that is over. A late copy cannot
   * look like that, for nobody has asked it.
   */
  public boolean provesRestart(Report answer) {
    return session > 0
        && (answer.token() < highestToken
            || answer.session() < session
            || answer.session() == session && answer.serial() <= highestSerial);
  }
}
