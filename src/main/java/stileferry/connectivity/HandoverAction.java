package stileferry.connectivity;

/** What the leader has to do next in a handover. */
public enum HandoverAction {
    /** No handover is under way. */
    NONE,

    /** A handover is under way; no decisions are made meanwhile. */
    WAIT,

    /** The leader key is to be released now. */
    RELEASE,

    /** The handover was given up; the leader goes on as before. */
    ABORTED
}
