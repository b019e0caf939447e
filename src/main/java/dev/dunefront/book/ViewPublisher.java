package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.fleet.MachineCatalog;
import dev.dunefront.job.JobTable;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.peer.ViewDetail;
import dev.dunefront.store.Membership;
import dev.dunefront.wire.Priority;
import dev.dunefront.wire.Resources;
import dev.dunefront.wire.TaskId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells the controllers of held machines, each as much as it wants to hear: what proofs rest on and
 * what has become of their tasks at once, room to those that look for it, everything to who rents.
 */
final class ViewPublisher {
  /** Changes of machines gather this long before the other controllers hear of them. */
  private static final double BATCH_DELAY_S = 0.04;

  /**
   * With more machines than these there is always a change to tell, so that the others are woken by
   * each controller every time the least pause is over. They gather in proportion, up to so many
   * times as long: what a change costs is mostly the waking.
   */
  private static final double BATCH_SCALING_MACHINES = 100;

  private static final double MAX_BATCH_DELAY_FACTOR = 3;

  /** What is young is taken for true for so long, in seconds, before it is looked at again. */
  private static final double MAX_YOUNG_VIEW_AGE_S = 1;

  private final JobTable jobs;
  private final MachineCatalog catalog;
  private final Peers peers;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Map<String, Machine> machines;
  private final List<Machine> changed = new ArrayList<>();

  private final ViewSubscriptions subscriptions = new ViewSubscriptions();

  /** All controllers, this one included. */
  private final List<String> allNodes = new ArrayList<>();

  ViewPublisher(ControllerContext context, Map<String, Machine> held) {
    this.jobs = context.jobs();
    this.catalog = context.catalog();
    this.peers = context.peers();
    this.timers = context.timers();
    this.decisionLock = context.decisionLock();
    this.machines = held;
    allNodes.add(context.settings().node());
    context.settings().peers().forEach(p -> allNodes.add(p.node()));
  }

  /** What a task of the job takes, or null if the job is not known. */
  Resources sizeOf(String job) {
    JobTable.Entry e = jobs.get(job);
    return e == null ? null : e.record().spec().taskResources();
  }

  /** A controller can be reached again: it hears of every held machine. */
  void peerConnected(String node) {
    for (Machine m : machines.values()) {
      m.lastViewByNode.remove(node);
      publish(m, List.of(node));
    }
  }

  /** A controller says how much it wants to hear; what it has missed it is told at once. */
  void subscriptionReceived(String node, ViewDetail detail) {
    if (subscriptions.subscribe(node, detail, timers.now())) {
      machines.values().forEach(m -> sendMissed(m, node, detail));
    }
  }

  /** Whether tasks that were young when the machine was last told of may not be young any more. */
  private boolean youngTasksOutdated(Machine m) {
    boolean showsYoung = m.latestView.preemptibleBelow(Priority.CRITICAL) > 0;
    return showsYoung && timers.now() - m.latestViewAt > MAX_YOUNG_VIEW_AGE_S;
  }

  /**
   * Tells a controller what it has missed of a machine. Tasks are never missed, and what has
   * changed just now is about to be told; so nothing is worked out anew, for this happens with
   * every job that comes to any controller.
   */
  private void sendMissed(Machine m, String node, ViewDetail detail) {
    Message.MachineView before = m.lastViewByNode.get(node);
    if (before == null || youngTasksOutdated(m)) {
      publish(m, List.of(node));
    } else if (before != m.latestView && detail.hasChanged(m.latestView, before)) {
      Message.MachineView told =
          before.tasks().isEmpty() ? m.latestView : m.latestView.withTasks(before.tasks());
      m.lastViewByNode.put(node, told);
      peers.send(node, told);
    }
  }

  /** A controller's link is gone, and with it what it has said. */
  void peerDisconnected(String node) {
    subscriptions.remove(node);
  }

  private Message.MachineView buildView(Machine m) {
    return new Message.MachineView(
        m.host,
        m.typeName,
        m.zone,
        m.spot,
        m.token,
        m.holdRevision,
        m.session,
        m.tokenAcknowledged && !m.commandOutcomeUnknown && !m.raisingToken,
        m.leaseExpired,
        m.open(),
        m.quarantined,
        m.retiring(timers.now()),
        m.responsiveness.unresponsive(),
        m.idleSince(timers.wallClockMs()),
        m.freeRoom(catalog.type(m.typeName), this::sizeOf),
        List.copyOf(m.cachedImages),
        unfinishedByPriority(m, 0),
        unfinishedByPriority(m, timers.now() - Preemption.MAX_PREEMPTIBLE_RUNTIME_S),
        List.of());
  }

  /**
   * Unfinished tasks, by priority; if a time is given only those that may give way, for they have
   * started since or lose nothing by it.
   */
  private List<Integer> unfinishedByPriority(Machine m, double since) {
    int[] n = new int[Priority.values().length];
    for (TaskId id : m.unfinishedTasks()) {
      JobTable.Entry e = jobs.get(id.job());
      if (since == 0
          || m.startedAt.getOrDefault(id, 0.0) > since
          || e != null && Preemption.alwaysPreemptible(e.record().spec())) {
        n[e == null ? 0 : e.record().spec().priority().ordinal()]++;
      }
    }
    return Arrays.stream(n).boxed().toList();
  }

  /** The machine's tasks by the controllers that have to know of them. */
  private Map<String, List<Message.TaskStatus>> tasksByClaimant(Machine m) {
    Map<String, List<Message.TaskStatus>> byNode = new HashMap<>();
    for (Message.TaskStatus t : m.taskStates()) {
      JobTable.Entry e = jobs.get(t.job());
      String claim = e == null ? null : e.record().claimant();
      if (claim != null) {
        byNode.computeIfAbsent(Membership.nodeOf(claim), n -> new ArrayList<>()).add(t);
      }
    }
    return byNode;
  }

  /** Tells of changed machines shortly; changes that come together are told at once. */
  void schedulePublish(Machine m) {
    if (m.publishScheduled) {
      return;
    }
    m.publishScheduled = true;
    changed.add(m);
    if (changed.size() == 1) {
      double longer =
          Math.max(1, Math.min(MAX_BATCH_DELAY_FACTOR, machines.size() / BATCH_SCALING_MACHINES));
      timers.after(BATCH_DELAY_S * longer, () -> decisionLock.run(this::publish));
    }
  }

  private void publish() {
    List<Machine> all = List.copyOf(changed);
    changed.clear();
    for (Machine m : all) {
      m.publishScheduled = false;
      if (machines.get(m.host) == m) {
        publish(m, allNodes);
      }
    }
  }

  /** Tells each controller of a machine if something has changed that it wants to hear. */
  private void publish(Machine m, List<String> receivers) {
    Message.MachineView bare = buildView(m);
    m.latestView = bare;
    m.latestViewAt = timers.now();
    Map<String, List<Message.TaskStatus>> tasks = tasksByClaimant(m);
    List<String> withoutTasks = new ArrayList<>();
    for (String node : receivers) {
      List<Message.TaskStatus> its = tasks.getOrDefault(node, List.of());
      if (needsUpdate(m, node, bare, its)) {
        Message.MachineView told = its.isEmpty() ? bare : bare.withTasks(its);
        m.lastViewByNode.put(node, told);
        if (its.isEmpty()) {
          withoutTasks.add(node);
        } else {
          peers.send(node, told);
        }
      }
    }
    peers.send(withoutTasks, bare);
  }

  private boolean needsUpdate(
      Machine m, String node, Message.MachineView now, List<Message.TaskStatus> itsTasks) {
    Message.MachineView before = m.lastViewByNode.get(node);
    return before == null
        || !itsTasks.equals(before.tasks())
        || subscriptions.detailFor(node, timers.now()).hasChanged(now, before);
  }
}
