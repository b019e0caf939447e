package dev.dunefront.cli;

import dev.dunefront.config.InvalidSettingException;
import dev.dunefront.config.Settings;
import dev.dunefront.config.Tunables;
import dev.dunefront.net.DisabledMBeanServerBuilder;
import dev.dunefront.net.HttpCaller;
import dev.dunefront.net.HttpServer;
import dev.dunefront.net.Timers;
import dev.dunefront.net.UndertowHttpCaller;
import dev.dunefront.net.XnioTimers;
import dev.dunefront.standin.FakeStateService;
import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import picocli.CommandLine.Command;

/**
 * Runs two controllers against stand-ins for a few seconds on loopback, so that the build can keep
 * an archive of the classes that a controller loads.
 */
@Command(
    name = "rehearse",
    hidden = true,
    description = "Run two controllers against stand-ins for a few seconds.")
final class RehearseCommand implements Callable<Integer> {
  private static final double TIMEOUT_S = 20;

  private final CountDownLatch done = new CountDownLatch(1);

  @Override
  public Integer call() throws IOException, InterruptedException, InvalidSettingException {
    LogSetup.configure("error");
    DisabledMBeanServerBuilder.install();
    XnioWorker worker =
        Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    Timers timers = new XnioTimers(worker.getIoThread());
    DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, 8192, 64, 4);
    HttpCaller caller = new UndertowHttpCaller(worker.getIoThread(), buffers, timers);
    FakeStateService state = new FakeStateService(timers);
    int[] ports = freePorts(7);
    serve(
        worker,
        buffers,
        ports[0],
        (r, a) ->
            state.handle(
                r.method(),
                r.path() + (r.query().isEmpty() ? "" : "?" + r.query()),
                r.body(),
                reply -> a.send(reply.status(), reply.body())));
    serve(worker, buffers, ports[1], (r, a) -> a.send(200, cloudResponse(r.path())));
    FakeWorker machine = new FakeWorker("host-1", "127.0.0.1:" + ports[2], "small", "a");
    serve(
        worker,
        buffers,
        ports[2],
        (r, a) -> {
          try {
            HttpCaller.Response reply = machine.handleCommands(r.body());
            a.send(reply.status(), reply.body());
          } catch (MalformedMessageException e) {
            a.send(400, null);
          }
        });
    for (int i = 0; i < 2; i++) {
      Main.run(settings(ports, i), Tunables.DEFAULTS);
    }
    String node = "127.0.0.1:" + ports[3];
    sendReports(machine, caller, timers, node);
    submit(caller, timers, node, 1);
    boolean in = done.await((long) TIMEOUT_S, TimeUnit.SECONDS);
    return in ? 0 : 1;
  }

  private static void serve(
      XnioWorker worker, DefaultByteBufferPool buffers, int port, HttpServer.Handler handler) {
    HttpServer.start(worker, buffers, address(port), handler);
  }

  private static InetSocketAddress address(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private static int[] freePorts(int n) throws IOException {
    ServerSocket[] sockets = new ServerSocket[n];
    int[] ports = new int[n];
    for (int i = 0; i < n; i++) {
      sockets[i] = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      ports[i] = sockets[i].getLocalPort();
    }
    for (ServerSocket s : sockets) {
      s.close();
    }
    return ports;
  }

  /** Written out and read back, so that the reading is rehearsed as well. */
  private static Settings settings(int[] ports, int i) throws InvalidSettingException {
    int other = 1 - i;
    return Settings.parse(
        """
        host_name = "node-%d"
        site = "a"
        listen = "127.0.0.1:%d"
        peer_bind = "127.0.0.1:%d"
        [[others]]
        host_name = "node-%d"
        site = "a"
        address = "127.0.0.1:%d"
        [outside]
        cloud = "127.0.0.1:%d"
        state = "127.0.0.1:%d"
        [[facts.teams]]
        name = "t"
        cpus = 4.0
        cpus_max = 8.0
        [facts.workers]
        report_s = 1.0
        lease_s = 10.0
        cancel_s = 20.0
        [facts.state]
        rps = 500.0
        write_rps = 200.0
        value_kb = 16.0
        txn_ops = 24
        [facts.cloud]
        rps = 5.0
        list_lag_s = 1.0
        [facts.limits]
        cores = 1.0
        memory_mb = 256.0
        fd_limit = 500
        """
            .formatted(i, ports[3 + i], ports[5 + i], other, ports[5 + other], ports[1], ports[0]));
  }

  private static byte[] cloudResponse(String path) {
    if (path.equals("/catalog")) {
      Document type =
          Document.create()
              .put("label", "small")
              .put("vcpus", 4.0)
              .put("ram_gb", 8.0)
              .put("rate", 1.0)
              .put("boot_s", 1.0)
              .put("sites", List.of("a"));
      return Document.create().put("flavors", List.of(type)).encode();
    }
    return Document.create().put("hosts", List.of()).put("more", false).encode();
  }

  private void sendReports(FakeWorker machine, HttpCaller caller, Timers timers, String node) {
    caller.call(
        node,
        "POST",
        "/hello",
        machine.report(),
        4,
        reply -> {
          try {
            if (reply.ok()) {
              machine.handleReportResponse(reply.body());
            }
          } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
          }
          machine.running().forEach(id -> machine.exit(id, "done"));
          timers.after(0.2, () -> sendReports(machine, caller, timers, node));
        });
  }

  private void submit(HttpCaller caller, Timers timers, String node, int n) {
    byte[] job =
        Document.create()
            .put("id", "wk-" + n)
            .put("batchclass", "c")
            .put("owner", "t")
            .put("shape", "sweep")
            .put("urgency", "high")
            .put("pieces", 2)
            .put("vcpus", 1.0)
            .put("cards", 0.0)
            .put("ram_gb", 1.0)
            .put("bundle", "img-1")
            .put("size_gb", 1.0)
            .put("same_place", false)
            .put("apart", false)
            .put("loaners", true)
            .put("expect_s", 1.0)
            .put("snapshot_every_s", 0.0)
            .put("snapshot_s", 0.0)
            .encode();
    caller.call(
        node,
        "POST",
        "/v1/jobs",
        job,
        4,
        reply -> {
          if (reply.status() == 201) {
            poll(caller, timers, node, n);
          } else {
            timers.after(0.2, () -> submit(caller, timers, node, n));
          }
        });
  }

  private void poll(HttpCaller caller, Timers timers, String node, int n) {
    caller.call(
        node,
        "GET",
        "/v1/jobs/wk-" + n,
        null,
        2,
        reply -> {
          boolean over = false;
          try {
            over = reply.ok() && Document.decode(reply.body()).text("status").equals("done");
          } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
          }
          if (over && n == 2) {
            done.countDown();
          } else if (over) {
            submit(caller, timers, node, n + 1);
          } else {
            timers.after(0.2, () -> poll(caller, timers, node, n));
          }
        });
  }
}
