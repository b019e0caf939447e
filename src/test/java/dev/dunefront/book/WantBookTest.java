package dev.dunefront.book;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import dev.dunefront.wire.Size;
import org.junit.jupiter.api.Test;

/** The order in which wants are served. */
class WantBookTest {
  private static final Size ONE = new Size(1, 0, 0);
  private static final Size FOUR = new Size(4, 0, 0);
  private final WantBook book = new WantBook();

  private String next(Size room) {
    WantBook.Want w = book.take(room, FOUR, 0);
    return w == null ? null : w.job;
  }

  @Test
  void priorityThenRoundRobinThenFirstCome() {
    book.park("a", "a1", 2, 1, ONE, 2, 1);
    book.park("a", "a2", 2, 1, ONE, 1, 2);
    book.park("b", "b1", 2, 1, ONE, 2, 3);
    book.park("a", "a3", 1, 1, ONE, 1, 4);
    assertEquals("a3", next(ONE), "the higher priority");
    assertEquals("b1", next(ONE), "a controller with few wants is not queued behind one with many");
    assertEquals("a1", next(ONE));
    assertEquals("b1", next(ONE));
    assertEquals("a1", next(ONE));
    assertEquals("a2", next(ONE), "then first-come");
    assertNull(next(ONE));
  }

  @Test
  void aLowerRankIsServedFirstAndAWithdrawnWantIsNot() {
    book.park("a", "late", 2, 3, ONE, 1, 1);
    book.park("a", "pressing", 2, 0, ONE, 1, 2);
    book.park("a", "gone", 2, 0, ONE, 1, 0);
    book.park("a", "gone", 2, 0, ONE, 0, 3);
    assertEquals("pressing", next(ONE));
    assertEquals("late", next(ONE));
    assertNull(next(ONE));
  }

  @Test
  void roomIsReservedForALargeWantThatHasWaitedLong() {
    book.park("a", "big", 2, 1, FOUR, 1, 1);
    book.park("b", "small", 2, 1, ONE, 1, 2);
    assertNull(
        book.take(ONE, FOUR, 0.5) == null ? "x" : null,
        "the large want has not waited long enough, so the small one is served");
    book.park("b", "small", 2, 1, ONE, 1, 3);
    book.park("b", "urgent", 1, 1, ONE, 1, 3);
    assertEquals(
        "urgent",
        book.take(ONE, FOUR, 1.5).job,
        "a want of higher priority is served despite the reservation");
    book.park("b", "late", 2, 3, ONE, 1, 3);
    book.park("b", "small", 2, 1, ONE, 0, 3);
    assertNull(book.take(ONE, FOUR, 1.5), "a want that comes after the large one waits");
    assertEquals("big", book.take(FOUR, FOUR, 1.5).job);
  }
}
