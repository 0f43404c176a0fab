package stileferry.connectivity;

import stileferry.connectivity.ReachabilityView.HandoverNotice;
import stileferry.connectivity.ReachabilityView.Header;

/** The links to one other controller, its merged views, and what it has acknowledged of this controller's views. */
final class PeerLink {
    /** Consecutive failed requests from which on a controller may count as unreachable. */
    private static final int UNREACHABLE_FAILURES = 2;

    final String name;
    final PeerView view = new PeerView();
    final LinkFailureDetector inbound;
    final LinkFailureDetector outbound;

    /** Whether it has ever sent or responded to a request. */
    private boolean everReachable;

    /** The version of this controller's worker state that it has acknowledged, within {@link #ackedEpoch}. */
    long ackedVersion;

    int ackedEpoch;

    /** The handover notice in its last view, or null if there was none. */
    HandoverNotice handover;

    PeerLink(String name, ConnectivityConfig config, long now) {
        this.name = name;
        this.inbound = new LinkFailureDetector(config.exchangeIntervalMs(false), now);
        this.outbound = new LinkFailureDetector(config.exchangeIntervalMs(false), now);
    }

    /** Records that it responded to a request. */
    void requestAnswered(long now) {
        everReachable = true;
        outbound.succeeded(now);
    }

    /** Records that a request from it arrived. */
    void messageReceived(long now) {
        everReachable = true;
        inbound.succeeded(now);
    }

    /** Records what a view acknowledges; acknowledgements for another incarnation of this controller are discarded. */
    void acknowledge(Header header, long ownIncarnation) {
        boolean current = header.ackedIncarnation() == ownIncarnation;
        ackedVersion = current ? header.ackedVersion() : 0;
        ackedEpoch = current ? header.ackedEpoch() : 0;
    }

    /** Returns whether it has ever sent or responded to a request. */
    boolean everReachable() {
        return everReachable;
    }

    /** Returns whether at least one direction of the link is in good condition. */
    boolean reachable(long now, long eventLoopLagMs) {
        return everReachable
                && (inbound.condition(now, eventLoopLagMs) == LinkCondition.GOOD
                        || outbound.condition(now, eventLoopLagMs) == LinkCondition.GOOD);
    }

    /**
     * Returns whether requests to it keep failing; a controller that reports lag counts as slow, not as unreachable.
     */
    boolean unreachable(long now, long eventLoopLagMs) {
        return !reportsLag()
                && outbound.consecutiveFailures() >= UNREACHABLE_FAILURES
                && outbound.condition(now, eventLoopLagMs) == LinkCondition.FAILING;
    }

    /** Returns whether its last view reports event-loop lag. */
    boolean reportsLag() {
        return view.senderHealth() != null && view.senderHealth().lagging();
    }
}
