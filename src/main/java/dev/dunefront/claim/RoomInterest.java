package dev.dunefront.claim;

import dev.dunefront.net.Timers;
import dev.dunefront.peer.Detail;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;

/**
 * Subscribes to the other controllers' views of their machines: to free capacity while a job here
 * searches for it, and to full detail while that is required. A requirement expires on its own. An
 * increase of the level is sent immediately, a decrease with the next tick, and the present level
 * is resent periodically, so that a lost message has only a short effect.
 */
public final class RoomInterest {
  /** A requirement that is not renewed expires after this time. */
  static final double LINGER_S = 1;

  /** Interval at which the present level is resent. */
  static final double REPEAT_S = 2;

  /** Time after an increase within which holders send the views that were withheld. */
  static final double SETTLE_S = 0.04;

  private final Peers peers;
  private final Timers timers;
  private final Runnable settled;
  private final double[] neededUntil = new double[Detail.values().length];
  private Detail declared = Detail.STANDING;
  private double declaredAt = Double.NEGATIVE_INFINITY;
  private double settledAt = Double.NEGATIVE_INFINITY;

  /**
   * @param settled run once the views requested by an increase of the level should have arrived
   */
  RoomInterest(Peers peers, Timers timers, Runnable settled) {
    this.peers = peers;
    this.timers = timers;
    this.settled = settled;
  }

  /**
   * Requires at least this level of detail for the next {@link #NEED_EXPIRY_S} seconds.
   *
   * @return time from which the known views are reliable; past, or shortly after now
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

  /** Sends a decrease or a periodic renewal if due; called several times per second. */
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

  /** Sends the present level to a controller that is reachable again, perhaps after a restart. */
  void reached(String node) {
    peers.send(node, new Message.Interest(declared));
  }

  private void declare(Detail detail, double now) {
    declared = detail;
    declaredAt = now;
    peers.broadcast(new Message.Interest(detail));
  }
}
