package stileferry.cluster;

/** The phase of a job, from its submission until its completion is durable. A job never returns to an earlier phase. */
enum JobPhase {
    /** The job is submitted. Its record is not durable yet, so none of its tasks may start. */
    SUBMITTED,

    /** The job's record is durable, so its tasks may start. */
    ACCEPTED,

    /** All tasks have completed, or the job was cancelled and has no tasks left. The completion is not durable yet. */
    COMPLETING,

    /** The record of the job's completion is durable. */
    COMPLETED
}
