package dev.dunefront.peer;

import java.util.Collection;

/**
 * Sends messages to controllers, including this one. A link that breaks loses the messages in
 * flight; the listener is notified and sends the current state again.
 */
public interface Peers {
  /** Receives messages from other controllers and changes of their reachability. */
  interface Listener {
    void received(String from, Message message);

    /** An outgoing link to the node has been opened. */
    void connected(String node);

    /**
     * The incoming link from the node is lost or replaced: state received from it is no longer
     * valid.
     */
    void disconnected(String node);
  }

  void send(String node, Message message);

  /** Sends the message to several controllers; equivalent to sending it to each, at lower cost. */
  default void send(Collection<String> nodes, Message message) {
    nodes.forEach(node -> send(node, message));
  }

  /** Sends the message to every controller, including this one. */
  void broadcast(Message message);

  /** Traffic to other controllers since the start. */
  default Traffic sentTraffic() {
    return Traffic.NONE;
  }

  /** Number of records and their bytes, including length prefixes, as handed to the sockets. */
  record Traffic(long records, long bytes) {
    static final Traffic NONE = new Traffic(0, 0);
  }
}
