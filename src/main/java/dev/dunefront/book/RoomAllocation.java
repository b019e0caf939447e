package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Tunables;
import dev.dunefront.fleet.MachineCatalog;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.PauseDetector;
import dev.dunefront.store.StateStore;
import dev.dunefront.wire.MachineType;
import dev.dunefront.wire.Resources;
import java.util.Collection;

/**
 * Offers the free room of held machines to wants, and moves machines to other controllers to
 * balance the load.
 */
final class RoomAllocation {
  /**
   * Shortest interval between two machines that are moved to other controllers, in seconds. None is
   * moved while writes wait for the state service's rate budget.
   */
  private static final double REBALANCE_INTERVAL_S = 0.5;

  private final Tunables tunables;
  private final MachineCatalog catalog;
  private final StateStore store;
  private final Peers peers;
  private final Timers timers;
  private final PauseDetector pauseDetector;
  private final ControllerLoads controllerLoads;
  private final ViewPublisher viewPublisher;
  private double lastRebalanceAt;

  /**
   * Id of the last offer. It starts from the wall clock, so that ids differ from those of earlier
   * incarnations.
   */
  private long lastOfferId;

  RoomAllocation(
      ControllerContext context, ControllerLoads controllerLoads, ViewPublisher viewPublisher) {
    this.tunables = context.tunables();
    this.catalog = context.catalog();
    this.store = context.store();
    this.peers = context.peers();
    this.timers = context.timers();
    this.pauseDetector = context.pauseDetector();
    this.controllerLoads = controllerLoads;
    this.viewPublisher = viewPublisher;
    this.lastOfferId = timers.wallClockMs() << 16;
  }

  /** Offers the free room of a machine to the wants in its book. */
  void offerRoom(Machine m) {
    if (!m.schedulable() || m.book.isEmpty() || !pauseDetector.current()) {
      return;
    }
    MachineType type = catalog.type(m.typeName);
    if (type == null) {
      return;
    }
    Resources free = m.freeRoom(type, viewPublisher::sizeOf);
    double reserveBefore = timers.now() - tunables.gatherTicks() * tunables.tickS();
    WantBook.Want want;
    while ((want = m.book.take(free, type.resources(), reserveBefore)) != null) {
      long offerId = ++lastOfferId;
      m.offers.put(
          offerId,
          new Machine.OutstandingOffer(
              want.node, want.job, want.size, timers.now() + tunables.offerWaitS()));
      free = free.minus(want.size);
      m.viewChanged = true;
      peers.send(
          want.node,
          new Message.Offer(offerId, m.host, want.job, m.token, m.holdRevision, m.session));
    }
  }

  /**
   * Marks at most one machine to be redirected to another controller: to one of the machine's own
   * zone, or to one of this zone that holds far fewer machines. Its next report is answered with a
   * redirect, and the target acquires it without interruption of its tasks.
   */
  void rebalance(Collection<Machine> held, double now) {
    if (now - lastRebalanceAt < REBALANCE_INTERVAL_S
        || store.unavailable()
        || store.writeDelayS() > 0) {
      return;
    }
    lastRebalanceAt = now;
    String lessLoaded = controllerLoads.lessLoadedInOwnZone(held.size());
    for (Machine m : held) {
      if (m.tokenAcknowledged
          && !m.commandOutcomeUnknown
          && !m.raisingToken
          && !m.leaseExpired
          && m.responsiveness.trusted()
          && !m.startsInProgress()
          && m.redirectTo == null) {
        m.redirectTo = controllerLoads.preferredHolder(m.zone, lessLoaded);
        if (m.redirectTo != null) {
          return;
        }
      }
    }
  }
}
