package dev.dunefront.claim;

import dev.dunefront.config.Settings;
import dev.dunefront.store.Replica;
import dev.dunefront.store.StateStore;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import dev.dunefront.wire.Resources;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * What is granted of each limited team's limit. Grants are written into the job records, a piece
 * ahead of the placements, in the transaction that changes the team's record; so the record is
 * exact across controllers and crashes, a claim takes its grant along, and few placements touch it.
 */
final class Quotas {
  private static final String PREFIX = Replica.PREFIX + "q/";

  /** One team's usage; at most one transaction of this controller changes it at a time. */
  static final class Quota {
    final Settings.Team team;
    long revision;
    Resources used = Resources.NONE;
    boolean updating;
    final ArrayDeque<Runnable> waiters = new ArrayDeque<>();

    Quota(Settings.Team team) {
      this.team = team;
    }

    String key() {
      return PREFIX + team.name();
    }

    /** How many tasks of the size may still be granted. */
    int remainingTasks(Resources size) {
      long n = Integer.MAX_VALUE;
      if (team.cpusMax() > 0 && size.cpu() > 0) {
        n = Math.min(n, (Math.round(team.cpusMax() * 1e6) - used.cpu()) / size.cpu());
      }
      if (team.gpusMax() > 0 && size.gpu() > 0) {
        n = Math.min(n, (Math.round(team.gpusMax() * 1e6) - used.gpu()) / size.gpu());
      }
      return (int) Math.max(0, n);
    }

    void release() {
      updating = false;
      while (!updating && !waiters.isEmpty()) {
        waiters.poll().run();
      }
    }
  }

  private final Map<String, Quota> byTeam = new HashMap<>();
  private final Replica replica;

  Quotas(Settings settings, Replica replica, Runnable changed) {
    this.replica = replica;
    for (Settings.Team t : settings.teams()) {
      if (t.limited()) {
        byTeam.put(t.name(), new Quota(t));
      }
    }
    replica.addListener(
        PREFIX,
        (team, value, stamp) -> {
          Quota q = byTeam.get(team);
          if (q == null || value == null) {
            return;
          }
          try {
            q.used = new Resources(value.count("cpu"), value.count("gpu"), 0);
            q.revision = stamp;
          } catch (MalformedMessageException e) {
            throw new IllegalStateException("quota record " + team + " cannot be read", e);
          }
          changed.run();
        });
  }

  /** The team's quota, or null if it has no limit. */
  Quota of(String team) {
    return byTeam.get(team);
  }

  static Document write(Resources used, String mark) {
    return Document.create()
        .put("cpu", used.cpu())
        .put("gpu", used.gpu())
        .put(StateStore.WRITE_ID_FIELD, mark);
  }

  void applyUpdate(Quota q, Document value, long stamp) {
    replica.apply(q.key(), value, stamp);
  }
}
