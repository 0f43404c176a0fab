package stileferry.connectivity;

/** The links between this controller and one worker, in both directions. Times are -1 if the event has not occurred. */
final class WorkerLink {
    /** Consecutive lost requests from which on requests count as not reaching the worker. */
    private static final int UNREACHABLE_LOST_REQUESTS = 2;

    final String name;
    String address;

    /** The worker's id in this controller's views, unique within an epoch. */
    int id;

    /** The version of this controller's worker state at the worker's last change. */
    long version;

    /** Incarnation and, below, sequence number of the newest heartbeat. */
    private long incarnation = -1;

    private long sequence = -1;

    /** When the last direct heartbeat, one that was not relayed, arrived. */
    long directHeartbeatAt = -1;

    /** Since when heartbeats have only been relayed by other controllers. */
    long relayedSince = -1;

    /**
     * When a direct heartbeat last received a response. If this is before {@link #directHeartbeatAt}, the last direct
     * heartbeat has received no response.
     */
    long heartbeatAnsweredAt = -1;

    /** When the outcome of a request to the worker was last observed. */
    long outboundObservedAt;

    /** When the worker was added, or last sent a heartbeat, responded to a request, or failed to respond to a probe. */
    long lastSeenAt;

    /** Since when the links have been suspect. */
    long suspectSince = -1;

    /** Since when the removal of the silent worker has been withheld because another controller reaches it. */
    long removalWithheldSince = -1;

    private int consecutiveLostRequests;

    /** When the worker last responded to a probe. */
    long probeAnsweredAt = -1;

    /** When a probe of the worker last failed. */
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

    /** Accepts a heartbeat; returns false if it is a duplicate or older than the newest heartbeat. */
    boolean acceptIfNewer(WorkerHeartbeat heartbeat) {
        boolean newer = heartbeat.incarnation() > incarnation
                || heartbeat.incarnation() == incarnation && heartbeat.sequence() > sequence;
        if (newer) {
            incarnation = heartbeat.incarnation();
            sequence = heartbeat.sequence();
        }
        return newer;
    }

    /** Records that a request or the response to a heartbeat reached the worker. */
    void requestAnswered() {
        consecutiveLostRequests = 0;
    }

    /**
     * Records the loss of a request or of the response to a heartbeat; returns whether requests now count as not
     * reaching the worker.
     */
    boolean requestFailed() {
        consecutiveLostRequests++;
        return consecutiveLostRequests >= UNREACHABLE_LOST_REQUESTS;
    }

    /**
     * Returns whether responses reach the worker according to a new direct heartbeat, and counts lost responses. If the
     * previous direct heartbeat received a response but the worker has not accepted the term, that response was lost.
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

    /**
     * Returns whether the worker now switches to another controller, which relays its heartbeats, although its last
     * direct heartbeat received a response.
     */
    boolean switchedToRelayDespiteAnswer() {
        return directHeartbeatAt >= 0 && lastHeartbeatAnswered() && relayedSince < 0;
    }
}
