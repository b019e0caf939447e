package dev.dunefront.evidence;

import dev.dunefront.wire.Report;

/**
 * Tracks the reports and responses received from a worker and classifies further ones. Duplicates
 * of reports may arrive seconds or several lease durations late and describe the state at the time
 * of sending. None of them may renew a lease, count as a response to a request, or update the known
 * state.
 *
 * @param session the latest session of the worker
 * @param serial the highest serial number received in that session, in a report or a response
 * @param reported the highest serial number received in that session in a report; -1 before the
 *     first
 * @param token the highest token that the worker has reported; a worker keeps the highest token
 *     until it restarts
 */
public record Freshness(long session, long serial, long reported, long token) {
  /** Nothing has been received. */
  public static final Freshness NONE = new Freshness(0, -1, -1, 0);

  /** The classes of reports. */
  public enum Worth {
    /** It carries new information. */
    NEW,
    /**
     * A response to orders that the worker sent later has arrived earlier. The report carries no
     * new information, but its sender may be waiting for the answer, which renews the lease.
     */
    OVERTAKEN,
    /**
     * A duplicate, or sent before a report that was already received. The sender does not wait for
     * its answer.
     */
    COPY
  }

  public Worth of(Report r) {
    return of(r.session(), r.serial(), r.token());
  }

  /** Classifies a report by its session, its serial number and the token in it. */
  public Worth of(long reportSession, long reportSerial, long reportToken) {
    if (reportToken < token) {
      return Worth.COPY;
    }
    if (reportSession > session || reportSession == session && reportSerial > serial) {
      return Worth.NEW;
    }
    // A worker sends one report at a time, so its reports arrive in the order of their serial
    // numbers.
    return reportSession == session && reportSerial > reported ? Worth.OVERTAKEN : Worth.COPY;
  }

  /** Returns the state after a report that is not stale. */
  public Freshness reported(Report r) {
    Freshness next = answered(r);
    return new Freshness(
        next.session, next.serial, Math.max(r.serial(), next.reported), next.token);
  }

  /** Returns the state after a response to orders or to a status request. */
  public Freshness answered(Report r) {
    long shown = Math.max(token, r.token());
    if (!r.newerThan(session, serial)) {
      return new Freshness(session, serial, reported, shown);
    }
    return new Freshness(r.session(), r.serial(), r.session() > session ? -1 : reported, shown);
  }

  /**
   * Whether a response proves that the worker has restarted, given that this was the known state
   * when the request was sent: its token or serial numbers have fallen behind those reported
   * earlier. A late duplicate cannot look like that, since it is not the response to a request sent
   * now.
   */
  public boolean begunAnew(Report answer) {
    return session > 0
        && (answer.token() < token
            || answer.session() < session
            || answer.session() == session && answer.serial() <= serial);
  }
}
