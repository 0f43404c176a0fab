package stileferry.connectivity;

import static stileferry.validation.InvalidInputException.requireTime;

import stileferry.connectivity.ReachabilityView.ControllerHealth;

/** All links of one controller as observed up to now. */
final class ObservedLinks {
    /** Consecutive failures after which the state service counts as unreachable, before its silence is suspect. */
    private static final int STORE_UNREACHABLE_FAILURES = 2;

    /** Heartbeat intervals for which a process still counts as lagging, as it has a backlog to process. */
    private static final int LAGGING_HEARTBEAT_INTERVALS = 3;

    final ConnectivityConfig config;
    final WorkerLinks workers;
    final PeerLinks peers;
    final LinkFailureDetector store;
    private long now;
    private long eventLoopLagMs;
    private long laggingUntil = -1;
    private boolean leading;

    /** Since when half of all workers are suspect while this controller leads; -1: they are not. */
    private long manySuspectsSince = -1;

    ObservedLinks(ConnectivityConfig config, long now) {
        this.config = config;
        this.now = now;
        workers = new WorkerLinks(config);
        peers = new PeerLinks(config, now);
        store = new LinkFailureDetector(config.storeProbeIntervalMs(), now);
    }

    /** Advances the time; one before the last counts as the last. */
    void advance(long time) {
        requireTime(time);
        now = Math.max(now, time);
    }

    long now() {
        return now;
    }

    /** By how many milliseconds this process's own timers are late. */
    long eventLoopLagMs() {
        return eventLoopLagMs;
    }

    /** Whether this process is behind with its work, or was lately. */
    boolean recentlyLagging() {
        return now < laggingUntil;
    }

    boolean leading() {
        return leading;
    }

    void eventLoopLagMeasured(long lagMs, boolean behind) {
        eventLoopLagMs = lagMs;
        if (behind) {
            laggingUntil = now + LAGGING_HEARTBEAT_INTERVALS * config.heartbeatIntervalMs();
        }
    }

    /** This controller has been elected or deposed. */
    void setLeading(boolean elected) {
        leading = elected;
        manySuspectsSince = -1;
        workers.retainSilent(elected);
        if (elected) {
            workers.clear(); // a follower is not told when workers are removed
        }
    }

    /** Whether the state service answers this controller. */
    boolean storeReachable() {
        return store.condition(now, eventLoopLagMs) == LinkCondition.GOOD
                && store.consecutiveFailures() < STORE_UNREACHABLE_FAILURES;
    }

    ControllerHealth health() {
        return new ControllerHealth(storeReachable(), recentlyLagging(), peers.reachable(now, eventLoopLagMs));
    }

    /** Marks workers that have fallen silent up to now. */
    void detectSilentWorkers() {
        workers.detectSilent(now, eventLoopLagMs);
        boolean many = leading && 2 * workers.suspectCount() >= Math.max(2, workers.count());
        if (!many) {
            manySuspectsSince = -1;
        } else if (manySuspectsSince < 0) {
            manySuspectsSince = now;
        }
    }

    /** What is known of the links when a decision is checked. */
    LinkEvidence evidence(boolean handingOver) {
        return new LinkEvidence(
                leading,
                handingOver,
                store.lastSuccessAt() < 0 ? -1 : now - store.lastSuccessAt(),
                manySuspectsSince >= 0,
                manySuspectsSince < 0 ? 0 : now - manySuspectsSince);
    }

    ConnectivitySnapshot.Link snapshot(LinkFailureDetector link) {
        return new ConnectivitySnapshot.Link(
                link.condition(now, eventLoopLagMs),
                link.suspicionLevel(now, eventLoopLagMs),
                link.lastSuccessAt() < 0 ? -1 : now - link.lastSuccessAt(),
                link.consecutiveFailures(),
                link.lastFailure());
    }
}
