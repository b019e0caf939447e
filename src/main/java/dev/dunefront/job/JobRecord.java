package dev.dunefront.job;

import dev.dunefront.store.Replica;
import dev.dunefront.store.Store;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import dev.dunefront.wire.JobSpec;

/**
 * A job's record in the state service while the job, or any task of it, lives. When all is over a
 * small final record under another key takes its place in the same transaction.
 *
 * @param acceptedMs time of day when the job was accepted
 * @param claim the incarnation that has claimed the job, or null
 * @param term rises with every claim
 * @param granted how many of its tasks may be placed at once within the team's limit; 0 without one
 */
public record JobRecord(
    JobSpec spec, long acceptedMs, String claim, long term, Status status, int granted) {
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
  static JobRecord read(Doc d, JobSpec known) throws BadMessage {
    return new JobRecord(
        known != null ? known : JobSpec.read(d.doc("spec")),
        d.countOr("at", 0),
        d.textOr("claim", null),
        d.countOr("term", 0),
        Status.valueOf(d.text("status")),
        (int) d.countOr("granted", 0));
  }

  public Doc write(String mark) {
    return Doc.of()
        .put("spec", spec.write())
        .put("at", acceptedMs)
        .put("claim", claim)
        .put("term", term)
        .put("status", status.name())
        .put("granted", granted)
        .put(Store.MARK, mark);
  }

  public static Doc writeFinal(Status status, String mark) {
    return Doc.of().put("status", status.name()).put(Store.MARK, mark);
  }

  static Status readFinal(Doc d) throws BadMessage {
    return Status.valueOf(d.text("status"));
  }

  public JobRecord claimedBy(String incarnation) {
    return new JobRecord(spec, acceptedMs, incarnation, term + 1, status, granted);
  }

  /** Whether this incarnation, if any, has the claim. */
  public boolean heldBy(String incarnation) {
    return incarnation != null && incarnation.equals(claim);
  }

  public JobRecord with(Status next) {
    return new JobRecord(spec, acceptedMs, claim, term, next, granted);
  }

  public JobRecord granting(int tasks) {
    return new JobRecord(spec, acceptedMs, claim, term, status, tasks);
  }
}
