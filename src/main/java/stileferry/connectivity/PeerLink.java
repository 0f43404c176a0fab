package stileferry.connectivity;

import stileferry.connectivity.ReachabilityView.HandoverNotice;
import stileferry.connectivity.ReachabilityView.Header;

/** The links to one other controller, its last view, and what it has acknowledged of this controller's views. */
final class PeerLink {
    /** Consecutive failures of requests after which a controller may count as unreachable. */
    private static final int UNREACHABLE_FAILURES = 2;

    final String name;
    final PeerView view = new PeerView();
    final LinkFailureDetector inbound;
    final LinkFailureDetector outbound;

    /** Whether it has ever sent or answered anything. */
    private boolean everReachable;

    /** The version of this controller's workers that it has, in the numbering of {@link #ackedEpoch}. */
    long ackedVersion;

    int ackedEpoch;

    /** The handover in its last view; null: none. */
    HandoverNotice handover;

    PeerLink(String name, ConnectivityConfig config, long now) {
        this.name = name;
        this.inbound = new LinkFailureDetector(config.exchangeIntervalMs(false), now);
        this.outbound = new LinkFailureDetector(config.exchangeIntervalMs(false), now);
    }

    /** It answered a request. */
    void requestAnswered(long now) {
        everReachable = true;
        outbound.succeeded(now);
    }

    /** It sent a request. */
    void messageReceived(long now) {
        everReachable = true;
        inbound.succeeded(now);
    }

    /** Notes what a view acknowledges; what belongs to another incarnation of this controller is void. */
    void acknowledge(Header header, long ownIncarnation) {
        boolean current = header.ackedIncarnation() == ownIncarnation;
        ackedVersion = current ? header.ackedVersion() : 0;
        ackedEpoch = current ? header.ackedEpoch() : 0;
    }

    /** Whether it has ever sent or answered anything. */
    boolean everReachable() {
        return everReachable;
    }

    /** Whether messages pass in either direction. */
    boolean reachable(long now, long eventLoopLagMs) {
        return everReachable
                && (inbound.condition(now, eventLoopLagMs) == LinkCondition.GOOD
                        || outbound.condition(now, eventLoopLagMs) == LinkCondition.GOOD);
    }

    /** Whether requests to it have failed for long. A lagging controller is slow, not unreachable. */
    boolean unreachable(long now, long eventLoopLagMs) {
        return !reportsLag()
                && outbound.consecutiveFailures() >= UNREACHABLE_FAILURES
                && outbound.condition(now, eventLoopLagMs) == LinkCondition.FAILING;
    }

    /** Whether its last view says that its event loop lags. */
    boolean reportsLag() {
        return view.senderHealth() != null && view.senderHealth().lagging();
    }
}
