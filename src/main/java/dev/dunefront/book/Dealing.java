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

/**
 * Offers the free room of held machines to wants, and moves machines to other controllers to
 * balance the load.
 */
final class Dealing {
  /**
   * Shortest interval between two machines that are moved to other controllers, in seconds. None is
   * moved while writes wait for the state service's rate budget.
   */
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

  /**
   * Id of the last offer. It starts from the wall clock, so that ids differ from those of earlier
   * incarnations.
   */
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

  /** Offers the free room of a machine to the wants in its book. */
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
    WantBook.Want want;
    while ((want = m.book.take(free, type.size(), gatherBefore)) != null) {
      long offer = ++offers;
      m.offers.put(
          offer,
          new Machine.Offered(
              want.node, want.job, want.size, timers.now() + tunables.offerWaitS()));
      free = free.minus(want.size);
      m.dirty = true;
      peers.send(
          want.node, new Message.Offer(offer, m.host, want.job, m.token, m.holdStamp, m.session));
    }
  }

  /**
   * Marks at most one machine to be redirected to another controller: to one of the machine's own
   * zone, or to one of this zone that holds far fewer machines. Its next report is answered with a
   * redirect, and the target acquires it without interruption of its tasks.
   */
  void spread(Collection<Machine> held, double now) {
    if (now - spreadAt < SPREAD_S || store.down() || store.writeDelayS() > 0) {
      return;
    }
    spreadAt = now;
    String lessLoaded = neighbours.farBelow(held.size());
    for (Machine m : held) {
      if (m.settled
          && !m.doubt
          && !m.raising
          && !m.lost
          && m.responsiveness.trusted()
          && !m.busy()
          && m.sendTo == null) {
        m.sendTo = neighbours.better(m.zone, lessLoaded);
        if (m.sendTo != null) {
          return;
        }
      }
    }
  }
}
