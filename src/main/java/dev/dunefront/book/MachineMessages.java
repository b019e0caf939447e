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
final class MachineMessages {
  private static final System.Logger LOG = System.getLogger(MachineMessages.class.getName());

  /** How long room is reserved for an accepted offer, in seconds. */
  private static final double ACCEPTED_OFFER_TTL_S = 15;

  /**
   * How long a machine that is to be returned stays closed unless the request is repeated, in
   * seconds.
   */
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
      HeldMachines heldMachines,
      StartRequests startRequests,
      Preemption preemption,
      HoldAcquisition holdAcquisition) {
    this.settings = context.settings();
    this.jobs = context.jobs();
    this.timers = context.timers();
    this.duties = context.duties();
    this.heldMachines = heldMachines;
    this.startRequests = startRequests;
    this.preemption = preemption;
    this.holdAcquisition = holdAcquisition;
  }

  void messageReceived(String from, Message message) {
    if (message instanceof Message.Want w) {
      Machine m = heldMachines.get(w.host());
      if (m != null) {
        JobTable.Entry job = jobs.get(w.job());
        boolean ended = job != null && HeldMachines.jobEnded(job);
        int priority = Math.max(0, Math.min(3, w.priority()));
        int rank = Math.max(0, Math.min(WantBook.RANKS - 1, w.rank()));
        m.book.put(from, w.job(), priority, rank, w.size(), ended ? 0 : w.count(), timers.now());
        heldMachines.reconcile(m);
      }
    } else if (message instanceof Message.DeclineOffer d) {
      Machine m = heldMachines.get(d.host());
      if (m != null && m.offers.remove(d.offerId()) != null) {
        m.viewChanged = true;
        heldMachines.reconcile(m);
      }
    } else if (message instanceof Message.ReserveOffer t) {
      Machine m = heldMachines.get(t.host());
      if (m != null) {
        m.offers.computeIfPresent(
            t.offerId(), (k, o) -> o.expiresAt(timers.now() + ACCEPTED_OFFER_TTL_S));
      }
    } else if (message instanceof Message.StartTask s) {
      startRequests.start(from, s);
    } else if (message instanceof Message.AttemptQuery p) {
      startRequests.attemptQueryReceived(from, p);
    } else if (message instanceof Message.StopTask s) {
      Machine m = heldMachines.get(s.host());
      if (m != null && !startRequests.claimOutdated(s.job(), s.term())) {
        m.requestStop(new TaskId(s.job(), s.number()), s.attempt(), s.graceS());
        heldMachines.reconcile(m);
      }
    } else if (message instanceof Message.ClearTask c) {
      Machine m = heldMachines.get(c.host());
      if (m != null && !startRequests.claimOutdated(c.job(), c.term())) {
        m.pendingClears.putIfAbsent(
            new TaskId(c.job(), c.number()),
            new Machine.RepeatedCommand(c.attempt(), 0, timers.now()));
        heldMachines.reconcile(m);
      }
    } else if (message instanceof Message.PreemptTasks p) {
      Machine m = heldMachines.get(p.host());
      if (m != null) {
        preemption.preempt(m, p);
        heldMachines.reconcile(m);
      }
    } else if (message instanceof Message.FailureReport b) {
      failureReported(b);
    } else if (message instanceof Message.HoldReleased u) {
      if (!from.equals(settings.node())) {
        holdAcquisition.holderReleased(u.host(), from);
      }
    } else if (message instanceof Message.HoldQuery a) {
      holdAcquisition.holdQueryReceived(from, a);
    } else if (message instanceof Message.HoldStatus s) {
      holdAcquisition.holdStatusReceived(from, s);
    } else if (message instanceof Message.RetireMachine r) {
      if (duties.accepts(Duty.RENT, r.term(), from)) {
        closeForReturn(r.host());
      }
    }
  }

  /**
   * Closes an empty machine that is to be returned, so that no task is placed on it while it is
   * being deleted. It opens again by itself if the request is not repeated.
   */
  private void closeForReturn(String host) {
    Machine m = heldMachines.get(host);
    if (m != null && !m.startsInProgress() && m.unfinishedTasks().isEmpty()) {
      m.viewChanged |= !m.retiring(timers.now());
      m.retiringUntil = timers.now() + RETIRE_TTL_S;
      heldMachines.reconcile(m);
    }
  }

  private void failureReported(Message.FailureReport report) {
    Machine m = heldMachines.get(report.host());
    if (m == null || m.quarantined) {
      return;
    }
    m.failureScore = m.failureScore.withFailure(report.job(), report.weight());
    if (m.failureScore.faulty()) {
      m.quarantined = true;
      m.viewChanged = true;
      LOG.log(
          Level.INFO,
          "quarantining {0}: tasks of jobs {1} failed on it",
          m.host,
          m.failureScore.failedJobs());
      heldMachines.reconcile(m);
    }
  }
}
