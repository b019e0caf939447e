package dev.dunefront.duty;

import dev.dunefront.store.Store;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;

/**
 * The recorded holder of a duty. The record is attached to the holder's lease and written only when
 * the holder changes, so its stamp in the state service serves as the term: revisions increase with
 * every change and never decrease, even after the record has expired with a lease.
 *
 * @param holder the incarnation that holds the duty, or null if there is no record
 * @param term the record's stamp, 0 if there is no record
 */
record DutyRecord(String holder, long term) {
  static final DutyRecord VACANT = new DutyRecord(null, 0);

  /** Decodes a record; a malformed one has an unknown holder and stays until its lease expires. */
  static DutyRecord read(Doc value, long stamp) {
    if (value == null) {
      return VACANT;
    }
    try {
      return new DutyRecord(value.text("inc"), stamp);
    } catch (BadMessage e) {
      return new DutyRecord("", stamp);
    }
  }

  static Doc write(String incarnation, String mark) {
    return Doc.of().put("inc", incarnation).put(Store.MARK, mark);
  }

  boolean vacant() {
    return holder == null;
  }

  boolean heldBy(String incarnation) {
    return incarnation != null && incarnation.equals(holder);
  }
}
