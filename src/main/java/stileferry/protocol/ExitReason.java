package stileferry.protocol;

/** Why a task exited, as reported by its worker. */
public enum ExitReason implements HasWireName {
    /** The task completed. */
    COMPLETED("done"),
    /** The task was stopped by a command; it may have saved a checkpoint. */
    STOPPED("halted"),
    /** The task failed. The cause is mostly the machine, sometimes the job. */
    FAILED("error"),
    /** The worker rejected the start because the machine lacks free resources. */
    INSUFFICIENT_RESOURCES("full"),
    /** The worker rejected the start because another attempt of the task is on the machine. */
    CONFLICTING_ATTEMPT("busy"),
    /** The worker rejected the start because it doesn't know the job. */
    UNKNOWN_JOB("unknown"),
    /** Another task of the gang is gone. */
    GANG_MEMBER_LOST("peers"),
    /** The gang's tasks were not all ready in time. */
    GANG_INCOMPLETE("incomplete"),
    /** A reason that this version doesn't know, or none. */
    OTHER("");

    private final String wireName;

    ExitReason(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name of the reason in heartbeats. */
    @Override
    public String wireName() {
        return wireName;
    }

    /** Returns the reason with this wire name; names that a later version may add are read as {@link #OTHER}. */
    static ExitReason of(String wireName) {
        return HasWireName.byWireName(values(), wireName, OTHER);
    }
}
