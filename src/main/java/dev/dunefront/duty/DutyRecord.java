package dev.dunefront.duty;

import dev.dunefront.store.StateStore;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;

/**
 * The recorded holder of a duty. The record is attached to the holder's lease and written only when
 * the holder changes, so its revision in the state service serves as the term: revisions increase
 * with every change and never decrease, even after the record has expired with a lease.
 *
 * @param holder the incarnation that holds the duty, or null if there is no record
 * @param term the record's revision, 0 if there is no record
 */
record DutyRecord(String holder, long term) {
  static final DutyRecord VACANT = new DutyRecord(null, 0);

  /** Decodes a record; a malformed one has an unknown holder and stays until its lease expires. */
  static DutyRecord read(Document value, long revision) {
    if (value == null) {
      return VACANT;
    }
    try {
      return new DutyRecord(value.text("inc"), revision);
    } catch (MalformedMessageException e) {
      return new DutyRecord("", revision);
    }
  }

  static Document write(String incarnation, String writeId) {
    return Document.create().put("inc", incarnation).put(StateStore.WRITE_ID_FIELD, writeId);
  }

  boolean vacant() {
    return holder == null;
  }

  boolean heldBy(String incarnation) {
    return incarnation != null && incarnation.equals(holder);
  }
}
