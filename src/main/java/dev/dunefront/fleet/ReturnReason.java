package dev.dunefront.fleet;

import dev.dunefront.peer.Message.MachineView;

/**
 * Why a machine is returned, and whether a recorded deletion without a confirmation still applies
 * when the next holder of the duty finds it.
 */
enum ReturnReason {
  IDLE("it is idle"),
  FAILED("the cloud lists it as failed"),
  NOT_BOOTING("it did not finish booting in time"),
  SILENT("no controller receives its reports"),
  DEAF("it reports but receives no messages"),
  QUARANTINED("it is quarantined because tasks fail on it"),
  UNLISTED("it neither reports nor is listed");

  private final String description;

  ReturnReason(String description) {
    this.description = description;
  }

  /** The reason as it appears in the log. */
  String description() {
    return description;
  }

  /** The reason of that name; {@code IDLE}, the most restrictive, for one of a newer version. */
  static ReturnReason of(String name) {
    for (ReturnReason r : values()) {
      if (r.name().equals(name)) {
        return r;
      }
    }
    return IDLE;
  }

  /**
   * Whether a deletion that does not apply now may apply later: no controller holds the machine
   * yet, or its holder has not closed it yet.
   */
  boolean mayApplyLater(MachineView view) {
    return this == IDLE && (view == null || view.idle() && !stillApplies(view));
  }

  /**
   * Whether a recorded deletion may be sent, judged by the current view of the machine. The
   * controller that decided it may have been replaced since, and the machine, which was closed for
   * the deletion, may have reopened and received tasks.
   *
   * @param view the holder's view of the machine, or null if no controller holds it
   */
  boolean stillApplies(MachineView view) {
    if (view == null) {
      // Its former holder may hold it again shortly, with tasks placed on it in the meantime.
      return this != IDLE;
    }
    if (view.leaseExpired()) {
      return true;
    }
    return switch (this) {
      case IDLE -> view.retiring() && view.idle();
      case QUARANTINED -> view.quarantined();
      // The cloud reported the failure, and it lists no running machine as failed.
      case FAILED -> true;
      case UNLISTED -> !view.tokenAcknowledged();
      case DEAF -> view.unresponsive();
      case NOT_BOOTING, SILENT -> false;
    };
  }
}
