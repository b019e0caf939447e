package dev.dunefront.claim;

import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.job.JobTable;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import java.util.Collection;

/** How much a controller claims: its part of the room that fits, and a little ahead. */
final class ClaimAdmission {
  private final ControllerContext context;
  private final MachineTable machineTable;

  ClaimAdmission(ControllerContext context, MachineTable room) {
    this.context = context;
    this.machineTable = room;
  }

  /**
   * Whether a job may be claimed beside what is claimed already. Unstarted work is measured as a
   * part of all the room that fits it, for jobs differ in size: were tasks counted alone, a few
   * dozen small ones would keep a large one unclaimed that waits for other machines.
   */
  boolean admits(JobSpec spec, Collection<Claim> claims) {
    if (context.membership().ownIncarnation() == null) {
      return false;
    }
    boolean any = false;
    double load = 0;
    for (Claim c : claims) {
      int unstarted = c.unstarted();
      any |= unstarted > 0;
      // A job waits only behind work that would be dealt before it anyway.
      if (unstarted > 0 && c.spec.priority().compareTo(spec.priority()) <= 0) {
        load += (double) unstarted / Math.max(1, fittingTasks(c.spec));
      }
    }
    if (!any) {
      return true;
    }
    long fitting = fittingTasks(spec);
    int controllers = Math.max(1, context.membership().liveNodes().size());
    long share = (fitting + controllers - 1) / controllers + context.tunables().headroom();
    return load * fitting + Math.min(spec.tasks(), share) <= share;
  }

  /**
   * Whether a job that has just come may be claimed at once: jobs of its priority that came before
   * it and wait unclaimed for room go first.
   */
  boolean admitsAtOnce(JobSpec spec, Collection<Claim> claims) {
    for (JobTable.Entry e : context.jobs().all()) {
      if (e.record().claimant() == null
          && e.record().status() == Status.OPEN
          && e.record().spec().priority().compareTo(spec.priority()) <= 0) {
        return false;
      }
    }
    return admits(spec, claims);
  }

  /** How many tasks of the job the machines could hold if they were empty. */
  private long fittingTasks(JobSpec spec) {
    long fitting = 0;
    for (MachineTable.Kind k : machineTable.kinds()) {
      MachineType t = context.catalog().type(k.type());
      if (t != null && spec.allows(k.type(), k.zone(), k.spot())) {
        fitting +=
            (long) machineTable.count(k) * spec.taskResources().countFittingIn(t.resources());
      }
    }
    return fitting;
  }
}
