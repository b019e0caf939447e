package dev.dunefront.load;

import dev.dunefront.net.HttpCaller.Response;
import dev.dunefront.net.UndertowHttpCaller;
import dev.dunefront.net.XnioTimers;
import dev.dunefront.standin.FakeWorker;
import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * The simulated workers of a run. They share a few I/O threads and one HTTP server, which routes
 * direct commands by the request's Host header. Each worker has its own loopback address.
 */
final class SimulatedFleet {
  private static final int IO_THREADS = 3;
  private static final int HOSTS_PER_SUBNET = 1 << 8;

  private final XnioWorker io;
  private final List<XnioIoThread> threads = new ArrayList<>();
  private final List<UndertowHttpCaller> callers = new ArrayList<>();
  private final List<WorkerTraffic> traffics = new ArrayList<>();
  private final Map<String, SimulatedWorker> byEndpoint = new ConcurrentHashMap<>();
  private final SimulatedWorker.SharedContext context;
  private final int port;
  private int created;

  SimulatedFleet(SimulatedWorker.SharedContext common, int port) throws java.io.IOException {
    this.context = common;
    this.port = port;
    io =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_NAME, "simulated")
                    .set(Options.WORKER_IO_THREADS, IO_THREADS)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, 8192, 1024, 4);
    for (int i = 0; i < IO_THREADS; i++) {
      XnioIoThread thread = io.getIoThread(i);
      threads.add(thread);
      callers.add(new UndertowHttpCaller(thread, buffers, new XnioTimers(thread)));
      traffics.add(new WorkerTraffic());
    }
    Undertow.builder()
        .setWorker(io)
        .setByteBufferPool(buffers)
        .addHttpListener(port, "0.0.0.0")
        .setHandler(this::receive)
        .build()
        .start();
  }

  /** Adds a worker in a zone and starts it. */
  SimulatedWorker add(String zone) {
    int number = created++;
    String endpoint =
        "127.1." + number / HOSTS_PER_SUBNET + "." + number % HOSTS_PER_SUBNET + ":" + port;
    String host = String.format(Locale.ROOT, "host-%06d", number);
    int threadIndex = number % IO_THREADS;
    XnioIoThread thread = threads.get(threadIndex);
    SimulatedWorker worker =
        new SimulatedWorker(
            new FakeWorker(host, endpoint, "small", zone),
            context,
            thread,
            callers.get(threadIndex),
            new XnioTimers(thread),
            traffics.get(threadIndex),
            number % context.controllers().size(),
            number);
    byEndpoint.put(endpoint, worker);
    thread.execute(worker::start);
    return worker;
  }

  /** All workers, including failed ones. */
  Collection<SimulatedWorker> all() {
    return byEndpoint.values();
  }

  /** Total traffic of all workers. */
  WorkerTraffic traffic() throws InterruptedException {
    WorkerTraffic sum = new WorkerTraffic();
    for (int i = 0; i < IO_THREADS; i++) {
      WorkerTraffic traffic = traffics.get(i);
      sum = sum.plus(IoThreadCall.get(threads.get(i), () -> traffic.plus(new WorkerTraffic())));
    }
    return sum;
  }

  private void receive(HttpServerExchange exchange) {
    SimulatedWorker worker = byEndpoint.get(exchange.getRequestHeaders().getFirst(Headers.HOST));
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (ex, body) ->
                ex.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> worker.thread().execute(() -> serve(worker, ex, body))));
  }

  private static void serve(SimulatedWorker worker, HttpServerExchange exchange, byte[] body) {
    if (exchange.getRequestPath().equals("/status")) {
      worker.handleStatusRequest(reply -> respond(exchange, reply));
    } else {
      worker.handleCommands(body, reply -> respond(exchange, reply));
    }
  }

  private static void respond(HttpServerExchange exchange, Response reply) {
    exchange
        .getIoThread()
        .execute(
            () -> {
              if (reply.status() == 0) {
                exchange.setPersistent(false);
              }
              exchange.setStatusCode(reply.status() == 0 ? 500 : reply.status());
              exchange.getResponseSender().send(ByteBuffer.wrap(reply.body()));
            });
  }

  /** Stops all workers and their threads. */
  void close() throws InterruptedException {
    for (SimulatedWorker worker : byEndpoint.values()) {
      IoThreadCall.get(
          worker.thread(),
          () -> {
            worker.fail();
            return worker;
          });
    }
    io.shutdownNow();
  }
}
