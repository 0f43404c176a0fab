package stileferry.protocol;

/** Why a task has exited, as its worker tells it. */
public enum ExitReason {
    /** Completed. */
    DONE("done"),
    /** Stopped by command; its progress may have been saved. */
    HALTED("halted"),
    /** Failed: mostly its machine is at fault, sometimes its job. */
    ERROR("error"),
    /** The start was refused: the machine has not enough room. */
    NO_ROOM("full"),
    /** The start was refused: another attempt of the task is on the machine. */
    ANOTHER_ATTEMPT("busy"),
    /** The start was refused: the worker knows no such job. */
    UNKNOWN_JOB("unknown"),
    /** Another task of its gang is gone. */
    PEER_LOST("peers"),
    /** Its gang was not complete in time. */
    GANG_INCOMPLETE("incomplete"),
    /** None that is known here. */
    OTHER("");

    private final String word;

    ExitReason(String word) {
        this.word = word;
    }

    /** The reason that a word on the wire stands for; words to come are harmless. */
    static ExitReason of(String word) {
        for (ExitReason reason : values()) {
            if (reason.word.equals(word)) {
                return reason;
            }
        }
        return OTHER;
    }
}
