package dev.dunefront.job;

import dev.dunefront.store.Replica;
import dev.dunefront.store.StateStore;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MalformedMessageException;

/**
 * A job's record in the state service while the job or any of its tasks is live. When all tasks
 * have ended, one transaction removes it and writes a small final record under another key.
 *
 * @param acceptedMs when the job was accepted, in milliseconds since the epoch
 * @param claimant the incarnation of the controller that has claimed the job, or null
 * @param term number of the claim, increased with every claim; 0 if the job was never claimed
 * @param granted how many of its tasks may be placed at once within the team's limit; 0 if the team
 *     has no limit
 */
public record JobRecord(
    JobSpec spec, long acceptedMs, String claimant, long term, Status status, int granted) {
  public static final String PREFIX = Replica.PREFIX + "j/";

  /** Status of a job in its record or final record. */
  public enum Status {
    OPEN,
    CANCELLED,
    DONE
  }

  /** By how much a record may grow after it was accepted: claimant, term, grant, write id. */
  private static final int MAX_GROWTH_BYTES = 512;

  /** Upper limit of the size of the record in any later state as JSON, in bytes. */
  public int maxBytes() {
    return toDocument("").jsonBytes() + MAX_GROWTH_BYTES;
  }

  public static String key(String id) {
    return PREFIX + id;
  }

  public static String finalKey(String id) {
    return "d/" + id;
  }

  /**
   * Decodes a record.
   *
   * @param known the job's spec if it was decoded before, which saves decoding it again, or null
   */
  static JobRecord fromDocument(Document d, JobSpec known) throws MalformedMessageException {
    return new JobRecord(
        known != null ? known : JobSpec.fromDocument(d.document("spec")),
        d.countOr("at", 0),
        d.textOr("claim", null),
        d.countOr("term", 0),
        Status.valueOf(d.text("status")),
        (int) d.countOr("granted", 0));
  }

  /** Encodes the record with the id of this write. */
  public Document toDocument(String writeId) {
    return Document.create()
        .put("spec", spec.toDocument())
        .put("at", acceptedMs)
        .put("claim", claimant)
        .put("term", term)
        .put("status", status.name())
        .put("granted", granted)
        .put(StateStore.WRITE_ID_FIELD, writeId);
  }

  public static Document finalToDocument(Status status, String writeId) {
    return Document.create().put("status", status.name()).put(StateStore.WRITE_ID_FIELD, writeId);
  }

  static Status finalStatusFromDocument(Document d) throws MalformedMessageException {
    return Status.valueOf(d.text("status"));
  }

  /** The record with a new claim by this incarnation, in the next term. */
  public JobRecord withClaimant(String incarnation) {
    return new JobRecord(spec, acceptedMs, incarnation, term + 1, status, granted);
  }

  /** Whether this incarnation has the claim; false for null. */
  public boolean isClaimedBy(String incarnation) {
    return incarnation != null && incarnation.equals(claimant);
  }

  public JobRecord withStatus(Status next) {
    return new JobRecord(spec, acceptedMs, claimant, term, next, granted);
  }

  /** The record with this number of tasks granted within the team's limit. */
  public JobRecord withGranted(int tasks) {
    return new JobRecord(spec, acceptedMs, claimant, term, status, tasks);
  }
}
