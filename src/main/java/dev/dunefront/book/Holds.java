package dev.dunefront.book;

import dev.dunefront.store.Membership;
import dev.dunefront.store.Replica;
import dev.dunefront.store.Store;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The hold records of all machines, as the replica shows them. */
public final class Holds {
  public static final String PREFIX = Replica.PREFIX + "h/";

  /** Who holds a machine under which baton; {@code dead} once the cloud has confirmed its end. */
  public record Hold(String holder, long baton, boolean dead, long stamp) {}

  private final Map<String, Hold> all = new HashMap<>();
  private final Replica replica;
  private Consumer<String> listener = host -> {};

  public Holds(Replica replica) {
    this.replica = replica;
    replica.listen(
        PREFIX,
        (host, value, stamp) -> {
          if (value == null) {
            all.remove(host);
          } else {
            try {
              all.put(
                  host,
                  new Hold(
                      value.textOr("holder", ""),
                      value.countOr("baton", 0),
                      value.flagOr("dead", false),
                      stamp));
            } catch (BadMessage e) {
              throw new IllegalStateException("hold record " + host + " cannot be read", e);
            }
          }
          listener.accept(host);
        });
  }

  public void listen(Consumer<String> changed) {
    listener = changed;
  }

  public static String key(String host) {
    return PREFIX + host;
  }

  public Hold get(String host) {
    return all.get(host);
  }

  /** Whether the machine was last held by this controller, in whatever incarnation. */
  boolean heldBy(String node, Hold hold) {
    return hold != null
        && !hold.dead()
        && !hold.holder().isEmpty()
        && Membership.nodeOf(hold.holder()).equals(node);
  }

  public Map<String, Hold> all() {
    return all;
  }

  static Doc write(String holder, long baton, String mark) {
    return Doc.of().put("holder", holder).put("baton", baton).put(Store.MARK, mark);
  }

  /** The record of a machine whose deletion the cloud has confirmed. */
  public static Doc writeDead(String mark) {
    return Doc.of().put("dead", true).put(Store.MARK, mark);
  }

  void wrote(String host, Doc value, long stamp) {
    replica.apply(key(host), value, stamp);
  }
}
