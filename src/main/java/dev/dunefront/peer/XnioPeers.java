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
 * Connects each controller to every other one. A link carries messages in one direction, from the
 * connecting side; only echoed pings come back, so that a link that hangs without an error is
 * detected.
 */
public final class XnioPeers implements Peers {
  private static final System.Logger LOG = System.getLogger(XnioPeers.class.getName());
  private static final double PING_S = 1.0;
  private static final double SILENCE_S = 5;
  private static final double REDIAL_S = 0.5;
  private static final int MAX_QUEUED = 8 << 20;

  /** A larger send buffer, in bytes, is replaced by a small one when it becomes empty. */
  private static final int MAX_IDLE = 64 << 10;

  private final Settings settings;
  private final XnioWorker worker;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Listener listener;
  private final Map<String, Out> out = new HashMap<>();
  private final Map<String, In> in = new HashMap<>();

  /** Traffic queued for other controllers; written on the I/O thread only. */
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
      out.put(p.node(), new Out(p));
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
                  new In(c).open();
                }
              } catch (IOException e) {
                LOG.log(Level.DEBUG, "accepting a peer connection failed: {0}", e.getMessage());
              }
            },
            OptionMap.EMPTY);
    server.resumeAccepts();
    out.values().forEach(Out::dial);
  }

  @Override
  public void send(String node, Message message) {
    if (node.equals(settings.node())) {
      decisionLock.then(() -> decisionLock.run(() -> listener.received(node, message)));
      return;
    }
    Out link = out.get(node);
    if (link != null) {
      decisionLock.then(() -> link.send(Records.encode(message)));
    }
  }

  @Override
  public void send(Collection<String> nodes, Message message) {
    List<Out> links = new ArrayList<>();
    for (String node : nodes) {
      Out link = out.get(node);
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
    sendAll(out.values(), message);
  }

  /** Encodes the message once for all links. */
  private void sendAll(Collection<Out> links, Message message) {
    decisionLock.then(
        () -> {
          byte[] record = Records.encode(message);
          links.forEach(link -> link.send(record));
        });
  }

  @Override
  public Traffic sent() {
    return sent;
  }

  /**
   * Contiguous buffer of the bytes to be sent on one connection, so that one write covers all of
   * them.
   */
  private static final class Queue {
    private static final int USUAL = 4096;

    private ByteBuffer buffer = ByteBuffer.allocate(USUAL);

    int bytes() {
      return buffer.position();
    }

    void add(byte[] record) {
      int required = buffer.position() + Integer.BYTES + record.length;
      if (required > buffer.capacity()) {
        ByteBuffer larger = ByteBuffer.allocate(Math.max(required, 2 * buffer.capacity()));
        buffer = larger.put(buffer.flip());
      }
      buffer.putInt(record.length).put(record);
    }

    /** Writes as much as the socket accepts; returns true if nothing is left. */
    boolean pump(StreamConnection c) throws IOException {
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
      if (buffer.capacity() > MAX_IDLE) {
        buffer = ByteBuffer.allocate(USUAL);
      }
      c.getSinkChannel().flush();
      return true;
    }
  }

  /** Splits incoming bytes into records. */
  private static final class Reader {
    private ByteBuffer buffer = ByteBuffer.allocate(8192);

    interface Sink {
      void record(byte[] record) throws IOException;
    }

    /** Reads the available bytes; returns false at the end of the stream. */
    boolean read(StreamConnection c, Sink sink) throws IOException {
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
          if (length < 1 || length > Records.MAX_RECORD) {
            throw new IOException("invalid record length: " + length + " bytes");
          }
          if (buffer.remaining() < 4 + length) {
            break;
          }
          buffer.getInt();
          byte[] record = new byte[length];
          buffer.get(record);
          sink.record(record);
        }
        int required =
            buffer.remaining() >= 4 ? 4 + buffer.getInt(buffer.position()) : buffer.capacity();
        if (required > buffer.capacity()) {
          buffer = ByteBuffer.allocate(required).put(buffer);
        } else {
          buffer.compact();
        }
      }
    }
  }

  /** Outgoing link to one peer, reconnected whenever it breaks. */
  private final class Out {
    private final Settings.Peer peer;
    private StreamConnection connection;
    private IoFuture<StreamConnection> dialling;
    private Queue queue = new Queue();
    private Reader reader = new Reader();
    private double heard;
    private boolean up;
    private boolean flushing;

    Out(Settings.Peer peer) {
      this.peer = peer;
    }

    void dial() {
      IoFuture<StreamConnection> attempt =
          worker.getIoThread().openStreamConnection(peer.address(), null, null, OptionMap.EMPTY);
      dialling = attempt;
      timers.after(
          1.5,
          () -> {
            if (dialling == attempt && connection == null) {
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
                            LOG.log(
                                Level.DEBUG,
                                "connecting to {0} failed: {1}",
                                peer.node(),
                                e.getMessage());
                          }
                        }
                        timers.after(REDIAL_S, this::dial);
                      }),
          null);
    }

    private void opened(StreamConnection c) {
      connection = c;
      queue = new Queue();
      reader = new Reader();
      heard = timers.now();
      up = true;
      c.getSourceChannel().getReadSetter().set(channel -> pongs(c));
      c.getSourceChannel().resumeReads();
      c.getSinkChannel().getWriteSetter().set(channel -> flush(c));
      send(Records.encode(new Message.Hello(settings.node())));
      decisionLock.run(() -> listener.reached(peer.node()));
      ping(c);
    }

    private void ping(StreamConnection c) {
      if (connection != c) {
        return;
      }
      if (timers.now() - heard > SILENCE_S) {
        close(c, "no ping reply");
        return;
      }
      send(Records.encode(new Message.Ping()));
      timers.after(PING_S, () -> ping(c));
    }

    private void pongs(StreamConnection c) {
      try {
        if (!reader.read(c, record -> heard = timers.now())) {
          close(c, "closed by the peer");
        }
      } catch (IOException e) {
        close(c, e.getMessage());
      }
    }

    void send(byte[] record) {
      if (!up) {
        return;
      }
      queue.add(record);
      sent = new Traffic(sent.records() + 1, sent.bytes() + Integer.BYTES + record.length);
      if (queue.bytes() > MAX_QUEUED) {
        close(connection, "send buffer limit exceeded");
        return;
      }
      if (!flushing) {
        // One write for all records queued in this iteration of the event loop.
        flushing = true;
        worker
            .getIoThread()
            .execute(
                () -> {
                  flushing = false;
                  if (up) {
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
        if (queue.pump(c)) {
          c.getSinkChannel().suspendWrites();
        } else {
          c.getSinkChannel().resumeWrites();
        }
      } catch (IOException e) {
        close(c, e.getMessage());
      }
    }

    private void close(StreamConnection c, String reason) {
      IoUtils.safeClose(c);
      if (connection != c) {
        return;
      }
      LOG.log(Level.INFO, "link to {0} lost: {1}", peer.node(), reason);
      connection = null;
      up = false;
      timers.after(REDIAL_S, this::dial);
    }
  }

  /** Incoming link from a peer; replaced by a newer link from the same peer. */
  private final class In {
    private final StreamConnection connection;
    private final Reader reader = new Reader();
    private final Queue queue = new Queue();
    private double heard = timers.now();
    private String node;
    private boolean closed;

    In(StreamConnection connection) {
      this.connection = connection;
    }

    void open() {
      connection.getSourceChannel().getReadSetter().set(channel -> read());
      connection.getSourceChannel().resumeReads();
      connection.getSinkChannel().getWriteSetter().set(channel -> flush());
      watch();
    }

    private void watch() {
      if (closed) {
        return;
      }
      if (timers.now() - heard > SILENCE_S) {
        close();
        return;
      }
      timers.after(PING_S, this::watch);
    }

    private void read() {
      try {
        if (!reader.read(connection, this::record)) {
          close();
        }
      } catch (IOException | RuntimeException e) {
        LOG.log(Level.INFO, "link from {0} closed: {1}", node, e);
        close();
      }
    }

    private void record(byte[] record) throws IOException {
      if (closed) {
        return;
      }
      heard = timers.now();
      Message m = Records.decode(record);
      if (node == null) {
        if (!(m instanceof Message.Hello hello) || !out.containsKey(hello.node())) {
          throw new IOException("first record is not a Hello from a known controller");
        }
        node = hello.node();
        // Records that still arrive on an older link are ignored from now on.
        In older = in.put(node, this);
        if (older != null) {
          older.closed = true;
          IoUtils.safeClose(older.connection);
          decisionLock.run(() -> listener.gone(node));
        }
      } else if (m instanceof Message.Ping) {
        queue.add(record);
        flush();
      } else {
        decisionLock.run(() -> listener.received(node, m));
      }
    }

    private void flush() {
      try {
        if (queue.pump(connection)) {
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
      if (node != null && in.remove(node, this)) {
        decisionLock.run(() -> listener.gone(node));
      }
    }
  }
}
