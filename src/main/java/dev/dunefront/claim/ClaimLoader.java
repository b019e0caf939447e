package dev.dunefront.claim;

import dev.dunefront.store.StateStore;
import dev.dunefront.store.StateStore.Outcome;
import dev.dunefront.wire.MalformedMessageException;

/**
 * Reads what is recorded of a claimed job: its record, and which of its tasks are placed or done.
 */
final class ClaimLoader {
  /** A read that had no answer is tried again after so long, in seconds. */
  private static final double RETRY_S = 0.3;

  private final ControllerContext context;
  private final Claims claims;
  private final Reconciliation reconciliation;

  ClaimLoader(ControllerContext context, Claims claims, Reconciliation reconciliation) {
    this.context = context;
    this.claims = claims;
    this.reconciliation = reconciliation;
  }

  /** Reads which tasks are placed and done. */
  void load(Claim c) {
    c.loading = true;
    context
        .store()
        .range(
            Chunk.prefix(c.id()),
            StateStore.RequestPriority.CORE,
            range -> {
              if (c.released) {
                return;
              }
              if (range.outcome() != Outcome.OK) {
                context.schedule(RETRY_S, () -> load(c));
                return;
              }
              c.clearChunks();
              for (StateStore.KeyValue p : range.pairs()) {
                try {
                  int index = Integer.parseInt(p.key().substring(Chunk.prefix(c.id()).length()));
                  c.installChunk(index, Chunk.read(p.value(), p.revision()));
                } catch (MalformedMessageException | NumberFormatException e) {
                  throw new IllegalStateException("chunk " + p.key() + " cannot be read", e);
                }
              }
              c.loading = false;
              double now = context.now();
              // Holders that have yet to learn who claims the job now show it in a moment.
              c.liveAttempts.values().forEach(l -> l.probedAt = now);
              c.hostsToCompare.addAll(c.hosts());
              reconciliation.comparePending(c);
              claims.reevaluate(c);
            });
  }

  /** Reads the job's record anew, and with it whether the claim still stands. */
  void reload(Claim c) {
    c.loading = true;
    context
        .jobs()
        .readCurrent(
            c.id(),
            StateStore.RequestPriority.CORE,
            found -> {
              if (c.released) {
                return;
              }
              if (found.outcome() == Outcome.OK && found.entry() != null) {
                String self = context.membership().ownIncarnation();
                if (self == null || !self.equals(found.entry().record().claimant())) {
                  claims.release(c);
                  return;
                }
                c.record = found.entry().record();
                c.revision = found.entry().revision();
                load(c);
              } else if (found.outcome() == Outcome.OK || found.outcome() == Outcome.NOT_FOUND) {
                claims.release(c);
              } else {
                context.schedule(RETRY_S, () -> reload(c));
              }
            });
  }
}
