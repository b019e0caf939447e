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
 * Makes the tables of the capacity page anew from the file of measured values. Arguments: that
 * file, and the page, in which what stands between the two marks is replaced.
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

  /** The page with its tables made from the measured values. */
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
    return new CapacityPage(series).made();
  }

  private String made() {
    points();
    slopes();
    worked();
    return text.toString();
  }

  private List<Measurement> of(String... names) {
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

  // ---- the points ----

  private void points() {
    line("### Measured points");
    line("");
    line(
        "Series | varied | controllers, workers | starts/s | cores, all | ms/start | peer"
            + " records/start | peer KB/start | changes/start | conflicts | requests/s | urgent p50,"
            + " p90 s | submit p95 ms");
    line("--- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | ---");
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
      for (Measurement m : of(name)) {
        point(name, m);
      }
    }
    line("");
  }

  private void point(String name, Measurement m) {
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
    line(
        "%s | %s | %d, %d | %.0f | %.2f | %s | %s | %s | %s | %d | %.0f | %s | %s",
        name,
        varied,
        o.controllers(),
        o.workers(),
        startsPerS(m),
        cpu(m),
        idle ? "-" : number(perStart(m, m.cpuS() * 1000), 2),
        idle ? "-" : number(perStart(m, m.peerRecords()), 1),
        idle ? "-" : number(perStart(m, m.peerKilobytes()), 2),
        idle ? "-" : number(perStart(m, m.stateChanges()), 3),
        m.stateConflicts(),
        perS(m, m.stateRequests()),
        idle ? "-" : number(m.urgentP50S(), 2) + ", " + number(m.urgentP90S(), 2),
        idle ? "-" : number(m.submitP95Ms(), 0));
  }

  // ---- the slopes ----

  private Fit idleCpu() {
    return overWorkers(CapacityPage::cpu);
  }

  private Fit startCpu() {
    return overStarts(CapacityPage::cpu);
  }

  private Fit overStarts(ToDoubleFunction<Measurement> amount) {
    return Fit.of(of("common", "starts"), CapacityPage::startsPerS, amount);
  }

  private Fit overWorkers(ToDoubleFunction<Measurement> amount) {
    return Fit.of(of("idle"), m -> m.options().workers(), amount);
  }

  private Fit overControllers(ToDoubleFunction<Measurement> amount) {
    return Fit.of(of("controllers", "common"), m -> m.options().controllers(), amount);
  }

  /** For each start, over jobs for each start. */
  private Fit overJobs(ToDoubleFunction<Measurement> amount) {
    return Fit.of(of("tasksPerJob", "common"), m -> 1.0 / m.options().tasksPerJob(), amount);
  }

  private Fit overRunning(ToDoubleFunction<Measurement> amount) {
    return Fit.of(of("running", "common"), m -> m.running() / 1000.0, amount);
  }

  private Fit overTeams(ToDoubleFunction<Measurement> amount) {
    return Fit.of(of("teams"), m -> m.options().teams(), amount);
  }

  private void slopes() {
    line("### Slopes");
    line("");
    line("For each | what | slope | at zero | points");
    line("--- | --- | --- | --- | ---");
    slope("worker", "controllers' processor time, ms a second", scaled(idleCpu(), 1000), 3);
    slope(
        "worker", "heap of one controller, KB", scaled(overWorkers(Measurement::heapMb), 1024), 1);
    slope("worker", "open files of one controller", overWorkers(Measurement::descriptors), 3);
    slope("start", "controllers' processor time, ms", scaled(startCpu(), 1000), 2);
    slope("start", "peer records", overStarts(m -> perS(m, m.peerRecords())), 1);
    slope("start", "peer KB", overStarts(m -> perS(m, m.peerKilobytes())), 2);
    slope("start", "reports", overStarts(m -> perS(m, m.reports())), 2);
    slope("start", "direct commands", overStarts(m -> perS(m, m.orders())), 2);
    slope("start", "state requests", overStarts(m -> perS(m, m.stateRequests())), 3);
    slope("start", "state changes", overStarts(m -> perS(m, m.stateChanges())), 4);
    slope(
        "controller",
        "processor time for a start, ms",
        overControllers(m -> perStart(m, m.cpuS() * 1000)),
        3);
    slope(
        "controller",
        "peer records for a start",
        overControllers(m -> perStart(m, m.peerRecords())),
        2);
    slope(
        "controller",
        "state requests a second",
        overControllers(m -> perS(m, m.stateRequests())),
        2);
    if (series.containsKey("tasksPerJob")) {
      slope("job", "processor time, ms", overJobs(m -> perStart(m, m.cpuS() * 1000)), 1);
      slope("job", "state changes", overJobs(m -> perStart(m, m.stateChanges())), 1);
      slope("job", "peer records", overJobs(m -> perStart(m, m.peerRecords())), 0);
    }
    if (series.containsKey("running")) {
      slope(
          "1,000 running tasks",
          "processor time, ms a second",
          scaled(overRunning(CapacityPage::cpu), 1000),
          1);
      slope(
          "1,000 running tasks",
          "heap of one controller, KB",
          scaled(overRunning(Measurement::heapMb), 1024),
          0);
    }
    if (series.containsKey("teams")) {
      slope("team", "state changes for a start", overTeams(m -> perStart(m, m.stateChanges())), 5);
    }
    if (series.containsKey("zones")) {
      slope(
          "zone",
          "processor time, ms a second",
          scaled(Fit.of(of("zones", "common"), m -> m.options().zones(), CapacityPage::cpu), 1000),
          2);
    }
    line("");
  }

  private static Fit scaled(Fit fit, double by) {
    return new Fit(fit.atZero() * by, fit.slope() * by, fit.points());
  }

  private void slope(String each, String what, Fit fit, int digits) {
    line(
        "%s | %s | %s | %s | %d",
        each, what, number(fit.slope(), digits), number(fit.atZero(), digits), fit.points());
  }

  // ---- worked out ----

  private void worked() {
    line("### Worked out at the letter's size");
    line("");
    line("Role | quantity | from | value | budget | margin | carried by");
    line("--- | --- | --- | --- | --- | --- | ---");
    controllers();
    stateService();
    worker();
    users();
    line("");
  }

  private void controllers() {
    double cores = startCpu().at(Target.STARTS);
    double each = cores / Target.CONTROLLERS;
    row(
        "controller",
        "cores at the peak, each",
        "(at zero + slope x 950) / 14",
        each,
        Target.CONTROLLER_CORE,
        "`book.Views`, `book.Interests`, `claim.RoomInterest`");
    double idle = idleCpu().at(Target.WORKERS) / Target.CONTROLLERS;
    row(
        "controller",
        "cores idle, each",
        "idle series",
        idle,
        Target.CONTROLLER_CORE,
        "`book.Books`");
    Measurement peak = last("peak");
    row(
        "controller",
        "cores at the peak, each, measured",
        "peak run",
        cpu(peak) / Target.CONTROLLERS,
        Target.CONTROLLER_CORE,
        "the same");
    row(
        "controller",
        "heap after a collection, MB",
        "peak run, one controller",
        peak.heapMb(),
        120,
        "`claim.Room`, `job.JobTable`");
    row(
        "controller",
        "resident memory, MB",
        "peak run, the largest",
        peak.residentMb(),
        Target.CONTROLLER_MB,
        "`deploy/service.toml`");
    row(
        "controller",
        "open files and sockets",
        "peak run, the most",
        peak.descriptors(),
        Target.CONTROLLER_SOCKETS,
        "`net.UndertowCaller`");
    row(
        "controller",
        "peer records a second, each",
        "(at zero + slope x 950) / 14",
        overStarts(m -> perS(m, m.peerRecords())).at(Target.STARTS) / Target.CONTROLLERS,
        0,
        "`peer.XnioPeers`, `peer.Detail`");
    row(
        "controller",
        "peer KB a second, each",
        "(at zero + slope x 950) / 14",
        overStarts(m -> perS(m, m.peerKilobytes())).at(Target.STARTS) / Target.CONTROLLERS,
        0,
        "`peer.Records`");
    row(
        "controller",
        "reports taken a second, each",
        "(at zero + slope x 950) / 14",
        overStarts(m -> perS(m, m.reports())).at(Target.STARTS) / Target.CONTROLLERS,
        0,
        "`book.Reports`");
    row(
        "controller",
        "commands sent a second, each",
        "slope x 950 / 14",
        overStarts(m -> perS(m, m.orders())).at(Target.STARTS) / Target.CONTROLLERS,
        0,
        "`book.Orders`");
  }

  private void stateService() {
    row(
        "state service",
        "requests a second at the peak",
        "at zero + slope x 950",
        overStarts(m -> perS(m, m.stateRequests())).at(Target.STARTS),
        Target.STATE_REQUESTS,
        "`store.HttpStore`, `store.Share`");
    row(
        "state service",
        "changes a second at the peak",
        "at zero + slope x 950",
        overStarts(m -> perS(m, m.stateChanges())).at(Target.STARTS),
        Target.STATE_CHANGES,
        "`claim.Recorder`, `claim.Quotas`");
    Measurement peak = last("peak");
    double kept = 0;
    for (double[] kind : peak.values().values()) {
      kept += kind[0] * kind[1];
    }
    row(
        "state service",
        "MB of values that change at the peak",
        "peak run, sum over kinds",
        kept / 1e6,
        0,
        "`job.JobRecord`, `claim.Chunk`");
    double[] ended = peak.values().getOrDefault("d", new double[2]);
    row(
        "state service",
        "MB of final records after a year",
        "bytes of `d/` x 19,000 x 365",
        ended[1] * Target.JOBS_PER_DAY * 365 / 1e6,
        0,
        "none: final records are kept for ever");
  }

  private void worker() {
    Measurement peak = last("peak");
    double calls = (peak.reports() + peak.orders()) / peak.spanS() / peak.options().workers();
    row(
        "worker",
        "bytes a second at the peak",
        "bodies of the peak run + 260 a call",
        peak.workerBytesPerS() + calls * Target.HEADER_BYTES,
        Target.WORKER_BYTES,
        "the protocol's reports and commands");
    row(
        "worker",
        "part of a core at the peak",
        "hollow worker, peak run",
        peak.workerCpu(),
        Target.WORKER_CORE,
        "the same");
    row(
        "worker",
        "memory, MB",
        "process of all hollow workers / 1,800",
        peak.hostResidentMb() / peak.options().workers(),
        Target.WORKER_MB,
        "the same");
  }

  private void users() {
    Measurement peak = last("peak");
    row(
        "user",
        "urgent start at the peak, p50 s, without the fetch",
        "peak run",
        peak.urgentP50S(),
        Target.URGENT_S,
        "`claim.WantPlacement`, `book.Dealing`");
    row(
        "user",
        "urgent start at the peak, p90 s, without the fetch",
        "peak run",
        peak.urgentP90S(),
        Target.URGENT_S,
        "the same");
    row(
        "user",
        "submission at the peak, p95 ms",
        "peak run",
        peak.submitP95Ms(),
        200,
        "`job.Submissions`");
  }

  private Measurement last(String name) {
    List<Measurement> all = of(name);
    return all.get(all.size() - 1);
  }

  /** A budget of 0 stands for none. */
  private void row(
      String role, String what, String from, double value, double budget, String carrier) {
    String margin = "-";
    if (budget > 0) {
      margin =
          value > budget ? "**over, x" + number(value / budget, 2) + "**" : percent(value, budget);
    }
    line(
        "%s | %s | %s | %s | %s | %s | %s",
        role, what, from, figure(value), budget > 0 ? figure(budget) : "-", margin, carrier);
  }

  private static String percent(double value, double budget) {
    return number(100 * (1 - value / budget), 0) + "%";
  }

  /** About three digits of a number. */
  private static String figure(double value) {
    double size = Math.abs(value);
    int digits =
        size >= 100 || value == Math.rint(value) ? 0 : size >= 10 ? 1 : size >= 0.1 ? 2 : 5;
    return number(value, digits);
  }

  private static String number(double value, int digits) {
    return String.format(Locale.ROOT, "%,." + digits + "f", value);
  }

  private void line(String format, Object... values) {
    text.append(values.length == 0 ? format : String.format(Locale.ROOT, format, values));
    text.append('\n');
  }
}
