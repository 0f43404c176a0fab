package stileferry.cluster;

import stileferry.protocol.JobSpec;

/** Jobs of tests that need no user. */
public final class TestJob {
    private TestJob() {}

    /**
     * An accepted job.
     *
     * @param acceptanceOrder its place in the order of submissions
     * @param acceptedAt the time of day of its submission in milliseconds
     */
    public static Job accepted(JobSpec spec, int acceptanceOrder, long acceptedAt) {
        Job job = new Job(spec, acceptanceOrder, acceptedAt, 0);
        job.markAccepted();
        return job;
    }
}
