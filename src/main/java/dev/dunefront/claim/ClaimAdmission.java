package dev.dunefront.claim;

import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.job.JobTable;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import java.util.Collection;

/**
 * Limits how much work a controller claims: its share of the fitting capacity plus some headroom.
 */
final class ClaimAdmission {
  private final ControllerContext context;
  private final MachineTable machineTable;

  ClaimAdmission(ControllerContext context, MachineTable machineTable) {
    this.context = context;
    this.machineTable = machineTable;
  }

  /**
   * Whether a job may be claimed in addition to the present claims. Unstarted work is measured as a
   * fraction of the capacity that fits it, because task sizes differ: if tasks were merely counted,
   * a few dozen small ones would keep a large one unclaimed that needs different machines.
   */
  boolean admits(JobSpec spec, Collection<Claim> claims) {
    if (context.membership().ownIncarnation() == null) {
      return false;
    }
    boolean anyUnstarted = false;
    double load = 0;
    for (Claim claim : claims) {
      int unstarted = claim.unstarted();
      anyUnstarted |= unstarted > 0;
      // Only work of the same or a higher priority counts, as it is served first anyway, and only
      // if it wants the same machines: what waits for another zone takes no capacity here.
      if (unstarted > 0
          && claim.spec.priority().compareTo(spec.priority()) <= 0
          && shareMachines(claim.spec, spec)) {
        load += (double) unstarted / Math.max(1, fittingTasks(claim.spec));
      }
    }
    if (!anyUnstarted) {
      return true;
    }
    long fitting = fittingTasks(spec);
    int controllers = Math.max(1, context.membership().liveNodes().size());
    long share = (fitting + controllers - 1) / controllers + context.tunables().headroom();
    return load * fitting + Math.min(spec.tasks(), share) <= share;
  }

  /**
   * Whether a newly submitted job may be claimed immediately: not while open jobs of the same or a
   * higher priority are unclaimed, as these go first.
   */
  boolean admitsAtOnce(JobSpec spec, Collection<Claim> claims) {
    for (JobTable.Entry entry : context.jobs().all()) {
      if (entry.record().claimant() == null
          && entry.record().status() == Status.OPEN
          && entry.record().spec().priority().compareTo(spec.priority()) <= 0) {
        return false;
      }
    }
    return admits(spec, claims);
  }

  /** Whether any known machine may run tasks of both jobs. */
  private boolean shareMachines(JobSpec one, JobSpec other) {
    for (MachineTable.Kind kind : machineTable.kinds()) {
      if (machineTable.count(kind) > 0 && fitting(one, kind) > 0 && fitting(other, kind) > 0) {
        return true;
      }
    }
    return false;
  }

  /** How many tasks of the job would fit on all known machines if they were empty. */
  private long fittingTasks(JobSpec spec) {
    long fitting = 0;
    for (MachineTable.Kind kind : machineTable.kinds()) {
      fitting += machineTable.count(kind) * fitting(spec, kind);
    }
    return fitting;
  }

  /** How many tasks of the job may run on an empty machine of this kind. */
  private long fitting(JobSpec spec, MachineTable.Kind kind) {
    MachineType type = context.catalog().type(kind.type());
    return type != null && spec.allows(kind.type(), kind.zone(), kind.spot())
        ? spec.taskResources().countFittingIn(type.resources())
        : 0;
  }
}
