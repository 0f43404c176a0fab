package stileferry.connectivity;

/**
 * For how long a controller leaves a free leadership to others. It is bounded each time, so that somebody always stands
 * in the end, and the last one left may be a poor one.
 */
final class ElectionDelay {
    /** Times of a leader's lease that somebody else has to take over after a release. */
    private static final int AFTER_RELEASE_LEASES = 2;

    /** Times of a leader's lease for which a controller waits whose own links failed it, for each time. */
    private static final double MAX_FAILURES = 2;

    private final ConnectivityConfig config;
    private long delayedUntil;
    private String reason = "";
    private double recentFailures;
    private long decayedAt;

    ElectionDelay(ConnectivityConfig config, long now) {
        this.config = config;
        this.decayedAt = now;
    }

    private void decay(long now) {
        recentFailures *= Math.pow(0.5, Math.max(0, now - decayedAt) / (2.0 * config.workerLeaseMs()));
        decayedAt = Math.max(decayedAt, now);
    }

    /** This controller released the leadership, or another one named a nominee. */
    void deferToOthers(String why, long now) {
        delayedUntil = Math.max(delayedUntil, now + AFTER_RELEASE_LEASES * config.leaderLeaseMs());
        reason = why;
    }

    /** What it was left to others for is off. */
    void cancel() {
        delayedUntil = 0;
    }

    /** This controller lost the leadership while the state service did not answer it. */
    void leadershipLost(long now) {
        decay(now);
        recentFailures = Math.min(MAX_FAILURES, recentFailures + 1);
        delayedUntil = Math.max(delayedUntil, now + Math.round(recentFailures * config.leaderLeaseMs()));
        reason = "the state service did not answer this controller";
    }

    /** For how long it still leaves the leadership to others, in milliseconds. */
    long remainingMs(long now) {
        return Math.max(0, delayedUntil - now);
    }

    String reason() {
        return reason;
    }
}
