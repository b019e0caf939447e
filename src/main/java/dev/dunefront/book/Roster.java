package dev.dunefront.book;

import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The controllers among which machines without a record are shared, in an order that says nothing.
 * Every change begins a new epoch, in which machines are held under higher tokens than any that was
 * given out in the epoch before; so a worker obeys its holder by the newest roster that it has
 * heard of, and no other.
 *
 * @param epoch counts the changes, from 1
 * @param revision of the record; what is recorded of a machine that has no record of its own is
 *     conditional on it
 */
public record Roster(List<Member> members, long epoch, long revision) {
  /** A controller and its zone. */
  public record Member(String node, String zone) {}

  static final Roster NONE = new Roster(List.of(), 0, 0);

  /** Tokens of an epoch; a machine's token is raised far fewer times. */
  private static final int TOKEN_BITS_PER_EPOCH = 32;

  /** The token under which machines without a record are held. */
  long defaultToken() {
    return (epoch - 1 << TOKEN_BITS_PER_EPOCH) + 1;
  }

  static Roster read(Document value, long stamp) throws MalformedMessageException {
    List<Member> members = new ArrayList<>();
    List<String> zones = value.texts("zones");
    for (String node : value.texts("nodes")) {
      if (members.size() == zones.size()) {
        throw new MalformedMessageException("a controller without a zone");
      }
      members.add(new Member(node, zones.get(members.size())));
    }
    return new Roster(members, value.countOr("epoch", 1), stamp);
  }

  Document write() {
    return Document.create()
        .put("nodes", members.stream().map(Member::node).toList())
        .put("zones", members.stream().map(Member::zone).toList())
        .put("epoch", epoch);
  }

  /** The controller that holds a machine without a record, or null while there is none. */
  String defaultHolder(String host, String zone) {
    Member best = null;
    boolean bestNear = false;
    int bestDraw = 0;
    for (Member m : members) {
      // One of the machine's own zone, if there is any: it hears it when the zone is cut off.
      boolean near = m.zone.equals(zone);
      int draw = (host + "@" + m.node).hashCode() * 0x9E3779B9;
      draw ^= draw >>> 15;
      draw *= 0x85EBCA6B;
      if (best == null || near && !bestNear || near == bestNear && draw > bestDraw) {
        best = m;
        bestNear = near;
        bestDraw = draw;
      }
    }
    return best == null ? null : best.node;
  }

  /**
   * The roster after one controller has joined or left, or null if all is as it should be. Whoever
   * lives belongs to it, and whoever is neither named by the settings nor has lived for a while
   * does not. Controllers are restarted with new settings one after the other; by these two rules
   * those with the old and those with the new ones never undo what the others have done.
   *
   * @param settled controllers that have lived for a while, with their zones
   * @param present controllers that live, or have lived a while ago
   * @param named the controllers that this one's settings name
   */
  public Roster next(Map<String, String> settled, Set<String> present, Set<String> named) {
    if (members.isEmpty()) {
      return null;
    }
    for (Member m : members) {
      String zone = settled.get(m.node);
      if (zone != null && !zone.equals(m.zone)) {
        return replacing(m, new Member(m.node, zone));
      }
    }
    for (String node : settled.keySet().stream().sorted().toList()) {
      if (members.stream().noneMatch(m -> m.node.equals(node))) {
        return replacing(null, new Member(node, settled.get(node)));
      }
    }
    for (Member m : members) {
      if (!present.contains(m.node) && !named.contains(m.node) && members.size() > 1) {
        return replacing(m, null);
      }
    }
    return null;
  }

  private Roster replacing(Member gone, Member come) {
    List<Member> next = new ArrayList<>(members);
    next.remove(gone);
    if (come != null) {
      next.add(come);
    }
    return new Roster(List.copyOf(next), epoch + 1, 0);
  }
}
