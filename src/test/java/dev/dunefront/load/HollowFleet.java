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
 * The hollow workers of a run: a few I/O threads for all of them, and one server that tells by the
 * request's host whom a direct command is meant for. Each worker has a loopback address of its own.
 */
final class HollowFleet {
  private static final int THREADS = 3;
  private static final int NETWORK = 1 << 8;

  private final XnioWorker io;
  private final List<XnioIoThread> threads = new ArrayList<>();
  private final List<UndertowHttpCaller> callers = new ArrayList<>();
  private final List<FleetUse> uses = new ArrayList<>();
  private final Map<String, HollowWorker> byEndpoint = new ConcurrentHashMap<>();
  private final HollowWorker.Common common;
  private final int port;
  private int made;

  HollowFleet(HollowWorker.Common common, int port) throws java.io.IOException {
    this.common = common;
    this.port = port;
    io =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_NAME, "hollow")
                    .set(Options.WORKER_IO_THREADS, THREADS)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, 8192, 1024, 4);
    for (int i = 0; i < THREADS; i++) {
      XnioIoThread thread = io.getIoThread(i);
      threads.add(thread);
      callers.add(new UndertowHttpCaller(thread, buffers, new XnioTimers(thread)));
      uses.add(new FleetUse());
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
  HollowWorker add(String zone) {
    int number = made++;
    String endpoint = "127.1." + number / NETWORK + "." + number % NETWORK + ":" + port;
    String host = String.format(Locale.ROOT, "host-%06d", number);
    int place = number % THREADS;
    XnioIoThread thread = threads.get(place);
    HollowWorker worker =
        new HollowWorker(
            new FakeWorker(host, endpoint, "small", zone),
            common,
            thread,
            callers.get(place),
            new XnioTimers(thread),
            uses.get(place),
            number % common.controllers().size(),
            number);
    byEndpoint.put(endpoint, worker);
    thread.execute(worker::start);
    return worker;
  }

  /** All workers, those that have failed included. */
  Collection<HollowWorker> all() {
    return byEndpoint.values();
  }

  /** What all workers together have said and heard. */
  FleetUse use() throws InterruptedException {
    FleetUse sum = new FleetUse();
    for (int i = 0; i < THREADS; i++) {
      FleetUse one = uses.get(i);
      sum = sum.plus(OnThread.get(threads.get(i), () -> one.plus(new FleetUse())));
    }
    return sum;
  }

  private void receive(HttpServerExchange exchange) {
    HollowWorker worker = byEndpoint.get(exchange.getRequestHeaders().getFirst(Headers.HOST));
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (ex, body) ->
                ex.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> worker.thread().execute(() -> serve(worker, ex, body))));
  }

  private static void serve(HollowWorker worker, HttpServerExchange exchange, byte[] body) {
    if (exchange.getRequestPath().equals("/status")) {
      worker.status(reply -> answer(exchange, reply));
    } else {
      worker.orders(body, reply -> answer(exchange, reply));
    }
  }

  private static void answer(HttpServerExchange exchange, Response reply) {
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

  /** Ends all workers, and with them the threads. */
  void close() throws InterruptedException {
    for (HollowWorker worker : byEndpoint.values()) {
      OnThread.get(
          worker.thread(),
          () -> {
            worker.stop();
            return worker;
          });
    }
    io.shutdownNow();
  }
}
