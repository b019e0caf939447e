package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
import dev.dunefront.duty.Duties;
import dev.dunefront.duty.Duty;
import dev.dunefront.job.JobTable;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.wire.TaskId;
import java.lang.System.Logger.Level;

/** Processes the messages of other controllers that concern held machines. */
final class Inbox {
  private static final System.Logger LOG = System.getLogger(Inbox.class.getName());

  /** How long room is reserved for an accepted offer, in seconds. */
  private static final double TAKING_S = 15;

  /**
   * How long a machine that is to be returned stays closed unless the request is repeated, in
   * seconds.
   */
  private static final double RETIRE_S = 8;

  private final Settings settings;
  private final JobTable jobs;
  private final Timers timers;
  private final Duties duties;
  private final Books books;
  private final Starts starts;
  private final Preemption preemption;
  private final Reception reception;

  Inbox(
      ControllerContext context,
      Books books,
      Starts starts,
      Preemption preemption,
      Reception reception) {
    this.settings = context.settings();
    this.jobs = context.jobs();
    this.timers = context.timers();
    this.duties = context.duties();
    this.books = books;
    this.starts = starts;
    this.preemption = preemption;
    this.reception = reception;
  }

  void received(String from, Message message) {
    if (message instanceof Message.Want w) {
      Machine m = books.held(w.host());
      if (m != null) {
        JobTable.Entry job = jobs.get(w.job());
        boolean ended = job != null && Books.over(job);
        int priority = Math.max(0, Math.min(3, w.priority()));
        int rank = Math.max(0, Math.min(WantBook.RANKS - 1, w.rank()));
        m.book.park(from, w.job(), priority, rank, w.size(), ended ? 0 : w.count(), timers.now());
        books.act(m);
      }
    } else if (message instanceof Message.Decline d) {
      Machine m = books.held(d.host());
      if (m != null && m.offers.remove(d.offer()) != null) {
        m.dirty = true;
        books.act(m);
      }
    } else if (message instanceof Message.Taking t) {
      Machine m = books.held(t.host());
      if (m != null) {
        m.offers.computeIfPresent(t.offer(), (k, o) -> o.until(timers.now() + TAKING_S));
      }
    } else if (message instanceof Message.Start s) {
      starts.start(from, s);
    } else if (message instanceof Message.Probe p) {
      starts.probed(from, p);
    } else if (message instanceof Message.Stop s) {
      Machine m = books.held(s.host());
      if (m != null && !starts.outdated(s.job(), s.term())) {
        m.stop(new TaskId(s.job(), s.number()), s.attempt(), s.graceS());
        books.act(m);
      }
    } else if (message instanceof Message.Clear c) {
      Machine m = books.held(c.host());
      if (m != null && !starts.outdated(c.job(), c.term())) {
        m.clears.putIfAbsent(
            new TaskId(c.job(), c.number()), new Machine.Wish(c.attempt(), 0, timers.now()));
        books.act(m);
      }
    } else if (message instanceof Message.Preempt p) {
      Machine m = books.held(p.host());
      if (m != null) {
        preemption.stopYoung(m, p);
        books.act(m);
      }
    } else if (message instanceof Message.Blame b) {
      blamed(b);
    } else if (message instanceof Message.Unheld u) {
      if (!from.equals(settings.node())) {
        reception.released(u.host(), from);
      }
    } else if (message instanceof Message.HoldAsk a) {
      reception.asked(from, a);
    } else if (message instanceof Message.HoldSay s) {
      reception.answered(from, s);
    } else if (message instanceof Message.Retire r) {
      if (duties.admits(Duty.RENT, r.term(), from)) {
        retire(r.host());
      }
    }
  }

  /**
   * Closes an empty machine that is to be returned, so that no task is placed on it while it is
   * being deleted. It opens again by itself if the request is not repeated.
   */
  private void retire(String host) {
    Machine m = books.held(host);
    if (m != null && !m.busy() && m.unfinished().isEmpty()) {
      m.dirty |= !m.retiring(timers.now());
      m.retiringUntil = timers.now() + RETIRE_S;
      books.act(m);
    }
  }

  private void blamed(Message.Blame b) {
    Machine m = books.held(b.host());
    if (m == null || m.quarantined) {
      return;
    }
    m.blame = m.blame.by(b.job(), b.weight());
    if (m.blame.faulty()) {
      m.quarantined = true;
      m.dirty = true;
      LOG.log(
          Level.INFO, "quarantining {0}: tasks of jobs {1} failed on it", m.host, m.blame.jobs());
      books.act(m);
    }
  }
}
