package dev.dunefront.load;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * The network between regions: relays on loopback that forward bytes in order after the link's
 * latency, and hold them back while the link is blocked or one of its regions is isolated. One
 * thread serves all relays.
 */
final class RegionNetwork implements Runnable {
  /** One-way latency between adjacent regions, and per additional hop on the ring, in seconds. */
  static final double ADJACENT_DELAY_S = 0.010;

  static final double ADDITIONAL_HOP_DELAY_S = 0.005;
  private static final int BUFFER_BYTES = 64 * 1024;
  private static final long SELECT_TIMEOUT_MS = 1;

  private final int regions;
  private final Selector selector = Selector.open();
  private volatile int isolatedRegion = -1;
  private volatile boolean closed;

  /** 1 if the link from one region to another is blocked, at {@code from * regions + to}. */
  private final AtomicIntegerArray blocked;

  RegionNetwork(int regions) throws IOException {
    this.regions = regions;
    this.blocked = new AtomicIntegerArray(regions * regions);
  }

  /** One-way latency between two regions, in seconds. */
  static double delayS(int from, int to, int regions) {
    int difference = Math.abs(from - to);
    int distance = Math.min(difference, regions - difference);
    return distance == 0 ? 0 : ADJACENT_DELAY_S + ADDITIONAL_HOP_DELAY_S * (distance - 1);
  }

  /** Opens a relay to a target in another region and returns the relay's address. */
  String relay(int from, int to, String target) throws IOException {
    ServerSocketChannel server = ServerSocketChannel.open();
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    server.configureBlocking(false);
    server.register(selector, SelectionKey.OP_ACCEPT, new Route(from, to, target));
    return "127.0.0.1:" + ((InetSocketAddress) server.getLocalAddress()).getPort();
  }

  /** Partitions a region from all others; bytes in flight are held back. */
  void isolate(int region) {
    isolatedRegion = region;
  }

  /** Blocks the link from one region to another, or opens it and forwards the held bytes. */
  void setBlocked(int from, int to, boolean on) {
    blocked.set(from * regions + to, on ? 1 : 0);
  }

  /** Ends all partitions and forwards the held bytes. */
  void heal() {
    isolatedRegion = -1;
    for (int link = 0; link < blocked.length(); link++) {
      blocked.set(link, 0);
    }
  }

  /** Whether the link from one region to another is open. */
  boolean reaches(int from, int to) {
    boolean isolated = from == isolatedRegion || to == isolatedRegion;
    return from == to || !isolated && blocked.get(from * regions + to) == 0;
  }

  void close() {
    closed = true;
    selector.wakeup();
  }

  private record Route(int from, int to, String target) {}

  /** Bytes and the time at which to forward them, in nanoseconds of the steady clock. */
  private record Chunk(ByteBuffer bytes, long dueNs) {}

  /** One direction of a connection. */
  private final class Pipe {
    private final Route route;
    private final SocketChannel in;
    private final SocketChannel out;
    private final ArrayDeque<Chunk> pendingChunks = new ArrayDeque<>();
    private boolean inputEnded;

    Pipe(Route route, SocketChannel in, SocketChannel out) {
      this.route = route;
      this.in = in;
      this.out = out;
    }

    void read() throws IOException {
      ByteBuffer bytes = ByteBuffer.allocate(BUFFER_BYTES);
      int n = in.read(bytes);
      if (n < 0) {
        inputEnded = true;
      } else if (n > 0) {
        double delayS = delayS(route.from, route.to, regions);
        pendingChunks.add(new Chunk(bytes.flip(), System.nanoTime() + Math.round(delayS * 1e9)));
      }
    }

    void write(long nowNs) throws IOException {
      if (!reaches(route.from, route.to)) {
        return;
      }
      while (!pendingChunks.isEmpty() && pendingChunks.peek().dueNs <= nowNs) {
        out.write(pendingChunks.peek().bytes);
        if (pendingChunks.peek().bytes.hasRemaining()) {
          return;
        }
        pendingChunks.poll();
      }
      if (inputEnded && pendingChunks.isEmpty()) {
        out.close();
        in.close();
      }
    }
  }

  @Override
  public void run() {
    try {
      while (!closed) {
        selector.select(SELECT_TIMEOUT_MS);
        forwardReadyBytes();
      }
      for (SelectionKey key : selector.keys()) {
        key.channel().close();
      }
      selector.close();
    } catch (IOException e) {
      throw new IllegalStateException("the relay thread of the region network failed", e);
    }
  }

  private void forwardReadyBytes() throws IOException {
    for (SelectionKey key : selector.selectedKeys()) {
      if (key.isValid() && key.isAcceptable()) {
        accept(key);
      }
    }
    for (SelectionKey key : selector.selectedKeys()) {
      if (key.isValid() && key.attachment() instanceof Pipe pipe) {
        closeOnFailure(pipe, pipe::read);
        if (pipe.inputEnded && key.isValid()) {
          key.interestOps(0);
        }
      }
    }
    selector.selectedKeys().clear();
    long nowNs = System.nanoTime();
    for (SelectionKey key : selector.keys()) {
      if (key.attachment() instanceof Pipe pipe) {
        closeOnFailure(pipe, () -> pipe.write(nowNs));
      }
    }
  }

  private interface Step {
    void run() throws IOException;
  }

  private static void closeOnFailure(Pipe pipe, Step step) throws IOException {
    try {
      step.run();
    } catch (IOException | CancelledKeyException e) {
      // If one end fails, both are closed.
      pipe.in.close();
      pipe.out.close();
    }
  }

  private void accept(SelectionKey key) throws IOException {
    Route route = (Route) key.attachment();
    SocketChannel client = ((ServerSocketChannel) key.channel()).accept();
    if (client == null) {
      return;
    }
    try {
      // On loopback this blocking connect succeeds or fails at once.
      SocketChannel upstream = SocketChannel.open(Deployment.loopbackAddress(route.target));
      connect(route, client, upstream);
    } catch (IOException e) {
      client.close();
    }
  }

  private void connect(Route route, SocketChannel client, SocketChannel upstream)
      throws IOException {
    client.configureBlocking(false);
    upstream.configureBlocking(false);
    client.setOption(StandardSocketOptions.TCP_NODELAY, true);
    upstream.setOption(StandardSocketOptions.TCP_NODELAY, true);
    Route back = new Route(route.to, route.from, route.target);
    client.register(selector, SelectionKey.OP_READ, new Pipe(route, client, upstream));
    upstream.register(selector, SelectionKey.OP_READ, new Pipe(back, upstream, client));
  }
}
