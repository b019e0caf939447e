package dev.dunefront.claim;

import dev.dunefront.net.Timers;
import dev.dunefront.peer.Detail;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;

/**
 * Subscribes to what the other controllers tell of their machines: to room while a job here looks
 * for it, to everything while that is needed. A need lapses by itself; a rise is declared at once,
 * a fall with the next tick, and whatever holds is declared again and again, so that a declaration
 * that is lost is missed for a moment only.
 */
public final class RoomInterest {
  /** A need that is not expressed again is over after so long, in seconds. */
  static final double LINGER_S = 1;

  /** What holds is declared again so often, in seconds. */
  static final double REPEAT_S = 2;

  /** So long after a rise holders will have told what was missed, in seconds. */
  static final double SETTLE_S = 0.04;

  private final Peers peers;
  private final Timers timers;
  private final Runnable settled;
  private final double[] neededUntil = new double[Detail.values().length];
  private Detail declared = Detail.STANDING;
  private double declaredAt = Double.NEGATIVE_INFINITY;
  private double settledAt = Double.NEGATIVE_INFINITY;

  /** {@code settled} is run some time after a rise, when it is time to look again. */
  RoomInterest(Peers peers, Timers timers, Runnable settled) {
    this.peers = peers;
    this.timers = timers;
    this.settled = settled;
  }

  /**
   * As much as this is needed from now on for a while.
   *
   * @return when what is known can be relied on: a time past, or shortly after now
   */
  public double need(Detail detail) {
    double now = timers.now();
    neededUntil[detail.ordinal()] = now + LINGER_S;
    if (detail.compareTo(declared) > 0) {
      declare(detail, now);
      settledAt = now + SETTLE_S;
      timers.after(SETTLE_S, settled);
    }
    return settledAt;
  }

  /** Called several times a second. */
  void tick() {
    double now = timers.now();
    Detail needed = Detail.STANDING;
    for (Detail detail : Detail.values()) {
      if (now < neededUntil[detail.ordinal()]) {
        needed = detail;
      }
    }
    if (needed != declared || now - declaredAt >= REPEAT_S) {
      declare(needed, now);
    }
  }

  /** A controller can be reached again, perhaps in another life. */
  void reached(String node) {
    peers.send(node, new Message.Interest(declared));
  }

  private void declare(Detail detail, double now) {
    declared = detail;
    declaredAt = now;
    peers.broadcast(new Message.Interest(detail));
  }
}
