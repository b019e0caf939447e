package dev.dunefront.evidence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.evidence.ReportSequence.Classification;
import dev.dunefront.wire.Report;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
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
        assertTrue(boot.mayBeOfAnotherBoot(copy), "it looks like the first report after a restart");
      }
    }
  }

  /** A holder that begins without any knowledge of the worker, and the worker's boots. */
  private static final class BeginningHold {
    private WorkerBoot boot = WorkerBoot.unknown(FIRST_TOKEN);
    private int workerBoot;
    private long session = 1;
    private long serial;
    private long token;
    private int latestBelieved = -1;
    private final Deque<Runnable> delayed = new ArrayDeque<>();

    private Report nextReport() {
      return report(session, ++serial, token);
    }

    /** A report arrives; its answer is received only by the boot that sent it. */
    private void receive(Report report, int sender, boolean answerLost) {
      if (boot.classify(report) == Classification.STALE) {
        requestStatus();
        return;
      }
      if (boot.classify(report) == Classification.UNCONFIRMED) {
        boot = boot.beforeUnconfirmedAnswer();
      } else {
        assertTrue(sender >= latestBelieved, "a report of an earlier boot is believed");
        latestBelieved = sender;
        boot = boot.afterReport(report);
      }
      if (sender == workerBoot && !answerLost) {
        token = Math.max(token, boot.commandToken());
      }
    }

    private void requestStatus() {
      Report reply = nextReport();
      if (boot.reports().provesRestart(reply)) {
        boot = boot.restarted(reply);
        latestBelieved = workerBoot;
      } else if (!boot.mayBeOfAnotherBoot(reply)) {
        boot = boot.afterReply(reply);
        latestBelieved = workerBoot;
      }
    }

    /** A request for confirmation is sent, and received later by whichever boot there is. */
    private void delayConfirmationRequest() {
      if (boot.confirmed()) {
        return;
      }
      boot = boot.beforeConfirmationRequest();
      long requestToken = boot.commandToken();
      long requestSession = session;
      delayed.add(
          () -> {
            if (requestSession == session && requestToken >= token) {
              token = requestToken;
            }
          });
    }

    private void step(int kind) {
      switch (kind) {
        case 0 -> receive(nextReport(), workerBoot, false);
        case 1 -> receive(nextReport(), workerBoot, true);
        case 2 -> {
          Report late = nextReport();
          int sender = workerBoot;
          delayed.add(() -> receive(late, sender, true));
        }
        case 3 -> {
          workerBoot++;
          session = 1;
          serial = 0;
          token = 0;
        }
        case 4 -> {
          session++;
          serial = 0;
        }
        case 5 -> delayConfirmationRequest();
        default -> {
          if (!delayed.isEmpty()) {
            delayed.poll().run();
          }
        }
      }
    }
  }

  // Guards against ran_twice: two boots learn one token before the holder has confirmed either.
  @Property(tries = 3000, seed = "60")
  void noReportIsBelievedAfterOneOfALaterBoot(
      @ForAll @Size(min = 1, max = 40) List<@IntRange(max = 7) Integer> steps) {
    BeginningHold hold = new BeginningHold();
    steps.forEach(hold::step);
    for (int i = 0; i < 3; i++) {
      hold.receive(hold.nextReport(), hold.workerBoot, false);
    }
    assertEquals(hold.workerBoot, hold.latestBelieved, "the present boot is confirmed");
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
