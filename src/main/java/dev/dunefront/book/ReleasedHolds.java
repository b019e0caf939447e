package dev.dunefront.book;

import dev.dunefront.wire.TaskId;
import java.util.HashMap;
import java.util.Map;

/**
 * What has to be remembered of machines that this process has released, in case it holds them again
 * under the same record: which tokens their workers may have, and which attempts were denied.
 */
final class ReleasedHolds {
  /**
   * A former hold.
   *
   * @param token the first token of the hold
   * @param lastToken the highest token that was given to the worker
   * @param deniedAttempts the attempts denied under it, whose start requests may still be in
   *     transit to this controller
   */
  private record ReleasedHold(long token, long lastToken, Map<TaskId, Long> deniedAttempts) {}

  private final Map<String, ReleasedHold> holds = new HashMap<>();

  /** The machine is no longer held. */
  void released(Machine m) {
    holds.put(m.host, new ReleasedHold(m.token, m.boot.commandToken(), m.deniedAttempts));
  }

  /**
   * The machine is held again. If that is under the token of the former hold, the attempts denied
   * then stay denied.
   */
  void heldAgain(Machine m) {
    ReleasedHold former = holds.remove(m.host);
    if (former != null && former.token == m.token) {
      m.deniedAttempts.putAll(former.deniedAttempts);
    }
  }

  /** The hold record has changed, so that any later hold of the machine has a higher token. */
  void recordChanged(String host) {
    holds.remove(host);
  }

  /**
   * The lowest token that this process has not given to the machine's worker yet, which may have
   * restarted since the machine was released.
   *
   * @param token the first token under which this process holds the machine
   */
  long firstUnusedToken(String host, long token) {
    ReleasedHold former = holds.get(host);
    return former == null ? token : Math.max(token, former.lastToken + 1);
  }
}
