package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
import java.util.List;

/** What becomes of the machines held here when the records of who holds them change. */
final class HoldChanges {
  private final Settings settings;
  private final Holds holds;
  private final Books books;

  /** The stamp of the roster by which machines without a record are held. */
  private long rosterStamp;

  HoldChanges(ControllerContext context, Books books) {
    this.settings = context.settings();
    this.holds = context.holds();
    this.books = books;
  }

  /** Called several times a second. */
  void tick() {
    long stamp = holds.roster().stamp();
    if (stamp != rosterStamp) {
      rosterStamp = stamp;
      rosterChanged();
    }
  }

  /**
   * This controller has become another incarnation. Machines that nobody has taken meanwhile are
   * held on: their records still name this controller.
   */
  void reborn() {
    for (Machine m : List.copyOf(books.all())) {
      Holds.Hold hold = holds.of(m.host, m.zone);
      if (hold == null || hold.stamp() != m.holdStamp && !m.raising) {
        books.dropHold(m, "another controller has taken it");
      }
    }
  }

  /** The replica shows a changed hold record. */
  void changed(String host) {
    Machine m = books.held(host);
    Holds.Hold hold = holds.get(host);
    if (m != null && hold == null && m.holdStamp > 0 && !m.raising) {
      // Forgotten, as machines are that are gone; nothing more can be recorded under that stamp.
      books.dropHold(m, "its record has been removed");
    } else if (m != null && hold != null && hold.stamp() > m.holdStamp && !m.raising) {
      if (hold.dead() || !holds.heldBy(settings.node(), hold) || hold.token() != m.token) {
        books.dropHold(m, hold.dead() ? "deleted" : "another controller has taken it");
      }
    }
  }

  /**
   * The roster has changed: machines without a record are held by its new token from now on, or by
   * another controller. Nothing can be recorded any more under the old one, so what was offered
   * runs out; what was recorded and is on its way is shown by the worker's next report or, like
   * after a raised token, will never be carried out.
   */
  private void rosterChanged() {
    for (Machine m : List.copyOf(books.all())) {
      if (m.holdStamp > 0 || m.holdStamp == -rosterStamp) {
        continue;
      }
      Holds.Hold hold = holds.of(m.host, m.zone);
      if (m.raising || !holds.heldBy(settings.node(), hold) || !hold.natural()) {
        books.dropHold(m, "by the new roster another controller holds it");
      } else {
        m.token = hold.token();
        m.holdStamp = hold.stamp();
        m.settled = false;
        m.ours = false;
        m.doubt = false;
        m.resumed = false;
        m.fence.clear();
        m.offers.clear();
        m.dirty = true;
        books.act(m);
      }
    }
  }
}
