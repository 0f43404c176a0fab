package stileferry.connectivity;

/** How a request failed, which determines whether it may have been executed. */
public enum FailureKind {
    /** The connection or the request was refused, so the request was not executed. */
    REFUSED,

    /** The request timed out, so it may have been executed. */
    UNANSWERED
}
