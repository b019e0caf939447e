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
public final class Lending {
  /** An answer that comes later than this, in seconds, is about changes saved up long ago. */
  static final double ANSWER_S = 0.1;

  /** Where nobody has any, the next question waits up to so long, in seconds. */
  static final double LONGEST_PAUSE_S = 1;

  /** As much is asked of each of several, for none has much. */
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

  /** So many changes are lacking for what waits here. */
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
    int count = Math.min(others.size(), (missing + ASKED_OF_EACH - 1) / ASKED_OF_EACH);
    int each = (missing + count - 1) / count;
    for (int i = 0; i < count; i++) {
      // Another one each time: who has given has less.
      peers.send(others.get(turn++ % others.size()), new Message.LoanAsk(number, each));
    }
  }

  public void received(String from, Message.LoanAsk ask) {
    int given = store.lend(ask.changes());
    if (given > 0) {
      peers.send(from, new Message.Loan(ask.number(), given));
    }
  }

  public void received(Message.Loan loan) {
    if (loan.number() == number && timers.now() - askedAt <= ANSWER_S) {
      pauseS = ANSWER_S;
      store.borrow(loan.changes());
    }
  }
}
