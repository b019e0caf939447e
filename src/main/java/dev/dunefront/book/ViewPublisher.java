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
 * Publishes the state of held machines to the controllers, each at the level of detail that it
 * subscribes to. Hold, session, lease and the states of a controller's own tasks are always
 * included; free room goes to controllers that look for room, and everything to the one that rents
 * machines.
 */
final class ViewPublisher {
  /** Changes are batched for this long before they are sent, in seconds. */
  private static final double BATCH_DELAY_S = 0.04;

  /**
   * With more machines than this some view has always changed, so each controller would send
   * messages after every batch delay. The delay therefore grows in proportion to the number of
   * machines, up to this factor, because most of the cost of a message lies in waking up the
   * receiver.
   */
  private static final double BATCH_SCALING_MACHINES = 100;

  private static final double MAX_BATCH_DELAY_FACTOR = 3;

  /** Maximum age of a view that shows young tasks before it is built again, in seconds. */
  private static final double MAX_YOUNG_VIEW_AGE_S = 1;

  private final JobTable jobs;
  private final MachineCatalog catalog;
  private final Peers peers;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Map<String, Machine> machines;
  private final List<Machine> changed = new ArrayList<>();

  private final ViewSubscriptions subscriptions = new ViewSubscriptions();

  /** All controllers, including this one. */
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

  /** The size of a task of the job, or null if the job is unknown. */
  Resources sizeOf(String job) {
    JobTable.Entry e = jobs.get(job);
    return e == null ? null : e.record().spec().taskResources();
  }

  /** The connection to a controller is open again. It receives the views of all held machines. */
  void peerConnected(String node) {
    for (Machine m : machines.values()) {
      m.lastViewByNode.remove(node);
      publish(m, List.of(node));
    }
  }

  /** A controller has subscribed to a level of detail. What it has missed is sent at once. */
  void subscriptionReceived(String node, ViewDetail detail) {
    if (subscriptions.subscribe(node, detail, timers.now())) {
      machines.values().forEach(m -> sendMissed(m, node, detail));
    }
  }

  /** Whether tasks that were young in the latest view may no longer be. */
  private boolean youngTasksOutdated(Machine m) {
    boolean showsYoung = m.latestView.preemptibleBelow(Priority.CRITICAL) > 0;
    return showsYoung && timers.now() - m.latestViewAt > MAX_YOUNG_VIEW_AGE_S;
  }

  /**
   * Sends a controller the changes that its former level of detail left out. Task states are sent
   * at every level, and recent changes are already scheduled, so no view is built anew: this runs
   * for every job that any controller receives.
   */
  private void sendMissed(Machine m, String node, ViewDetail detail) {
    Message.MachineView previous = m.lastViewByNode.get(node);
    if (previous == null || youngTasksOutdated(m)) {
      publish(m, List.of(node));
    } else if (previous != m.latestView && detail.hasChanged(m.latestView, previous)) {
      Message.MachineView view =
          previous.tasks().isEmpty() ? m.latestView : m.latestView.withTasks(previous.tasks());
      m.lastViewByNode.put(node, view);
      peers.send(node, view);
    }
  }

  /** The connection to a controller has closed, which ends its subscription. */
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
        m.schedulable(),
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
   * Number of unfinished tasks by priority. If {@code since} is not 0, only those that may be
   * preempted are counted: they started after that time, or lose no work.
   */
  private List<Integer> unfinishedByPriority(Machine m, double since) {
    int[] counts = new int[Priority.values().length];
    for (TaskId id : m.unfinishedTasks()) {
      JobTable.Entry e = jobs.get(id.job());
      if (since == 0
          || m.startedAt.getOrDefault(id, 0.0) > since
          || e != null && Preemption.alwaysPreemptible(e.record().spec())) {
        counts[e == null ? 0 : e.record().spec().priority().ordinal()]++;
      }
    }
    return Arrays.stream(counts).boxed().toList();
  }

  /** The states of the machine's tasks by the claimants of their jobs. */
  private Map<String, List<Message.TaskStatus>> tasksByClaimant(Machine m) {
    Map<String, List<Message.TaskStatus>> byNode = new HashMap<>();
    for (Message.TaskStatus t : m.taskStates()) {
      JobTable.Entry e = jobs.get(t.job());
      String claimant = e == null ? null : e.record().claimant();
      if (claimant != null) {
        byNode.computeIfAbsent(Membership.nodeOf(claimant), n -> new ArrayList<>()).add(t);
      }
    }
    return byNode;
  }

  /**
   * Schedules the machine's view to be published. Changes within the batch delay are sent together.
   */
  void schedulePublish(Machine m) {
    if (m.publishScheduled) {
      return;
    }
    m.publishScheduled = true;
    changed.add(m);
    if (changed.size() == 1) {
      double factor =
          Math.max(1, Math.min(MAX_BATCH_DELAY_FACTOR, machines.size() / BATCH_SCALING_MACHINES));
      timers.after(BATCH_DELAY_S * factor, () -> decisionLock.run(this::publish));
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

  /**
   * Sends the machine's view to each controller for which it has changed at its level of detail.
   * Nothing is sent until the worker has confirmed its session: the report that started the hold
   * may be a late duplicate from before a restart, or from a machine that no longer exists.
   */
  private void publish(Machine m, List<String> receivers) {
    if (m.session == 0) {
      return;
    }
    Message.MachineView base = buildView(m);
    m.latestView = base;
    m.latestViewAt = timers.now();
    Map<String, List<Message.TaskStatus>> tasks = tasksByClaimant(m);
    List<String> withoutTasks = new ArrayList<>();
    for (String node : receivers) {
      List<Message.TaskStatus> ownTasks = tasks.getOrDefault(node, List.of());
      if (needsUpdate(m, node, base, ownTasks)) {
        Message.MachineView view = ownTasks.isEmpty() ? base : base.withTasks(ownTasks);
        m.lastViewByNode.put(node, view);
        if (ownTasks.isEmpty()) {
          withoutTasks.add(node);
        } else {
          peers.send(node, view);
        }
      }
    }
    peers.send(withoutTasks, base);
  }

  private boolean needsUpdate(
      Machine m, String node, Message.MachineView view, List<Message.TaskStatus> ownTasks) {
    Message.MachineView previous = m.lastViewByNode.get(node);
    return previous == null
        || !ownTasks.equals(previous.tasks())
        || subscriptions.detailFor(node, timers.now()).hasChanged(view, previous);
  }
}
