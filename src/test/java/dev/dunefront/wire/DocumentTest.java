package dev.dunefront.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Bodies as they may come from anybody. */
class DocumentTest {

  @Test
  void encodedFieldsDecodeToTheSameValues() throws MalformedMessageException {
    Document inner = Document.create().put("a", 1.5).put("none", null);
    Document d =
        Document.create().put("n", 7).put("t", "x").put("l", List.of(inner)).put("b", true);
    Document back = Document.decode(d.encode());
    assertEquals(7, back.count("n"));
    assertEquals("x", back.text("t"));
    assertEquals(1.5, back.documents("l").get(0).amount("a"));
    assertEquals("else", back.documents("l").get(0).textOr("none", "else"));
  }

  @Test
  void malformedBodiesAreRejected() {
    byte[] whole = Document.create().put("some", "text").put("n", 3).encode();
    for (int cut = 0; cut < whole.length; cut++) {
      byte[] part = Arrays.copyOf(whole, cut);
      assertThrows(MalformedMessageException.class, () -> Document.decode(part));
    }
    assertThrows(
        MalformedMessageException.class,
        () -> Document.decode(Arrays.copyOf(whole, whole.length + 1)));
    assertThrows(
        MalformedMessageException.class, () -> Document.decode(new byte[] {(byte) 0x93, 1, 2, 3}));
    // A list that announces four billion items, and nesting without end.
    assertThrows(
        MalformedMessageException.class,
        () -> Document.decode(new byte[] {(byte) 0xdd, -1, -1, -1, -1}));
    byte[] deep = new byte[60_000];
    Arrays.fill(deep, (byte) 0x91);
    assertThrows(MalformedMessageException.class, () -> Document.decode(deep));
  }

  @Test
  void countsOfFittingTasksAreExact() {
    Resources third = Resources.demand(1.0 / 3, 0, 0.1);
    assertEquals(2, third.countFittingIn(Resources.supply(1, 0, 1)), "rounded up, never too many");
    Resources tenth = Resources.demand(0.1, 0, 0.1);
    assertEquals(10, tenth.countFittingIn(Resources.supply(1, 0, 1)));
  }
}
