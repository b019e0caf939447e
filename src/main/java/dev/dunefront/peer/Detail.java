package dev.dunefront.peer;

import dev.dunefront.peer.Message.View;

/**
 * How much a controller hears of the machines that others hold, least first. Each level includes
 * those before it. Tasks of its own jobs are told to a controller whatever the level.
 */
public enum Detail {
  /**
   * What proofs rest on and what is rare: which machines there are, who holds them and under which
   * fencing token, their sessions and leases, whether they are open.
   */
  STANDING {
    @Override
    public boolean differs(View now, View before) {
      return !now.standsLike(before);
    }
  },

  /** What room there is, and where room can be made: for who looks for room. */
  ROOM {
    @Override
    public boolean differs(View now, View before) {
      return STANDING.differs(now, before)
          || !now.free().equals(before.free())
          || now.yielding() != before.yielding()
          || now.roomy() && !now.images().equals(before.images());
    }
  },

  /** Everything: for who rents, and for urgent work that other work may have to give way to. */
  LOAD {
    @Override
    public boolean differs(View now, View before) {
      return !now.saysTheSame(before);
    }
  };

  /** Whether a controller at this level, told the one, has to be told the other. */
  public abstract boolean differs(View now, View before);
}
