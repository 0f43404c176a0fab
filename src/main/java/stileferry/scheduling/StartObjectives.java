package stileferry.scheduling;

import stileferry.cluster.Job;
import stileferry.protocol.MachineType;
import stileferry.protocol.Settings;

/** The service-level objectives for how soon tasks should start, and whether an image pull would miss them. */
final class StartObjectives {
    /** The kind of objective that defines within which time the tasks of a job class should start. */
    private static final String WAIT_OBJECTIVE_KIND = "wait";

    /** The kind of objective that defines within which time tasks of jobs within their team's quota should start. */
    private static final String QUOTA_OBJECTIVE_KIND = "guarantee";

    /** A gang waits for the slowest of its image pulls, and two concurrent pulls on a machine take twice as long. */
    private static final double GANG_PULL_TIME_FACTOR = 2;

    private final Settings settings;

    StartObjectives(Settings settings) {
        this.settings = settings;
    }

    /** Returns the seconds within which tasks of this job should start; infinite without an objective for its class. */
    double startWithinS(Job job) {
        for (Settings.ServiceLevelObjective objective : settings.objectives()) {
            if (objective.kind().equals(WAIT_OBJECTIVE_KIND)
                    && objective.jobClass().equals(job.spec().jobClass())) {
                return objective.withinS();
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** Returns whether an objective requires jobs within their quota to start within less than this many seconds. */
    boolean hasQuotaObjectiveBelow(double seconds) {
        for (Settings.ServiceLevelObjective objective : settings.objectives()) {
            if (objective.kind().equals(QUOTA_OBJECTIVE_KIND) && objective.withinS() < seconds) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the job would miss its start objective if a machine of this type had to pull its image first. */
    boolean requiresCachedImage(Job job, MachineType type) {
        return pullMissesObjective(job, type, job.spec().isGang() ? GANG_PULL_TIME_FACTOR : 1);
    }

    /**
     * Returns whether an image pull would miss the job's start objective.
     *
     * @param pullTimeFactor the duration of the pull, as a multiple of its nominal duration on this machine type
     */
    boolean pullMissesObjective(Job job, MachineType type, double pullTimeFactor) {
        return startWithinS(job) < pullTimeFactor * job.spec().imageGb() / type.fetchGbPerS();
    }
}
