package dev.dunefront.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.job.JobRecord;
import dev.dunefront.job.JobTable;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Choice of machine kinds to rent, idle machines to return, and the forecast of urgent tasks. */
class RentPlanTest {
  private static final MachineKind WIDE_A = new MachineKind("wide", "a", false);
  private static final MachineKind WIDE_B = new MachineKind("wide", "b", false);
  private static final MachineKind SLIM_SPOT_C = new MachineKind("slim", "c", true);
  private final MachineCatalog catalog = new MachineCatalog(null, null, null, null, null);
  private final Set<MachineKind> refused = new HashSet<>();

  RentPlanTest() {
    assertTrue(
        catalog.load(
            Document.create()
                .put(
                    "flavors",
                    List.of(
                        type("slim", 4, 0.34, 0.09, List.of("a", "b", "c")),
                        type("wide", 16, 1.09, 0.30, List.of("a", "b"))))));
  }

  private static Document type(
      String name, double cpus, double price, double spot, List<String> zones) {
    return Document.create()
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
      return JobSpec.fromDocument(
          Document.create()
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
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  private final JobSpec replicas = spec("wk-1", true, 12, 1, 1.4);
  private final JobSpec array = spec("wk-2", false, 60, 4, 6.5);

  private Map<MachineKind, Integer> planned(RentPlan rentPlan) {
    Map<MachineKind, Integer> all = new HashMap<>();
    for (String type : List.of("slim", "wide")) {
      for (String zone : List.of("a", "b", "c")) {
        for (boolean spot : new boolean[] {false, true}) {
          MachineKind kind = new MachineKind(type, zone, spot);
          if (rentPlan.plannedCount(kind) > 0) {
            all.put(kind, rentPlan.plannedCount(kind));
          }
        }
      }
    }
    return all;
  }

  /** A replica is cheapest on the large type, and no other job needs that type. */
  @Test
  void smallTasksUseTheLargeTypeUnlessAnotherJobNeedsIt() {
    catalog.observe(replicas);
    catalog.observe(array);
    RentPlan rentPlan = new RentPlan(catalog, refused);
    rentPlan.addMachines(CapacityNeed.forQueued(replicas, 32, Map.of(), 0), false);
    assertEquals(Map.of(WIDE_A, 2), planned(rentPlan));
    catalog.observe(spec("wk-3", false, 1, 16, 27));
    RentPlan other = new RentPlan(catalog, refused);
    other.addMachines(CapacityNeed.forQueued(replicas, 32, Map.of(), 0), false);
    assertEquals(Map.of(new MachineKind("slim", "a", false), 8), planned(other));
  }

  /** Machines that arrive for arrays are not room for replicas, which wait for the cheaper type. */
  @Test
  void replicasAreNotAllocatedToMachinesTheyWouldNotUse() {
    catalog.observe(replicas);
    MachineKind slim = new MachineKind("slim", "c", false);
    RentPlan rentPlan = new RentPlan(catalog, refused);
    CapacityNeed need = CapacityNeed.forQueued(replicas, 12, Map.of(), 0);
    rentPlan.allocate(need, new HashMap<>(Map.of(slim, 9.0)));
    assertEquals(12, need.unmetTasks());
    refused.addAll(Set.of(WIDE_A, WIDE_B));
    rentPlan.allocate(need, new HashMap<>(Map.of(slim, 9.0)));
    assertEquals(0, need.unmetTasks(), "the other type is used while the cheaper one is refused");
  }

  /** Tasks that must be spread could never all be placed on machines of a single zone. */
  @Test
  void spreadTasksGetMachinesInTheZonesStillAllowed() {
    RentPlan rentPlan = new RentPlan(catalog, refused);
    rentPlan.addMachines(
        CapacityNeed.forQueued(replicas, 12, Map.of("a", 6, "b", 6, "c", 6), 0), false);
    assertEquals(Map.of(WIDE_A, 1, WIDE_B, 1), planned(rentPlan));
    RentPlan rest = new RentPlan(catalog, refused);
    rest.addMachines(CapacityNeed.forQueued(replicas, 6, Map.of("a", 0, "b", 6), 0), false);
    assertEquals(Map.of(WIDE_B, 1), planned(rest));
    CapacityNeed need = CapacityNeed.forQueued(replicas, 6, Map.of("a", 0, "b", 6), 0);
    rest.allocate(need, new HashMap<>(Map.of(WIDE_A, 3.0)));
    assertEquals(6, need.unmetTasks());
  }

  /**
   * Half of such a job runs and no zone may take the rest; machines for it would be rented
   * endlessly.
   */
  @Test
  void nothingIsRentedForTasksThatNoZoneAllows() {
    RentPlan rentPlan = new RentPlan(catalog, refused);
    rentPlan.addMachines(
        CapacityNeed.forQueued(replicas, 6, Map.of("a", 0, "b", 0, "c", 0), 0), false);
    assertNull(rentPlan.kindToRent());
  }

  /** The rest is rented by the next request; until then no more expensive kind is used. */
  @Test
  void noDearerKindIsRentedWhenTheCheapestReachesItsRequestLimit() {
    refused.add(new MachineKind("wide", "a", true));
    refused.add(new MachineKind("wide", "b", true));
    RentPlan rentPlan = new RentPlan(catalog, refused);
    rentPlan.addMachines(CapacityNeed.forQueued(array, 1000, Map.of(), 0), false);
    assertTrue(planned(rentPlan).keySet().stream().allMatch(MachineKind::spot));
    assertTrue(rentPlan.spotAvailable(array));
    assertFalse(rentPlan.spotAvailable(replicas));
  }

  @Test
  void theNextCheapestKindIsRentedWhenOneIsRefused() {
    refused.add(WIDE_A);
    refused.add(WIDE_B);
    RentPlan rentPlan = new RentPlan(catalog, refused);
    rentPlan.addMachines(CapacityNeed.forQueued(replicas, 4, Map.of(), 0), false);
    assertEquals(Map.of(new MachineKind("slim", "a", false), 1), planned(rentPlan));
    RentPlan spot = new RentPlan(catalog, Set.of(SLIM_SPOT_C));
    spot.addMachines(CapacityNeed.forQueued(replicas, 4, Map.of(), 0), true);
    assertNull(spot.kindToRent(), "replicas may not run on spot machines");
  }

  @Test
  void idleMachinesAreReturnedAfterTheIdleTimeout() {
    List<IdlePolicy.IdleMachine> idle =
        List.of(
            new IdlePolicy.IdleMachine("h1", WIDE_A, 30),
            new IdlePolicy.IdleMachine("h2", WIDE_A, 50),
            new IdlePolicy.IdleMachine("h3", WIDE_A, 40),
            new IdlePolicy.IdleMachine("h4", WIDE_B, 40));
    Map<MachineKind, Double> spare = Map.of(WIDE_A, 2.5, WIDE_B, 1.0);
    assertEquals(
        List.of("h2", "h3"), IdlePolicy.selectForReturn(idle, spare, Set.of(WIDE_B), k -> 25));
    assertEquals(List.of("h2"), IdlePolicy.selectForReturn(idle, spare, Set.of(), k -> 45));
    assertEquals(
        List.of(), IdlePolicy.selectForReturn(idle, Map.of(WIDE_A, 0.9), Set.of(WIDE_B), k -> 25));
  }

  private final List<JobTable.Entry> openJobs = new ArrayList<>();

  private void addOpenServices(int services, int size, double agoS) {
    for (int i = 0; i < services; i++) {
      JobSpec spec = spec("wk-s" + openJobs.size(), true, size, 1, 1.4);
      long at = 1_000_000 - (long) (agoS * 1000);
      openJobs.add(
          new JobTable.Entry(new JobRecord(spec, at, null, 0, JobRecord.Status.OPEN, 0), 1, ""));
    }
  }

  private double forecast() {
    return DemandForecast.urgentNeeds(openJobs, Set.of("a", "b"), 0.5, 50, 1_000_000).stream()
        .mapToDouble(CapacityNeed::unmetTasks)
        .sum();
  }

  /**
   * Services are long-lived: room in proportion to the open ones would be rented but never used.
   */
  @Test
  void spareRoomForServicesFollowsArrivalsNotOpenServices() {
    addOpenServices(200, 4, 500);
    assertEquals(2 * 4, forecast(), "room for two of the largest service");
    addOpenServices(200, 4, 10);
    assertEquals(2 * 4, forecast(), "a single wave is not expected again");
    addOpenServices(10, 4, 70);
    assertEquals(2 * 40, forecast(), "twice the arrivals of the window before");
  }
}
