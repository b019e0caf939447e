package dev.dunefront.job;

import dev.dunefront.store.Replica;
import dev.dunefront.store.StateStore;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MalformedMessageException;

/**
 * A job's record in the state service while the job, or any task of it, lives. When all is over a
 * small final record under another key takes its place in the same transaction.
 *
 * @param acceptedMs time of day when the job was accepted
 * @param claimant the incarnation that has claimed the job, or null
 * @param term rises with every claim
 * @param granted how many of its tasks may be placed at once within the team's limit; 0 without one
 */
public record JobRecord(
    JobSpec spec, long acceptedMs, String claimant, long term, Status status, int granted) {
  public static final String PREFIX = Replica.PREFIX + "j/";

  /** What a job is, on record. */
  public enum Status {
    OPEN,
    CANCELLED,
    DONE
  }

  public static String key(String id) {
    return PREFIX + id;
  }

  public static String finalKey(String id) {
    return "d/" + id;
  }

  /** Reads a record; a spec that is known already is not read again. */
  static JobRecord fromDocument(Document d, JobSpec known) throws MalformedMessageException {
    return new JobRecord(
        known != null ? known : JobSpec.fromDocument(d.document("spec")),
        d.countOr("at", 0),
        d.textOr("claim", null),
        d.countOr("term", 0),
        Status.valueOf(d.text("status")),
        (int) d.countOr("granted", 0));
  }

  public Document toDocument(String mark) {
    return Document.create()
        .put("spec", spec.toDocument())
        .put("at", acceptedMs)
        .put("claim", claimant)
        .put("term", term)
        .put("status", status.name())
        .put("granted", granted)
        .put(StateStore.WRITE_ID_FIELD, mark);
  }

  public static Document finalToDocument(Status status, String mark) {
    return Document.create().put("status", status.name()).put(StateStore.WRITE_ID_FIELD, mark);
  }

  static Status finalStatusFromDocument(Document d) throws MalformedMessageException {
    return Status.valueOf(d.text("status"));
  }

  public JobRecord withClaimant(String incarnation) {
    return new JobRecord(spec, acceptedMs, incarnation, term + 1, status, granted);
  }

  /** Whether this incarnation, if any, has the claim. */
  public boolean isClaimedBy(String incarnation) {
    return incarnation != null && incarnation.equals(claimant);
  }

  public JobRecord withStatus(Status next) {
    return new JobRecord(spec, acceptedMs, claimant, term, next, granted);
  }

  public JobRecord withGranted(int tasks) {
    return new JobRecord(spec, acceptedMs, claimant, term, status, tasks);
  }
}
