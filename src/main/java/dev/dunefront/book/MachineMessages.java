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

/** What other controllers say that concerns held machines. */
final class MachineMessages {
  private static final System.Logger LOG = System.getLogger(MachineMessages.class.getName());

  /** How long room is kept for an offer that is being taken, in seconds. */
  private static final double ACCEPTED_OFFER_TTL_S = 15;

  /** How long a machine that is to be returned stays closed without being told so again. */
  private static final double RETIRE_TTL_S = 8;

  private final Settings settings;
  private final JobTable jobs;
  private final Timers timers;
  private final Duties duties;
  private final HeldMachines heldMachines;
  private final StartRequests startRequests;
  private final Preemption preemption;
  private final HoldAcquisition holdAcquisition;

  MachineMessages(
      ControllerContext context,
      HeldMachines books,
      StartRequests starts,
      Preemption preemption,
      HoldAcquisition reception) {
    this.settings = context.settings();
    this.jobs = context.jobs();
    this.timers = context.timers();
    this.duties = context.duties();
    this.heldMachines = books;
    this.startRequests = starts;
    this.preemption = preemption;
    this.holdAcquisition = reception;
  }

  void messageReceived(String from, Message message) {
    if (message instanceof Message.Want w) {
      Machine m = heldMachines.held(w.host());
      if (m != null) {
        JobTable.Entry job = jobs.get(w.job());
        boolean over = job != null && HeldMachines.jobEnded(job);
        int priority = Math.max(0, Math.min(3, w.priority()));
        int rank = Math.max(0, Math.min(WantBook.RANKS - 1, w.rank()));
        m.book.put(from, w.job(), priority, rank, w.size(), over ? 0 : w.count(), timers.now());
        heldMachines.reconcile(m);
      }
    } else if (message instanceof Message.DeclineOffer d) {
      Machine m = heldMachines.held(d.host());
      if (m != null && m.offers.remove(d.offerId()) != null) {
        m.viewChanged = true;
        heldMachines.reconcile(m);
      }
    } else if (message instanceof Message.ReserveOffer t) {
      Machine m = heldMachines.held(t.host());
      if (m != null) {
        m.offers.computeIfPresent(
            t.offerId(), (k, o) -> o.expiresAt(timers.now() + ACCEPTED_OFFER_TTL_S));
      }
    } else if (message instanceof Message.StartTask s) {
      startRequests.start(from, s);
    } else if (message instanceof Message.AttemptQuery p) {
      startRequests.probeReceived(from, p);
    } else if (message instanceof Message.StopTask s) {
      Machine m = heldMachines.held(s.host());
      if (m != null && !startRequests.claimOutdated(s.job(), s.term())) {
        m.requestStop(new TaskId(s.job(), s.number()), s.attempt(), s.graceS());
        heldMachines.reconcile(m);
      }
    } else if (message instanceof Message.ClearTask c) {
      Machine m = heldMachines.held(c.host());
      if (m != null && !startRequests.claimOutdated(c.job(), c.term())) {
        m.pendingClears.putIfAbsent(
            new TaskId(c.job(), c.number()),
            new Machine.RepeatedCommand(c.attempt(), 0, timers.now()));
        heldMachines.reconcile(m);
      }
    } else if (message instanceof Message.Preempt p) {
      Machine m = heldMachines.held(p.host());
      if (m != null) {
        preemption.preempt(m, p);
        heldMachines.reconcile(m);
      }
    } else if (message instanceof Message.FailureReport b) {
      failureReported(b);
    } else if (message instanceof Message.HoldReleased u) {
      if (!from.equals(settings.node())) {
        holdAcquisition.released(u.host(), from);
      }
    } else if (message instanceof Message.HoldQuery a) {
      holdAcquisition.holdQueryReceived(from, a);
    } else if (message instanceof Message.HoldStatus s) {
      holdAcquisition.holdReplyReceived(from, s);
    } else if (message instanceof Message.RetireMachine r) {
      if (duties.accepts(Duty.RENT, r.term(), from)) {
        closeForReturn(r.host());
      }
    }
  }

  /**
   * Closes an empty machine that is to be returned, so that no placement meets its deletion. If it
   * is not returned after all, it opens again by itself.
   */
  private void closeForReturn(String host) {
    Machine m = heldMachines.held(host);
    if (m != null && !m.startsInProgress() && m.unfinishedTasks().isEmpty()) {
      m.viewChanged |= !m.retiring(timers.now());
      m.retiringUntil = timers.now() + RETIRE_TTL_S;
      heldMachines.reconcile(m);
    }
  }

  private void failureReported(Message.FailureReport b) {
    Machine m = heldMachines.held(b.host());
    if (m == null || m.quarantined) {
      return;
    }
    m.failureScore = m.failureScore.withFailure(b.job(), b.weight());
    if (m.failureScore.faulty()) {
      m.quarantined = true;
      m.viewChanged = true;
      LOG.log(
          Level.INFO,
          "{0} is put in quarantine: {1} fail on it",
          m.host,
          m.failureScore.failedJobs());
      heldMachines.reconcile(m);
    }
  }
}
