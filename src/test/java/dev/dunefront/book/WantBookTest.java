package dev.dunefront.book;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import dev.dunefront.wire.Resources;
import org.junit.jupiter.api.Test;

/** Who is served next. */
class WantBookTest {
  private static final Resources ONE = new Resources(1, 0, 0);
  private static final Resources FOUR = new Resources(4, 0, 0);
  private final WantBook book = new WantBook();

  private String next(Resources room) {
    WantBook.Want w = book.take(room, FOUR, 0);
    return w == null ? null : w.job;
  }

  @Test
  void priorityThenRoundRobinThenFirstCome() {
    book.put("a", "a1", 2, 1, ONE, 2, 1);
    book.put("a", "a2", 2, 1, ONE, 1, 2);
    book.put("b", "b1", 2, 1, ONE, 2, 3);
    book.put("a", "a3", 1, 1, ONE, 1, 4);
    assertEquals("a3", next(ONE), "the higher priority");
    assertEquals("b1", next(ONE), "a controller with few wants is not behind one with many");
    assertEquals("a1", next(ONE));
    assertEquals("b1", next(ONE));
    assertEquals("a1", next(ONE));
    assertEquals("a2", next(ONE), "then first-come");
    assertNull(next(ONE));
  }

  @Test
  void aLowerRankComesFirstAndWithdrawnWantsAreGone() {
    book.put("a", "late", 2, 3, ONE, 1, 1);
    book.put("a", "pressing", 2, 0, ONE, 1, 2);
    book.put("a", "gone", 2, 0, ONE, 1, 0);
    book.put("a", "gone", 2, 0, ONE, 0, 3);
    assertEquals("pressing", next(ONE));
    assertEquals("late", next(ONE));
    assertNull(next(ONE));
  }

  @Test
  void roomGathersForABigWantThatHasWaited() {
    book.put("a", "big", 2, 1, FOUR, 1, 1);
    book.put("b", "small", 2, 1, ONE, 1, 2);
    assertNull(book.take(ONE, FOUR, 0.5) == null ? "x" : null, "not yet: the small one is served");
    book.put("b", "small", 2, 1, ONE, 1, 3);
    book.put("b", "urgent", 1, 1, ONE, 1, 3);
    assertEquals("urgent", book.take(ONE, FOUR, 1.5).job, "a higher priority does not wait");
    book.put("b", "late", 2, 3, ONE, 1, 3);
    book.put("b", "small", 2, 1, ONE, 0, 3);
    assertNull(book.take(ONE, FOUR, 1.5), "what comes after it does");
    assertEquals("big", book.take(FOUR, FOUR, 1.5).job);
  }
}
