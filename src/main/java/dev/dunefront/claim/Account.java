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
public final class Account {
  private final ControllerContext context;
  private final Map<String, Claim> claims;
  private final Quotas quotas;
  private final Zones zones;
  private final Room room;

  /** Latest task counts received for jobs that other controllers have claimed. */
  private final Map<String, Counts> elsewhere = new HashMap<>();

  /**
   * @param claims live view of this controller's claims, by job id
   */
  Account(
      ControllerContext context, Map<String, Claim> claims, Quotas quotas, Zones zones, Room room) {
    this.context = context;
    this.claims = claims;
    this.quotas = quotas;
    this.zones = zones;
    this.room = room;
  }

  /** Discards the counts received for a job that is now claimed here or has ended. */
  void forget(String id) {
    elsewhere.remove(id);
  }

  /** Stores the counts that another controller sent for its claimed jobs. */
  void told(Message.Progress progress) {
    for (Message.Count count : progress.counts()) {
      if (!claims.containsKey(count.job()) && context.jobs().get(count.job()) != null) {
        elsewhere.put(count.job(), new Counts(count.done(), count.running(), count.placed()));
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
        ? elsewhere.getOrDefault(id, new Counts(0, 0, 0))
        : new Counts(claim.done, running(claim), claim.live.size());
  }

  private static int running(Claim claim) {
    int running = 0;
    for (Claim.Live attempt : claim.live.values()) {
      if (attempt.state == Message.State.RUNNING || attempt.state == Message.State.SAVING) {
        running++;
      }
    }
    return running;
  }

  /** Counts of the claimed jobs that have changed since the previous call. */
  public Message.Progress progress() {
    List<Message.Count> changed = new ArrayList<>();
    for (Claim claim : claims.values()) {
      int running = running(claim);
      int placed = claim.live.size();
      if (claim.done != claim.toldDone
          || running != claim.toldRunning
          || placed != claim.toldPlaced) {
        claim.toldDone = claim.done;
        claim.toldRunning = running;
        claim.toldPlaced = placed;
        changed.add(new Message.Count(claim.id(), claim.done, running, placed));
      }
    }
    return new Message.Progress(changed);
  }

  /** The jobs of one class and team. */
  public record Group(String jobClass, String team) {}

  /** For each group, the age in seconds of its oldest open job with no task placed or done. */
  public Map<Group, Integer> unbegunS() {
    long now = context.timers().timeOfDayMs();
    Map<Group, Integer> oldest = new HashMap<>();
    for (JobTable.Entry entry : context.jobs().all()) {
      JobSpec spec = entry.record().spec();
      if (entry.record().status() == Status.OPEN && unstarted(spec) == spec.tasks()) {
        int ageS = (int) (Math.max(0, now - entry.record().acceptedMs()) / 1000);
        oldest.merge(new Group(spec.jobClass(), spec.team()), ageS, Math::max);
      }
    }
    return oldest;
  }

  /** The maximum over all groups of {@link #oldestUnstartedAgesS}; 0 if there is none. */
  public int oldestUnbegunS() {
    return unbegunS().values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  /** Number of jobs claimed by this controller. */
  public int claimed() {
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
    List<Message.Waiting> waiting = new ArrayList<>();
    Map<Queue.Shape, Integer> firstIndexes = new HashMap<>();
    Map<Queue.Shape, Integer> throttledTasks = new HashMap<>();
    double now = context.now();
    for (Claim claim : claims.values()) {
      int tasks = claim.unstarted();
      Quotas.Quota quota = quotas.of(claim.spec.team());
      if (quota != null) {
        tasks = Math.min(tasks, claim.allowed(quota));
      }
      if (tasks > 0 && !claim.suspect() && now >= claim.notBefore) {
        Map<String, Integer> remainingByZone = zones.left(claim, context.catalog().zones());
        if (claim.queued && remainingByZone.isEmpty()) {
          // Added below to the first equivalent job that is listed.
          throttledTasks.merge(claim.shape, tasks, Integer::sum);
        } else {
          waiting.add(new Message.Waiting(claim.id(), tasks, remainingByZone));
          firstIndexes.putIfAbsent(claim.shape, waiting.size() - 1);
        }
      }
    }
    throttledTasks.forEach(
        (shape, tasks) -> {
          Integer firstIndex = firstIndexes.get(shape);
          if (firstIndex != null) {
            Message.Waiting first = waiting.get(firstIndex);
            waiting.set(
                firstIndex, new Message.Waiting(first.job(), first.tasks() + tasks, first.zones()));
          }
        });
    Set<String> hostsWithoutView = new HashSet<>();
    for (Claim claim : claims.values()) {
      Set<String> hosts = new HashSet<>(claim.hosts());
      hosts.addAll(claim.strays.hosts());
      for (String host : hosts) {
        Room.Seen machine = room.get(host);
        // Until its worker has reported under the holder's token, the holder cannot prove by its
        // own clock that a lease has expired.
        if (machine == null || !machine.view().settled() && !machine.view().lost()) {
          hostsWithoutView.add(host);
        }
      }
    }
    return new Message.Demand(waiting, List.copyOf(hostsWithoutView));
  }
}
