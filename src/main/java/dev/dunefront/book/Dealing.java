package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Tunables;
import dev.dunefront.fleet.Catalog;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Standstill;
import dev.dunefront.store.Store;
import dev.dunefront.wire.MachineType;
import dev.dunefront.wire.Size;
import java.util.Collection;

/** Deals the room of held machines, and machines among controllers. */
final class Dealing {
  /** How often a machine is let go of for another controller, when the budget is idle. */
  private static final double SPREAD_S = 0.5;

  private final Tunables tunables;
  private final Catalog catalog;
  private final Store store;
  private final Peers peers;
  private final Timers timers;
  private final Standstill standstill;
  private final Neighbours neighbours;
  private final Views views;
  private double spreadAt;

  /** No earlier incarnation's offers have these numbers. */
  private long offers;

  Dealing(ControllerContext context, Neighbours neighbours, Views views) {
    this.tunables = context.tunables();
    this.catalog = context.catalog();
    this.store = context.store();
    this.peers = context.peers();
    this.timers = context.timers();
    this.standstill = context.standstill();
    this.neighbours = neighbours;
    this.views = views;
    this.offers = timers.timeOfDayMs() << 16;
  }

  /** Deals the room that a machine has. */
  void deal(Machine m) {
    if (!m.open() || m.book.isEmpty() || !standstill.current()) {
      return;
    }
    MachineType type = catalog.type(m.typeName);
    if (type == null) {
      return;
    }
    Size free = m.free(type, views::sizeOf);
    double gatherBefore = timers.now() - tunables.gatherTicks() * tunables.tickS();
    WantBook.Want w;
    while ((w = m.book.take(free, type.size(), gatherBefore)) != null) {
      long offer = ++offers;
      m.offers.put(
          offer, new Machine.Offered(w.node, w.job, w.size, timers.now() + tunables.offerWaitS()));
      free = free.minus(w.size);
      m.dirty = true;
      peers.send(w.node, new Message.Offer(offer, m.host, w.job, m.token, m.holdStamp, m.session));
    }
  }

  /**
   * Lets go of a machine that another controller should hold: one of its own zone, or of ours that
   * has far fewer. It comes back to nobody's harm: its report finds the other, which takes it.
   */
  void spread(Collection<Machine> held, double now) {
    if (now - spreadAt < SPREAD_S || store.down() || store.writeDelayS() > 0) {
      return;
    }
    spreadAt = now;
    String few = neighbours.farBelow(held.size());
    for (Machine m : held) {
      if (m.settled
          && !m.doubt
          && !m.raising
          && !m.lost
          && m.responsiveness.trusted()
          && !m.busy()
          && m.sendTo == null) {
        m.sendTo = neighbours.better(m.zone, few);
        if (m.sendTo != null) {
          return;
        }
      }
    }
  }
}
