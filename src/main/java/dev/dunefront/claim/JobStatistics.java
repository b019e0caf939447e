package dev.dunefront.claim;

import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.job.JobTable;
import dev.dunefront.peer.Message;
import dev.dunefront.wire.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What users, operators and the other controllers are told of jobs: counts, and what waits. */
public final class JobStatistics {
  private final ControllerContext context;
  private final Map<String, Claim> claims;
  private final Quotas quotas;
  private final ZoneConstraints zones;
  private final MachineTable room;

  /** Task counts of jobs that others have claimed, as they tell. */
  private final Map<String, Counts> remoteCounts = new HashMap<>();

  /** The claims are those of this controller, by job, as they are at any time. */
  JobStatistics(
      ControllerContext context,
      Map<String, Claim> claims,
      Quotas quotas,
      ZoneConstraints zones,
      MachineTable room) {
    this.context = context;
    this.claims = claims;
    this.quotas = quotas;
    this.zones = zones;
    this.room = room;
  }

  /** What another controller has told of a job no longer counts: it is claimed here, or over. */
  void forgetRemote(String id) {
    remoteCounts.remove(id);
  }

  /** Another controller tells of the jobs that it has claimed. */
  void progressReceived(Message.JobProgress progress) {
    for (Message.JobCounts n : progress.counts()) {
      if (!claims.containsKey(n.job()) && context.jobs().get(n.job()) != null) {
        remoteCounts.put(n.job(), new Counts(n.done(), n.running(), n.placed()));
      }
    }
  }

  /** Tasks of an open job that are neither done nor placed, as its claimant has told last. */
  int unstarted(JobSpec spec) {
    Claim c = claims.get(spec.id());
    if (c != null) {
      return c.unstarted();
    }
    Counts counts = counts(spec.id());
    return Math.max(0, spec.tasks() - counts.done() - counts.placed());
  }

  /** Task counts for display. */
  public record Counts(int done, int running, int placed) {}

  public Counts counts(String id) {
    Claim c = claims.get(id);
    return c == null
        ? remoteCounts.getOrDefault(id, new Counts(0, 0, 0))
        : new Counts(c.done, running(c), c.liveAttempts.size());
  }

  private static int running(Claim c) {
    int running = 0;
    for (Claim.LiveAttempt l : c.liveAttempts.values()) {
      if (l.state == Message.State.RUNNING || l.state == Message.State.SAVING) {
        running++;
      }
    }
    return running;
  }

  /** What has changed in the counts of claimed jobs since this was last asked. */
  public Message.JobProgress changedProgress() {
    List<Message.JobCounts> changed = new ArrayList<>();
    for (Claim c : claims.values()) {
      int running = running(c);
      int placed = c.liveAttempts.size();
      if (c.done != c.publishedDone
          || running != c.publishedRunning
          || placed != c.publishedPlaced) {
        c.publishedDone = c.done;
        c.publishedRunning = running;
        c.publishedPlaced = placed;
        changed.add(new Message.JobCounts(c.id(), c.done, running, placed));
      }
    }
    return new Message.JobProgress(changed);
  }

  /** A class of jobs of one team. */
  public record JobGroup(String jobClass, String team) {}

  /** By group the age in seconds of its oldest open job of which nothing has ever been placed. */
  public Map<JobGroup, Integer> oldestUnstartedAgesS() {
    long now = context.timers().wallClockMs();
    Map<JobGroup, Integer> oldest = new HashMap<>();
    for (JobTable.Entry e : context.jobs().all()) {
      JobSpec spec = e.record().spec();
      if (e.record().status() == Status.OPEN && unstarted(spec) == spec.tasks()) {
        int ageS = (int) (Math.max(0, now - e.record().acceptedMs()) / 1000);
        oldest.merge(new JobGroup(spec.jobClass(), spec.team()), ageS, Math::max);
      }
    }
    return oldest;
  }

  /** The greatest of these; 0 if there is none. */
  public int oldestUnstartedAgeS() {
    return oldestUnstartedAgesS().values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  public int claimedJobs() {
    return claims.size();
  }

  /** Tasks of claimed jobs that are neither done nor placed. */
  public int unstarted() {
    return claims.values().stream().mapToInt(Claim::unstarted).sum();
  }

  /** What waits for room here. */
  public Message.Demand demand() {
    List<Message.PendingTasks> waiting = new ArrayList<>();
    Map<SearchThrottle.EquivalenceClass, Integer> heads = new HashMap<>();
    Map<SearchThrottle.EquivalenceClass, Integer> behind = new HashMap<>();
    double now = context.now();
    for (Claim c : claims.values()) {
      int n = c.unstarted();
      Quotas.Quota q = quotas.of(c.spec.team());
      if (q != null) {
        n = Math.min(n, c.startsAllowed(q));
      }
      if (n > 0 && !c.suspectedFaulty() && now >= c.notBefore) {
        Map<String, Integer> left = zones.remainingTasks(c, context.catalog().zones());
        if (c.searchThrottled && left.isEmpty()) {
          // In the place of the one at the head of the line, whoever that is.
          behind.merge(c.equivalenceClass, n, Integer::sum);
        } else {
          waiting.add(new Message.PendingTasks(c.id(), n, left));
          heads.putIfAbsent(c.equivalenceClass, waiting.size() - 1);
        }
      }
    }
    behind.forEach(
        (shape, n) -> {
          Integer head = heads.get(shape);
          if (head != null) {
            Message.PendingTasks w = waiting.get(head);
            waiting.set(head, new Message.PendingTasks(w.job(), w.count() + n, w.roomByZone()));
          }
        });
    Set<String> unheard = new HashSet<>();
    for (Claim c : claims.values()) {
      Set<String> hosts = new HashSet<>(c.hosts());
      hosts.addAll(c.strays.hosts());
      for (String host : hosts) {
        MachineTable.Entry seen = room.get(host);
        // A holder that has never had a report under its token cannot prove anything by its clock.
        if (seen == null || !seen.view().tokenAcknowledged() && !seen.view().leaseExpired()) {
          unheard.add(host);
        }
      }
    }
    return new Message.Demand(waiting, List.copyOf(unheard));
  }
}
