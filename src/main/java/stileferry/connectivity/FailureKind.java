package stileferry.connectivity;

/** How a request failed. */
public enum FailureKind {
    /** The connection or the request was turned down: nothing was carried out. */
    REFUSED,

    /** No answer came in time: it is not known whether it was carried out. */
    UNANSWERED
}
