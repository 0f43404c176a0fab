package stileferry.connectivity;

/** How a request failed. */
public enum FailureKind {
    /** The connection or the request was refused: it was not executed. */
    REFUSED,

    /** The request timed out: it may have been executed. */
    UNANSWERED
}
