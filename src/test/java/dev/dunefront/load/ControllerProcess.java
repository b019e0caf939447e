package dev.dunefront.load;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A real controller process, started by the command in {@code deploy/service.toml}. */
final class ControllerProcess {
  private static final long KILL_TIMEOUT_S = 5;
  private static final Duration HTTP_TIMEOUT = Duration.ofSeconds(5);
  private static final HttpClient HTTP = HttpClient.newHttpClient();

  /**
   * Resource usage of a controller.
   *
   * @param cpuS CPU seconds
   * @param bytes bytes read and written by all system calls
   * @param peerRecords records sent to other controllers
   * @param peerKilobytes kilobytes sent to other controllers
   */
  record ResourceUsage(double cpuS, long bytes, long peerRecords, long peerKilobytes) {
    ResourceUsage plus(ResourceUsage other) {
      return new ResourceUsage(
          cpuS + other.cpuS,
          bytes + other.bytes,
          peerRecords + other.peerRecords,
          peerKilobytes + other.peerKilobytes);
    }

    ResourceUsage minus(ResourceUsage other) {
      return new ResourceUsage(
          cpuS - other.cpuS,
          bytes - other.bytes,
          peerRecords - other.peerRecords,
          peerKilobytes - other.peerKilobytes);
    }
  }

  private final Path directory;
  private final Path settings;
  private final String address;
  private final String logLevel;
  private final int number;
  private Process process;
  private ResourceUsage earlierUsage = new ResourceUsage(0, 0, 0, 0);

  ControllerProcess(
      Path directory, int number, String settingsText, String address, String logLevel)
      throws IOException {
    this.logLevel = logLevel;
    this.directory = directory;
    this.number = number;
    this.address = address;
    settings = directory.resolve(LoadSettings.controller(number) + ".toml");
    Files.writeString(settings, settingsText);
  }

  void start() throws IOException {
    List<String> command = new ArrayList<>(runCommand());
    command.add(settings.toString());
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.redirectError(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
    builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
    builder.environment().putIfAbsent("LOG_LEVEL", logLevel);
    process = builder.start();
  }

  /** The words of the {@code run} line of the deploy file. */
  private static List<String> runCommand() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy", "service.toml"))) {
      if (line.startsWith("run = ")) {
        return List.of(line.substring("run = ".length()).replace("\"", "").split(" "));
      }
    }
    throw new IOException("deploy/service.toml has no run line");
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  /** Kills the process with SIGKILL and waits for it to exit. */
  void killProcess() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(KILL_TIMEOUT_S, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Stops the process with SIGSTOP, or resumes it with SIGCONT. */
  void setPaused(boolean on) throws IOException {
    if (alive()) {
      new ProcessBuilder("kill", on ? "-STOP" : "-CONT", Long.toString(process.pid())).start();
    }
  }

  /** The log lines of the process so far, including those before restarts. */
  List<String> log() throws IOException {
    return Files.readAllLines(logFile());
  }

  private Path logFile() {
    return directory.resolve(LoadSettings.controller(number) + ".log");
  }

  /** Kills the process in the middle of a run and keeps its resource usage so far in the totals. */
  void killAndKeepUsage() throws IOException {
    earlierUsage = resourceUsage();
    killProcess();
  }

  boolean up() {
    try {
      return get("/up").statusCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private HttpResponse<String> get(String path) throws IOException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(HTTP_TIMEOUT)
            .build();
    try {
      return HTTP.send(request, HttpResponse.BodyHandlers.ofString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  ResourceUsage resourceUsage() throws IOException {
    double cpuS = CpuTime.parseCpuS(Files.readString(proc("stat")));
    long bytes = 0;
    for (String line : Files.readAllLines(proc("io"))) {
      if (line.startsWith("rchar:") || line.startsWith("wchar:")) {
        bytes += Long.parseLong(line.substring(line.indexOf(' ') + 1));
      }
    }
    String metrics = get("/metrics").body();
    ResourceUsage now =
        new ResourceUsage(
            cpuS,
            bytes,
            metric(metrics, "dunefront_peer_sent_records"),
            metric(metrics, "dunefront_peer_sent_kilobytes"));
    return now.plus(earlierUsage);
  }

  private static long metric(String text, String name) {
    for (String line : text.split("\n")) {
      if (line.startsWith(name + " ")) {
        return Math.round(Double.parseDouble(line.substring(name.length() + 1)));
      }
    }
    return 0;
  }

  /** Resident memory in megabytes. */
  double residentMb() throws IOException {
    return residentMb(proc("status"));
  }

  /** Resident memory in megabytes, from a process's status file. */
  static double residentMb(Path status) throws IOException {
    for (String line : Files.readAllLines(status)) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024.0;
      }
    }
    return 0;
  }

  /** Heap in megabytes after a full garbage collection. */
  double heapMb() throws IOException {
    jcmd("GC.run");
    double kilobytes = 0;
    for (String line : jcmd("GC.heap_info").split("\n")) {
      int used = line.indexOf("used ");
      if (used > 0 && line.contains("total") && !line.contains("Metaspace")) {
        kilobytes += Long.parseLong(line.substring(used + 5, line.indexOf('K', used)));
      }
    }
    return kilobytes / 1024;
  }

  private String jcmd(String command) throws IOException {
    Process p =
        new ProcessBuilder("jcmd", Long.toString(process.pid()), command)
            .redirectErrorStream(true)
            .start();
    return new String(p.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
  }

  /** Number of open files and sockets. */
  int descriptors() throws IOException {
    try (var all = Files.list(proc("fd"))) {
      return (int) all.count();
    }
  }

  private Path proc(String file) {
    return Path.of("/proc", Long.toString(process.pid()), file);
  }
}
