package stileferry.scheduling;

import java.util.ArrayList;
import java.util.List;
import stileferry.cluster.Job;
import stileferry.protocol.JobSpec;

/**
 * Requests for which no capacity was found in a pass. Free capacity only shrinks during a pass, so no capacity can be
 * found for a job that requests at least as much either.
 */
final class UnplaceableRequests {
    private final List<Job> unplaceableJobs = new ArrayList<>();

    /** Adds a job without capacity, unless the reason may not apply to other jobs; returns whether it was added. */
    boolean add(Job job) {
        JobSpec spec = job.spec();
        if (spec.isGang()
                || spec.oneZone()
                || spec.spreadAcrossZones()
                || job.failureHistory().failedAnywhere()) {
            return false; // the reason may apply to this job only
        }
        unplaceableJobs.add(job);
        return true;
    }

    /**
     * Returns whether the job requests at least as much as an added job, may use no machine that the added job may not
     * use, and does not take precedence over it: capacity that is reserved for a job is only kept from those after it.
     */
    boolean cover(Job job) {
        for (Job unplaceable : unplaceableJobs) {
            if (requestsAtLeast(job.spec(), unplaceable.spec())
                    && allowedMachinesSubsetOf(job.spec(), unplaceable.spec())
                    && Job.BY_PRECEDENCE.compare(job, unplaceable) >= 0) {
                return true;
            }
        }
        return false;
    }

    private static boolean requestsAtLeast(JobSpec spec, JobSpec other) {
        return other.cpus() <= spec.cpus() && other.gpus() <= spec.gpus() && other.memoryGb() <= spec.memoryGb();
    }

    /** Returns whether the other job may use every machine that the job with this specification may use. */
    private static boolean allowedMachinesSubsetOf(JobSpec spec, JobSpec other) {
        return (other.allowsSpot() || !spec.allowsSpot())
                && (other.zone() == null || other.zone().equals(spec.zone()))
                && (other.machineTypes() == null
                        || spec.machineTypes() != null && other.machineTypes().containsAll(spec.machineTypes()));
    }
}
