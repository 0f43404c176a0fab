package stileferry.scheduling;

import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.protocol.JobSpec;

/**
 * Where a job's tasks may run, whatever is free there: machine type, zone, spot or ordinary instance, the job's other
 * tasks, and the machine's health.
 */
final class PlacementConstraints {
    /** A machine that has not been heard from for so many report intervals is taken to be unreachable. */
    private static final int SILENT_REPORTS = 3;

    private final ClusterState cluster;

    PlacementConstraints(ClusterState cluster) {
        this.cluster = cluster;
    }

    /** Whether a task of the job may start on the machine if it fits there. */
    boolean allow(Job job, Machine machine, long now) {
        JobSpec spec = job.spec();
        return healthy(machine, now)
                && spec.fitsMachineType(machine.type())
                && (spec.zone() == null || spec.zone().equals(machine.zone()))
                && (spec.allowsSpot() || !machine.spot())
                && allowZone(job, machine.zone())
                && (!job.failures().failedOn(machine.name()) || job.failures().jobAtFault());
    }

    private boolean healthy(Machine machine, long now) {
        return machine.schedulable()
                && machine.agent().lastHeartbeatRecord() == null
                && now >= machine.instance().cordonedUntil()
                && now - machine.agent().lastHeardAt()
                        < SILENT_REPORTS * 1000 * cluster.settings().workers().heartbeatIntervalS();
    }

    /** Whether the job's zone rules allow one more task in a zone beside all that may be on machines. */
    private static boolean allowZone(Job job, String zone) {
        if (job.spec().oneZone()) {
            for (String used : job.zones()) {
                if (!used.equals(zone)) {
                    return false;
                }
            }
        }
        // machines whose zone is not known yet (after a failover) may be in this one
        int here = job.tasksInZone(zone) + job.tasksInZone("");
        return !job.spec().spreadAcrossZones() || here < (job.spec().taskCount() + 1) / 2;
    }

    /** Why the next task of a job is pending, in words for operators. */
    String pendingReason(Job job, long now) {
        if (!cluster.withinTeamLimit(job)) {
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
