package stileferry.requests;

import java.util.Locale;

/** Why a controller answers a request with 503 instead of with what the user asked for. */
public enum UnavailableReason {
    /** This controller does not lead and knows no leader that it can reach. */
    NO_LEADER_KNOWN,
    /** The request was forwarded, and the leader did not answer in time or was not asked for lack of connections. */
    LEADER_DID_NOT_ANSWER,
    /** A forwarded request arrived at a controller that does not lead. */
    NOT_LEADING,
    /** The term has ended. */
    TERM_ENDED,
    /** The leader has not read the whole durable state yet. */
    RECOVERING,
    /** The leader is not certain that its lease is still held. */
    LEASE_NOT_HELD,
    /** The leader is about to hand over, or its links forbid changes. */
    CHANGES_SUSPENDED,
    /** The acceptance or cancellation of the job is not settled. */
    CHANGE_NOT_SETTLED,
    /** A change did not become durable in time. */
    CHANGE_NOT_DURABLE_IN_TIME,
    /** The key-value store did not say whether the job has completed. */
    STORE_NOT_READABLE,
    /** The machine types are not known yet. */
    MACHINE_TYPES_UNKNOWN,
    /** The limit on requests in progress at the controller that was asked was reached. */
    TOO_MANY_IN_PROGRESS,
    /** More changes wait for the key-value store than it takes within the limit. */
    BACKLOG_TOO_LONG;

    /** Returns the name under which the reason is counted and logged. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
