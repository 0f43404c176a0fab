package stileferry.connectivity;

/** The kinds of decisions of a leader. */
public enum Decision {
    /** A task starts. */
    START_TASK,

    /** A task is preempted for other work. */
    PREEMPT,

    /** A silent worker is removed before its lease has expired. */
    REMOVE_WORKER,

    /** Machines are added. */
    SCALE_OUT,

    /** A machine is returned to the provider. */
    SCALE_IN,

    /** A user is told that a job is cancelled. */
    CONFIRM_CANCELLATION,

    /** A user's job is admitted. */
    ADMIT_JOB
}
