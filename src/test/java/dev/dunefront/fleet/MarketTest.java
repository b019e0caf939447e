package dev.dunefront.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.job.JobRecord;
import dev.dunefront.job.JobTable;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import dev.dunefront.wire.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Choice of machine kinds to rent, idle machines to return, and the forecast of urgent tasks. */
class MarketTest {
  private static final Kind WIDE_A = new Kind("wide", "a", false);
  private static final Kind WIDE_B = new Kind("wide", "b", false);
  private static final Kind SLIM_SPOT_C = new Kind("slim", "c", true);
  private final Catalog catalog = new Catalog(null, null, null, null, null);
  private final Set<Kind> refused = new HashSet<>();

  MarketTest() {
    assertTrue(
        catalog.take(
            Doc.of()
                .put(
                    "flavors",
                    List.of(
                        type("slim", 4, 0.34, 0.09, List.of("a", "b", "c")),
                        type("wide", 16, 1.09, 0.30, List.of("a", "b"))))));
  }

  private static Doc type(String name, double cpus, double price, double spot, List<String> zones) {
    return Doc.of()
        .put("label", name)
        .put("vcpus", cpus)
        .put("cards", 0.0)
        .put("ram_gb", 32.0)
        .put("cache_gb", 50.0)
        .put("pull_gb_per_s", 0.25)
        .put("rate", price)
        .put("spot_price", spot)
        .put("boot_s", 15.0)
        .put("sites", zones);
  }

  private static JobSpec spec(String id, boolean service, int tasks, double cpus, double ram) {
    try {
      return JobSpec.read(
          Doc.of()
              .put("id", id)
              .put("batchclass", "c")
              .put("owner", "t")
              .put("shape", service ? "daemon" : "sweep")
              .put("urgency", service ? "critical" : "normal")
              .put("pieces", tasks)
              .put("vcpus", cpus)
              .put("cards", 0.0)
              .put("ram_gb", ram)
              .put("apart", service)
              .put("loaners", !service));
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  private final JobSpec replicas = spec("wk-1", true, 12, 1, 1.4);
  private final JobSpec array = spec("wk-2", false, 60, 4, 6.5);

  private Map<Kind, Integer> planned(Market market) {
    Map<Kind, Integer> all = new HashMap<>();
    for (String type : List.of("slim", "wide")) {
      for (String zone : List.of("a", "b", "c")) {
        for (boolean spot : new boolean[] {false, true}) {
          Kind kind = new Kind(type, zone, spot);
          if (market.count(kind) > 0) {
            all.put(kind, market.count(kind));
          }
        }
      }
    }
    return all;
  }

  /** A replica is cheapest on the large type, and no other job needs that type. */
  @Test
  void smallTasksGoToTheLargeTypeWhenNobodyElseNeedsIt() {
    catalog.seen(replicas);
    catalog.seen(array);
    Market market = new Market(catalog, refused);
    market.plan(Need.waiting(replicas, 32, Map.of(), 0), false);
    assertEquals(Map.of(WIDE_A, 2), planned(market));
    catalog.seen(spec("wk-3", false, 1, 16, 27));
    Market other = new Market(catalog, refused);
    other.plan(Need.waiting(replicas, 32, Map.of(), 0), false);
    assertEquals(Map.of(new Kind("slim", "a", false), 8), planned(other));
  }

  /** Machines that arrive for arrays are not room for replicas, which wait for the cheaper type. */
  @Test
  void replicasDoNotCountOnMachinesThatTheyWouldNotTake() {
    catalog.seen(replicas);
    Kind slim = new Kind("slim", "c", false);
    Market market = new Market(catalog, refused);
    Need need = Need.waiting(replicas, 12, Map.of(), 0);
    market.fill(need, new HashMap<>(Map.of(slim, 9.0)));
    assertEquals(12, need.missing());
    refused.addAll(Set.of(WIDE_A, WIDE_B));
    market.fill(need, new HashMap<>(Map.of(slim, 9.0)));
    assertEquals(0, need.missing(), "the other type is used while the cheaper one is refused");
  }

  /** Tasks that must be spread could never all be placed on machines of a single zone. */
  @Test
  void tasksThatMustBeApartGetMachinesInTheZonesThatAreLeftToThem() {
    Market market = new Market(catalog, refused);
    market.plan(Need.waiting(replicas, 12, Map.of("a", 6, "b", 6, "c", 6), 0), false);
    assertEquals(Map.of(WIDE_A, 1, WIDE_B, 1), planned(market));
    Market rest = new Market(catalog, refused);
    rest.plan(Need.waiting(replicas, 6, Map.of("a", 0, "b", 6), 0), false);
    assertEquals(Map.of(WIDE_B, 1), planned(rest));
    Need need = Need.waiting(replicas, 6, Map.of("a", 0, "b", 6), 0);
    rest.fill(need, new HashMap<>(Map.of(WIDE_A, 3.0)));
    assertEquals(6, need.missing());
  }

  /**
   * Half of such a job runs and no zone may take the rest; machines for it would be rented
   * endlessly.
   */
  @Test
  void nothingIsRentedForTasksThatNoZoneMayTake() {
    Market market = new Market(catalog, refused);
    market.plan(Need.waiting(replicas, 6, Map.of("a", 0, "b", 0, "c", 0), 0), false);
    assertNull(market.most());
  }

  /** The rest is rented by the next request; until then no more expensive kind is used. */
  @Test
  void aKindThatIsPlannedInFullIsWaitedFor() {
    refused.add(new Kind("wide", "a", true));
    refused.add(new Kind("wide", "b", true));
    Market market = new Market(catalog, refused);
    market.plan(Need.waiting(array, 1000, Map.of(), 0), false);
    assertTrue(planned(market).keySet().stream().allMatch(Kind::spot));
    assertTrue(market.spotToBeHad(array));
    assertFalse(market.spotToBeHad(replicas));
  }

  @Test
  void theNextCheapestIsTakenWhereAKindIsRefused() {
    refused.add(WIDE_A);
    refused.add(WIDE_B);
    Market market = new Market(catalog, refused);
    market.plan(Need.waiting(replicas, 4, Map.of(), 0), false);
    assertEquals(Map.of(new Kind("slim", "a", false), 1), planned(market));
    Market spot = new Market(catalog, Set.of(SLIM_SPOT_C));
    spot.plan(Need.waiting(replicas, 4, Map.of(), 0), true);
    assertNull(spot.most(), "replicas may not run on spot machines");
  }

  @Test
  void idleMachinesAreReturnedOnceItNoLongerPaysToWait() {
    List<Idle.Machine> idle =
        List.of(
            new Idle.Machine("h1", WIDE_A, 30),
            new Idle.Machine("h2", WIDE_A, 50),
            new Idle.Machine("h3", WIDE_A, 40),
            new Idle.Machine("h4", WIDE_B, 40));
    Map<Kind, Double> spare = Map.of(WIDE_A, 2.5, WIDE_B, 1.0);
    assertEquals(List.of("h2", "h3"), Idle.toReturn(idle, spare, Set.of(WIDE_B), k -> 25));
    assertEquals(List.of("h2"), Idle.toReturn(idle, spare, Set.of(), k -> 45));
    assertEquals(List.of(), Idle.toReturn(idle, Map.of(WIDE_A, 0.9), Set.of(WIDE_B), k -> 25));
  }

  private final List<JobTable.Entry> open = new ArrayList<>();

  private void accepted(int services, int size, double agoS) {
    for (int i = 0; i < services; i++) {
      JobSpec spec = spec("wk-s" + open.size(), true, size, 1, 1.4);
      long at = 1_000_000 - (long) (agoS * 1000);
      open.add(new JobTable.Entry(new JobRecord(spec, at, null, 0, JobRecord.Status.OPEN, 0), 1));
    }
  }

  private double forecast() {
    return Forecast.urgent(open, Set.of("a", "b"), 0.5, 50, 1_000_000).stream()
        .mapToDouble(Need::missing)
        .sum();
  }

  /**
   * Services are long-lived: room in proportion to the open ones would be rented but never used.
   */
  @Test
  void roomForServicesIsKeptByHowManyComeNotByHowManyThereAre() {
    accepted(200, 4, 500);
    assertEquals(2 * 4, forecast(), "room for two of the largest service");
    accepted(200, 4, 10);
    assertEquals(2 * 4, forecast(), "a single wave is not expected again");
    accepted(10, 4, 70);
    assertEquals(2 * 40, forecast(), "twice the arrivals of the window before");
  }
}
