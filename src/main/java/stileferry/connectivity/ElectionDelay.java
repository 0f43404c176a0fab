package stileferry.connectivity;

/**
 * Delays the next candidacy of this controller so that another controller is elected first. Each delay is bounded, so a
 * controller with poor links is still elected if no other controller becomes a candidate.
 */
final class ElectionDelay {
    /** Leader leases for which other controllers may be elected after a release. */
    private static final int AFTER_RELEASE_LEADER_LEASES = 2;

    /** Upper bound of {@link #recentStoreLosses}, and so of the delay after such losses in leader leases. */
    private static final double MAX_RECENT_STORE_LOSSES = 2;

    private final ConnectivityConfig config;
    private long delayedUntil;
    private String reason = "";

    /**
     * Number of recent losses of the leadership because the key-value store did not respond; decays with a half-life of
     * two worker leases.
     */
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

    /** Delays the candidacy because this controller released the leadership or another one announced a nominee. */
    void deferToOthers(String newReason, long now) {
        extend(AFTER_RELEASE_LEADER_LEASES * config.leaderLeaseMs(), newReason, now);
    }

    /**
     * Delays the candidacy because this controller lost the leadership when the key-value store did not respond; the
     * delay grows with repeated losses.
     */
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

    /** Returns the remaining delay in milliseconds, or 0 if there is no delay. */
    long remainingMs(long now) {
        return Math.max(0, delayedUntil - now);
    }

    /** Returns the reason for the last delay, for operators. */
    String reason() {
        return reason;
    }
}
