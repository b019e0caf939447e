package dev.dunefront.store;

import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import java.util.ArrayList;
import java.util.List;

/**
 * Borrows write tokens from controllers that have some to spare. The shares of the common rate
 * follow demand only over seconds: with many controllers each can send few writes at once, and a
 * new job would wait for tokens while those of other controllers are unused.
 */
public final class WriteLoans {
  /**
   * Loans that arrive later than this after the request, in seconds, are ignored: the lender has
   * refilled its bucket since.
   */
  static final double LOAN_TIMEOUT_S = 0.1;

  /** Maximum time between two requests, in seconds, while no controller has tokens to spare. */
  static final double MAX_REQUEST_INTERVAL_S = 1;

  /** Write tokens requested from each of several controllers, because none has many. */
  private static final int WRITES_PER_LENDER = 2;

  private final String ownNode;
  private final StateStore store;
  private final Membership membership;
  private final Peers peers;
  private final Timers timers;
  private long requestNumber;
  private double requestedAt = Double.NEGATIVE_INFINITY;
  private double requestIntervalS = LOAN_TIMEOUT_S;
  private int nextLender;

  public WriteLoans(
      String ownNode, StateStore store, Membership membership, Peers peers, Timers timers) {
    this.ownNode = ownNode;
    this.store = store;
    this.membership = membership;
    this.peers = peers;
    this.timers = timers;
    store.onWriteShortage(this::requestLoans);
  }

  /** Requests {@code missing} write tokens from other controllers. */
  private void requestLoans(int missing) {
    double now = timers.now();
    if (now - requestedAt < requestIntervalS) {
      return;
    }
    List<String> others = new ArrayList<>(membership.liveNodes());
    others.remove(ownNode);
    if (others.isEmpty()) {
      return;
    }
    others.sort(null);
    requestedAt = now;
    requestIntervalS = Math.min(MAX_REQUEST_INTERVAL_S, 2 * requestIntervalS);
    requestNumber++;
    int lenders = Math.min(others.size(), (missing + WRITES_PER_LENDER - 1) / WRITES_PER_LENDER);
    int writesPerLender = (missing + lenders - 1) / lenders;
    for (int i = 0; i < lenders; i++) {
      // Round robin: a controller that has just lent tokens has fewer left.
      peers.send(
          others.get(nextLender++ % others.size()),
          new Message.LoanRequest(requestNumber, writesPerLender));
    }
  }

  public void received(String from, Message.LoanRequest request) {
    int lent = store.lendWrites(request.writes());
    if (lent > 0) {
      peers.send(from, new Message.Loan(request.requestNumber(), lent));
    }
  }

  public void received(Message.Loan loan) {
    if (loan.requestNumber() == requestNumber && timers.now() - requestedAt <= LOAN_TIMEOUT_S) {
      requestIntervalS = LOAN_TIMEOUT_S;
      store.addBorrowedWrites(loan.writes());
    }
  }
}
