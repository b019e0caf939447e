package dev.dunefront.claim;

import dev.dunefront.store.Store;
import dev.dunefront.store.Store.Outcome;
import dev.dunefront.wire.BadMessage;

/**
 * Loads the recorded state of a claimed job: the job record and the chunks that list placed and
 * done tasks.
 */
final class ClaimLoader {
  /** Delay before a failed read is retried. */
  private static final double RETRY_S = 0.3;

  private final ControllerContext context;
  private final Claims claims;
  private final Reconciliation reconciliation;

  ClaimLoader(ControllerContext context, Claims claims, Reconciliation reconciliation) {
    this.context = context;
    this.claims = claims;
    this.reconciliation = reconciliation;
  }

  /** Reads the job's chunks, which list the placed and done tasks. */
  void load(Claim claim) {
    claim.loading = true;
    context
        .store()
        .range(
            Chunk.prefix(claim.id()),
            Store.Urgency.CORE,
            range -> {
              if (claim.dropped) {
                return;
              }
              if (range.outcome() != Outcome.OK) {
                context.later(RETRY_S, () -> load(claim));
                return;
              }
              claim.forgetChunks();
              for (Store.Pair pair : range.pairs()) {
                try {
                  int index =
                      Integer.parseInt(pair.key().substring(Chunk.prefix(claim.id()).length()));
                  claim.install(index, Chunk.read(pair.value(), pair.stamp()));
                } catch (BadMessage | NumberFormatException e) {
                  throw new IllegalStateException("chunk " + pair.key() + " cannot be read", e);
                }
              }
              claim.loading = false;
              double now = context.now();
              // Holders that do not know the new claim owner yet will report the attempts shortly,
              // so the first probes are delayed.
              claim.live.values().forEach(attempt -> attempt.probedAt = now);
              claim.unread.addAll(claim.hosts());
              reconciliation.readAgain(claim);
              claims.review(claim);
            });
  }

  /** Reads the job's record again and releases the claim if it is no longer valid. */
  void reload(Claim claim) {
    claim.loading = true;
    context
        .jobs()
        .read(
            claim.id(),
            Store.Urgency.CORE,
            found -> {
              if (claim.dropped) {
                return;
              }
              if (found.outcome() == Outcome.OK && found.entry() != null) {
                String self = context.membership().self();
                if (self == null || !self.equals(found.entry().record().claim())) {
                  claims.drop(claim);
                  return;
                }
                claim.record = found.entry().record();
                claim.stamp = found.entry().stamp();
                load(claim);
              } else if (found.outcome() == Outcome.OK || found.outcome() == Outcome.MISSING) {
                claims.drop(claim);
              } else {
                context.later(RETRY_S, () -> reload(claim));
              }
            });
  }
}
