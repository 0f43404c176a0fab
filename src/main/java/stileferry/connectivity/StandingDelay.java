package stileferry.connectivity;

/**
 * For how long a controller leaves a free leadership to others. It is bounded each time, so that somebody always stands
 * in the end, and the last one left may be a poor one.
 */
final class StandingDelay {
    /** Times of a leader's lease that somebody else has to take over after a release. */
    private static final int AFTER_RELEASE = 2;

    /** Times of a leader's lease for which a controller waits whose own links failed it, for each time. */
    private static final double MOST_FAILURES = 2;

    private final ConnectivityConfig config;
    private long until;
    private String reason = "";
    private double failures;
    private long countedAt;

    StandingDelay(ConnectivityConfig config, long now) {
        this.config = config;
        this.countedAt = now;
    }

    private void decay(long now) {
        failures *= Math.pow(0.5, Math.max(0, now - countedAt) / (2.0 * config.workerLeaseMs()));
        countedAt = Math.max(countedAt, now);
    }

    /** This controller released the leadership, or another one named a nominee. */
    void leaveToOthers(String why, long now) {
        until = Math.max(until, now + AFTER_RELEASE * config.leaderLeaseMs());
        reason = why;
    }

    /** What it was left to others for is off. */
    void cancel() {
        until = 0;
    }

    /** This controller lost the leadership while the state service did not answer it. */
    void lostByOwnLinks(long now) {
        decay(now);
        failures = Math.min(MOST_FAILURES, failures + 1);
        until = Math.max(until, now + Math.round(failures * config.leaderLeaseMs()));
        reason = "the state service did not answer this controller";
    }

    /** For how long it still leaves the leadership to others, in milliseconds. */
    long remainingMs(long now) {
        return Math.max(0, until - now);
    }

    String reason() {
        return reason;
    }
}
