package dev.dunefront.evidence;

import dev.dunefront.wire.Report;

/**
 * What has been seen of a worker's messages so far, and what one more of them is worth. Copies of
 * reports may come late, by seconds or by several leases, and say what was true when they were
 * sent: none of them may count as a sign of life, as an answer waited for, or as news.
 *
 * @param tenure the worker's latest session
 * @param serial the largest serial seen in it, of reports and of answers to orders
 * @param reported the largest serial seen in it of reports alone
 * @param baton the highest baton that the worker has shown; it never forgets one while it lives
 */
public record Freshness(long tenure, long serial, long reported, long baton) {
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
    return of(r.tenure(), r.serial(), r.baton());
  }

  /** What a report of this session, with this serial and showing this baton is worth. */
  public Worth of(long itsTenure, long itsSerial, long itsBaton) {
    if (itsBaton < baton) {
      return Worth.COPY;
    }
    if (itsTenure > tenure || itsTenure == tenure && itsSerial > serial) {
      return Worth.NEW;
    }
    // A worker has one report under way at a time, so its reports come in the order of serials.
    return itsTenure == tenure && itsSerial > reported ? Worth.OVERTAKEN : Worth.COPY;
  }

  /** A report has been taken that was no copy. */
  public Freshness reported(Report r) {
    Freshness next = answered(r);
    return new Freshness(next.tenure, next.serial, Math.max(r.serial(), next.reported), next.baton);
  }

  /** An answer to orders or to a question has been taken. */
  public Freshness answered(Report r) {
    long shown = Math.max(baton, r.baton());
    if (!r.newerThan(tenure, serial)) {
      return new Freshness(tenure, serial, reported, shown);
    }
    return new Freshness(r.tenure(), r.serial(), r.tenure() > tenure ? -1 : reported, shown);
  }

  /**
   * Whether a worker that gives this answer now, to a question asked when this was known, has begun
   * anew: everything that it has ever said counts from a beginning that is over. A late copy cannot
   * look like that, for nobody has asked it.
   */
  public boolean begunAnew(Report answer) {
    return tenure > 0
        && (answer.baton() < baton
            || answer.tenure() < tenure
            || answer.tenure() == tenure && answer.serial() <= serial);
  }
}
