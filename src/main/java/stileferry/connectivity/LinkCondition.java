package stileferry.connectivity;

/** The condition of one direction of a link according to its failure detector. */
public enum LinkCondition {
    /** No message or answer has ever arrived, but the silence is not suspect yet. */
    UNKNOWN,

    /** Messages or answers arrive as often as usual. */
    GOOD,

    /** The suspicion level of the silence has reached the threshold. */
    FAILING
}
