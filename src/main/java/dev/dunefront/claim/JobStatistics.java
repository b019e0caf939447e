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

/**
 * Task counts and waiting demand of jobs, as reported to users, operators and the other
 * controllers.
 */
public final class JobStatistics {
  private final ControllerContext context;
  private final Map<String, Claim> claims;
  private final Quotas quotas;
  private final ZoneConstraints zoneConstraints;
  private final MachineTable machineTable;

  /** Latest task counts received for jobs that other controllers have claimed. */
  private final Map<String, Counts> remoteCounts = new HashMap<>();

  /**
   * @param claims live view of this controller's claims, by job id
   */
  JobStatistics(
      ControllerContext context,
      Map<String, Claim> claims,
      Quotas quotas,
      ZoneConstraints zoneConstraints,
      MachineTable machineTable) {
    this.context = context;
    this.claims = claims;
    this.quotas = quotas;
    this.zoneConstraints = zoneConstraints;
    this.machineTable = machineTable;
  }

  /** Discards the counts received for a job that is now claimed here or has ended. */
  void forgetRemote(String id) {
    remoteCounts.remove(id);
  }

  /** Stores the counts that another controller sent for its claimed jobs. */
  void progressReceived(Message.JobProgress progress) {
    for (Message.JobCounts count : progress.counts()) {
      if (!claims.containsKey(count.job()) && context.jobs().get(count.job()) != null) {
        remoteCounts.put(count.job(), new Counts(count.done(), count.running(), count.placed()));
      }
    }
  }

  /** Tasks of an open job that are neither done nor placed, by the latest counts known here. */
  int unstarted(JobSpec spec) {
    Claim claim = claims.get(spec.id());
    if (claim != null) {
      return claim.unstarted();
    }
    Counts counts = counts(spec.id());
    return Math.max(0, spec.tasks() - counts.done() - counts.placed());
  }

  /** Task counts for display. */
  public record Counts(int done, int running, int placed) {}

  public Counts counts(String id) {
    Claim claim = claims.get(id);
    return claim == null
        ? remoteCounts.getOrDefault(id, new Counts(0, 0, 0))
        : new Counts(claim.done, running(claim), claim.liveAttempts.size());
  }

  private static int running(Claim claim) {
    int running = 0;
    for (Claim.LiveAttempt attempt : claim.liveAttempts.values()) {
      if (attempt.state == Message.TaskState.RUNNING || attempt.state == Message.TaskState.SAVING) {
        running++;
      }
    }
    return running;
  }

  /** Counts of the claimed jobs that have changed since the previous call. */
  public Message.JobProgress changedProgress() {
    List<Message.JobCounts> changed = new ArrayList<>();
    for (Claim claim : claims.values()) {
      int running = running(claim);
      int placed = claim.liveAttempts.size();
      if (claim.done != claim.publishedDone
          || running != claim.publishedRunning
          || placed != claim.publishedPlaced) {
        claim.publishedDone = claim.done;
        claim.publishedRunning = running;
        claim.publishedPlaced = placed;
        changed.add(new Message.JobCounts(claim.id(), claim.done, running, placed));
      }
    }
    return new Message.JobProgress(changed);
  }

  /** The jobs of one class and team. */
  public record JobGroup(String jobClass, String team) {}

  /** For each group, the age in seconds of its oldest open job with no task placed or done. */
  public Map<JobGroup, Integer> oldestUnstartedAgesS() {
    long now = context.timers().wallClockMs();
    Map<JobGroup, Integer> oldest = new HashMap<>();
    for (JobTable.Entry entry : context.jobs().all()) {
      JobSpec spec = entry.record().spec();
      if (entry.record().status() == Status.OPEN && unstarted(spec) == spec.tasks()) {
        int ageS = (int) (Math.max(0, now - entry.record().acceptedMs()) / 1000);
        oldest.merge(new JobGroup(spec.jobClass(), spec.team()), ageS, Math::max);
      }
    }
    return oldest;
  }

  /** The maximum over all groups of {@link #oldestUnstartedAgesS}; 0 if there is none. */
  public int oldestUnstartedAgeS() {
    return oldestUnstartedAgesS().values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  /** Number of jobs claimed by this controller. */
  public int claimedJobs() {
    return claims.size();
  }

  /** Tasks of claimed jobs that are neither done nor placed. */
  public int unstarted() {
    return claims.values().stream().mapToInt(Claim::unstarted).sum();
  }

  /**
   * The demand of this controller's claims for capacity, and the machines without a usable view.
   */
  public Message.Demand demand() {
    List<Message.PendingTasks> pending = new ArrayList<>();
    Map<SearchThrottle.EquivalenceClass, Integer> firstIndexes = new HashMap<>();
    Map<SearchThrottle.EquivalenceClass, Integer> throttledTasks = new HashMap<>();
    double now = context.now();
    for (Claim claim : claims.values()) {
      int tasks = claim.unstarted();
      Quotas.Quota quota = quotas.quotaOf(claim.spec.team());
      if (quota != null) {
        tasks = Math.min(tasks, claim.startsAllowed(quota));
      }
      if (tasks > 0 && !claim.isSuspectedFaulty() && now >= claim.notBefore) {
        Map<String, Integer> remainingByZone =
            zoneConstraints.remainingTasks(claim, context.catalog().zones());
        if (claim.searchThrottled && remainingByZone.isEmpty()) {
          // Added below to the first equivalent job that is listed.
          throttledTasks.merge(claim.equivalenceClass, tasks, Integer::sum);
        } else {
          pending.add(new Message.PendingTasks(claim.id(), tasks, remainingByZone));
          firstIndexes.putIfAbsent(claim.equivalenceClass, pending.size() - 1);
        }
      }
    }
    throttledTasks.forEach(
        (equivalenceClass, tasks) -> {
          Integer firstIndex = firstIndexes.get(equivalenceClass);
          if (firstIndex != null) {
            Message.PendingTasks first = pending.get(firstIndex);
            pending.set(
                firstIndex,
                new Message.PendingTasks(first.job(), first.count() + tasks, first.roomByZone()));
          }
        });
    Set<String> hostsWithoutView = new HashSet<>();
    for (Claim claim : claims.values()) {
      Set<String> hosts = new HashSet<>(claim.hosts());
      hosts.addAll(claim.strays.hosts());
      for (String host : hosts) {
        MachineTable.Entry machine = machineTable.get(host);
        // Until its worker has reported under the holder's token, the holder cannot prove by its
        // own clock that a lease has expired.
        if (machine == null
            || !machine.view().tokenAcknowledged() && !machine.view().leaseExpired()) {
          hostsWithoutView.add(host);
        }
      }
    }
    return new Message.Demand(pending, List.copyOf(hostsWithoutView));
  }
}
