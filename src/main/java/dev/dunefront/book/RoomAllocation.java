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

/** Deals the room of held machines, and machines among controllers. */
final class RoomAllocation {
  /** How often a machine is let go of for another controller, when the budget is idle. */
  private static final double REBALANCE_INTERVAL_S = 0.5;

  private final Tunables tunables;
  private final MachineCatalog catalog;
  private final StateStore store;
  private final Peers peers;
  private final Timers timers;
  private final PauseDetector standstill;
  private final ControllerLoads controllerLoads;
  private final ViewPublisher viewPublisher;
  private double lastRebalanceAt;

  /** No earlier incarnation's offers have these numbers. */
  private long lastOfferId;

  RoomAllocation(ControllerContext context, ControllerLoads neighbours, ViewPublisher views) {
    this.tunables = context.tunables();
    this.catalog = context.catalog();
    this.store = context.store();
    this.peers = context.peers();
    this.timers = context.timers();
    this.standstill = context.standstill();
    this.controllerLoads = neighbours;
    this.viewPublisher = views;
    this.lastOfferId = timers.wallClockMs() << 16;
  }

  /** Deals the room that a machine has. */
  void offerRoom(Machine m) {
    if (!m.open() || m.book.isEmpty() || !standstill.current()) {
      return;
    }
    MachineType type = catalog.type(m.typeName);
    if (type == null) {
      return;
    }
    Resources free = m.freeRoom(type, viewPublisher::sizeOf);
    double gatherBefore = timers.now() - tunables.gatherTicks() * tunables.tickS();
    WantBook.Want w;
    while ((w = m.book.take(free, type.resources(), gatherBefore)) != null) {
      long offer = ++lastOfferId;
      m.offers.put(
          offer,
          new Machine.OutstandingOffer(
              w.node, w.job, w.size, timers.now() + tunables.offerWaitS()));
      free = free.minus(w.size);
      m.viewChanged = true;
      peers.send(
          w.node, new Message.Offer(offer, m.host, w.job, m.token, m.holdRevision, m.session));
    }
  }

  /**
   * Lets go of a machine that another controller should hold: one of its own zone, or of ours that
   * has far fewer. It comes back to nobody's harm: its report finds the other, which takes it.
   */
  void rebalance(Collection<Machine> held, double now) {
    if (now - lastRebalanceAt < REBALANCE_INTERVAL_S
        || store.unavailable()
        || store.writeDelayS() > 0) {
      return;
    }
    lastRebalanceAt = now;
    String few = controllerLoads.lessLoadedInOwnZone(held.size());
    for (Machine m : held) {
      if (m.tokenAcknowledged
          && !m.commandOutcomeUnknown
          && !m.raisingToken
          && !m.leaseExpired
          && m.responsiveness.trusted()
          && !m.startsInProgress()
          && m.redirectTo == null) {
        m.redirectTo = controllerLoads.preferredHolder(m.zone, few);
        if (m.redirectTo != null) {
          return;
        }
      }
    }
  }
}
