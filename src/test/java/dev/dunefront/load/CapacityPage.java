package dev.dunefront.load;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Regenerates the tables of the capacity page from the file of measured values. Arguments: that
 * file and the page, in which the text between the two markers is replaced; both have defaults.
 */
public final class CapacityPage {
  static final Path MEASURED = Path.of("docs", "capacity", "measured.jsonl");
  static final Path PAGE = Path.of("docs", "CAPACITY.md");
  private static final String BEGIN = "<!-- tables: made by CapacityPage, not by hand -->\n";
  private static final String END = "<!-- end of tables -->";

  private final Map<String, List<Measurement>> series;
  private final StringBuilder text = new StringBuilder();

  private CapacityPage(Map<String, List<Measurement>> series) {
    this.series = series;
  }

  public static void main(String[] arguments) throws IOException {
    Path measured = arguments.length > 0 ? Path.of(arguments[0]) : MEASURED;
    Path page = arguments.length > 1 ? Path.of(arguments[1]) : PAGE;
    Files.writeString(page, withTables(Files.readString(page), measured));
  }

  /** Returns the page with its tables regenerated from the measured values. */
  static String withTables(String page, Path measured) throws IOException {
    int begin = page.indexOf(BEGIN) + BEGIN.length();
    int end = page.indexOf(END);
    return page.substring(0, begin) + tables(measured) + page.substring(end);
  }

  private static String tables(Path measured) throws IOException {
    ObjectMapper json =
        new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    Map<String, List<Measurement>> series = new HashMap<>();
    for (String line : Files.readAllLines(measured)) {
      if (!line.isBlank()) {
        Slopes.Line read = json.readValue(line, Slopes.Line.class);
        series.computeIfAbsent(read.series(), s -> new ArrayList<>()).add(read.measurement());
      }
    }
    return new CapacityPage(series).render();
  }

  private String render() {
    renderPoints();
    renderSlopes();
    renderProjections();
    return text.toString();
  }

  private List<Measurement> measurementsOf(String... names) {
    List<Measurement> all = new ArrayList<>();
    for (String name : names) {
      all.addAll(series.getOrDefault(name, List.of()));
    }
    return all;
  }

  private static double perS(Measurement m, double amount) {
    return amount / m.spanS();
  }

  private static double cpu(Measurement m) {
    return perS(m, m.cpuS());
  }

  private static double startsPerS(Measurement m) {
    return perS(m, m.starts());
  }

  private static double perStart(Measurement m, double amount) {
    return m.starts() == 0 ? 0 : amount / m.starts();
  }

  // ---- measured points ----

  private void renderPoints() {
    addLine("### Measured points");
    addLine("");
    addLine(
        "Series | varied | controllers, workers | starts/s | cores, all | ms/start | peer"
            + " records/start | peer KB/start | changes/start | conflicts | requests/s | urgent p50,"
            + " p90 s | submit p95 ms");
    addLine("--- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | ---");
    for (String name :
        List.of(
            "idle",
            "common",
            "starts",
            "peak",
            "full",
            "controllers",
            "tasksPerJob",
            "teams",
            "running",
            "zones")) {
      for (Measurement m : measurementsOf(name)) {
        renderPoint(name, m);
      }
    }
    addLine("");
  }

  private void renderPoint(String name, Measurement m) {
    LoadOptions o = m.options();
    String varied =
        switch (name) {
          case "idle" -> "no jobs";
          case "common" -> "seed " + o.seed();
          case "starts", "peak", "full" -> Math.round(o.startsPerS()) + " asked";
          case "controllers" -> o.controllers() + " controllers";
          case "tasksPerJob" -> o.tasksPerJob() + " tasks a job";
          case "teams" -> o.teams() + " teams";
          case "running" -> m.running() + " running";
          default -> o.zones() + " zones";
        };
    boolean idle = m.starts() == 0;
    addLine(
        "%s | %s | %d, %d | %.0f | %.2f | %s | %s | %s | %s | %d | %.0f | %s | %s",
        name,
        varied,
        o.controllers(),
        o.workers(),
        startsPerS(m),
        cpu(m),
        idle ? "-" : formatFixed(perStart(m, m.cpuS() * 1000), 2),
        idle ? "-" : formatFixed(perStart(m, m.peerRecords()), 1),
        idle ? "-" : formatFixed(perStart(m, m.peerKilobytes()), 2),
        idle ? "-" : formatFixed(perStart(m, m.stateChanges()), 3),
        m.stateConflicts(),
        perS(m, m.stateRequests()),
        idle ? "-" : formatFixed(m.urgentP50S(), 2) + ", " + formatFixed(m.urgentP90S(), 2),
        idle ? "-" : formatFixed(m.submitP95Ms(), 0));
  }

  // ---- slopes ----

  private LinearFit idleCpu() {
    return overWorkers(CapacityPage::cpu);
  }

  private LinearFit startCpu() {
    return overStarts(CapacityPage::cpu);
  }

  private LinearFit overStarts(ToDoubleFunction<Measurement> amount) {
    return LinearFit.of(measurementsOf("common", "starts"), CapacityPage::startsPerS, amount);
  }

  private LinearFit overWorkers(ToDoubleFunction<Measurement> amount) {
    return LinearFit.of(measurementsOf("idle"), m -> m.options().workers(), amount);
  }

  private LinearFit overControllers(ToDoubleFunction<Measurement> amount) {
    return LinearFit.of(
        measurementsOf("controllers", "common"), m -> m.options().controllers(), amount);
  }

  /** Amount per start as a function of jobs per start. */
  private LinearFit overJobs(ToDoubleFunction<Measurement> amount) {
    return LinearFit.of(
        measurementsOf("tasksPerJob", "common"), m -> 1.0 / m.options().tasksPerJob(), amount);
  }

  private LinearFit overRunning(ToDoubleFunction<Measurement> amount) {
    return LinearFit.of(measurementsOf("running", "common"), m -> m.running() / 1000.0, amount);
  }

  private LinearFit overTeams(ToDoubleFunction<Measurement> amount) {
    return LinearFit.of(measurementsOf("teams"), m -> m.options().teams(), amount);
  }

  private void renderSlopes() {
    addLine("### Slopes");
    addLine("");
    addLine("For each | what | slope | at zero | points");
    addLine("--- | --- | --- | --- | ---");
    renderSlope("worker", "controllers' processor time, ms a second", scaled(idleCpu(), 1000), 3);
    renderSlope(
        "worker", "heap of one controller, KB", scaled(overWorkers(Measurement::heapMb), 1024), 1);
    renderSlope("worker", "open files of one controller", overWorkers(Measurement::descriptors), 3);
    renderSlope("start", "controllers' processor time, ms", scaled(startCpu(), 1000), 2);
    renderSlope("start", "peer records", overStarts(m -> perS(m, m.peerRecords())), 1);
    renderSlope("start", "peer KB", overStarts(m -> perS(m, m.peerKilobytes())), 2);
    renderSlope("start", "reports", overStarts(m -> perS(m, m.reports())), 2);
    renderSlope("start", "direct commands", overStarts(m -> perS(m, m.orders())), 2);
    renderSlope("start", "state requests", overStarts(m -> perS(m, m.stateRequests())), 3);
    renderSlope("start", "state changes", overStarts(m -> perS(m, m.stateChanges())), 4);
    renderSlope(
        "controller",
        "processor time for a start, ms",
        overControllers(m -> perStart(m, m.cpuS() * 1000)),
        3);
    renderSlope(
        "controller",
        "peer records for a start",
        overControllers(m -> perStart(m, m.peerRecords())),
        2);
    renderSlope(
        "controller",
        "state requests a second",
        overControllers(m -> perS(m, m.stateRequests())),
        2);
    if (series.containsKey("tasksPerJob")) {
      renderSlope("job", "processor time, ms", overJobs(m -> perStart(m, m.cpuS() * 1000)), 1);
      renderSlope("job", "state changes", overJobs(m -> perStart(m, m.stateChanges())), 1);
      renderSlope("job", "peer records", overJobs(m -> perStart(m, m.peerRecords())), 0);
    }
    if (series.containsKey("running")) {
      renderSlope(
          "1,000 running tasks",
          "processor time, ms a second",
          scaled(overRunning(CapacityPage::cpu), 1000),
          1);
      renderSlope(
          "1,000 running tasks",
          "heap of one controller, KB",
          scaled(overRunning(Measurement::heapMb), 1024),
          0);
    }
    if (series.containsKey("teams")) {
      renderSlope(
          "team", "state changes for a start", overTeams(m -> perStart(m, m.stateChanges())), 5);
    }
    if (series.containsKey("zones")) {
      renderSlope(
          "zone",
          "processor time, ms a second",
          scaled(
              LinearFit.of(
                  measurementsOf("zones", "common"), m -> m.options().zones(), CapacityPage::cpu),
              1000),
          2);
    }
    addLine("");
  }

  private static LinearFit scaled(LinearFit fit, double factor) {
    return new LinearFit(fit.intercept() * factor, fit.slope() * factor, fit.points());
  }

  private void renderSlope(String each, String quantity, LinearFit fit, int digits) {
    addLine(
        "%s | %s | %s | %s | %d",
        each,
        quantity,
        formatFixed(fit.slope(), digits),
        formatFixed(fit.intercept(), digits),
        fit.points());
  }

  // ---- projections for the target deployment ----

  private void renderProjections() {
    addLine("### Worked out at the letter's size");
    addLine("");
    addLine("Role | quantity | from | value | budget | margin | carried by");
    addLine("--- | --- | --- | --- | --- | --- | ---");
    renderControllers();
    renderStateService();
    renderWorker();
    renderUsers();
    addLine("");
  }

  private void renderControllers() {
    double cores = startCpu().at(TargetDeployment.STARTS_PER_S);
    double each = cores / TargetDeployment.CONTROLLERS;
    renderRow(
        "controller",
        "cores at the peak, each",
        "(at zero + slope x 950) / 14",
        each,
        TargetDeployment.CONTROLLER_CORES,
        "`book.ViewPublisher`, `book.ViewSubscriptions`, `claim.CapacitySubscription`");
    double idle = idleCpu().at(TargetDeployment.WORKERS) / TargetDeployment.CONTROLLERS;
    renderRow(
        "controller",
        "cores idle, each",
        "idle series",
        idle,
        TargetDeployment.CONTROLLER_CORES,
        "`book.HeldMachines`");
    Measurement peak = lastMeasurement("peak");
    renderRow(
        "controller",
        "cores at the peak, each, measured",
        "peak run",
        cpu(peak) / TargetDeployment.CONTROLLERS,
        TargetDeployment.CONTROLLER_CORES,
        "the same");
    renderRow(
        "controller",
        "heap after a collection, MB",
        "peak run, one controller",
        peak.heapMb(),
        120,
        "`claim.MachineTable`, `job.JobTable`");
    renderRow(
        "controller",
        "resident memory, MB",
        "peak run, the largest",
        peak.residentMb(),
        TargetDeployment.CONTROLLER_MB,
        "`deploy/service.toml`");
    renderRow(
        "controller",
        "open files and sockets",
        "peak run, the most",
        peak.descriptors(),
        TargetDeployment.CONTROLLER_SOCKETS,
        "`net.UndertowHttpCaller`");
    renderRow(
        "controller",
        "peer records a second, each",
        "(at zero + slope x 950) / 14",
        overStarts(m -> perS(m, m.peerRecords())).at(TargetDeployment.STARTS_PER_S)
            / TargetDeployment.CONTROLLERS,
        0,
        "`peer.XnioPeers`, `peer.ViewDetail`");
    renderRow(
        "controller",
        "peer KB a second, each",
        "(at zero + slope x 950) / 14",
        overStarts(m -> perS(m, m.peerKilobytes())).at(TargetDeployment.STARTS_PER_S)
            / TargetDeployment.CONTROLLERS,
        0,
        "`peer.MessageCodec`");
    renderRow(
        "controller",
        "reports taken a second, each",
        "(at zero + slope x 950) / 14",
        overStarts(m -> perS(m, m.reports())).at(TargetDeployment.STARTS_PER_S)
            / TargetDeployment.CONTROLLERS,
        0,
        "`book.ReportApplier`");
    renderRow(
        "controller",
        "commands sent a second, each",
        "slope x 950 / 14",
        overStarts(m -> perS(m, m.orders())).at(TargetDeployment.STARTS_PER_S)
            / TargetDeployment.CONTROLLERS,
        0,
        "`book.WorkerCommands`");
  }

  private void renderStateService() {
    renderRow(
        "state service",
        "requests a second at the peak",
        "at zero + slope x 950",
        overStarts(m -> perS(m, m.stateRequests())).at(TargetDeployment.STARTS_PER_S),
        TargetDeployment.STATE_REQUESTS_PER_S,
        "`store.HttpStateStore`, `store.FairShare`");
    renderRow(
        "state service",
        "changes a second at the peak",
        "at zero + slope x 950",
        overStarts(m -> perS(m, m.stateChanges())).at(TargetDeployment.STARTS_PER_S),
        TargetDeployment.STATE_CHANGES_PER_S,
        "`claim.ClaimWriter`, `claim.Quotas`");
    Measurement peak = lastMeasurement("peak");
    double storedBytes = 0;
    for (double[] kind : peak.values().values()) {
      storedBytes += kind[0] * kind[1];
    }
    renderRow(
        "state service",
        "MB of values that change at the peak",
        "peak run, sum over kinds",
        storedBytes / 1e6,
        0,
        "`job.JobRecord`, `claim.Chunk`");
    double[] finalRecords = peak.values().getOrDefault("d", new double[2]);
    renderRow(
        "state service",
        "MB of final records after a year",
        "bytes of `d/` x 19,000 x 365",
        finalRecords[1] * TargetDeployment.JOBS_PER_DAY * 365 / 1e6,
        0,
        "none: final records are kept for ever");
  }

  private void renderWorker() {
    Measurement peak = lastMeasurement("peak");
    double calls = (peak.reports() + peak.orders()) / peak.spanS() / peak.options().workers();
    renderRow(
        "worker",
        "bytes a second at the peak",
        "bodies of the peak run + 260 a call",
        peak.workerBytesPerS() + calls * TargetDeployment.HEADER_BYTES,
        TargetDeployment.WORKER_BYTES_PER_S,
        "the protocol's reports and commands");
    renderRow(
        "worker",
        "part of a core at the peak",
        "simulated worker, peak run",
        peak.workerCpu(),
        TargetDeployment.WORKER_CORES,
        "the same");
    renderRow(
        "worker",
        "memory, MB",
        "process of all simulated workers / 1,800",
        peak.hostResidentMb() / peak.options().workers(),
        TargetDeployment.WORKER_MB,
        "the same");
  }

  private void renderUsers() {
    Measurement peak = lastMeasurement("peak");
    renderRow(
        "user",
        "urgent start at the peak, p50 s, without the fetch",
        "peak run",
        peak.urgentP50S(),
        TargetDeployment.URGENT_WAIT_S,
        "`claim.WantPlacement`, `book.RoomAllocation`");
    renderRow(
        "user",
        "urgent start at the peak, p90 s, without the fetch",
        "peak run",
        peak.urgentP90S(),
        TargetDeployment.URGENT_WAIT_S,
        "the same");
    renderRow(
        "user",
        "submission at the peak, p95 ms",
        "peak run",
        peak.submitP95Ms(),
        200,
        "`job.Submissions`");
  }

  private Measurement lastMeasurement(String name) {
    List<Measurement> all = measurementsOf(name);
    return all.get(all.size() - 1);
  }

  /** Renders a row of projections; a budget of 0 means that there is none. */
  private void renderRow(
      String role, String quantity, String from, double value, double budget, String component) {
    String margin = "-";
    if (budget > 0) {
      margin =
          value > budget
              ? "**over, x" + formatFixed(value / budget, 2) + "**"
              : remainingPercent(value, budget);
    }
    addLine(
        "%s | %s | %s | %s | %s | %s | %s",
        role,
        quantity,
        from,
        formatThreeDigits(value),
        budget > 0 ? formatThreeDigits(budget) : "-",
        margin,
        component);
  }

  private static String remainingPercent(double value, double budget) {
    return formatFixed(100 * (1 - value / budget), 0) + "%";
  }

  /** Formats a number with about three significant digits. */
  private static String formatThreeDigits(double value) {
    double size = Math.abs(value);
    int digits =
        size >= 100 || value == Math.rint(value) ? 0 : size >= 10 ? 1 : size >= 0.1 ? 2 : 5;
    return formatFixed(value, digits);
  }

  private static String formatFixed(double value, int digits) {
    return String.format(Locale.ROOT, "%,." + digits + "f", value);
  }

  private void addLine(String format, Object... values) {
    text.append(values.length == 0 ? format : String.format(Locale.ROOT, format, values));
    text.append('\n');
  }
}
