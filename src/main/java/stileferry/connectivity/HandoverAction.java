package stileferry.connectivity;

/** What the leader has to do next in a handover. */
public enum HandoverAction {
    /** No handover is under way. */
    NONE,

    /** A handover is under way and needs more time. */
    WAIT,

    /** The leader key must be released now. */
    RELEASE,

    /** The handover was aborted; the leader continues as before. */
    ABORTED
}
