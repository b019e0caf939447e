package dev.dunefront.peer;

import dev.dunefront.config.Settings;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Every controller dials every other one. A link carries records one way, from the dialler; only
 * pings come back, so that a link which hangs without an error is noticed.
 */
public final class XnioPeers implements Peers {
  private static final System.Logger LOG = System.getLogger(XnioPeers.class.getName());
  private static final double PING_INTERVAL_S = 1.0;
  private static final double IDLE_TIMEOUT_S = 5;
  private static final double RECONNECT_DELAY_S = 0.5;
  private static final int MAX_QUEUED_BYTES = 8 << 20;

  /** A queue that has grown beyond this gives its memory back when it is empty. */
  private static final int MAX_IDLE_BUFFER_BYTES = 64 << 10;

  private final Settings settings;
  private final XnioWorker worker;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Listener listener;
  private final Map<String, OutboundLink> outboundLinks = new HashMap<>();
  private final Map<String, InboundLink> inboundLinks = new HashMap<>();

  /** What has been queued for other controllers; written on the I/O thread alone. */
  private volatile Traffic sent = Traffic.NONE;

  public XnioPeers(
      Settings settings,
      XnioWorker worker,
      Timers timers,
      DecisionLock decisionLock,
      Listener listener) {
    this.settings = settings;
    this.worker = worker;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.listener = listener;
    for (Settings.Peer p : settings.peers()) {
      outboundLinks.put(p.node(), new OutboundLink(p));
    }
  }

  public void start() throws IOException {
    AcceptingChannel<StreamConnection> server =
        worker.createStreamConnectionServer(
            settings.peerListen(),
            channel -> {
              try {
                StreamConnection c;
                while ((c = channel.accept()) != null) {
                  new InboundLink(c).open();
                }
              } catch (IOException e) {
                LOG.log(Level.DEBUG, "accepting a peer failed: {0}", e.getMessage());
              }
            },
            OptionMap.EMPTY);
    server.resumeAccepts();
    outboundLinks.values().forEach(OutboundLink::connect);
  }

  @Override
  public void send(String node, Message message) {
    if (node.equals(settings.node())) {
      decisionLock.defer(() -> decisionLock.run(() -> listener.received(node, message)));
      return;
    }
    OutboundLink link = outboundLinks.get(node);
    if (link != null) {
      decisionLock.defer(() -> link.send(MessageCodec.encode(message)));
    }
  }

  @Override
  public void send(Collection<String> nodes, Message message) {
    List<OutboundLink> links = new ArrayList<>();
    for (String node : nodes) {
      OutboundLink link = outboundLinks.get(node);
      if (link == null) {
        send(node, message);
      } else {
        links.add(link);
      }
    }
    if (!links.isEmpty()) {
      sendAll(links, message);
    }
  }

  @Override
  public void broadcast(Message message) {
    send(settings.node(), message);
    sendAll(outboundLinks.values(), message);
  }

  /** Encodes once for all links. */
  private void sendAll(Collection<OutboundLink> links, Message message) {
    decisionLock.defer(
        () -> {
          byte[] record = MessageCodec.encode(message);
          links.forEach(link -> link.send(record));
        });
  }

  @Override
  public Traffic sentTraffic() {
    return sent;
  }

  /** Bytes waiting to go out on one connection, side by side, so that one write takes them all. */
  private static final class SendBuffer {
    private static final int INITIAL_BYTES = 4096;

    private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BYTES);

    int bytes() {
      return buffer.position();
    }

    void add(byte[] record) {
      int wanted = buffer.position() + Integer.BYTES + record.length;
      if (wanted > buffer.capacity()) {
        ByteBuffer larger = ByteBuffer.allocate(Math.max(wanted, 2 * buffer.capacity()));
        buffer = larger.put(buffer.flip());
      }
      buffer.putInt(record.length).put(record);
    }

    /** Writes what the socket takes; true when nothing is left. */
    boolean writeTo(StreamConnection c) throws IOException {
      buffer.flip();
      try {
        while (buffer.hasRemaining()) {
          if (c.getSinkChannel().write(buffer) == 0) {
            return false;
          }
        }
      } finally {
        buffer.compact();
      }
      if (buffer.capacity() > MAX_IDLE_BUFFER_BYTES) {
        buffer = ByteBuffer.allocate(INITIAL_BYTES);
      }
      c.getSinkChannel().flush();
      return true;
    }
  }

  /** Cuts incoming bytes into records. */
  private static final class RecordReader {
    private ByteBuffer buffer = ByteBuffer.allocate(8192);

    interface RecordConsumer {
      void accept(byte[] record) throws IOException;
    }

    /** False at the end of the stream. */
    boolean read(StreamConnection c, RecordConsumer sink) throws IOException {
      while (true) {
        int n = c.getSourceChannel().read(buffer);
        if (n < 0) {
          return false;
        }
        if (n == 0) {
          return true;
        }
        buffer.flip();
        while (buffer.remaining() >= 4) {
          int length = buffer.getInt(buffer.position());
          if (length < 1 || length > MessageCodec.MAX_RECORD_BYTES) {
            throw new IOException("a record of " + length + " bytes");
          }
          if (buffer.remaining() < 4 + length) {
            break;
          }
          buffer.getInt();
          byte[] record = new byte[length];
          buffer.get(record);
          sink.accept(record);
        }
        int wanted =
            buffer.remaining() >= 4 ? 4 + buffer.getInt(buffer.position()) : buffer.capacity();
        if (wanted > buffer.capacity()) {
          buffer = ByteBuffer.allocate(wanted).put(buffer);
        } else {
          buffer.compact();
        }
      }
    }
  }

  /** The link to one peer, dialled again whenever it breaks. */
  private final class OutboundLink {
    private final Settings.Peer peer;
    private StreamConnection connection;
    private IoFuture<StreamConnection> connectAttempt;
    private SendBuffer sendBuffer = new SendBuffer();
    private RecordReader reader = new RecordReader();
    private double lastReceivedAt;
    private boolean connected;
    private boolean flushScheduled;

    OutboundLink(Settings.Peer peer) {
      this.peer = peer;
    }

    void connect() {
      IoFuture<StreamConnection> attempt =
          worker.getIoThread().openStreamConnection(peer.address(), null, null, OptionMap.EMPTY);
      connectAttempt = attempt;
      timers.after(
          1.5,
          () -> {
            if (connectAttempt == attempt && connection == null) {
              attempt.cancel();
            }
          });
      attempt.addNotifier(
          (future, unused) ->
              worker
                  .getIoThread()
                  .execute(
                      () -> {
                        if (future.getStatus() == IoFuture.Status.DONE) {
                          try {
                            opened(future.get());
                            return;
                          } catch (IOException e) {
                            LOG.log(Level.DEBUG, "dialling {0}: {1}", peer.node(), e.getMessage());
                          }
                        }
                        timers.after(RECONNECT_DELAY_S, this::connect);
                      }),
          null);
    }

    private void opened(StreamConnection c) {
      connection = c;
      sendBuffer = new SendBuffer();
      reader = new RecordReader();
      lastReceivedAt = timers.now();
      connected = true;
      c.getSourceChannel().getReadSetter().set(channel -> readPongs(c));
      c.getSourceChannel().resumeReads();
      c.getSinkChannel().getWriteSetter().set(channel -> flush(c));
      send(MessageCodec.encode(new Message.Hello(settings.node())));
      decisionLock.run(() -> listener.connected(peer.node()));
      ping(c);
    }

    private void ping(StreamConnection c) {
      if (connection != c) {
        return;
      }
      if (timers.now() - lastReceivedAt > IDLE_TIMEOUT_S) {
        close(c, "silent");
        return;
      }
      send(MessageCodec.encode(new Message.Ping()));
      timers.after(PING_INTERVAL_S, () -> ping(c));
    }

    private void readPongs(StreamConnection c) {
      try {
        if (!reader.read(c, record -> lastReceivedAt = timers.now())) {
          close(c, "closed");
        }
      } catch (IOException e) {
        close(c, e.getMessage());
      }
    }

    void send(byte[] record) {
      if (!connected) {
        return;
      }
      sendBuffer.add(record);
      sent = new Traffic(sent.records() + 1, sent.bytes() + Integer.BYTES + record.length);
      if (sendBuffer.bytes() > MAX_QUEUED_BYTES) {
        close(connection, "too much is queued");
        return;
      }
      if (!flushScheduled) {
        // One write for all that this turn of the loop queues.
        flushScheduled = true;
        worker
            .getIoThread()
            .execute(
                () -> {
                  flushScheduled = false;
                  if (connected) {
                    flush(connection);
                  }
                });
      }
    }

    private void flush(StreamConnection c) {
      if (connection != c) {
        return;
      }
      try {
        if (sendBuffer.writeTo(c)) {
          c.getSinkChannel().suspendWrites();
        } else {
          c.getSinkChannel().resumeWrites();
        }
      } catch (IOException e) {
        close(c, e.getMessage());
      }
    }

    private void close(StreamConnection c, String why) {
      IoUtils.safeClose(c);
      if (connection != c) {
        return;
      }
      LOG.log(Level.INFO, "link to {0} lost: {1}", peer.node(), why);
      connection = null;
      connected = false;
      timers.after(RECONNECT_DELAY_S, this::connect);
    }
  }

  /** A link from a peer. A newer one from the same peer replaces it. */
  private final class InboundLink {
    private final StreamConnection connection;
    private final RecordReader reader = new RecordReader();
    private final SendBuffer sendBuffer = new SendBuffer();
    private double lastReceivedAt = timers.now();
    private String node;
    private boolean closed;

    InboundLink(StreamConnection connection) {
      this.connection = connection;
    }

    void open() {
      connection.getSourceChannel().getReadSetter().set(channel -> read());
      connection.getSourceChannel().resumeReads();
      connection.getSinkChannel().getWriteSetter().set(channel -> flush());
      checkIdle();
    }

    private void checkIdle() {
      if (closed) {
        return;
      }
      if (timers.now() - lastReceivedAt > IDLE_TIMEOUT_S) {
        close();
        return;
      }
      timers.after(PING_INTERVAL_S, this::checkIdle);
    }

    private void read() {
      try {
        if (!reader.read(connection, this::handleRecord)) {
          close();
        }
      } catch (IOException | RuntimeException e) {
        LOG.log(Level.INFO, "link from {0} closed: {1}", node, e);
        close();
      }
    }

    private void handleRecord(byte[] record) throws IOException {
      if (closed) {
        return;
      }
      lastReceivedAt = timers.now();
      Message m = MessageCodec.decode(record);
      if (node == null) {
        if (!(m instanceof Message.Hello hello) || !outboundLinks.containsKey(hello.node())) {
          throw new IOException("not a known controller");
        }
        node = hello.node();
        // Records of an older link may still trickle in late; from here on they are not heard.
        InboundLink older = inboundLinks.put(node, this);
        if (older != null) {
          older.closed = true;
          IoUtils.safeClose(older.connection);
          decisionLock.run(() -> listener.disconnected(node));
        }
      } else if (m instanceof Message.Ping) {
        sendBuffer.add(record);
        flush();
      } else {
        decisionLock.run(() -> listener.received(node, m));
      }
    }

    private void flush() {
      try {
        if (sendBuffer.writeTo(connection)) {
          connection.getSinkChannel().suspendWrites();
        } else {
          connection.getSinkChannel().resumeWrites();
        }
      } catch (IOException e) {
        close();
      }
    }

    private void close() {
      if (closed) {
        return;
      }
      closed = true;
      IoUtils.safeClose(connection);
      if (node != null && inboundLinks.remove(node, this)) {
        decisionLock.run(() -> listener.disconnected(node));
      }
    }
  }
}
