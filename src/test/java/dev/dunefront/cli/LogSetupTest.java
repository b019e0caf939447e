package dev.dunefront.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Lines of the log. */
class LogSetupTest {
  @Test
  void placeholdersAreReplacedAndOtherBracesAreKept() {
    assertEquals(
        "a of 1234 and b",
        LogSetup.substitute("{0} of {2} and {1}", new Object[] {"a", "b", 1234}));
    assertEquals("{1} {x} {", LogSetup.substitute("{1} {x} {", new Object[] {"a"}));
    assertEquals("plain {0}", LogSetup.substitute("plain {0}", null));
  }
}
