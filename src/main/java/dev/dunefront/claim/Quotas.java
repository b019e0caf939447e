package dev.dunefront.claim;

import dev.dunefront.config.Settings;
import dev.dunefront.store.Replica;
import dev.dunefront.store.Store;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import dev.dunefront.wire.Size;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The granted part of the limit of each limited team. Grants are written into the job records,
 * somewhat ahead of the placements, in the same transaction that updates the team's record. The
 * record is therefore exact across controllers and crashes, a grant moves with its claim, and few
 * placements need to update the team's record.
 */
final class Quotas {
  private static final String PREFIX = Replica.PREFIX + "q/";

  /** One team's usage. At most one transaction of this controller updates it at a time. */
  static final class Quota {
    final Settings.Team team;
    long stamp;
    Size used = Size.NONE;
    boolean busy;
    final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

    Quota(Settings.Team team) {
      this.team = team;
    }

    String key() {
      return PREFIX + team.name();
    }

    /** How many more tasks of this size the limit allows. */
    int room(Size size) {
      long n = Integer.MAX_VALUE;
      if (team.cpusMax() > 0 && size.cpu() > 0) {
        n = Math.min(n, (Math.round(team.cpusMax() * 1e6) - used.cpu()) / size.cpu());
      }
      if (team.gpusMax() > 0 && size.gpu() > 0) {
        n = Math.min(n, (Math.round(team.gpusMax() * 1e6) - used.gpu()) / size.gpu());
      }
      return (int) Math.max(0, n);
    }

    /** Ends an update and runs waiters until one of them starts the next. */
    void release() {
      busy = false;
      while (!busy && !waiting.isEmpty()) {
        waiting.poll().run();
      }
    }
  }

  private final Map<String, Quota> byTeam = new HashMap<>();
  private final Replica replica;

  Quotas(Settings settings, Replica replica, Runnable changed) {
    this.replica = replica;
    for (Settings.Team team : settings.teams()) {
      if (team.limited()) {
        byTeam.put(team.name(), new Quota(team));
      }
    }
    replica.listen(
        PREFIX,
        (team, value, stamp) -> {
          Quota quota = byTeam.get(team);
          if (quota == null || value == null) {
            return;
          }
          try {
            quota.used = new Size(value.count("cpu"), value.count("gpu"), 0);
            quota.stamp = stamp;
          } catch (BadMessage e) {
            throw new IllegalStateException("quota record " + team + " cannot be read", e);
          }
          changed.run();
        });
  }

  /** The team's quota, or null if it has no limit. */
  Quota of(String team) {
    return byTeam.get(team);
  }

  static Doc write(Size used, String mark) {
    return Doc.of().put("cpu", used.cpu()).put("gpu", used.gpu()).put(Store.MARK, mark);
  }

  /** Applies a value of the team's record that was read or written here to the replica. */
  void saw(Quota quota, Doc value, long stamp) {
    replica.apply(quota.key(), value, stamp);
  }
}
