package dev.dunefront.peer;

import java.util.Collection;

/**
 * Sends messages to controllers, this one included. A link that breaks loses what was under way;
 * the listener hears of it and says everything anew.
 */
public interface Peers {
  /** Hears what other controllers say, and which of them can be reached. */
  interface Listener {
    void received(String from, Message message);

    /** A link for sending to the node is open. */
    void connected(String node);

    /** What the node has said before no longer holds: its link here is gone. */
    void disconnected(String node);
  }

  void send(String node, Message message);

  /** To several controllers; the same as to each of them, at less cost. */
  default void send(Collection<String> nodes, Message message) {
    nodes.forEach(node -> send(node, message));
  }

  /** To every controller, this one included. */
  void broadcast(Message message);

  /** What has gone out to other controllers since the start. */
  default Traffic sentTraffic() {
    return Traffic.NONE;
  }

  /** Records and their bytes, lengths included, as handed to the sockets. */
  record Traffic(long records, long bytes) {
    static final Traffic NONE = new Traffic(0, 0);
  }
}
