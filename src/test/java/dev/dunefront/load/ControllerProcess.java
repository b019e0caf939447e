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

/** A real controller, started as {@code deploy/service.toml} says, and what its process uses. */
final class ControllerProcess {
  private static final long KILL_TIMEOUT_S = 5;
  private static final Duration HTTP_TIMEOUT = Duration.ofSeconds(5);
  private static final HttpClient HTTP = HttpClient.newHttpClient();

  /** Processor seconds, bytes through all system calls that read or write, records to peers. */
  record ResourceUsage(double cpuS, long bytes, long peerRecords, long peerKilobytes) {
    ResourceUsage plus(ResourceUsage o) {
      return new ResourceUsage(
          cpuS + o.cpuS,
          bytes + o.bytes,
          peerRecords + o.peerRecords,
          peerKilobytes + o.peerKilobytes);
    }

    ResourceUsage minus(ResourceUsage o) {
      return new ResourceUsage(
          cpuS - o.cpuS,
          bytes - o.bytes,
          peerRecords - o.peerRecords,
          peerKilobytes - o.peerKilobytes);
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

  /** The {@code run} line of the deploy file, as words. */
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

  /** Ends the process without a signal that it could hear. */
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

  /** Stops the process without ending it, or lets it go on. */
  void setPaused(boolean on) throws IOException {
    if (alive()) {
      new ProcessBuilder("kill", on ? "-STOP" : "-CONT", Long.toString(process.pid())).start();
    }
  }

  /** What the process has written so far, in all its lives. */
  List<String> log() throws IOException {
    return Files.readAllLines(logFile());
  }

  private Path logFile() {
    return directory.resolve(LoadSettings.controller(number) + ".log");
  }

  /** The same in the middle of a run; what it has used until now counts on. */
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

  /** Resident memory in megabytes, by a process's status file. */
  static double residentMb(Path status) throws IOException {
    for (String line : Files.readAllLines(status)) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024.0;
      }
    }
    return 0;
  }

  /** Heap in megabytes after a full collection. */
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

  private String jcmd(String order) throws IOException {
    Process p =
        new ProcessBuilder("jcmd", Long.toString(process.pid()), order)
            .redirectErrorStream(true)
            .start();
    return new String(p.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
  }

  /** Open files and sockets. */
  int descriptors() throws IOException {
    try (var all = Files.list(proc("fd"))) {
      return (int) all.count();
    }
  }

  private Path proc(String file) {
    return Path.of("/proc", Long.toString(process.pid()), file);
  }
}
