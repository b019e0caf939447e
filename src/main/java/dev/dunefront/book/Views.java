package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.fleet.Catalog;
import dev.dunefront.job.JobTable;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Detail;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Membership;
import dev.dunefront.wire.Priority;
import dev.dunefront.wire.Size;
import dev.dunefront.wire.TaskId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Publishes the state of held machines to the controllers, each at the level of detail that it
 * subscribes to: hold, session, lease and the states of its own tasks always; free room to
 * controllers that look for room; everything to the one that rents machines.
 */
final class Views {
  /** Changes are batched for this long before they are sent, in seconds. */
  private static final double TELL_S = 0.04;

  /**
   * With more machines than this some view has always changed, so each controller would send
   * messages after every batch delay. The delay therefore grows in proportion to the number of
   * machines, up to this factor, because most of the cost of a message lies in waking up the
   * receiver.
   */
  private static final double MACHINES = 100;

  private static final double LONGEST = 3;

  /** Maximum age of a view that shows young tasks before it is built again, in seconds. */
  private static final double FRESH_S = 1;

  private final JobTable jobs;
  private final Catalog catalog;
  private final Peers peers;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Map<String, Machine> held;
  private final List<Machine> toTell = new ArrayList<>();

  private final Interests interests = new Interests();

  /** All controllers, including this one. */
  private final List<String> nodes = new ArrayList<>();

  Views(ControllerContext context, Map<String, Machine> held) {
    this.jobs = context.jobs();
    this.catalog = context.catalog();
    this.peers = context.peers();
    this.timers = context.timers();
    this.decisionLock = context.decisionLock();
    this.held = held;
    nodes.add(context.settings().node());
    context.settings().peers().forEach(p -> nodes.add(p.node()));
  }

  /** The size of a task of the job, or null if the job is unknown. */
  Size sizeOf(String job) {
    JobTable.Entry e = jobs.get(job);
    return e == null ? null : e.record().spec().size();
  }

  /** The connection to a controller is open again. It receives the views of all held machines. */
  void reached(String node) {
    for (Machine m : held.values()) {
      m.toldTo.remove(node);
      tell(m, List.of(node));
    }
  }

  /** A controller has subscribed to a level of detail. What it has missed is sent at once. */
  void interested(String node, Detail detail) {
    if (interests.declared(node, detail, timers.now())) {
      held.values().forEach(m -> catchUp(m, node, detail));
    }
  }

  /** Whether tasks that were young in the latest view may no longer be. */
  private boolean outdated(Machine m) {
    boolean showsYoung = m.latest.youngBelow(Priority.CRITICAL) > 0;
    return showsYoung && timers.now() - m.latestAt > FRESH_S;
  }

  /**
   * Sends a controller the changes that its former level of detail left out. Task states are sent
   * at every level, and recent changes are already scheduled, so no view is built anew: this runs
   * for every job that any controller receives.
   */
  private void catchUp(Machine m, String node, Detail detail) {
    Message.View before = m.toldTo.get(node);
    if (before == null || outdated(m)) {
      tell(m, List.of(node));
    } else if (before != m.latest && detail.differs(m.latest, before)) {
      Message.View view = before.tasks().isEmpty() ? m.latest : m.latest.withTasks(before.tasks());
      m.toldTo.put(node, view);
      peers.send(node, view);
    }
  }

  /** The connection to a controller has closed, which ends its subscription. */
  void gone(String node) {
    interests.gone(node);
  }

  private Message.View view(Machine m) {
    return new Message.View(
        m.host,
        m.typeName,
        m.zone,
        m.spot,
        m.token,
        m.holdStamp,
        m.session,
        m.settled && !m.doubt && !m.raising,
        m.lost,
        m.open(),
        m.quarantined,
        m.retiring(timers.now()),
        m.responsiveness.deaf(),
        m.idleSince(timers.timeOfDayMs()),
        m.free(catalog.type(m.typeName), this::sizeOf),
        List.copyOf(m.images),
        unfinished(m, 0),
        unfinished(m, timers.now() - Preemption.YOUNG_S),
        List.of());
  }

  /**
   * Number of unfinished tasks by priority. If {@code since} is not 0, only those that may be
   * preempted are counted: they started after that time, or lose no work.
   */
  private List<Integer> unfinished(Machine m, double since) {
    int[] n = new int[Priority.values().length];
    for (TaskId id : m.unfinished()) {
      JobTable.Entry e = jobs.get(id.job());
      if (since == 0
          || m.startedAt.getOrDefault(id, 0.0) > since
          || e != null && Preemption.yields(e.record().spec())) {
        n[e == null ? 0 : e.record().spec().priority().ordinal()]++;
      }
    }
    return Arrays.stream(n).boxed().toList();
  }

  /** The states of the machine's tasks by the claimants of their jobs. */
  private Map<String, List<Message.TaskState>> tasksFor(Machine m) {
    Map<String, List<Message.TaskState>> byNode = new HashMap<>();
    for (Message.TaskState t : m.states()) {
      JobTable.Entry e = jobs.get(t.job());
      String claim = e == null ? null : e.record().claim();
      if (claim != null) {
        byNode.computeIfAbsent(Membership.nodeOf(claim), n -> new ArrayList<>()).add(t);
      }
    }
    return byNode;
  }

  /**
   * Schedules the machine's view to be published. Changes within the batch delay are sent together.
   */
  void tellSoon(Machine m) {
    if (m.telling) {
      return;
    }
    m.telling = true;
    toTell.add(m);
    if (toTell.size() == 1) {
      double factor = Math.max(1, Math.min(LONGEST, held.size() / MACHINES));
      timers.after(TELL_S * factor, () -> decisionLock.run(this::tell));
    }
  }

  private void tell() {
    List<Machine> all = List.copyOf(toTell);
    toTell.clear();
    for (Machine m : all) {
      m.telling = false;
      if (held.get(m.host) == m) {
        tell(m, nodes);
      }
    }
  }

  /**
   * Sends the machine's view to each controller for which it has changed at its level of detail.
   */
  private void tell(Machine m, List<String> receivers) {
    Message.View base = view(m);
    m.latest = base;
    m.latestAt = timers.now();
    Map<String, List<Message.TaskState>> tasks = tasksFor(m);
    List<String> withoutTasks = new ArrayList<>();
    for (String node : receivers) {
      List<Message.TaskState> ownTasks = tasks.getOrDefault(node, List.of());
      if (isNews(m, node, base, ownTasks)) {
        Message.View view = ownTasks.isEmpty() ? base : base.withTasks(ownTasks);
        m.toldTo.put(node, view);
        if (ownTasks.isEmpty()) {
          withoutTasks.add(node);
        } else {
          peers.send(node, view);
        }
      }
    }
    peers.send(withoutTasks, base);
  }

  private boolean isNews(
      Machine m, String node, Message.View now, List<Message.TaskState> ownTasks) {
    Message.View before = m.toldTo.get(node);
    return before == null
        || !ownTasks.equals(before.tasks())
        || interests.of(node, timers.now()).differs(now, before);
  }
}
