package stileferry.connectivity;

/** The kinds of decisions that a leader makes. */
public enum Decision {
    /** A task starts. */
    START,

    /** Work is stopped to make room for other work. */
    PREEMPT,

    /** A silent worker is given up, before its lease has lapsed. */
    GIVE_UP_WORKER,

    /** Machines are rented. */
    RENT,

    /** A machine is returned. */
    RETURN_WORKER,

    /** A user hears that a job is cancelled. */
    CONFIRM_CANCELLATION,

    /** A user's job is accepted. */
    ACCEPT
}
