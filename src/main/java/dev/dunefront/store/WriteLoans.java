package dev.dunefront.store;

import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import java.util.ArrayList;
import java.util.List;

/**
 * Borrows changes from controllers that have some to spare. Parts of the common rate follow demand,
 * but only over seconds: with many controllers each may send few changes at once, and a job that
 * has just come would wait for its share while the others' lie idle.
 */
public final class WriteLoans {
  /** An answer that comes later than this, in seconds, is about changes saved up long ago. */
  static final double LOAN_TIMEOUT_S = 0.1;

  /** Where nobody has any, the next question waits up to so long, in seconds. */
  static final double MAX_REQUEST_INTERVAL_S = 1;

  /** As much is asked of each of several, for none has much. */
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
      String self, StateStore store, Membership membership, Peers peers, Timers timers) {
    this.ownNode = self;
    this.store = store;
    this.membership = membership;
    this.peers = peers;
    this.timers = timers;
    store.onWriteShortage(this::requestLoans);
  }

  /** So many changes are lacking for what waits here. */
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
    int count = Math.min(others.size(), (missing + WRITES_PER_LENDER - 1) / WRITES_PER_LENDER);
    int each = (missing + count - 1) / count;
    for (int i = 0; i < count; i++) {
      // Another one each time: who has given has less.
      peers.send(
          others.get(nextLender++ % others.size()), new Message.LoanRequest(requestNumber, each));
    }
  }

  public void received(String from, Message.LoanRequest ask) {
    int given = store.lendWrites(ask.writes());
    if (given > 0) {
      peers.send(from, new Message.Loan(ask.requestNumber(), given));
    }
  }

  public void received(Message.Loan loan) {
    if (loan.requestNumber() == requestNumber && timers.now() - requestedAt <= LOAN_TIMEOUT_S) {
      requestIntervalS = LOAN_TIMEOUT_S;
      store.addBorrowedWrites(loan.writes());
    }
  }
}
