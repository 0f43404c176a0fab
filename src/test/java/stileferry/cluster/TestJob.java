package stileferry.cluster;

import stileferry.protocol.JobSpec;

/** Creates jobs for tests that do not simulate users. */
public final class TestJob {
    private TestJob() {}

    /**
     * Creates an accepted job.
     *
     * @param submissionOrder its position in the order of submissions
     * @param submittedAt the wall-clock time of its submission, in milliseconds
     */
    public static Job accepted(JobSpec spec, int submissionOrder, long submittedAt) {
        Job job = new Job(spec, submissionOrder, submittedAt, 0);
        job.markAccepted();
        return job;
    }
}
