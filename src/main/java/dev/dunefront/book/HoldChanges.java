package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
import java.util.List;

/** Updates or releases held machines when hold records or the roster change. */
final class HoldChanges {
  private final Settings settings;
  private final HoldTable holds;
  private final HeldMachines heldMachines;

  /** Revision of the roster that determines the holders of machines without a record. */
  private long rosterRevision;

  HoldChanges(ControllerContext context, HeldMachines heldMachines) {
    this.settings = context.settings();
    this.holds = context.holdTable();
    this.heldMachines = heldMachines;
  }

  /** Checks for a new roster; called several times a second. */
  void tick() {
    long revision = holds.roster().revision();
    if (revision != rosterRevision) {
      rosterRevision = revision;
      rosterChanged();
    }
  }

  /**
   * This controller continues under a new incarnation. It keeps the machines that no other
   * controller has acquired meanwhile, since their records still name this node.
   */
  void incarnationChanged() {
    for (Machine m : List.copyOf(heldMachines.all())) {
      HoldTable.Hold hold = holds.holdOf(m.host, m.zone);
      if (hold == null || hold.revision() != m.holdRevision && !m.raisingToken) {
        heldMachines.release(m, "another controller has acquired it");
      }
    }
  }

  /** The hold record of a machine has changed in the replica. */
  void holdChanged(String host) {
    Machine m = heldMachines.get(host);
    HoldTable.Hold hold = holds.recordOf(host);
    if (m != null && hold == null && m.holdRevision > 0 && !m.raisingToken) {
      // The records of deleted machines are removed after a while. Writes conditional on the
      // removed revision fail.
      heldMachines.release(m, "its hold record has been removed");
    } else if (m != null && hold != null && hold.revision() > m.holdRevision && !m.raisingToken) {
      if (hold.machineDeleted()
          || !holds.isHeldBy(settings.node(), hold)
          || hold.token() != m.token) {
        heldMachines.release(
            m,
            hold.machineDeleted()
                ? "the machine is deleted"
                : "another controller has acquired it");
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
    for (Machine m : List.copyOf(heldMachines.all())) {
      if (m.holdRevision > 0 || m.holdRevision == -rosterRevision) {
        continue;
      }
      HoldTable.Hold hold = holds.holdOf(m.host, m.zone);
      if (m.raisingToken || !holds.isHeldBy(settings.node(), hold) || !hold.isDefault()) {
        heldMachines.release(m, "the new roster assigns it to another controller");
      } else {
        m.token = hold.token();
        m.boot = m.boot.raisedTo(m.token);
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
