package dev.dunefront.peer;

import dev.dunefront.peer.Message.View;

/**
 * Level of detail at which a controller receives the state of machines that others hold, in
 * increasing order; each level includes those before it. Tasks of its own jobs are sent to a
 * controller at every level.
 */
public enum Detail {
  /**
   * Rare changes, and the facts that proofs of the end of an attempt depend on: which machines
   * exist, who holds them and under which fencing token, their sessions and leases, and whether
   * they are schedulable.
   */
  STANDING {
    @Override
    public boolean differs(View now, View before) {
      return !now.standsLike(before);
    }
  },

  /**
   * Also free capacity, and where capacity can be freed: for controllers with tasks that wait for
   * room.
   */
  ROOM {
    @Override
    public boolean differs(View now, View before) {
      return STANDING.differs(now, before)
          || !now.free().equals(before.free())
          || now.yielding() != before.yielding()
          || now.roomy() && !now.images().equals(before.images());
    }
  },

  /**
   * Everything: for the controller that rents machines, and for urgent tasks that may preempt
   * others.
   */
  LOAD {
    @Override
    public boolean differs(View now, View before) {
      return !now.saysTheSame(before);
    }
  };

  /** Whether a controller at this level that was sent {@code before} must be sent {@code now}. */
  public abstract boolean differs(View now, View before);
}
