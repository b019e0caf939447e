package dev.dunefront.claim;

import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.peer.ViewDetail;

/**
 * Subscribes to what the other controllers tell of their machines: to room while a job here looks
 * for it, to everything while that is needed. A need lapses by itself; a rise is declared at once,
 * a fall with the next tick, and whatever holds is declared again and again, so that a declaration
 * that is lost is missed for a moment only.
 */
public final class CapacitySubscription {
  /** A need that is not expressed again is over after so long, in seconds. */
  static final double NEED_EXPIRY_S = 1;

  /** What holds is declared again so often, in seconds. */
  static final double REDECLARE_S = 2;

  /** So long after a rise holders will have told what was missed, in seconds. */
  static final double PROPAGATION_S = 0.04;

  private final Peers peers;
  private final Timers timers;
  private final Runnable onReliable;
  private final double[] neededUntil = new double[ViewDetail.values().length];
  private ViewDetail declared = ViewDetail.STATUS;
  private double declaredAt = Double.NEGATIVE_INFINITY;
  private double reliableAt = Double.NEGATIVE_INFINITY;

  /** {@code settled} is run some time after a rise, when it is time to look again. */
  CapacitySubscription(Peers peers, Timers timers, Runnable settled) {
    this.peers = peers;
    this.timers = timers;
    this.onReliable = settled;
  }

  /**
   * As much as this is needed from now on for a while.
   *
   * @return when what is known can be relied on: a time past, or shortly after now
   */
  public double require(ViewDetail detail) {
    double now = timers.now();
    neededUntil[detail.ordinal()] = now + NEED_EXPIRY_S;
    if (detail.compareTo(declared) > 0) {
      declare(detail, now);
      reliableAt = now + PROPAGATION_S;
      timers.after(PROPAGATION_S, onReliable);
    }
    return reliableAt;
  }

  /** Called several times a second. */
  void tick() {
    double now = timers.now();
    ViewDetail needed = ViewDetail.STATUS;
    for (ViewDetail detail : ViewDetail.values()) {
      if (now < neededUntil[detail.ordinal()]) {
        needed = detail;
      }
    }
    if (needed != declared || now - declaredAt >= REDECLARE_S) {
      declare(needed, now);
    }
  }

  /** A controller can be reached again, perhaps in another life. */
  void peerConnected(String node) {
    peers.send(node, new Message.ViewSubscription(declared));
  }

  private void declare(ViewDetail detail, double now) {
    declared = detail;
    declaredAt = now;
    peers.broadcast(new Message.ViewSubscription(detail));
  }
}
