package dev.dunefront.book;

import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The controllers among which machines without a hold record are shared, in no particular order.
 * Each change begins a new epoch, whose tokens are higher than any token of the epoch before. A
 * worker therefore obeys only the default holder of the newest roster from which it has received a
 * token.
 *
 * @param epoch number of the roster, counted from 1
 * @param revision revision of the roster record. Writes about a machine without a hold record are
 *     conditional on it
 */
public record Roster(List<Member> members, long epoch, long revision) {
  /** A controller and its zone. */
  public record Member(String node, String zone) {}

  static final Roster NONE = new Roster(List.of(), 0, 0);

  /**
   * Each epoch has two to this power tokens, far more than the number of times a machine's token is
   * raised in it.
   */
  private static final int TOKEN_BITS_PER_EPOCH = 32;

  /** The token under which machines without a record are held in this epoch. */
  long defaultToken() {
    return (epoch - 1 << TOKEN_BITS_PER_EPOCH) + 1;
  }

  static Roster read(Document value, long revision) throws MalformedMessageException {
    List<Member> members = new ArrayList<>();
    List<String> zones = value.texts("zones");
    for (String node : value.texts("nodes")) {
      if (members.size() == zones.size()) {
        throw new MalformedMessageException("roster has a controller without a zone");
      }
      members.add(new Member(node, zones.get(members.size())));
    }
    return new Roster(members, value.countOr("epoch", 1), revision);
  }

  Document write() {
    return Document.create()
        .put("nodes", members.stream().map(Member::node).toList())
        .put("zones", members.stream().map(Member::zone).toList())
        .put("epoch", epoch);
  }

  /**
   * The node that holds a machine without a record, chosen by rendezvous hashing; null if the
   * roster is empty.
   */
  String defaultHolder(String host, String zone) {
    Member best = null;
    boolean bestInZone = false;
    int bestHash = 0;
    for (Member m : members) {
      // Controllers of the machine's own zone are preferred: they still reach it when the zone is
      // partitioned.
      boolean inZone = m.zone.equals(zone);
      int hash = (host + "@" + m.node).hashCode() * 0x9E3779B9;
      hash ^= hash >>> 15;
      hash *= 0x85EBCA6B;
      if (best == null || inZone && !bestInZone || inZone == bestInZone && hash > bestHash) {
        best = m;
        bestInZone = inZone;
        bestHash = hash;
      }
    }
    return best == null ? null : best.node;
  }

  /**
   * The next roster, with one member added, removed or moved to another zone; null if no change is
   * needed. A controller that has been live for a while is added. A member that is neither named by
   * the settings nor recently live is removed. Controllers are restarted with new settings one at a
   * time; by these two rules those with old and those with new settings never revert each other's
   * changes.
   *
   * @param stable nodes that have been live for a while, with their zones
   * @param recentlyLive nodes that are live or were so recently
   * @param named nodes named in the settings of this controller
   */
  public Roster next(Map<String, String> stable, Set<String> recentlyLive, Set<String> named) {
    if (members.isEmpty()) {
      return null;
    }
    for (Member m : members) {
      String zone = stable.get(m.node);
      if (zone != null && !zone.equals(m.zone)) {
        return replacing(m, new Member(m.node, zone));
      }
    }
    for (String node : stable.keySet().stream().sorted().toList()) {
      if (members.stream().noneMatch(m -> m.node.equals(node))) {
        return replacing(null, new Member(node, stable.get(node)));
      }
    }
    for (Member m : members) {
      if (!recentlyLive.contains(m.node) && !named.contains(m.node) && members.size() > 1) {
        return replacing(m, null);
      }
    }
    return null;
  }

  private Roster replacing(Member removed, Member added) {
    List<Member> next = new ArrayList<>(members);
    next.remove(removed);
    if (added != null) {
      next.add(added);
    }
    return new Roster(List.copyOf(next), epoch + 1, 0);
  }
}
