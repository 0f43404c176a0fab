package stileferry.cluster;

/** How far a job has come, from its submission until its end is durable. A job only ever moves forward. */
enum JobPhase {
    /** Submitted; its record is not durable yet, so nothing of it may start. */
    SUBMITTED,

    /** Its record is durable. */
    ACCEPTED,

    /** All tasks have completed, or it was cancelled and none is left; the record of that is not durable yet. */
    COMPLETING,

    /** The record of its end is durable. */
    COMPLETED
}
