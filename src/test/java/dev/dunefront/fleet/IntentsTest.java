package dev.dunefront.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.fleet.CloudClient.RentRequest;
import dev.dunefront.peer.Message.MachineView;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import dev.dunefront.wire.Resources;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Encoding of recorded intents, and which recorded deletions the next holder still executes. */
class IntentsTest {
  private static final MachineKind SMALL = new MachineKind("small", "a", true);

  private static Intents sampleIntents() {
    Intents i = new Intents();
    i.rentRequests.put("h-1", new RentRequest("h-1", SMALL, 7));
    i.deletions.put("host-1", ReturnReason.IDLE);
    i.deletions.put("host-2", ReturnReason.SILENT);
    i.deletions.put("host-3", ReturnReason.IDLE);
    i.completedRents.add(new Intents.CompletedRent(SMALL, 50_000, List.of("host-4", "host-5")));
    i.silentSinceMs.put("host-2", 12_345L);
    i.unlistedSinceMs.put("host-9", 20_000L);
    return i;
  }

  @Test
  void intentsAreReadBackWithTimesRoundedToSteps() throws MalformedMessageException {
    Intents i = sampleIntents();
    Intents back = Intents.read(Document.decode(i.write(16_000).encode()));
    assertEquals(i.rentRequests, back.rentRequests);
    assertEquals(i.deletions, back.deletions);
    assertEquals(i.completedRents, back.completedRents);
    assertEquals(Map.of("host-2", 10_000L), back.silentSinceMs);
    assertEquals(i.unlistedSinceMs, back.unlistedSinceMs);
    assertTrue(Intents.read(null).rentRequests.isEmpty());
  }

  /** The state service rejects larger values, after which no machine could be rented any more. */
  @Test
  void recordOfThousandsOfMachinesStaysWithinTheSizeLimit() throws MalformedMessageException {
    Intents i = sampleIntents();
    for (int request = 0; request < 40; request++) {
      List<String> hosts = new ArrayList<>();
      for (int n = 0; n < 50; n++) {
        hosts.add(String.format("host-%06d", request * 50 + n));
      }
      i.completedRents.add(new Intents.CompletedRent(SMALL, 60_000 + request, hosts));
    }
    for (int n = 0; n < 1000; n++) {
      i.silentSinceMs.put(String.format("host-%06d", 5000 + n), n * 1000L);
    }
    for (int n = 0; n < 100; n++) {
      i.deletions.put(String.format("host-%06d", 9000 + n), ReturnReason.values()[n % 6]);
    }
    for (int limit : new int[] {12_000, 24_000}) {
      Document value = i.write(limit);
      // The state service counts the size as JSON, and the text form is at least as long.
      assertTrue(value.toString().length() < limit * 1.2, value.toString().length() + " bytes");
      Intents back = Intents.read(value);
      assertEquals(i.deletions, back.deletions, "open deletions are never left out");
      assertEquals(i.rentRequests, back.rentRequests);
      Intents.CompletedRent newest = i.completedRents.get(i.completedRents.size() - 1);
      assertEquals(
          newest,
          back.completedRents.get(back.completedRents.size() - 1),
          "the newest completed request is kept, in last place");
    }
  }

  private static MachineView view(
      boolean tokenAcknowledged,
      boolean leaseExpired,
      boolean quarantined,
      boolean retiring,
      int running) {
    return new MachineView(
        "h",
        "t",
        "z",
        false,
        1,
        1,
        1,
        tokenAcknowledged,
        leaseExpired,
        !retiring,
        quarantined,
        retiring,
        false,
        0,
        Resources.NONE,
        List.of(),
        List.of(0, 0, running, 0),
        List.of(0, 0, 0, 0),
        List.of());
  }

  /**
   * The columns for each reason: not held, retiring and empty, schedulable, running, quarantined,
   * lease expired. The controller that recorded a deletion may be replaced before it is sent, and
   * tasks may have been placed on the machine in the meantime.
   */
  @Test
  void recordedDeletionAppliesOnlyIfNoTaskCanHaveBeenPlacedSince() {
    Map<ReturnReason, String> table =
        Map.of(
            ReturnReason.IDLE, "-x---x",
            ReturnReason.FAILED, "xxxxxx",
            ReturnReason.NOT_BOOTING, "x----x",
            ReturnReason.SILENT, "x----x",
            ReturnReason.DEAF, "x----x",
            ReturnReason.QUARANTINED, "x---xx",
            ReturnReason.UNLISTED, "x----x");
    MachineView[] views = {
      null,
      view(true, false, false, true, 0),
      view(true, false, false, false, 0),
      view(true, false, false, false, 2),
      view(true, false, true, false, 2),
      view(true, true, false, false, 2)
    };
    for (ReturnReason why : ReturnReason.values()) {
      StringBuilder row = new StringBuilder();
      for (MachineView v : views) {
        row.append(why.stillApplies(v) ? 'x' : '-');
      }
      assertEquals(table.get(why), row.toString(), why.toString());
    }
    MachineView closedButUsed = view(true, false, false, true, 1);
    assertEquals(false, ReturnReason.IDLE.stillApplies(closedButUsed));
    assertEquals(
        true,
        ReturnReason.UNLISTED.stillApplies(view(false, false, false, false, 1)),
        "no report under this token");
  }
}
