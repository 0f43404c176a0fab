package stileferry.scheduling;

import java.util.ArrayList;
import java.util.List;
import stileferry.cluster.Job;
import stileferry.protocol.JobSpec;

/**
 * Requests for which no capacity was found. Capacity only shrinks in a pass, so whoever requests as much finds none
 * either.
 */
final class UnplaceableRequests {
    private final List<JobSpec> specs = new ArrayList<>();

    /** Takes in a job without capacity; false if that says nothing about other jobs. */
    boolean add(Job job) {
        JobSpec spec = job.spec();
        if (spec.isGang()
                || spec.oneZone()
                || spec.spreadAcrossZones()
                || job.failures().failedAnywhere()) {
            return false; // it may have been kept away by what concerns no other job
        }
        specs.add(spec);
        return true;
    }

    /** Whether the job requests at least as much as one without capacity, on no more machines. */
    boolean cover(Job job) {
        for (JobSpec unplaceable : specs) {
            if (requestsAtLeast(job.spec(), unplaceable) && narrowerThan(job.spec(), unplaceable)) {
                return true;
            }
        }
        return false;
    }

    private static boolean requestsAtLeast(JobSpec spec, JobSpec other) {
        return other.cpus() <= spec.cpus() && other.gpus() <= spec.gpus() && other.memoryGb() <= spec.memoryGb();
    }

    /** Whether every machine that a job may use may be used by the other too. */
    private static boolean narrowerThan(JobSpec spec, JobSpec other) {
        return (other.allowsSpot() || !spec.allowsSpot())
                && (other.zone() == null || other.zone().equals(spec.zone()))
                && (other.machineTypes() == null
                        || spec.machineTypes() != null && other.machineTypes().containsAll(spec.machineTypes()));
    }
}
