package stileferry.connectivity;

/** What the host of a leader has to do next in a handover. */
public enum HandoverAction {
    /** No handover is in progress. */
    NONE,

    /** Wait: the handover is in progress and needs more time. */
    WAIT,

    /** Release the leader key now. */
    RELEASE,

    /** The handover was aborted; the leader keeps the leadership. */
    ABORTED
}
