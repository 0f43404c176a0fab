package stileferry.connectivity;

/** What is known of a link in one direction. */
public enum LinkCondition {
    /** Nothing has been seen of it yet. */
    UNKNOWN,

    /** Signs of life come as often as they usually do. */
    GOOD,

    /** The silence has lasted longer than the measured intervals explain. */
    FAILING
}
