package dev.dunefront.peer;

import dev.dunefront.peer.Message.MachineView;

/**
 * How much a controller hears of the machines that others hold, least first. Each level includes
 * those before it. Tasks of its own jobs are told to a controller whatever the level.
 */
public enum ViewDetail {
  /**
   * What proofs rest on and what is rare: which machines there are, who holds them and under which
   * fencing token, their sessions and leases, whether they are open.
   */
  STATUS {
    @Override
    public boolean hasChanged(MachineView now, MachineView before) {
      return !now.sameStatus(before);
    }
  },

  /** What room there is, and where room can be made: for who looks for room. */
  CAPACITY {
    @Override
    public boolean hasChanged(MachineView now, MachineView before) {
      return STATUS.hasChanged(now, before)
          || !now.free().equals(before.free())
          || now.preemptibleBestEffort() != before.preemptibleBestEffort()
          || now.hasFreeCapacity() && !now.images().equals(before.images());
    }
  },

  /** Everything: for who rents, and for urgent work that other work may have to give way to. */
  FULL {
    @Override
    public boolean hasChanged(MachineView now, MachineView before) {
      return !now.sameMachineState(before);
    }
  };

  /** Whether a controller at this level, told the one, has to be told the other. */
  public abstract boolean hasChanged(MachineView now, MachineView before);
}
