package dev.dunefront.claim;

import dev.dunefront.store.StateStore;
import dev.dunefront.store.StateStore.Outcome;
import dev.dunefront.wire.MalformedMessageException;

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
            StateStore.RequestPriority.CORE,
            range -> {
              if (claim.released) {
                return;
              }
              if (range.outcome() != Outcome.OK) {
                context.schedule(RETRY_S, () -> load(claim));
                return;
              }
              claim.clearChunks();
              for (StateStore.KeyValue pair : range.pairs()) {
                try {
                  int index =
                      Integer.parseInt(pair.key().substring(Chunk.prefix(claim.id()).length()));
                  claim.installChunk(index, Chunk.fromDocument(pair.value(), pair.revision()));
                } catch (MalformedMessageException | NumberFormatException e) {
                  throw new IllegalStateException("chunk " + pair.key() + " cannot be read", e);
                }
              }
              claim.loading = false;
              double now = context.now();
              // Holders that do not know the new claimant yet will report the attempts shortly,
              // so the first queries are delayed.
              claim.liveAttempts.values().forEach(attempt -> attempt.queriedAt = now);
              claim.hostsToCompare.addAll(claim.hosts());
              reconciliation.comparePending(claim);
              claims.reevaluate(claim);
            });
  }

  /** Reads the job's record again and releases the claim if it is no longer valid. */
  void reload(Claim claim) {
    claim.loading = true;
    context
        .jobs()
        .readCurrent(
            claim.id(),
            StateStore.RequestPriority.CORE,
            found -> {
              if (claim.released) {
                return;
              }
              if (found.outcome() == Outcome.OK && found.entry() != null) {
                String self = context.membership().ownIncarnation();
                if (self == null || !self.equals(found.entry().record().claimant())) {
                  claims.release(claim);
                  return;
                }
                claim.record = found.entry().record();
                claim.revision = found.entry().revision();
                load(claim);
              } else if (found.outcome() == Outcome.OK || found.outcome() == Outcome.NOT_FOUND) {
                claims.release(claim);
              } else {
                context.schedule(RETRY_S, () -> reload(claim));
              }
            });
  }
}
