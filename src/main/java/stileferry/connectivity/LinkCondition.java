package stileferry.connectivity;

/** The condition of one direction of a link according to its failure detector. */
public enum LinkCondition {
    /** No message or response has ever arrived, but the silence is not suspect yet. */
    UNKNOWN,

    /** Messages or responses arrive as often as usual. */
    GOOD,

    /** The suspicion level of the silence has reached the threshold. */
    FAILING
}
