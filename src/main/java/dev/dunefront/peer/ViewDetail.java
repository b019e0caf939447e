package dev.dunefront.peer;

import dev.dunefront.peer.Message.MachineView;

/**
 * Level of detail at which a controller receives the state of machines that others hold, in
 * increasing order; each level includes those before it. Tasks of its own jobs are sent to a
 * controller at every level.
 */
public enum ViewDetail {
  /**
   * Rare changes, and the facts that proofs of the end of an attempt depend on: which machines
   * exist, who holds them and under which fencing token, their sessions and leases, and whether
   * they are schedulable.
   */
  STATUS {
    @Override
    public boolean hasChanged(MachineView now, MachineView before) {
      return !now.sameStatus(before);
    }
  },

  /**
   * Also free capacity, and where capacity can be freed: for controllers with tasks that wait for
   * room.
   */
  CAPACITY {
    @Override
    public boolean hasChanged(MachineView now, MachineView before) {
      return STATUS.hasChanged(now, before)
          || !now.free().equals(before.free())
          || now.preemptibleBestEffort() != before.preemptibleBestEffort()
          || now.hasFreeCapacity() && !now.images().equals(before.images());
    }
  },

  /**
   * Everything: for the controller that rents machines, and for urgent tasks that may preempt
   * others.
   */
  FULL {
    @Override
    public boolean hasChanged(MachineView now, MachineView before) {
      return !now.sameMachineState(before);
    }
  };

  /** Whether a controller at this level that was sent {@code before} must be sent {@code now}. */
  public abstract boolean hasChanged(MachineView now, MachineView before);
}
