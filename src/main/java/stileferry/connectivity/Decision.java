package stileferry.connectivity;

/** The kinds of leader decisions that the state of the links may withhold. */
public enum Decision {
    /** Start a task. */
    START_TASK,

    /** Preempt a task in favor of other work. */
    PREEMPT,

    /** Remove a silent worker before its lease has expired. */
    REMOVE_WORKER,

    /** Add machines. */
    SCALE_OUT,

    /** Return a machine to the cloud provider. */
    SCALE_IN,

    /** Confirm to a user that a job is cancelled. */
    CONFIRM_CANCELLATION,

    /** Admit a user's job. */
    ADMIT_JOB
}
