package dev.dunefront.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Encoding of documents, rejection of malformed bodies, and arithmetic of resources. */
class DocTest {

  @Test
  void whatIsWrittenIsReadBack() throws BadMessage {
    Doc inner = Doc.of().put("a", 1.5).put("none", null);
    Doc d = Doc.of().put("n", 7).put("t", "x").put("l", List.of(inner)).put("b", true);
    Doc decoded = Doc.decode(d.encode());
    assertEquals(7, decoded.count("n"));
    assertEquals("x", decoded.text("t"));
    assertEquals(1.5, decoded.docs("l").get(0).amount("a"));
    assertEquals("else", decoded.docs("l").get(0).textOr("none", "else"));
  }

  @Test
  void garbageIsNamedAsSuch() {
    byte[] whole = Doc.of().put("some", "text").put("n", 3).encode();
    for (int cut = 0; cut < whole.length; cut++) {
      byte[] part = Arrays.copyOf(whole, cut);
      assertThrows(BadMessage.class, () -> Doc.decode(part));
    }
    assertThrows(BadMessage.class, () -> Doc.decode(Arrays.copyOf(whole, whole.length + 1)));
    assertThrows(BadMessage.class, () -> Doc.decode(new byte[] {(byte) 0x93, 1, 2, 3}));
    // A list that declares four billion items, and 60,000 levels of nesting.
    assertThrows(BadMessage.class, () -> Doc.decode(new byte[] {(byte) 0xdd, -1, -1, -1, -1}));
    byte[] deep = new byte[60_000];
    Arrays.fill(deep, (byte) 0x91);
    assertThrows(BadMessage.class, () -> Doc.decode(deep));
  }

  @Test
  void sumsOfSizesAreExact() {
    Size third = Size.demand(1.0 / 3, 0, 0.1);
    assertEquals(
        2,
        third.timesIn(Size.supply(1, 0, 1)),
        "requests are rounded up, so that not too many tasks fit");
    Size tenth = Size.demand(0.1, 0, 0.1);
    assertEquals(10, tenth.timesIn(Size.supply(1, 0, 1)));
  }
}
