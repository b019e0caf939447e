package dev.dunefront.claim;

import dev.dunefront.store.Store;
import dev.dunefront.store.Store.Outcome;
import dev.dunefront.wire.BadMessage;

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
            Store.Urgency.CORE,
            range -> {
              if (c.dropped) {
                return;
              }
              if (range.outcome() != Outcome.OK) {
                context.later(RETRY_S, () -> load(c));
                return;
              }
              c.forgetChunks();
              for (Store.Pair p : range.pairs()) {
                try {
                  int index = Integer.parseInt(p.key().substring(Chunk.prefix(c.id()).length()));
                  c.install(index, Chunk.read(p.value(), p.stamp()));
                } catch (BadMessage | NumberFormatException e) {
                  throw new IllegalStateException("chunk " + p.key() + " cannot be read", e);
                }
              }
              c.loading = false;
              double now = context.now();
              // Holders that have yet to learn who claims the job now show it in a moment.
              c.live.values().forEach(l -> l.probedAt = now);
              c.unread.addAll(c.hosts());
              reconciliation.readAgain(c);
              claims.review(c);
            });
  }

  /** Reads the job's record anew, and with it whether the claim still stands. */
  void reload(Claim c) {
    c.loading = true;
    context
        .jobs()
        .read(
            c.id(),
            Store.Urgency.CORE,
            found -> {
              if (c.dropped) {
                return;
              }
              if (found.outcome() == Outcome.OK && found.entry() != null) {
                String self = context.membership().self();
                if (self == null || !self.equals(found.entry().record().claim())) {
                  claims.drop(c);
                  return;
                }
                c.record = found.entry().record();
                c.stamp = found.entry().stamp();
                load(c);
              } else if (found.outcome() == Outcome.OK || found.outcome() == Outcome.MISSING) {
                claims.drop(c);
              } else {
                context.later(RETRY_S, () -> reload(c));
              }
            });
  }
}
