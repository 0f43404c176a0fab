package stileferry.connectivity;

/** The kinds of decisions that a leader makes. */
public enum Decision {
    /** A task starts. */
    START_TASK,

    /** Work is stopped to make room for other work. */
    PREEMPT,

    /** A silent worker is given up, before its lease has lapsed. */
    REMOVE_WORKER,

    /** Machines are rented. */
    SCALE_OUT,

    /** A machine is returned. */
    SCALE_IN,

    /** A user hears that a job is cancelled. */
    CONFIRM_CANCELLATION,

    /** A user's job is accepted. */
    ADMIT_JOB
}
