package review;

import dev.dunefront.net.HttpCaller.Response;
import dev.dunefront.standin.FakeCloud;
import dev.dunefront.standin.FakeStateService;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * A small deployment with the facts of the fleet sites (reports every 4 s, lease 22 s): real controllers, stand-ins for all
 * else, on loopback.
 */
class Cluster {
  /** A controller process and its addresses. */
  static final class Node {
    String name;
    String zone;
    String listen;
    String peer;
    String state;
    Path settings;
    Process process;
  }

  /** A case that takes longer ends with 2. */
  private static final double LONGEST_S = 117;

  final Loop loop = new Loop();

  /** CPUs of each task by job, as its user has uploaded it. */
  final Map<String, Double> taskCpus = new ConcurrentHashMap<>();
  final Recorder record;
  final Path dir;
  final List<Node> controllers = new ArrayList<>();
  final List<Worker> workers = new ArrayList<>();
  final FakeStateService state = new FakeStateService(loop);
  final FakeCloud cloud;
  double reportS = 4;
  double leaseS = 22;
  double cancelS = 42;
  double valueKb = 16;
  String facts = "";
  final List<String> zones;

  Cluster(Path folder, List<String> zones) throws IOException {
    this.zones = zones;
    record = new Recorder(folder.resolve("record.txt"));
    dir = Files.createTempDirectory("dunefront-review");
    cloud = new FakeCloud(zones, 25);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    loop.after(
        LONGEST_S,
        () -> {
          record.add("ended after %.0f s", LONGEST_S);
          new Thread(() -> System.exit(2)).start();
        });
  }

  /** A hook for copies of reports. */
  void reportSent(Worker worker, byte[] body) {}

  /** What a controller's request to the state service meets; the default is a sound service. */
  void stateRequest(
      int node, String method, String path, byte[] body, Consumer<Response> answer) {
    state.handle(method, path, body, answer);
  }

  void startControllers(int count) throws Exception {
    prepareControllers(count);
    for (Node n : controllers) {
      start(n);
    }
  }

  /** Gives the controllers their addresses and settings. */
  void prepareControllers(int count) throws Exception {
    String cloudAddress =
        Http.serve(
            loop,
            (method, path, body, answer) -> {
              if (!path.startsWith("/machines?") && !path.equals("/catalog")) {
                record.add("cloud gets %s %s %s", method, path, text(body));
              }
              Response response = cloud.handle(method, path, body);
              for (Worker w : List.copyOf(workers)) {
                if (!w.gone && cloud.deleted(w.host)) {
                  w.remove();
                }
              }
              answer.accept(response);
            });
    for (int i = 0; i < count; i++) {
      int number = i;
      Node n = new Node();
      n.name = "dunerunner-" + i;
      n.zone = zones.get(i % zones.size());
      n.listen = "127.0.0.1:" + freePort();
      n.peer = "127.0.0.1:" + freePort();
      n.state =
          Http.serve(loop, (m, path, body, answer) -> stateRequest(number, m, path, body, answer));
      n.settings = dir.resolve(n.name + ".toml");
      controllers.add(n);
    }
    for (Node n : controllers) {
      Files.writeString(n.settings, settings(n, cloudAddress));
    }
  }

  private final java.util.Set<Integer> usedPorts = new java.util.HashSet<>();

  /** A free port below the range from which the system takes ports of outgoing connections. */
  int freePort() throws IOException {
    while (true) {
      int port = 20_000 + (int) (Math.random() * 12_000);
      try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        if (usedPorts.add(port)) {
          return port;
        }
      } catch (IOException e) {
        // It is in use.
      }
    }
  }

  /** The address at which one controller reaches another one's peer port. */
  String peerAddress(Node from, Node to) {
    return to.peer;
  }

  private String settings(Node n, String cloudAddress) {
    StringBuilder t = new StringBuilder();
    t.append("host_name = \"" + n.name + "\"\nsite = \"" + n.zone + "\"\n");
    t.append("listen = \"" + n.listen + "\"\npeer_bind = \"" + n.peer + "\"\n");
    for (Node o : controllers) {
      if (o != n) {
        t.append("[[others]]\nhost_name = \"" + o.name + "\"\nsite = \"" + o.zone + "\"\n");
        t.append("address = \"" + peerAddress(n, o) + "\"\n");
      }
    }
    t.append("[outside]\ncloud = \"" + cloudAddress + "\"\nstate = \"" + n.state + "\"\n");
    t.append("[facts]\ninitial_size = " + controllers.size() + "\nzones = [");
    t.append(String.join(", ", zones.stream().map(z -> "\"" + z + "\"").toList()));
    t.append("]\nclock_off_ms = 100.0\n");
    t.append(
        "[[facts.teams]]\nname = \"sortiment\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\n"
            + "gpus_max = 0.0\n");
    t.append(facts);
    t.append("[facts.workers]\nreport_s = " + reportS + "\nlease_s = " + leaseS);
    t.append("\ngang_wait_s = 35.0\ngang_peer_s = 6.0\ncancel_s = " + cancelS + "\n");
    t.append("[facts.state]\nrps = 500.0\nwrite_rps = 70.0\nvalue_kb = " + valueKb);
    t.append("\ntxn_ops = 24\n");
    t.append("[facts.cloud]\nrps = 2.0\nlist_lag_s = 10.0\n");
    t.append("[facts.limits]\ncores = 0.578\nmemory_mb = 414.0\nfd_limit = 3018\n");
    return t.toString();
  }

  void start(Node n) throws IOException {
    List<String> command = new ArrayList<>();
    for (String line : Files.readAllLines(Path.of("deploy", "service.toml"))) {
      if (line.startsWith("run = ")) {
        command.addAll(List.of(line.substring("run = ".length()).replace("\"", "").split(" ")));
      }
    }
    command.add(n.settings.toString());
    ProcessBuilder b = new ProcessBuilder(command);
    b.redirectError(ProcessBuilder.Redirect.appendTo(dir.resolve(n.name + ".log").toFile()));
    b.redirectOutput(ProcessBuilder.Redirect.DISCARD);
    b.environment().putIfAbsent("LOG_LEVEL", "info");
    n.process = b.start();
    record.add("%s started", n.name);
  }

  void kill(Node n) throws Exception {
    n.process.destroyForcibly().waitFor();
    record.add("%s killed", n.name);
  }

  void signal(Node n, String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(n.process.pid())).start().waitFor();
    record.add("%s gets SIG%s", n.name, name);
  }

  /** Waits until every controller answers /up with 200; false if that takes too long. */
  boolean awaitUp(double seconds) throws Exception {
    double until = loop.now() + seconds;
    for (Node n : controllers) {
      while (Http.call(n.listen, "GET", "/up", null, 1).status() != 200) {
        if (loop.now() > until) {
          return false;
        }
        Thread.sleep(100);
      }
    }
    return true;
  }

  Worker addWorker(Worker w, int firstController) throws Exception {
    loop.call(
        () -> {
          cloud.addRunning(w.host, w.flavor, w.zone);
          workers.add(w);
          w.start(firstController);
          return null;
        });
    return w;
  }

  int indexOf(String name) {
    for (int i = 0; i < controllers.size(); i++) {
      if (controllers.get(i).name.equals(name)) {
        return i;
      }
    }
    return -1;
  }

  static String text(byte[] body) {
    if (body == null || body.length == 0) {
      return "";
    }
    try {
      return Document.decode(body).toString();
    } catch (MalformedMessageException e) {
      return "?";
    }
  }

  static Document job(String id, int pieces, double cpus) {
    return Document.create()
        .put("id", id)
        .put("batchclass", "preise")
        .put("owner", "sortiment")
        .put("shape", "sweep")
        .put("urgency", "normal")
        .put("pieces", pieces)
        .put("vcpus", cpus)
        .put("cards", 0.0)
        .put("ram_gb", 1.0)
        .put("bundle", "img-07")
        .put("size_gb", 1.0)
        .put("same_place", false)
        .put("apart", false)
        .put("loaners", true)
        .put("expect_s", 60.0)
        .put("snapshot_every_s", 0.0)
        .put("snapshot_s", 0.0);
  }

  /** A user's request at one controller, recorded with its answer. */
  Response user(int node, String method, String path, Document body, double timeoutS) {
    record.add("user -> %s: %s %s", controllers.get(node).name, method, path);
    Response r =
        Http.call(
            controllers.get(node).listen,
            method,
            path,
            body == null ? (method.equals("POST") ? new byte[0] : null) : body.encode(),
            timeoutS);
    record.add("user <- %s: %s %s: %d %s", controllers.get(node).name, method, path, r.status(), text(r.body()));
    return r;
  }

  /** Submits a job, retrying at the next controller for up to 60 s; returns the last status. */
  int submit(Document job, int firstNode) throws Exception {
    taskCpus.put(job.text("id"), job.amount("vcpus"));
    double until = loop.now() + 60;
    int node = firstNode;
    while (true) {
      int status = user(node, "POST", "/v1/jobs", job, 5).status();
      if (status == 200 || status == 201 || status == 400 || status == 422 || loop.now() > until) {
        return status;
      }
      Thread.sleep(1000);
      node = (node + 1) % controllers.size();
    }
  }

  static String status(Response r) {
    try {
      return r.status() == 200 || r.status() == 201
          ? Document.decode(r.body()).textOr("status", "")
          : "";
    } catch (MalformedMessageException e) {
      return "";
    }
  }

  void endAll() {
    for (Node n : controllers) {
      if (n.process != null) {
        n.process.destroyForcibly();
        try {
          n.process.waitFor();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    if (System.getenv("KEEP") == null) {
      File[] files = dir.toFile().listFiles();
      for (File f : files == null ? new File[0] : files) {
        f.delete();
      }
      dir.toFile().delete();
    }
  }
}
