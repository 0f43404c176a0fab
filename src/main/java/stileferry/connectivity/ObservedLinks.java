package stileferry.connectivity;

import static stileferry.validation.InvalidInputException.requireNonNegativeTime;

import stileferry.connectivity.ReachabilityView.ControllerHealth;

/** The observed state of all links of one controller, its clock, and its event-loop lag. */
final class ObservedLinks {
    /**
     * Consecutive failures at which the key-value store counts as unreachable even if its silence is not suspect yet.
     */
    private static final int STORE_UNREACHABLE_FAILURES = 2;

    /**
     * Heartbeat intervals for which a process still counts as lagging after an overload, as it has a backlog to
     * process.
     */
    private static final int LAGGING_HEARTBEAT_INTERVALS = 3;

    final ConnectivityConfig config;
    final WorkerLinks workers;
    final PeerLinks peers;
    final LinkFailureDetector store;
    private long now;
    private long eventLoopLagMs;
    private long laggingUntil = -1;
    private boolean leading;

    /**
     * Since when half of all workers or more, and at least one, have been suspect on a leader, or -1 if they are not.
     */
    private long manySuspectsSince = -1;

    ObservedLinks(ConnectivityConfig config, long now) {
        this.config = config;
        this.now = now;
        workers = new WorkerLinks(config);
        peers = new PeerLinks(config, now);
        store = new LinkFailureDetector(config.storeProbeIntervalMs(), now);
    }

    /** Advances the clock; an earlier time than the current one has no effect. */
    void advance(long time) {
        requireNonNegativeTime(time);
        now = Math.max(now, time);
    }

    long now() {
        return now;
    }

    /** Returns by how many milliseconds this process's own timers were late at the last measurement. */
    long eventLoopLagMs() {
        return eventLoopLagMs;
    }

    /** Returns whether this process is overloaded or was overloaded recently. */
    boolean recentlyLagging() {
        return now < laggingUntil;
    }

    boolean leading() {
        return leading;
    }

    void eventLoopLagMeasured(long lagMs, boolean overloaded) {
        eventLoopLagMs = lagMs;
        if (overloaded) {
            laggingUntil = now + LAGGING_HEARTBEAT_INTERVALS * config.heartbeatIntervalMs();
        }
    }

    /** Records that this controller has been elected or deposed. */
    void setLeading(boolean elected) {
        leading = elected;
        manySuspectsSince = -1;
        workers.retainSilent(elected);
        if (elected) {
            workers.clear(); // a follower is not told when workers are removed
        }
    }

    /** Returns whether the key-value store responds to this controller. */
    boolean storeReachable() {
        return store.condition(now, eventLoopLagMs) == LinkCondition.GOOD
                && store.consecutiveFailures() < STORE_UNREACHABLE_FAILURES;
    }

    ControllerHealth health() {
        return new ControllerHealth(storeReachable(), recentlyLagging(), peers.reachable(now, eventLoopLagMs));
    }

    /** Marks workers that have become silent as suspect, and updates since when many workers are suspect. */
    void detectSilentWorkers() {
        workers.detectSilent(now, eventLoopLagMs);
        boolean manySuspects = leading && 2 * workers.suspectCount() >= Math.max(2, workers.count());
        if (!manySuspects) {
            manySuspectsSince = -1;
        } else if (manySuspectsSince < 0) {
            manySuspectsSince = now;
        }
    }

    /** Returns the state of the links for the check of a decision. */
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
