package dev.dunefront.store;

import dev.dunefront.config.Settings;

/**
 * The state service's limits on one transaction, beyond which it rejects it as malformed. Sizes are
 * counted as JSON.
 *
 * @param maxWrites the most puts and removals
 * @param maxConditions the most conditions
 * @param maxBytes the largest size of the whole transaction, in bytes
 * @param maxValueBytes the largest size of a value, in bytes
 */
public record TxnLimits(int maxWrites, int maxConditions, int maxBytes, int maxValueBytes) {
  private static final int MAX_TXN_BYTES = 64 * 1024;
  private static final int CONDITIONS_PER_WRITE = 4;

  /** The limits that follow from the settings. */
  public static TxnLimits of(Settings.StateLimits limits) {
    return new TxnLimits(
        limits.txnOps(),
        CONDITIONS_PER_WRITE * limits.txnOps(),
        MAX_TXN_BYTES,
        (int) (limits.valueKb() * 1024));
  }
}
