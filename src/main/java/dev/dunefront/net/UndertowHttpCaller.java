package dev.dunefront.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Undertow's client with a small pool of open connections for each address. All of it runs on one
 * I/O thread, so its own fields need no lock.
 */
public final class UndertowHttpCaller implements HttpCaller {
  private static final int MAX_IDLE_CONNECTIONS = 6;
  private static final double MAX_IDLE_S = 20;
  private static final int MAX_BODY_BYTES = 16 << 20;

  private record IdleConnection(ClientConnection connection, double since) {}

  private final XnioIoThread ioThread;
  private final ByteBufferPool buffers;
  private final Timers timers;
  private final Map<String, ArrayDeque<IdleConnection>> idleConnections = new HashMap<>();

  public UndertowHttpCaller(XnioIoThread thread, ByteBufferPool buffers, Timers timers) {
    this.ioThread = thread;
    this.buffers = buffers;
    this.timers = timers;
  }

  @Override
  public void call(
      String address,
      String method,
      String path,
      byte[] body,
      double deadlineS,
      Consumer<Response> then) {
    Call call = new Call(address, method, path, body, then);
    if (Thread.currentThread() == ioThread) {
      call.start(deadlineS);
    } else {
      ioThread.execute(() -> call.start(deadlineS));
    }
  }

  private final class Call {
    private final String address;
    private final String method;
    private final String path;
    private final byte[] body;
    private final Consumer<Response> then;
    private XnioExecutor.Key deadline;
    private IoFuture<ClientConnection> connecting;
    private ClientConnection connection;
    private boolean finished;

    Call(String address, String method, String path, byte[] body, Consumer<Response> then) {
      this.address = address;
      this.method = method;
      this.path = path;
      this.body = body;
      this.then = then;
    }

    void start(double deadlineS) {
      deadline =
          ioThread.executeAfter(
              () -> finish(Response.NO_RESPONSE, false),
              Math.max(1, Math.round(deadlineS * 1000)),
              java.util.concurrent.TimeUnit.MILLISECONDS);
      ArrayDeque<IdleConnection> idle = idleConnections.get(address);
      while (idle != null && !idle.isEmpty()) {
        IdleConnection i = idle.pollLast();
        if (i.connection.isOpen() && timers.now() - i.since < MAX_IDLE_S) {
          send(i.connection);
          return;
        }
        IoUtils.safeClose(i.connection);
      }
      connect();
    }

    private void connect() {
      connecting =
          UndertowClient.getInstance()
              .connect(URI.create("http://" + address), ioThread, buffers, OptionMap.EMPTY);
      connecting.addNotifier(
          (future, unused) -> {
            if (future.getStatus() != IoFuture.Status.DONE) {
              ioThread.execute(() -> finish(Response.NO_RESPONSE, false));
              return;
            }
            try {
              ClientConnection c = future.get();
              if (finished) {
                IoUtils.safeClose(c);
              } else {
                send(c);
              }
            } catch (IOException e) {
              finish(Response.NO_RESPONSE, false);
            }
          },
          null);
    }

    private void send(ClientConnection c) {
      connection = c;
      ClientRequest request = new ClientRequest();
      request.setMethod(new HttpString(method)).setPath(path);
      request.getRequestHeaders().put(Headers.HOST, address);
      if (body != null) {
        request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/msgpack");
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
      }
      c.sendRequest(
          request,
          new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
              exchange.setResponseListener(
                  new ClientCallback<>() {
                    @Override
                    public void completed(ClientExchange answered) {
                      receive(answered);
                    }

                    @Override
                    public void failed(IOException e) {
                      connectionFailed();
                    }
                  });
              try {
                sendBody(exchange.getRequestChannel());
              } catch (IOException e) {
                connectionFailed();
              }
            }

            @Override
            public void failed(IOException e) {
              connectionFailed();
            }
          });
    }

    private void sendBody(StreamSinkChannel channel) throws IOException {
      ByteBuffer buffer = ByteBuffer.wrap(body == null ? new byte[0] : body);
      if (writeRemaining(channel, buffer)) {
        return;
      }
      channel
          .getWriteSetter()
          .set(
              c -> {
                try {
                  if (writeRemaining(c, buffer)) {
                    c.suspendWrites();
                  }
                } catch (IOException e) {
                  connectionFailed();
                }
              });
      channel.resumeWrites();
    }

    private boolean writeRemaining(StreamSinkChannel channel, ByteBuffer buffer)
        throws IOException {
      while (buffer.hasRemaining()) {
        if (channel.write(buffer) == 0) {
          return false;
        }
      }
      channel.shutdownWrites();
      return channel.flush();
    }

    private void receive(ClientExchange exchange) {
      StreamSourceChannel channel = exchange.getResponseChannel();
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      if (readAvailable(exchange, channel, all)) {
        return;
      }
      channel
          .getReadSetter()
          .set(
              c -> {
                if (readAvailable(exchange, c, all)) {
                  c.suspendReads();
                }
              });
      channel.resumeReads();
    }

    private boolean readAvailable(
        ClientExchange exchange, StreamSourceChannel channel, ByteArrayOutputStream all) {
      ByteBuffer buffer = ByteBuffer.allocate(4096);
      try {
        while (true) {
          buffer.clear();
          int n = channel.read(buffer);
          if (n == 0) {
            return false;
          }
          if (n < 0) {
            break;
          }
          all.write(buffer.array(), 0, n);
          if (all.size() > MAX_BODY_BYTES) {
            connectionFailed();
            return true;
          }
        }
      } catch (IOException e) {
        connectionFailed();
        return true;
      }
      double retryAfter = 0;
      String header = exchange.getResponse().getResponseHeaders().getFirst(Headers.RETRY_AFTER);
      if (header != null) {
        try {
          retryAfter = Double.parseDouble(header);
        } catch (NumberFormatException e) {
          // a date or nonsense: the caller's own pause applies
        }
      }
      finish(
          new Response(exchange.getResponse().getResponseCode(), all.toByteArray(), retryAfter),
          true);
      return true;
    }

    /** The connection failed; nobody knows whether the request arrived. */
    private void connectionFailed() {
      finish(Response.NO_RESPONSE, false);
    }

    private void finish(Response reply, boolean keep) {
      if (finished) {
        return;
      }
      finished = true;
      deadline.remove();
      if (connection != null) {
        if (keep && connection.isOpen()) {
          ArrayDeque<IdleConnection> idle =
              idleConnections.computeIfAbsent(address, a -> new ArrayDeque<>());
          idle.addLast(new IdleConnection(connection, timers.now()));
          if (idle.size() > MAX_IDLE_CONNECTIONS) {
            IoUtils.safeClose(idle.pollFirst().connection);
          }
        } else {
          IoUtils.safeClose(connection);
        }
      } else if (connecting != null) {
        connecting.cancel();
      }
      then.accept(reply);
    }
  }
}
