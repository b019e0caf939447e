package dev.dunefront.evidence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.evidence.ReportSequence.Classification;
import dev.dunefront.wire.Report;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** What a holder believes of a worker that restarts, and which commands the worker refuses. */
class WorkerBootTest {
  private static final long FIRST_TOKEN = FencingTokens.firstOf(12);

  private static Report report(long session, long serial, long token) {
    return new Report("h", "h:9", "t", "a", false, session, serial, token, null, List.of());
  }

  @Test
  void aReportProvesNothingUntilItsTokenBelongsToTheBoot() {
    WorkerBoot boot = WorkerBoot.unknown(FIRST_TOKEN);
    assertEquals(Classification.UNCONFIRMED, boot.classify(report(2, 40, FIRST_TOKEN - 1)));
    assertEquals(Classification.UNCONFIRMED, boot.classify(report(1, 1, 0)));
    boot = boot.afterReport(report(1, 2, FIRST_TOKEN));
    assertTrue(boot.confirmed());
    assertEquals(Classification.STALE, boot.classify(report(2, 40, FIRST_TOKEN - 1)));
    assertEquals(Classification.NEW, boot.classify(report(2, 1, FIRST_TOKEN)));
  }

  // Guards against ran_twice: a report from before a restart counts as news of the boot after it.
  @Property(tries = 300, seed = "54")
  void reportsOfEarlierBootsAreNeverNews(
      @ForAll @Size(min = 1, max = 30) List<@IntRange(max = 4) Integer> steps) {
    List<Report> earlier = new ArrayList<>();
    List<Report> present = new ArrayList<>();
    WorkerBoot boot = WorkerBoot.unknown(FIRST_TOKEN);
    long session = 1;
    long serial = 0;
    for (int step : steps) {
      if (step == 4) {
        boot = boot.restarted(report(1, 1, 0));
        earlier.addAll(present);
        present.clear();
        session = 1;
        serial = 1;
      } else if (step == 3) {
        session++;
        serial = 0;
      } else if (step == 2) {
        boot = boot.afterStarts().beforeClears();
      }
      Report next = report(session, ++serial, boot.commandToken());
      assertEquals(Classification.NEW, boot.classify(next));
      boot = boot.afterReport(next);
      present.add(next);
      for (Report copy : earlier) {
        assertEquals(Classification.STALE, boot.classify(copy));
        assertTrue(boot.mayHaveRestarted(copy), "it looks like the first report after a restart");
      }
    }
  }

  @Test
  void aClearIsSentUnderAHigherTokenThanEveryStartBeforeIt() {
    WorkerBoot boot = WorkerBoot.unknown(FIRST_TOKEN);
    assertEquals(FIRST_TOKEN, boot.beforeClears().commandToken(), "no start can be repeated");
    long startToken = boot.afterStarts().commandToken();
    WorkerBoot cleared = boot.afterStarts().beforeClears();
    assertTrue(cleared.commandToken() > startToken);
    assertEquals(cleared, cleared.beforeClears(), "the token is raised once for several clears");
    assertTrue(cleared.isSameAs(boot));
  }

  @Test
  void tokensStayInTheRangeOfTheirRevision() {
    WorkerBoot boot = WorkerBoot.unknown(FIRST_TOKEN);
    while (!boot.tokensExhausted()) {
      boot = boot.afterStarts().beforeClears();
    }
    assertTrue(boot.restarted(report(1, 1, 0)).commandToken() < FencingTokens.firstOf(13));
    assertFalse(boot.raisedTo(FencingTokens.firstOf(13)).tokensExhausted());
  }
}
