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
 * Tells the controllers of held machines, each as much as it wants to hear: what proofs rest on and
 * what has become of their tasks at once, room to those that look for it, everything to who rents.
 */
final class Views {
  /** Changes of machines gather this long before the other controllers hear of them. */
  private static final double TELL_S = 0.04;

  /**
   * With more machines than these there is always a change to tell, so that the others are woken by
   * each controller every time the least pause is over. They gather in proportion, up to so many
   * times as long: what a change costs is mostly the waking.
   */
  private static final double MACHINES = 100;

  private static final double LONGEST = 3;

  /** What is young is taken for true for so long, in seconds, before it is looked at again. */
  private static final double FRESH_S = 1;

  private final JobTable jobs;
  private final Catalog catalog;
  private final Peers peers;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Map<String, Machine> held;
  private final List<Machine> toTell = new ArrayList<>();

  private final Interests interests = new Interests();

  /** All controllers, this one included. */
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

  /** What a task of the job takes, or null if the job is not known. */
  Size sizeOf(String job) {
    JobTable.Entry e = jobs.get(job);
    return e == null ? null : e.record().spec().size();
  }

  /** A controller can be reached again: it hears of every held machine. */
  void reached(String node) {
    for (Machine m : held.values()) {
      m.toldTo.remove(node);
      tell(m, List.of(node));
    }
  }

  /** A controller says how much it wants to hear; what it has missed it is told at once. */
  void interested(String node, Detail detail) {
    if (interests.declared(node, detail, timers.now())) {
      held.values().forEach(m -> catchUp(m, node, detail));
    }
  }

  /** Whether tasks that were young when the machine was last told of may not be young any more. */
  private boolean outdated(Machine m) {
    boolean showsYoung = m.latest.youngBelow(Priority.CRITICAL) > 0;
    return showsYoung && timers.now() - m.latestAt > FRESH_S;
  }

  /**
   * Tells a controller what it has missed of a machine. Tasks are never missed, and what has
   * changed just now is about to be told; so nothing is worked out anew, for this happens with
   * every job that comes to any controller.
   */
  private void catchUp(Machine m, String node, Detail detail) {
    Message.View before = m.toldTo.get(node);
    if (before == null || outdated(m)) {
      tell(m, List.of(node));
    } else if (before != m.latest && detail.differs(m.latest, before)) {
      Message.View told = before.tasks().isEmpty() ? m.latest : m.latest.withTasks(before.tasks());
      m.toldTo.put(node, told);
      peers.send(node, told);
    }
  }

  /** A controller's link is gone, and with it what it has said. */
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
   * Unfinished tasks, by priority; if a time is given only those that may give way, for they have
   * started since or lose nothing by it.
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

  /** The machine's tasks by the controllers that have to know of them. */
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

  /** Tells of changed machines shortly; changes that come together are told at once. */
  void tellSoon(Machine m) {
    if (m.telling) {
      return;
    }
    m.telling = true;
    toTell.add(m);
    if (toTell.size() == 1) {
      double longer = Math.max(1, Math.min(LONGEST, held.size() / MACHINES));
      timers.after(TELL_S * longer, () -> decisionLock.run(this::tell));
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

  /** Tells each controller of a machine if something has changed that it wants to hear. */
  private void tell(Machine m, List<String> receivers) {
    Message.View bare = view(m);
    m.latest = bare;
    m.latestAt = timers.now();
    Map<String, List<Message.TaskState>> tasks = tasksFor(m);
    List<String> withoutTasks = new ArrayList<>();
    for (String node : receivers) {
      List<Message.TaskState> its = tasks.getOrDefault(node, List.of());
      if (isNews(m, node, bare, its)) {
        Message.View told = its.isEmpty() ? bare : bare.withTasks(its);
        m.toldTo.put(node, told);
        if (its.isEmpty()) {
          withoutTasks.add(node);
        } else {
          peers.send(node, told);
        }
      }
    }
    peers.send(withoutTasks, bare);
  }

  private boolean isNews(
      Machine m, String node, Message.View now, List<Message.TaskState> itsTasks) {
    Message.View before = m.toldTo.get(node);
    return before == null
        || !itsTasks.equals(before.tasks())
        || interests.of(node, timers.now()).differs(now, before);
  }
}
