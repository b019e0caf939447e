package dev.dunefront.book;

import dev.dunefront.claim.Desk;
import dev.dunefront.fleet.Catalog;
import dev.dunefront.job.JobTable;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import dev.dunefront.wire.Report;
import dev.dunefront.wire.Size;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Which tasks give way to urgent ones that find no room. */
final class Preemption {
  private static final System.Logger LOG = System.getLogger(Preemption.class.getName());

  /** Only tasks that have run for less than this give way: what they lose is small. */
  static final double YOUNG_S = 20;

  /** And only such as are at most this many times as large as what they give way to. */
  private static final int MUCH_LARGER = 2;

  private final JobTable jobs;
  private final Catalog catalog;
  private final Timers timers;
  private final Views views;

  Preemption(Desk desk, Views views) {
    this.jobs = desk.jobs();
    this.catalog = desk.catalog();
    this.timers = desk.timers();
    this.views = views;
  }

  /** Stops the youngest tasks of lower priority, for they lose least. */
  void stopYoung(Machine m, Message.Preempt p) {
    MachineType type = catalog.type(m.typeName);
    if (type == null || !m.open()) {
      return;
    }
    double now = timers.now();
    Size room = m.free(type, views::sizeOf);
    List<Report.Task> victims = new ArrayList<>();
    for (Report.Task t : m.tasks.values()) {
      JobTable.Entry e = jobs.get(t.id().job());
      if (e == null || t.exited()) {
        continue;
      }
      JobSpec spec = e.record().spec();
      if (m.stops.containsKey(t.id())) {
        room = room.plus(spec.size());
      } else if (spec.priority().ordinal() > p.priority()
          && !spec.service()
          // Once is enough: what was begun anew goes on.
          && t.attempt() == 1
          && spec.size().cpu() <= MUCH_LARGER * p.size().cpu()
          && now - m.startedAt.getOrDefault(t.id(), Double.NEGATIVE_INFINITY) < YOUNG_S) {
        victims.add(t);
      }
    }
    victims.sort(Comparator.comparingDouble(t -> -m.startedAt.get(t.id())));
    for (Report.Task t : victims) {
      if (p.size().timesIn(room) >= p.count()) {
        break;
      }
      room = room.plus(views.sizeOf(t.id().job()));
      LOG.log(Level.DEBUG, "{0} on {1} gives way to a higher priority", t.id(), m.host);
      m.stop(t.id(), t.attempt(), 0);
    }
  }
}
