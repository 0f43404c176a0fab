package stileferry.scheduling;

import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.ZoneAllowance;
import stileferry.protocol.JobSpec;

/**
 * Decides on which machines a job's tasks may run, regardless of free capacity: by machine type, zone, spot or
 * on-demand instance, the job's other tasks, and the machine's health.
 */
final class PlacementConstraints {
    /** The number of heartbeat intervals without a heartbeat after which a machine is considered unreachable. */
    private static final int UNREACHABLE_AFTER_HEARTBEAT_INTERVALS = 3;

    private final ClusterState cluster;

    PlacementConstraints(ClusterState cluster) {
        this.cluster = cluster;
    }

    /** Returns whether a task of the job may start on the machine if it fits there. */
    boolean allow(Job job, Machine machine, long now) {
        JobSpec spec = job.spec();
        return isHealthy(machine, now)
                && spec.fitsMachineType(machine.type())
                && (spec.zone() == null || spec.zone().equals(machine.zone()))
                && (spec.allowsSpot() || !machine.spot())
                && new ZoneAllowance(job).remaining(machine.zone()) > 0
                && (!job.failureHistory().failedOn(machine.name())
                        || job.failureHistory().jobAtFault());
    }

    private boolean isHealthy(Machine machine, long now) {
        return machine.schedulable()
                && machine.agent().lease().lastHeartbeatRecord() == null
                && now >= machine.instance().cordonedUntil()
                && now - machine.agent().lastHeardAt()
                        < UNREACHABLE_AFTER_HEARTBEAT_INTERVALS
                                * 1000
                                * cluster.settings().workers().heartbeatIntervalS();
    }

    /** Returns why the next task of a job is pending, as a text for operators. */
    String pendingReason(Job job, long now) {
        if (cluster.teamLimits().startableTasks(job) == 0) {
            return "its team is at its limit";
        }
        int allowed = 0;
        for (Machine machine : cluster.machines().values()) {
            allowed += machine.type() != null && allow(job, machine, now) ? 1 : 0;
        }
        return allowed == 0
                ? "no machine that it may use is up"
                : "no room on " + allowed + " machines that it may use";
    }
}
