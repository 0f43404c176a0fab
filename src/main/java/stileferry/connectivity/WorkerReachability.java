package stileferry.connectivity;

/**
 * The state of the links to one worker, as this controller's views report it.
 *
 * @param inbound whether heartbeats arrive directly from the worker
 * @param outboundKnown whether the outcome of a recent request to the worker is known
 * @param outbound whether requests reach the worker, as last known
 */
record WorkerReachability(boolean inbound, boolean outboundKnown, boolean outbound) {
    static final WorkerReachability UNKNOWN = new WorkerReachability(false, false, false);

    WorkerReachability withInbound(boolean newInbound) {
        return new WorkerReachability(newInbound, outboundKnown, outbound);
    }

    WorkerReachability withOutbound(boolean newOutbound) {
        return new WorkerReachability(inbound, outboundKnown, newOutbound);
    }

    /** Returns the state after the outcome of a request has become known. */
    WorkerReachability withOutboundResult(boolean newOutbound) {
        return new WorkerReachability(inbound, true, newOutbound);
    }

    /** Returns the state after the last known outcome of a request has become too old. */
    WorkerReachability withOutboundExpired() {
        return new WorkerReachability(inbound, false, outbound);
    }

    /** Returns whether requests reach the worker or their outcome is not known. */
    boolean outboundAssumed() {
        return outbound || !outboundKnown;
    }

    boolean healthy() {
        return inbound && outboundAssumed();
    }
}
