package dev.dunefront.claim;

import dev.dunefront.peer.Message.View;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** All held machines as their holders describe them. */
public final class Room {
  /** A machine and who holds it. */
  public record Seen(String holder, View view) {}

  private final Map<String, Seen> machines = new HashMap<>();

  Seen put(String holder, View view) {
    Seen old = machines.get(view.host());
    if (old != null && old.view.baton() > view.baton()) {
      // A former holder's last words.
      return old;
    }
    machines.put(view.host(), new Seen(holder, view));
    return old;
  }

  boolean remove(String holder, String host) {
    Seen old = machines.get(host);
    return old != null && old.holder.equals(holder) && machines.remove(host) != null;
  }

  List<String> removeAll(String holder) {
    List<String> gone = new ArrayList<>();
    machines.values().removeIf(s -> s.holder.equals(holder) && gone.add(s.view.host()));
    return gone;
  }

  public Seen get(String host) {
    return machines.get(host);
  }

  public Collection<Seen> all() {
    return machines.values();
  }
}
