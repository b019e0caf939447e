package dev.dunefront.evidence;

import dev.dunefront.wire.Report;

/**
 * What has been seen of a worker's messages so far, and what one more of them is worth. Copies of
 * reports may come late, by seconds or by several leases, and say what was true when they were
 * sent: none of them may count as a sign of life, as an answer waited for, or as news.
 *
 * @param session the worker's latest session
 * @param serial the largest serial seen in it, of reports and of answers to orders
 * @param reported the largest serial seen in it of reports alone
 * @param token the highest token that the worker has shown; it never forgets one while it lives
 */
public record Freshness(long session, long serial, long reported, long token) {
  /** Nothing has been seen. */
  public static final Freshness NONE = new Freshness(0, -1, -1, 0);

  /** What a report is worth. */
  public enum Worth {
    /** It tells something. */
    NEW,
    /**
     * An answer to orders that was given after it came before it. It tells nothing, but its sender
     * may be waiting for the answer, which renews the lease.
     */
    OVERTAKEN,
    /** It was seen before, or was sent before something that was: nobody waits for its answer. */
    COPY
  }

  public Worth of(Report r) {
    return of(r.session(), r.serial(), r.token());
  }

  /** What a report of this session, with this serial and showing this token is worth. */
  public Worth of(long itsSession, long itsSerial, long itsToken) {
    if (itsToken < token) {
      return Worth.COPY;
    }
    if (itsSession > session || itsSession == session && itsSerial > serial) {
      return Worth.NEW;
    }
    // A worker has one report under way at a time, so its reports come in the order of serials.
    return itsSession == session && itsSerial > reported ? Worth.OVERTAKEN : Worth.COPY;
  }

  /** A report has been taken that was no copy. */
  public Freshness reported(Report r) {
    Freshness next = answered(r);
    return new Freshness(
        next.session, next.serial, Math.max(r.serial(), next.reported), next.token);
  }

  /** An answer to orders or to a question has been taken. */
  public Freshness answered(Report r) {
    long shown = Math.max(token, r.token());
    if (!r.newerThan(session, serial)) {
      return new Freshness(session, serial, reported, shown);
    }
    return new Freshness(r.session(), r.serial(), r.session() > session ? -1 : reported, shown);
  }

  /**
   * Whether a worker that gives this answer now, to a question asked when this was known, has begun
   * anew: everything that it has ever said counts from a beginning that is over. A late copy cannot
   * look like that, for nobody has asked it.
   */
  public boolean begunAnew(Report answer) {
    return session > 0
        && (answer.token() < token
            || answer.session() < session
            || answer.session() == session && answer.serial() <= serial);
  }
}
