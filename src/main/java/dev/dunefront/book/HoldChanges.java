package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
import java.util.List;

/** What becomes of the machines held here when the records of who holds them change. */
final class HoldChanges {
  private final Settings settings;
  private final HoldTable holds;
  private final HeldMachines heldMachines;

  /** The stamp of the roster by which machines without a record are held. */
  private long rosterRevision;

  HoldChanges(ControllerContext context, HeldMachines books) {
    this.settings = context.settings();
    this.holds = context.holds();
    this.heldMachines = books;
  }

  /** Called several times a second. */
  void tick() {
    long stamp = holds.roster().revision();
    if (stamp != rosterRevision) {
      rosterRevision = stamp;
      rosterChanged();
    }
  }

  /**
   * This controller has become another incarnation. Machines that nobody has taken meanwhile are
   * held on: their records still name this controller.
   */
  void incarnationChanged() {
    for (Machine m : List.copyOf(heldMachines.all())) {
      HoldTable.Hold hold = holds.holdOf(m.host, m.zone);
      if (hold == null || hold.revision() != m.holdRevision && !m.raisingToken) {
        heldMachines.release(m, "another controller has taken it");
      }
    }
  }

  /** The replica shows a changed hold record. */
  void holdChanged(String host) {
    Machine m = heldMachines.held(host);
    HoldTable.Hold hold = holds.recordOf(host);
    if (m != null && hold == null && m.holdRevision > 0 && !m.raisingToken) {
      // Forgotten, as machines are that are gone; nothing more can be recorded under that stamp.
      heldMachines.release(m, "its record has been removed");
    } else if (m != null && hold != null && hold.revision() > m.holdRevision && !m.raisingToken) {
      if (hold.machineDeleted()
          || !holds.isHeldBy(settings.node(), hold)
          || hold.token() != m.token) {
        heldMachines.release(
            m, hold.machineDeleted() ? "deleted" : "another controller has taken it");
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
    for (Machine m : List.copyOf(heldMachines.all())) {
      if (m.holdRevision > 0 || m.holdRevision == -rosterRevision) {
        continue;
      }
      HoldTable.Hold hold = holds.holdOf(m.host, m.zone);
      if (m.raisingToken || !holds.isHeldBy(settings.node(), hold) || !hold.isDefault()) {
        heldMachines.release(m, "by the new roster another controller holds it");
      } else {
        m.token = hold.token();
        m.holdRevision = hold.revision();
        m.tokenAcknowledged = false;
        m.holdAcknowledged = false;
        m.commandOutcomeUnknown = false;
        m.resumed = false;
        m.deniedAttempts.clear();
        m.offers.clear();
        m.viewChanged = true;
        heldMachines.reconcile(m);
      }
    }
  }
}
