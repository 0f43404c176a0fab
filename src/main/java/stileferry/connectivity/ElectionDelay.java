package stileferry.connectivity;

/**
 * For how long a controller does not become a candidate, so that another one is elected first. Each delay is bounded,
 * so a controller with poor links is still elected where no other one is a candidate.
 */
final class ElectionDelay {
    /** Leader leases that another controller gets for its election after a release. */
    private static final int AFTER_RELEASE_LEADER_LEASES = 2;

    /** The longest delay after losses of the state service, in leader leases. */
    private static final double MAX_RECENT_STORE_LOSSES = 2;

    private final ConnectivityConfig config;
    private long delayedUntil;
    private String reason = "";

    /** Recent losses of the state service; halved every two worker leases. */
    private double recentStoreLosses;

    private long decayedAt;

    ElectionDelay(ConnectivityConfig config, long now) {
        this.config = config;
        this.decayedAt = now;
    }

    private void decay(long now) {
        recentStoreLosses *= Math.pow(0.5, Math.max(0, now - decayedAt) / (2.0 * config.workerLeaseMs()));
        decayedAt = Math.max(decayedAt, now);
    }

    /** This controller released the leadership, or another one announced a nominee. */
    void deferToOthers(String newReason, long now) {
        extend(AFTER_RELEASE_LEADER_LEASES * config.leaderLeaseMs(), newReason, now);
    }

    /** This controller lost the leadership because the state service did not answer it. */
    void leadershipLost(long now) {
        decay(now);
        recentStoreLosses = Math.min(MAX_RECENT_STORE_LOSSES, recentStoreLosses + 1);
        long delayMs = Math.round(recentStoreLosses * config.leaderLeaseMs());
        extend(delayMs, "the state service did not answer this controller", now);
    }

    private void extend(long delayMs, String newReason, long now) {
        delayedUntil = Math.max(delayedUntil, now + delayMs);
        reason = newReason;
    }

    /** Ends the delay. */
    void cancel() {
        delayedUntil = 0;
    }

    /** The rest of the delay in milliseconds. */
    long remainingMs(long now) {
        return Math.max(0, delayedUntil - now);
    }

    /** Why the last delay began, for operators. */
    String reason() {
        return reason;
    }
}
