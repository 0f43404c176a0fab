package stileferry.protocol;

/** Why a task has exited, as its worker tells it. */
public enum ExitReason implements HasWireName {
    /** Completed. */
    COMPLETED("done"),
    /** Stopped by command; its progress may have been saved. */
    STOPPED("halted"),
    /** Failed: mostly its machine is at fault, sometimes its job. */
    FAILED("error"),
    /** The start was refused: the machine lacks free resources. */
    INSUFFICIENT_RESOURCES("full"),
    /** The start was refused: another attempt of the task is on the machine. */
    CONFLICTING_ATTEMPT("busy"),
    /** The start was refused: the worker knows no such job. */
    UNKNOWN_JOB("unknown"),
    /** Another task of its gang is gone. */
    GANG_MEMBER_LOST("peers"),
    /** Its gang was not complete in time. */
    GANG_INCOMPLETE("incomplete"),
    /** None that is known here. */
    OTHER("");

    private final String wireName;

    ExitReason(String wireName) {
        this.wireName = wireName;
    }

    /** The word that stands for it in heartbeats. */
    @Override
    public String wireName() {
        return wireName;
    }

    /** The reason that a word on the wire stands for; words to come are harmless. */
    static ExitReason of(String word) {
        return HasWireName.byWireName(values(), word, OTHER);
    }
}
