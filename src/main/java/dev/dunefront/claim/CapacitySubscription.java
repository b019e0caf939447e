package dev.dunefront.claim;

import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.peer.ViewDetail;

/**
 * Subscribes to the other controllers' views of their machines: to free capacity while a job here
 * searches for it, and to full detail while that is required. A requirement expires on its own. An
 * increase of the level is sent immediately, a decrease with the next tick, and the present level
 * is resent periodically, so that a lost message has only a short effect.
 */
public final class CapacitySubscription {
  /** A requirement that is not renewed expires after this time. */
  static final double NEED_EXPIRY_S = 1;

  /** Interval at which the present level is resent. */
  static final double REDECLARE_S = 2;

  /** Time after an increase within which holders send the views that were withheld. */
  static final double PROPAGATION_S = 0.04;

  private final Peers peers;
  private final Timers timers;
  private final Runnable onReliable;
  private final double[] neededUntil = new double[ViewDetail.values().length];
  private ViewDetail declared = ViewDetail.STATUS;
  private double declaredAt = Double.NEGATIVE_INFINITY;
  private double reliableAt = Double.NEGATIVE_INFINITY;

  /**
   * @param onReliable run once the views requested by an increase of the level should have arrived
   */
  CapacitySubscription(Peers peers, Timers timers, Runnable onReliable) {
    this.peers = peers;
    this.timers = timers;
    this.onReliable = onReliable;
  }

  /**
   * Requires at least this level of detail for the next {@link #NEED_EXPIRY_S} seconds.
   *
   * @return time from which the known views are reliable; past, or shortly after now
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

  /** Sends a decrease or a periodic renewal if due; called several times per second. */
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

  /** Sends the present level to a controller that is reachable again, perhaps after a restart. */
  void peerConnected(String node) {
    peers.send(node, new Message.ViewSubscription(declared));
  }

  private void declare(ViewDetail detail, double now) {
    declared = detail;
    declaredAt = now;
    peers.broadcast(new Message.ViewSubscription(detail));
  }
}
