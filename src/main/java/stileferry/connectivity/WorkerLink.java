package stileferry.connectivity;

/** The links to one worker, in each direction, as this controller sees them. Times are -1 where there is none. */
final class WorkerLink {
    /** Consecutive requests without an answer after which requests count as not reaching the worker. */
    private static final int UNREACHABLE_LOST_REQUESTS = 2;

    final String name;
    String address;

    /** Its id in this controller's views, unique within an epoch. */
    int id;

    /** The version of its last change in this controller's views. */
    long version;

    /** The incarnation and sequence of the newest heartbeat. */
    private long incarnation = -1;

    private long sequence = -1;

    /** When its last heartbeat that was not relayed arrived. */
    long directHeartbeatAt = -1;

    /** Since when its heartbeats arrive through another controller only. */
    long relayedSince = -1;

    /** When its last heartbeat was answered; before {@link #directHeartbeatAt}: not yet. */
    long heartbeatAnsweredAt = -1;

    /** When the outcome of a request to it was last known. */
    long outboundObservedAt;

    /** When a heartbeat or an outcome of a request was last seen. */
    long lastSeenAt;

    /** Since when its links are suspect. */
    long suspectSince = -1;

    /** Since when it is kept, although it is silent, because another controller reaches it. */
    long removalWithheldSince = -1;

    private int consecutiveLostRequests;

    /** When it last answered a probe. */
    long probeAnsweredAt = -1;

    /** When a probe of it last failed. */
    long probeFailedAt = -1;

    WorkerReachability reachability = WorkerReachability.UNKNOWN;

    /** Whether the worker no longer exists. */
    boolean removed;

    WorkerLink(String name, String address) {
        this.name = name;
        this.address = address;
    }

    boolean suspect() {
        return suspectSince >= 0;
    }

    /** Notes a heartbeat's number; false where a newer heartbeat is known, so that this one is a copy or late. */
    boolean acceptIfNewer(WorkerHeartbeat heartbeat) {
        boolean newer = heartbeat.incarnation() > incarnation
                || heartbeat.incarnation() == incarnation && heartbeat.sequence() > sequence;
        if (newer) {
            incarnation = heartbeat.incarnation();
            sequence = heartbeat.sequence();
        }
        return newer;
    }

    /** A request or a heartbeat's answer has reached the worker. */
    void requestAnswered() {
        consecutiveLostRequests = 0;
    }

    /** A request or a heartbeat's answer was lost; returns whether the worker counts as out of reach from now on. */
    boolean requestFailed() {
        consecutiveLostRequests++;
        return consecutiveLostRequests >= UNREACHABLE_LOST_REQUESTS;
    }

    /**
     * Whether answers reach the worker, as far as its new heartbeat shows: one that has not accepted the term lacks the
     * answer to the heartbeat before.
     */
    boolean evaluateOutbound(WorkerHeartbeat heartbeat) {
        if (!lastHeartbeatAnswered()) {
            return reachability.outboundAssumed();
        }
        if (heartbeat.acceptedTerm()) {
            requestAnswered();
            return true;
        }
        return !requestFailed() && reachability.outboundAssumed();
    }

    private boolean lastHeartbeatAnswered() {
        return heartbeatAnsweredAt >= 0 && heartbeatAnsweredAt >= directHeartbeatAt;
    }

    /** Whether its last direct heartbeat was answered and its heartbeats are relayed only from now on. */
    boolean switchedToRelayDespiteAnswer() {
        return directHeartbeatAt >= 0 && lastHeartbeatAnswered() && relayedSince < 0;
    }
}
