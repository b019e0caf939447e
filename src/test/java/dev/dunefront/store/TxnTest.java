package dev.dunefront.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The size of transactions, and how several are joined within the limits. */
class TxnTest {
  private static final TxnLimits LIMITS = new TxnLimits(3, 12, 2000, 900);

  private static Txn write(String key, int textBytes) {
    return new Txn()
        .requireRevision(key, 12)
        .put(key, Document.create().put("text", "x".repeat(textBytes)));
  }

  @Test
  void theSizeIsThatOfTheTransactionAsJson() throws MalformedMessageException {
    Document value = Document.create().put("n", 1.5).put("list", List.of(1L, 200L)).put("no", null);
    Txn txn =
        new Txn()
            .requireRevision("w/a", 0)
            .requireRevision("w/b", 123456)
            .requireRevision("w/b", 123456)
            .put("w/a", value)
            .put("w/b", Document.create().put("text", "\u00e9\n\""), 7)
            .remove("w/c");
    int exact = Document.decode(txn.encode()).jsonBytes();
    assertTrue(txn.bytes() >= exact && txn.bytes() <= exact + 2, txn.bytes() + " for " + exact);
    String valueAsJson = "{\"n\":1.5,\"list\":[1,200],\"no\":null}";
    assertEquals(valueAsJson.length(), value.jsonBytes());
  }

  @Test
  void transactionsAreJoinedWhileTheResultKeepsTheLimits() {
    Txn joined = new Txn();
    assertTrue(joined.addIfItFits(write("w/1", 800), LIMITS));
    assertTrue(joined.addIfItFits(write("w/2", 800), LIMITS));
    assertFalse(joined.addIfItFits(write("w/3", 800), LIMITS), "too many bytes");
    assertTrue(joined.addIfItFits(write("w/3", 8), LIMITS));
    assertFalse(joined.addIfItFits(write("w/4", 8), LIMITS), "too many changes");
    assertTrue(joined.fits(LIMITS));
    assertEquals(3, joined.writeCount());
    assertFalse(write("w/5", 900).fits(LIMITS), "too large a value");
  }
}
