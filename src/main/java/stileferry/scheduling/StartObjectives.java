package stileferry.scheduling;

import stileferry.cluster.Job;
import stileferry.protocol.MachineType;
import stileferry.protocol.Settings;

/** How soon the tasks of a job shall start by the service-level objectives, and whether an image pull misses that. */
final class StartObjectives {
    /** The kind of objective that says how soon tasks of a job class shall start. */
    private static final String WAIT = "wait";

    /** The kind of objective that says how soon work within a quota shall start. */
    private static final String GUARANTEE = "guarantee";

    /** A gang waits for the slowest of its image pulls, and two pulls at a time take twice as long. */
    private static final double GANG_PULL_FACTOR = 2;

    private final Settings settings;

    StartObjectives(Settings settings) {
        this.settings = settings;
    }

    /** Seconds within which tasks of this job shall start; infinite without an objective for its class. */
    double startWithinS(Job job) {
        for (Settings.ServiceLevelObjective objective : settings.objectives()) {
            if (objective.kind().equals(WAIT)
                    && objective.jobClass().equals(job.spec().jobClass())) {
                return objective.withinS();
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** Whether work within its quota shall start sooner than in so many seconds. */
    boolean quotaStartsWithin(double seconds) {
        for (Settings.ServiceLevelObjective objective : settings.objectives()) {
            if (objective.kind().equals(GUARANTEE) && objective.withinS() < seconds) {
                return true;
            }
        }
        return false;
    }

    /** Whether the job shall start sooner than a machine of this type can pull its image. */
    boolean needsImage(Job job, MachineType type) {
        return missedByPull(job, type, job.spec().isGang() ? GANG_PULL_FACTOR : 1);
    }

    /** Whether the job shall start before a pull ends that takes so many times its nominal time. */
    boolean missedByPull(Job job, MachineType type, double nominalTimes) {
        return startWithinS(job) < nominalTimes * job.spec().imageGb() / type.fetchGbPerS();
    }
}
