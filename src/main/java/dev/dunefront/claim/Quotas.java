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

    /** How many more tasks of this size the limit allows. */
    int remainingTasks(Resources size) {
      long tasks = Integer.MAX_VALUE;
      if (team.cpusMax() > 0 && size.cpu() > 0) {
        tasks = Math.min(tasks, (Math.round(team.cpusMax() * 1e6) - used.cpu()) / size.cpu());
      }
      if (team.gpusMax() > 0 && size.gpu() > 0) {
        tasks = Math.min(tasks, (Math.round(team.gpusMax() * 1e6) - used.gpu()) / size.gpu());
      }
      return (int) Math.max(0, tasks);
    }

    /** Ends an update and runs waiters until one of them starts the next. */
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
    for (Settings.Team team : settings.teams()) {
      if (team.limited()) {
        byTeam.put(team.name(), new Quota(team));
      }
    }
    replica.addListener(
        PREFIX,
        (team, value, revision) -> {
          Quota quota = byTeam.get(team);
          if (quota == null || value == null) {
            return;
          }
          try {
            quota.used = new Resources(value.count("cpu"), value.count("gpu"), 0);
            quota.revision = revision;
          } catch (MalformedMessageException e) {
            throw new IllegalStateException("quota record " + team + " cannot be read", e);
          }
          changed.run();
        });
  }

  /** The team's quota, or null if it has no limit. */
  Quota quotaOf(String team) {
    return byTeam.get(team);
  }

  static Document toDocument(Resources used, String writeId) {
    return Document.create()
        .put("cpu", used.cpu())
        .put("gpu", used.gpu())
        .put(StateStore.WRITE_ID_FIELD, writeId);
  }

  /** Applies a value of the team's record that was read or written here to the replica. */
  void applyUpdate(Quota quota, Document value, long revision) {
    replica.apply(quota.key(), value, revision);
  }
}
