package dev.dunefront.duty;

import dev.dunefront.store.StateStore;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;

/**
 * Who has a duty, as recorded. The record lives under the holder's lease and is written only when
 * the duty changes hands, so the stamp that the state service gave it serves as the term: revisions
 * rise with every change and never go back, not even when the record has vanished with a lease.
 *
 * @param holder the incarnation that has the duty, or null while nobody has
 * @param term the record's stamp, 0 while there is none
 */
record DutyRecord(String holder, long term) {
  static final DutyRecord VACANT = new DutyRecord(null, 0);

  /** A record that cannot be read has a holder whom nobody knows; it ends with its lease. */
  static DutyRecord read(Document value, long stamp) {
    if (value == null) {
      return VACANT;
    }
    try {
      return new DutyRecord(value.text("inc"), stamp);
    } catch (MalformedMessageException e) {
      return new DutyRecord("", stamp);
    }
  }

  static Document write(String incarnation, String mark) {
    return Document.create().put("inc", incarnation).put(StateStore.WRITE_ID_FIELD, mark);
  }

  boolean vacant() {
    return holder == null;
  }

  boolean heldBy(String incarnation) {
    return incarnation != null && incarnation.equals(holder);
  }
}
