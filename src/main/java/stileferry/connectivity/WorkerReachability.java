package stileferry.connectivity;

/**
 * What this controller's views say of the links to one worker.
 *
 * @param inbound whether heartbeats come straight from the worker
 * @param outboundKnown whether the outcome of a recent request to the worker is known
 * @param outbound whether requests reach the worker, as last known
 */
record WorkerReachability(boolean inbound, boolean outboundKnown, boolean outbound) {
    static final WorkerReachability UNKNOWN = new WorkerReachability(false, false, false);

    WorkerReachability withInbound(boolean nowInbound) {
        return new WorkerReachability(nowInbound, outboundKnown, outbound);
    }

    WorkerReachability withOutbound(boolean nowOutbound) {
        return new WorkerReachability(inbound, outboundKnown, nowOutbound);
    }

    /** After a request whose outcome is known. */
    WorkerReachability withOutboundResult(boolean nowOutbound) {
        return new WorkerReachability(inbound, true, nowOutbound);
    }

    /** After the last known outcome of a request has become too old. */
    WorkerReachability withOutboundExpired() {
        return new WorkerReachability(inbound, false, outbound);
    }

    /** Whether requests reach the worker, or nothing says that they do not. */
    boolean outboundAssumed() {
        return outbound || !outboundKnown;
    }

    boolean healthy() {
        return inbound && outboundAssumed();
    }
}
