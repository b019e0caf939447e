package dev.dunefront.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Substitution of parameters in log messages. */
class LogTest {
  @Test
  void parametersAreFilledInAndBracesOfOthersStay() {
    assertEquals("a of 1234 and b", Log.fill("{0} of {2} and {1}", new Object[] {"a", "b", 1234}));
    assertEquals("{1} {x} {", Log.fill("{1} {x} {", new Object[] {"a"}));
    assertEquals("plain {0}", Log.fill("plain {0}", null));
  }
}
