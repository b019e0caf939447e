package dev.dunefront.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/**
 * Options of a load run. Durations are in seconds, rates per second.
 *
 * @param controllers controller processes
 * @param workers simulated workers at the start
 * @param zones zones over which workers are spread evenly
 * @param regions regions over which zones are spread; zone {@code k} is in region {@code k %
 *     regions}
 * @param teams teams, each with a limit
 * @param limitTasks maximum running tasks per team
 * @param startsPerS tasks submitted per second
 * @param tasksPerJob tasks per job
 * @param taskCpus CPUs and gigabytes of each task; a worker has four CPUs
 * @param runS mean run time of a task
 * @param urgentShare share of the jobs that are urgent
 * @param warmS warm-up before measuring
 * @param measureS duration of the measurement
 * @param troubles whether machines fail, a zone is lost and a region is partitioned meanwhile
 * @param stateRequests request limit of the state service per second
 * @param stateChanges change limit of the state service per second
 * @param seed seed of all random choices
 * @param reportS report interval of a worker
 * @param leaseS duration of a worker's lease
 * @param stateRegion region of the state service; links from other regions run through relays
 * @param cancelShare share of the jobs that users cancel
 * @param closeLooksPerS jobs per second that {@link CloseLookUsers} submit
 * @param lateStateShare share of the state service's responses that are late, by up to half a
 *     second
 */
record LoadOptions(
    int controllers,
    int workers,
    int zones,
    int regions,
    int teams,
    int limitTasks,
    double startsPerS,
    int tasksPerJob,
    double taskCpus,
    double runS,
    double urgentShare,
    double warmS,
    double measureS,
    boolean troubles,
    double stateRequests,
    double stateChanges,
    long seed,
    double reportS,
    double leaseS,
    int stateRegion,
    double cancelShare,
    double closeLooksPerS,
    double lateStateShare) {

  /** The size of the {@link TargetDeployment}, without faults. */
  static final LoadOptions TARGET =
      new LoadOptions(
          14, 1800, 23, 7, 730, 4000, 950, 240, 0.5, 14, 0.25, 30, 30, false, 500, 90, 1, 4, 22, 0,
          0, 0, 0);

  /** Applies {@code name=value} arguments to {@link #TARGET}. */
  static LoadOptions parse(List<String> arguments) {
    LoadOptions options = TARGET;
    for (String argument : arguments) {
      int at = argument.indexOf('=');
      if (at < 0) {
        throw new IllegalArgumentException("expected name=value: " + argument);
      }
      options = options.with(argument.substring(0, at), argument.substring(at + 1));
    }
    return options;
  }

  private LoadOptions with(String name, String value) {
    ObjectMapper fields = new ObjectMapper();
    ObjectNode all = fields.valueToTree(this);
    if (!all.has(name)) {
      throw new IllegalArgumentException("unknown option: " + name);
    }
    return fields.convertValue(all.put(name, value), LoadOptions.class);
  }

  /** The names of the zones. */
  List<String> zoneNames() {
    return IntStream.range(0, zones).mapToObj(LoadOptions::zone).toList();
  }

  /** The zone of a controller; with fewer controllers than zones, some zones have none. */
  String zoneOfController(int controller) {
    return zone(controller % zones);
  }

  /** The region of a controller. */
  int regionOfController(int controller) {
    return controller % zones % regions;
  }

  /** The region of a zone. */
  int regionOfZone(String zone) {
    return zoneNames().indexOf(zone) % regions;
  }

  private static String zone(int number) {
    return String.format(Locale.ROOT, "zone-%02d", number);
  }
}
