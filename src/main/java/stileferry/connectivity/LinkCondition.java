package stileferry.connectivity;

/** The condition of one direction of a link, by its failure detector. */
public enum LinkCondition {
    /** It has never succeeded, and its silence is not suspect yet. */
    UNKNOWN,

    /** It succeeds as often as usual. */
    GOOD,

    /** Its suspicion level has reached the threshold. */
    FAILING
}
