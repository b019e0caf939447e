package dev.dunefront.evidence;

import dev.dunefront.evidence.ReportSequence.Classification;
import dev.dunefront.wire.Report;

/**
 * One boot of a worker, the time between two starts of its machine, as its holder knows it. A
 * restarted worker counts sessions and serial numbers from 1 again and has forgotten its highest
 * token, so none of these numbers alone tells which boot a report is from or a command was meant
 * for. The token does: the holder gives each token to one boot only, also while it does not know
 * yet which boot it answers. A report under a lower token may be from an earlier boot and proves
 * nothing, and once a worker has reported a token it refuses all commands of earlier ones. A
 * command that the network delivers late or twice may still teach the next boot a token of the one
 * before; that boot is then known by its serial numbers.
 *
 * @param firstToken the lowest token that was given to this boot and to no earlier one
 * @param commandToken the token under which commands and answers are sent now
 * @param startsSent whether a start was sent under {@code commandToken}
 * @param reports the reports and responses received from this boot so far
 */
public record WorkerBoot(
    long firstToken, long commandToken, boolean startsSent, ReportSequence reports) {

  /** A boot of which nothing is known yet and which will get tokens from this one on. */
  public static WorkerBoot unknown(long firstToken) {
    return new WorkerBoot(firstToken, firstToken, false, ReportSequence.NONE);
  }

  /** Whether the worker has reported a token that only this boot can have. */
  public boolean confirmed() {
    return reports.highestToken() >= firstToken;
  }

  /** Whether this is a later state of the other boot. */
  public boolean isSameAs(WorkerBoot other) {
    return firstToken == other.firstToken;
  }

  /** Whether a token may have been given by this holder; a higher one is another holder's. */
  public boolean mayHaveGiven(long token) {
    return token <= commandToken;
  }

  public Classification classify(Report report) {
    return classify(report.session(), report.serial(), report.token());
  }

  /** Classifies a report by its session, its serial number and the token in it. */
  public Classification classify(long session, long serial, long token) {
    if (token < firstToken) {
      return confirmed() ? Classification.STALE : Classification.UNCONFIRMED;
    }
    return reports.classify(session, serial, token);
  }

  /**
   * Whether a report or response may be from another boot, as its token is none that only this boot
   * has. It may be a late duplicate of an earlier boot, or from the worker after a restart; the
   * worker's response to a status request tells which.
   */
  public boolean mayBeOfAnotherBoot(Report report) {
    return report.token() < firstToken;
  }

  /**
   * Returns the boot as it has to be before an unconfirmed report is answered. The answer teaches
   * its token to the boot that sent the report, and while no boot is confirmed, that need not be
   * the one that got the answer before. Each of these answers therefore has a token of its own, and
   * only the boot that got the last one can be confirmed.
   */
  public WorkerBoot beforeUnconfirmedAnswer() {
    return unknown(commandToken + 1);
  }

  /**
   * Returns the boot as it has to be before an unconfirmed worker is asked to confirm its token.
   * Such a request may be delayed until another boot receives it, so it may not have the token of
   * an answer.
   */
  public WorkerBoot beforeConfirmationRequest() {
    return raisedTo(commandToken + 1);
  }

  /** Returns the boot after a report that is neither stale nor unconfirmed. */
  public WorkerBoot afterReport(Report report) {
    return withReports(reports.afterReport(report));
  }

  /** Returns the boot after a response to commands or to a status request. */
  public WorkerBoot afterReply(Report reply) {
    return withReports(reports.afterReply(reply));
  }

  /** Returns the boot after another controller has seen it in a later session. */
  public WorkerBoot afterSessionStart(long session) {
    return withReports(new ReportSequence(session, -1, -1, reports.highestToken()));
  }

  private WorkerBoot withReports(ReportSequence next) {
    return new WorkerBoot(firstToken, commandToken, startsSent, next);
  }

  /** Returns the boot after starts were sent under the command token. */
  public WorkerBoot afterStarts() {
    return new WorkerBoot(firstToken, commandToken, true, reports);
  }

  /**
   * Returns the boot as it has to be before an ended attempt is cleared. A worker that no longer
   * knows an attempt carries out a late duplicate of its start, unless it has seen a higher token
   * than that of the start by then.
   */
  public WorkerBoot beforeClears() {
    return startsSent ? raisedTo(commandToken + 1) : this;
  }

  /** Returns the same boot under a higher command token. */
  public WorkerBoot raisedTo(long token) {
    return new WorkerBoot(firstToken, token, false, reports);
  }

  /**
   * Returns the boot that follows, which the worker's response to a request has shown. It gets
   * tokens that the boot before never had.
   */
  public WorkerBoot restarted(Report reply) {
    return unknown(commandToken + 1).afterReply(reply);
  }

  /** Whether a new range of tokens has to be written before the token can be raised again. */
  public boolean tokensExhausted() {
    return FencingTokens.rangeExhausted(commandToken);
  }
}
