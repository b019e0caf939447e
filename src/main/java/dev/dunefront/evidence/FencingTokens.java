package dev.dunefront.evidence;

/**
 * The numbering of fencing tokens. Every hold of a machine by one controller process has a range of
 * tokens of its own, whose position is a revision of the state service: that of the hold record, of
 * the roster, or of the process's registration. Revisions only increase and no two writes share
 * one, so a later holder, and a later process of the same holder, always has higher tokens. Within
 * its range the process raises a machine's token without a write.
 */
public final class FencingTokens {
  private static final int RANGE_BITS = 20;
  private static final long RANGE_SIZE = 1L << RANGE_BITS;

  /** Tokens at the end of a range that are left unused, so that no raise leaves the range. */
  private static final long RESERVED = 16;

  private FencingTokens() {}

  /** The first token of the range that belongs to a revision of the state service. */
  public static long firstOf(long revision) {
    return revision << RANGE_BITS;
  }

  /** Whether the range of a token is nearly used up, so that a new one has to be written. */
  static boolean rangeExhausted(long token) {
    return (token & RANGE_SIZE - 1) >= RANGE_SIZE - RESERVED;
  }
}
