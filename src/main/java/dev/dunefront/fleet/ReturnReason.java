package dev.dunefront.fleet;

import dev.dunefront.peer.Message.MachineView;

/** Why a machine is returned, and what its successor does with a return that has no answer yet. */
enum ReturnReason {
  IDLE("it idles"),
  FAILED("it failed"),
  NOT_BOOTING("it does not boot"),
  SILENT("it is silent"),
  DEAF("it is heard but does not hear"),
  QUARANTINED("tasks fail on it"),
  UNLISTED("it is neither heard nor listed");

  private final String description;

  ReturnReason(String reason) {
    this.description = reason;
  }

  /** As operators read it. */
  String description() {
    return description;
  }

  /** A reason that a later version has written is as good as one that says least. */
  static ReturnReason of(String name) {
    for (ReturnReason d : values()) {
      if (d.name().equals(name)) {
        return d;
      }
    }
    return IDLE;
  }

  /**
   * Whether the deletion may stand before long: nobody holds the machine yet, or its holder has yet
   * to close it.
   */
  boolean mayApplyLater(MachineView view) {
    return this == IDLE && (view == null || view.idle() && !stillApplies(view));
  }

  /**
   * Whether the deletion may be asked for, now that it is on record: by what is seen of the machine
   * at this moment, for the one that decided it may have been replaced since, and tasks may have
   * been placed on a machine that was closed for its sake and has opened again.
   *
   * @param view what its holder shows, or null if nobody holds it
   */
  boolean stillApplies(MachineView view) {
    if (view == null) {
      // Whoever held it may hold it on in a moment, with what was placed there since.
      return this != IDLE;
    }
    if (view.leaseExpired()) {
      return true;
    }
    return switch (this) {
      case IDLE -> view.retiring() && view.idle();
      case QUARANTINED -> view.quarantined();
      // The cloud itself says so, and lists nothing that still runs as failed.
      case FAILED -> true;
      case UNLISTED -> !view.tokenAcknowledged();
      case DEAF -> view.unresponsive();
      case NOT_BOOTING, SILENT -> false;
    };
  }
}
