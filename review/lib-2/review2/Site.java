package review2;

import dev.dunefront.net.HttpCaller.Response;
import dev.dunefront.net.HttpServer;
import dev.dunefront.net.UndertowHttpCaller;
import dev.dunefront.net.XnioTimers;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * A small deployment on loopback: controllers as processes of the deploy file; state service, cloud,
 * workers and users here, on one thread. What the outside sees is written to a record.
 */
final class Site {
  record Type(String name, double cpus, double ramGb) {}

  /** A job as a user submitted it, and what users and workers saw of it. */
  static final class Job {
    final String id;
    final int pieces;
    final double cpus;
    final double ramGb;
    final double runS;
    Document body;
    boolean accepted;
    double acceptedAt;
    boolean cancelAsked;
    double cancelledAt = Double.NaN;
    double doneAt = Double.NaN;
    String lastStatus = "";
    double lastAnswerAt;
    int polls;
    int failedPolls;
    int starts;
    double firstStartAt = Double.NaN;
    final java.util.Set<Integer> done = new java.util.TreeSet<>();

    Job(String id, int pieces, double cpus, double ramGb, double runS) {
      this.id = id;
      this.pieces = pieces;
      this.cpus = cpus;
      this.ramGb = ramGb;
      this.runS = runS;
    }
  }

  /** What a state service's front for one controller does to its requests. */
  static final class StateLink {
    boolean silent;
    boolean refuse;
  }

  private static final Random PORTS = new Random();
  private static final java.util.Set<Integer> TAKEN = new java.util.HashSet<>();

  int count = 3;
  List<String> zones = List.of("pireas", "thessaloniki");
  double reportS = 2.5;
  double leaseS = 18;
  double cancelS = 38;
  double rps = 150;
  double writeRps = 50;
  double valueKb = 32;
  int txnOps = 32;
  double cloudRps = 4;
  double listLagS = 4;
  double fetchS = 0.5;
  String logLevel = "info";

  /** The limit of open files of a controller; 0 for none. */
  int fdLimit;

  final List<String> teams = new ArrayList<>();
  final Map<String, Double> limits = new HashMap<>();
  final Map<String, Type> types = new LinkedHashMap<>();
  final Random random = new Random(1);

  final Map<String, Job> jobs = new TreeMap<>();
  final Map<String, Worker> workers = new TreeMap<>();
  final List<String> broken = new ArrayList<>();
  private final Map<String, String> on = new HashMap<>();
  final List<StateLink> stateLinks = new ArrayList<>();
  StateService state;
  XnioTimers timers;
  UndertowHttpCaller caller;
  private XnioWorker threads;
  private DefaultByteBufferPool buffers;
  private final List<String> userAddresses = new ArrayList<>();
  private final List<String> peerAddresses = new ArrayList<>();
  private final Process[] processes = new Process[16];
  private final Path[] settings = new Path[16];
  private Path folder;
  private PrintWriter record;
  private double startedAt;
  private int hostNumber;

  void open(Path recordFile) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    startedAt = System.nanoTime() / 1e9;
    folder = Files.createTempDirectory("review-2");
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    threads =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_NAME, "site")
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    timers = new XnioTimers(threads.getIoThread());
    buffers = new DefaultByteBufferPool(false, 8192, 256, 4);
    caller = new UndertowHttpCaller(threads.getIoThread(), buffers, timers);
  }

  /** Free ports below the range from which systems take ports for outgoing connections. */
  static synchronized List<Integer> freePorts(int n) throws IOException {
    List<Integer> ports = new ArrayList<>();
    for (int tries = 0; ports.size() < n && tries < 10_000; tries++) {
      int port = 12_000 + PORTS.nextInt(18_000);
      if (TAKEN.contains(port)) {
        continue;
      }
      try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        TAKEN.add(port);
        ports.add(port);
      } catch (IOException e) {
        // In use; another one is tried.
      }
    }
    if (ports.size() < n) {
      throw new IOException("no free ports");
    }
    return ports;
  }

  private void listen(int port, HttpServer.Handler handler) {
    HttpServer.start(threads, buffers, new InetSocketAddress("127.0.0.1", port), handler);
  }

  private static String pathAndQuery(HttpServer.Request r) {
    return r.path() + (r.query().isEmpty() ? "" : "?" + r.query());
  }

  /** Starts the stand-ins and writes the settings; controllers are started one by one. */
  void standIns() throws Exception {
    List<Integer> ports = freePorts(3 * count + 1);
    for (int i = 0; i < count; i++) {
      userAddresses.add("127.0.0.1:" + ports.get(i));
      peerAddresses.add("127.0.0.1:" + ports.get(count + i));
    }
    call(
        () -> {
          state = new StateService(timers, this::log, rps, writeRps, txnOps, valueKb);
          return null;
        });
    for (int i = 0; i < count; i++) {
      StateLink link = new StateLink();
      stateLinks.add(link);
      listen(
          ports.get(2 * count + i),
          (request, responder) -> {
            if (link.silent) {
              return;
            }
            if (link.refuse) {
              responder.send(503, Document.create().encode());
              return;
            }
            state.handle(
                request.method(),
                pathAndQuery(request),
                request.body(),
                r -> answerState(link, r, responder));
          });
    }
    listen(ports.get(3 * count), this::cloud);
    for (int i = 0; i < count; i++) {
      settings[i] = folder.resolve(nodeName(i) + ".toml");
      Files.writeString(
          settings[i],
          settingsText(i, "127.0.0.1:" + ports.get(2 * count + i), ports.get(3 * count)));
    }
  }

  /** An answer that meets a cut or a refusal waits for its end, as an open watch does. */
  private void answerState(StateLink link, Response r, HttpServer.Responder responder) {
    if (link.silent || link.refuse) {
      timers.after(0.1, () -> answerState(link, r, responder));
    } else {
      responder.send(r.status(), r.body());
    }
  }

  private String settingsText(int i, String stateAddress, int cloudPort) {
    StringBuilder t = new StringBuilder();
    line(t, "host_name = \"%s\"", nodeName(i));
    line(t, "site = \"%s\"", zones.get(i % zones.size()));
    line(t, "listen = \"%s\"", userAddresses.get(i));
    line(t, "peer_bind = \"%s\"", peerAddresses.get(i));
    for (int o = 0; o < count; o++) {
      if (o != i) {
        line(t, "[[others]]");
        line(t, "host_name = \"%s\"", nodeName(o));
        line(t, "site = \"%s\"", zones.get(o % zones.size()));
        line(t, "address = \"%s\"", peerAddresses.get(o));
      }
    }
    line(t, "[outside]");
    line(t, "cloud = \"127.0.0.1:%d\"", cloudPort);
    line(t, "state = \"%s\"", stateAddress);
    line(t, "[facts]");
    line(t, "initial_size = %d", count);
    line(t, "zones = [\"%s\"]", String.join("\", \"", zones));
    line(t, "clock_off_ms = 100.0");
    for (String team : teams) {
      line(t, "[[facts.teams]]%n%s", team);
    }
    line(t, "[facts.workers]");
    line(t, "report_s = %.1f%nlease_s = %.1f%ncancel_s = %.1f", reportS, leaseS, cancelS);
    line(t, "gang_wait_s = 35.0%ngang_peer_s = 6.0");
    line(t, "[facts.state]");
    line(t, "rps = %.1f%nwrite_rps = %.1f", rps, writeRps);
    line(t, "value_kb = %.1f%ntxn_ops = %d", valueKb, txnOps);
    line(t, "[facts.cloud]%nrps = %.1f%nlist_lag_s = %.1f", cloudRps, listLagS);
    line(t, "[facts.limits]%ncores = 1.0%nmemory_mb = 263.0%nfd_limit = 1500");
    return t.toString();
  }

  private static void line(StringBuilder t, String format, Object... values) {
    t.append(String.format(Locale.ROOT, format, values)).append('\n');
  }

  String nodeName(int i) {
    return "dunerunner-" + i;
  }

  int nodeNumber(String name) {
    for (int i = 0; i < count; i++) {
      if (nodeName(i).equals(name)) {
        return i;
      }
    }
    return -1;
  }

  String userAddress(int i) {
    return userAddresses.get(i);
  }

  // ---- controllers ----

  void startController(int i) throws IOException {
    List<String> command = new ArrayList<>();
    for (String l : Files.readAllLines(Path.of("deploy", "service.toml"))) {
      if (l.startsWith("run = ")) {
        command.addAll(List.of(l.substring("run = ".length()).replace("\"", "").split(" ")));
      }
    }
    command.add(settings[i].toString());
    if (fdLimit > 0) {
      // The limit of sockets in the settings, as the platform sets it for the process.
      command.addAll(
          0, List.of("/bin/sh", "-c", "ulimit -n " + fdLimit + "; exec \"$@\"", "sh"));
    }
    ProcessBuilder b = new ProcessBuilder(command);
    b.redirectError(
        ProcessBuilder.Redirect.appendTo(folder.resolve(nodeName(i) + ".log").toFile()));
    b.redirectOutput(ProcessBuilder.Redirect.DISCARD);
    b.environment().put("LOG_LEVEL", logLevel);
    processes[i] = b.start();
    log(nodeName(i) + " started");
  }

  void killController(int i) throws InterruptedException {
    processes[i].destroyForcibly();
    processes[i].waitFor(5, TimeUnit.SECONDS);
    log(nodeName(i) + " killed");
  }

  boolean alive(int i) {
    return processes[i] != null && processes[i].isAlive();
  }

  long pid(int i) {
    return processes[i].pid();
  }

  void signal(int i, String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(processes[i].pid())).start().waitFor();
    log(nodeName(i) + " gets SIG" + name);
  }

  boolean awaitUp(double seconds) throws Exception {
    double until = now() + seconds;
    while (now() < until) {
      int up = 0;
      for (int i = 0; i < count; i++) {
        up += request(i, "GET", "/up", null, 1).status() == 200 ? 1 : 0;
      }
      if (up == count) {
        log("all controllers are up");
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }

  List<String> controllerLog(int i) throws IOException {
    return Files.readAllLines(folder.resolve(nodeName(i) + ".log"));
  }

  void killAll() {
    for (Process p : processes) {
      if (p != null) {
        p.destroyForcibly();
      }
    }
  }

  void close() {
    killAll();
    try (var all = Files.list(folder)) {
      for (Path p : all.toList()) {
        Files.delete(p);
      }
      Files.delete(folder);
    } catch (IOException e) {
      log("temporary folder not removed: " + e.getMessage());
    }
  }

  // ---- cloud ----

  Worker addMachine(String type, String zone) throws Exception {
    int port = freePorts(1).get(0);
    String host = String.format(Locale.ROOT, "host-%06d", ++hostNumber);
    Worker w = new Worker(this, host, type, zone, false, "127.0.0.1:" + port);
    listen(
        port,
        (request, responder) -> w.serve(request, r -> responder.send(r.status(), r.body())));
    call(
        () -> {
          workers.put(host, w);
          w.boot();
          return null;
        });
    return w;
  }

  /**
   * A machine stops with all that is on it; the cloud lists it as running for 30 s more, then as
   * failed until it is deleted.
   */
  void machineDies(Worker w) {
    log(w.host + " in " + w.zone + " stops with all that is on it");
    w.end();
    timers.after(30, () -> w.listedAs = "failed");
  }

  private void cloud(HttpServer.Request r, HttpServer.Responder responder) {
    try {
      Document answer = Document.create();
      int status = 200;
      if (r.path().equals("/catalog")) {
        List<Document> all = new ArrayList<>();
        for (Type t : types.values()) {
          all.add(
              Document.create()
                  .put("label", t.name)
                  .put("vcpus", t.cpus)
                  .put("cards", 0.0)
                  .put("ram_gb", t.ramGb)
                  .put("cache_gb", 50.0)
                  .put("pull_gb_per_s", 1.0)
                  .put("rate", t.cpus * 0.06)
                  .put("spot_price", t.cpus * 0.02)
                  .put("boot_s", 600.0)
                  .put("sites", zones));
        }
        answer.put("flavors", all);
      } else if (r.path().equals("/machines/delete")) {
        for (String host : Document.decode(r.body()).texts("hosts")) {
          Worker w = workers.remove(host);
          if (w != null) {
            log("cloud: " + host + " deleted");
            w.end();
          }
        }
      } else if (r.path().equals("/machines") && r.method().equals("POST")) {
        status = 503;
        answer.put("error", "no capacity");
      } else {
        List<Document> all = new ArrayList<>();
        for (Worker w : workers.values()) {
          if (!r.query().contains("from=" + w.host)) {
            all.add(
                Document.create()
                    .put("id", w.host)
                    .put("endpoint", w.endpoint)
                    .put("flavor", w.type)
                    .put("site", w.zone)
                    .put("loaners", w.spot)
                    .put("status", w.listedAs)
                    .put("held_s", now()));
          }
        }
        answer.put("hosts", all).put("more", false);
      }
      responder.send(status, answer.encode());
    } catch (MalformedMessageException e) {
      responder.send(400, Document.create().encode());
    }
  }

  // ---- users ----

  Job newJob(
      String id, int pieces, double cpus, double ramGb, double runS, Consumer<Document> more) {
    Job j = new Job(id, pieces, cpus, ramGb, runS);
    j.body =
        Document.create()
            .put("id", id)
            .put("batchclass", "vathmologia")
            .put("owner", "trapezia")
            .put("shape", "sweep")
            .put("urgency", "high")
            .put("pieces", pieces)
            .put("vcpus", cpus)
            .put("cards", 0.0)
            .put("ram_gb", ramGb)
            .put("bundle", "img-01")
            .put("size_gb", 1.0)
            .put("flavors", null)
            .put("site", null)
            .put("same_place", false)
            .put("apart", false)
            .put("loaners", true)
            .put("expect_s", runS)
            .put("snapshot_every_s", 0.0)
            .put("snapshot_s", 0.0)
            .put("due_s", null);
    more.accept(j.body);
    run(() -> jobs.put(id, j));
    return j;
  }

  /** Submits until answered, at most 60 s, as the protocol page tells users to. */
  boolean submit(Job j, int node) throws Exception {
    double until = now() + 60;
    for (int at = node; now() < until; at = (at + 1) % count) {
      Response r = request(at, "POST", "/v1/jobs", j.body.encode(), 5);
      if (r.status() == 200 || r.status() == 201) {
        log("user: " + j.id + " submitted to " + nodeName(at) + ": " + r.status() + text(r));
        j.accepted = true;
        j.acceptedAt = now();
        return true;
      }
      log("user: " + j.id + " submitted to " + nodeName(at) + ": " + r.status() + text(r));
      if (r.status() == 400 || r.status() == 422) {
        return false;
      }
      Thread.sleep(1000);
    }
    return false;
  }

  Response poll(Job j, int node) throws Exception {
    Response r = request(node, "GET", "/v1/jobs/" + j.id, null, 2);
    j.polls++;
    if (r.status() == 200) {
      Document d = Document.decode(r.body());
      j.lastStatus = d.text("status");
      j.lastAnswerAt = now();
      if (j.lastStatus.equals("done") && Double.isNaN(j.doneAt)) {
        j.doneAt = now();
      }
    } else {
      j.failedPolls++;
      if (r.status() == 404 && j.accepted) {
        broken.add("forgotten: " + j.id + " gets 404 from " + nodeName(node));
      }
    }
    return r;
  }

  Response abort(Job j, int node) throws Exception {
    j.cancelAsked = true;
    Response r = request(node, "POST", "/v1/jobs/" + j.id + "/abort", new byte[0], 5);
    if (r.status() == 200 && Document.decode(r.body()).text("status").equals("cancelled")) {
      j.cancelledAt = now();
    }
    return r;
  }

  static String text(Response r) {
    try {
      return r.body().length == 0 ? "" : " " + Document.decode(r.body());
    } catch (MalformedMessageException e) {
      return " unreadable";
    }
  }

  Response request(int node, String method, String path, byte[] body, double seconds)
      throws Exception {
    CompletableFuture<Response> f = new CompletableFuture<>();
    caller.call(userAddress(node), method, path, body, seconds, f::complete);
    return f.get(Math.round(seconds + 5), TimeUnit.SECONDS);
  }

  /**
   * Asks a controller for its health over a connection of its own, so that nothing depends on the
   * stand-ins' thread. 0: no answer within a second.
   */
  int probe(int node) {
    String[] at = userAddress(node).split(":");
    try (java.net.Socket s = new java.net.Socket()) {
      s.connect(new InetSocketAddress(at[0], Integer.parseInt(at[1])), 1000);
      s.setSoTimeout(1000);
      s.getOutputStream()
          .write("GET /up HTTP/1.1\r\nHost: up\r\nConnection: close\r\n\r\n".getBytes());
      byte[] head = s.getInputStream().readNBytes(12);
      return head.length < 12 ? 0 : Integer.parseInt(new String(head, 9, 3));
    } catch (IOException e) {
      return 0;
    }
  }

  /** The value of a metric of a controller; NaN if it does not answer. */
  double metric(int node, String name) throws Exception {
    Response r = request(node, "GET", "/metrics", null, 2);
    for (String l : new String(r.body()).split("\n")) {
      if (l.startsWith(name + " ")) {
        return Double.parseDouble(l.substring(name.length() + 1));
      }
    }
    return Double.NaN;
  }

  // ---- what workers do; on the stand-ins' thread ----

  Job job(String piece) {
    return jobs.get(piece.substring(0, piece.lastIndexOf('/')));
  }

  private static int number(String piece) {
    return Integer.parseInt(piece.substring(piece.lastIndexOf('/') + 1));
  }

  double runS(String piece) {
    Job j = job(piece);
    return j.done.contains(number(piece)) ? 0 : j.runS;
  }

  /** A start command is executed. */
  void runExecuted(Worker w, String piece, long attempt) {
    Job j = job(piece);
    if (j != null && !Double.isNaN(j.cancelledAt) && now() > j.cancelledAt) {
      breaks("ran_cancelled: " + piece + " starts after its user was told that it is cancelled");
    }
  }

  void breaks(String what) {
    broken.add(what);
    log("BROKEN " + what);
  }

  void taskOn(Worker w, String piece, long attempt) {
    Job j = job(piece);
    checkPlace(w, j, piece);
    j.starts++;
    if (Double.isNaN(j.firstStartAt)) {
      j.firstStartAt = now();
    }
    String there = on.put(piece, w.host);
    if (there != null) {
      breaks("ran_twice: " + piece + " starts on " + w.host + " while on " + there);
    }
    if (!Double.isNaN(j.cancelledAt) && now() > j.cancelledAt + cancelS) {
      broken.add("ran_cancelled: " + piece + " starts on " + w.host);
    }
    if (j.pieces <= 64) {
      log("worker: " + piece + " attempt " + attempt + " runs on " + w.host);
    }
  }

  private void checkPlace(Worker w, Job j, String piece) {
    try {
      String site = j.body.textOr("site", null);
      if (site != null && !site.equals(w.zone)) {
        breaks("wrong_place: " + piece + " on " + w.host + " in " + w.zone);
      }
      int same = 0;
      int others = 0;
      for (var e : on.entrySet()) {
        if (job(e.getKey()) == j && !e.getKey().equals(piece)) {
          if (workers.get(e.getValue()).zone.equals(w.zone)) {
            same++;
          } else {
            others++;
          }
        }
      }
      if (j.body.flag("same_place") && others > 0
          || j.body.flag("apart") && same + 1 > (j.pieces + 1) / 2) {
        breaks("wrong_place: " + piece + " on " + w.host + " in " + w.zone);
      }
      String team = j.body.text("owner");
      double used = j.cpus;
      for (String p : on.keySet()) {
        if (!p.equals(piece) && job(p).body.text("owner").equals(team)) {
          used += job(p).cpus;
        }
      }
      if (used > limits.getOrDefault(team, 1e9) + 1e-6) {
        breaks("quota: " + team + " uses " + used + " with " + piece);
      }
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  void taskOff(Worker w, String piece, long attempt, String cause) {
    on.remove(piece, w.host);
    if (job(piece).pieces <= 64) {
      log("worker: " + piece + " attempt " + attempt + " ended on " + w.host + ": " + cause);
    }
  }

  void taskDone(Worker w, String piece, long attempt) {
    on.remove(piece, w.host);
    job(piece).done.add(number(piece));
    if (job(piece).pieces <= 64) {
      log("worker: " + piece + " attempt " + attempt + " done on " + w.host);
    }
  }

  int running() {
    return on.size();
  }

  // ---- threads, time and record ----

  double now() {
    return System.nanoTime() / 1e9;
  }

  double elapsed() {
    return now() - startedAt;
  }

  <T> T call(Supplier<T> action) throws Exception {
    CompletableFuture<T> f = new CompletableFuture<>();
    threads
        .getIoThread()
        .execute(
            () -> {
              try {
                f.complete(action.get());
              } catch (RuntimeException e) {
                f.completeExceptionally(e);
              }
            });
    return f.get(20, TimeUnit.SECONDS);
  }

  void run(Runnable action) {
    threads.getIoThread().execute(action);
  }

  synchronized void log(String text) {
    record.println(String.format(Locale.ROOT, "%7.2f %s", elapsed(), text));
  }
}
