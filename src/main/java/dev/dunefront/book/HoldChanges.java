package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
import java.util.List;

/** Updates or releases held machines when hold records or the roster change. */
final class HoldChanges {
  private final Settings settings;
  private final Holds holds;
  private final Books books;

  /** Revision of the roster that determines the holders of machines without a record. */
  private long rosterStamp;

  HoldChanges(ControllerContext context, Books books) {
    this.settings = context.settings();
    this.holds = context.holds();
    this.books = books;
  }

  /** Checks for a new roster; called several times a second. */
  void tick() {
    long revision = holds.roster().stamp();
    if (revision != rosterStamp) {
      rosterStamp = revision;
      rosterChanged();
    }
  }

  /**
   * This controller continues under a new incarnation. It keeps the machines that no other
   * controller has acquired meanwhile, since their records still name this node.
   */
  void reborn() {
    for (Machine m : List.copyOf(books.all())) {
      Holds.Hold hold = holds.of(m.host, m.zone);
      if (hold == null || hold.stamp() != m.holdStamp && !m.raising) {
        books.dropHold(m, "another controller has acquired it");
      }
    }
  }

  /** The hold record of a machine has changed in the replica. */
  void changed(String host) {
    Machine m = books.held(host);
    Holds.Hold hold = holds.get(host);
    if (m != null && hold == null && m.holdStamp > 0 && !m.raising) {
      // The records of deleted machines are removed after a while. Writes conditional on the
      // removed revision fail.
      books.dropHold(m, "its hold record has been removed");
    } else if (m != null && hold != null && hold.stamp() > m.holdStamp && !m.raising) {
      if (hold.dead() || !holds.heldBy(settings.node(), hold) || hold.token() != m.token) {
        books.dropHold(
            m, hold.dead() ? "the machine is deleted" : "another controller has acquired it");
      }
    }
  }

  /**
   * The roster has changed: each machine without a record is held under the new roster's token from
   * now on, or by another controller. Writes conditional on the old roster fail, so outstanding
   * offers are dropped. A start that is already recorded and in transit either shows up in the
   * worker's next report or, as after a raised token, is never carried out.
   */
  private void rosterChanged() {
    for (Machine m : List.copyOf(books.all())) {
      if (m.holdStamp > 0 || m.holdStamp == -rosterStamp) {
        continue;
      }
      Holds.Hold hold = holds.of(m.host, m.zone);
      if (m.raising || !holds.heldBy(settings.node(), hold) || !hold.natural()) {
        books.dropHold(m, "the new roster assigns it to another controller");
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
