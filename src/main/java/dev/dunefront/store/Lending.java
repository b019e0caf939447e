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
public final class Lending {
  /**
   * Loans that arrive later than this after the request, in seconds, are ignored: the lender has
   * refilled its bucket since.
   */
  static final double ANSWER_S = 0.1;

  /** Maximum time between two requests, in seconds, while no controller has tokens to spare. */
  static final double LONGEST_PAUSE_S = 1;

  /** Write tokens requested from each of several controllers, because none has many. */
  private static final int ASKED_OF_EACH = 2;

  private final String self;
  private final Store store;
  private final Membership membership;
  private final Peers peers;
  private final Timers timers;
  private long number;
  private double askedAt = Double.NEGATIVE_INFINITY;
  private double pauseS = ANSWER_S;
  private int turn;

  public Lending(String self, Store store, Membership membership, Peers peers, Timers timers) {
    this.self = self;
    this.store = store;
    this.membership = membership;
    this.peers = peers;
    this.timers = timers;
    store.onShort(this::ask);
  }

  /** Requests {@code missing} write tokens from other controllers. */
  private void ask(int missing) {
    double now = timers.now();
    if (now - askedAt < pauseS) {
      return;
    }
    List<String> others = new ArrayList<>(membership.liveNodes());
    others.remove(self);
    if (others.isEmpty()) {
      return;
    }
    others.sort(null);
    askedAt = now;
    pauseS = Math.min(LONGEST_PAUSE_S, 2 * pauseS);
    number++;
    int lenders = Math.min(others.size(), (missing + ASKED_OF_EACH - 1) / ASKED_OF_EACH);
    int writesPerLender = (missing + lenders - 1) / lenders;
    for (int i = 0; i < lenders; i++) {
      // Round robin: a controller that has just lent tokens has fewer left.
      peers.send(others.get(turn++ % others.size()), new Message.LoanAsk(number, writesPerLender));
    }
  }

  public void received(String from, Message.LoanAsk request) {
    int lent = store.lend(request.changes());
    if (lent > 0) {
      peers.send(from, new Message.Loan(request.number(), lent));
    }
  }

  public void received(Message.Loan loan) {
    if (loan.number() == number && timers.now() - askedAt <= ANSWER_S) {
      pauseS = ANSWER_S;
      store.borrow(loan.changes());
    }
  }
}
