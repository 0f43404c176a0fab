package stileferry.connectivity;

/**
 * An accrual failure detector for one direction of a link, based on regular traffic. Messages or responses in quick
 * succession count as one sample, so that a normal pause after a burst does not become suspect.
 */
final class LinkFailureDetector {
    /**
     * The suspicion level (phi) at and above which a link counts as failing; 5 corresponds to one false alarm in
     * 100,000 intervals.
     */
    static final double SUSPICION_THRESHOLD = 5;

    private final long expectedIntervalMs;
    private final PhiAccrualEstimator intervals;
    private final long startedAt;
    private long lastSuccessAt = -1;
    private long lastSampleAt = -1;
    private int consecutiveFailures;
    private FailureKind lastFailure;

    /** Creates a detector for a link on which a message or a response is expected every {@code expectedIntervalMs}. */
    LinkFailureDetector(long expectedIntervalMs, long now) {
        this.expectedIntervalMs = expectedIntervalMs;
        this.intervals = new PhiAccrualEstimator(expectedIntervalMs);
        this.startedAt = now;
    }

    /** Records that a message or a response arrived. */
    void succeeded(long now) {
        lastSuccessAt = Math.max(lastSuccessAt, now);
        consecutiveFailures = 0;
        if (lastSampleAt >= 0 && now - lastSampleAt < expectedIntervalMs / 2) {
            return;
        }
        if (lastSampleAt >= 0) {
            intervals.addInterval(now - lastSampleAt);
        }
        lastSampleAt = now;
    }

    /** Records that a request failed. */
    void failed(FailureKind kind) {
        consecutiveFailures++;
        lastFailure = kind;
    }

    /** Returns when a message or a response last arrived, or -1 if none ever has. */
    long lastSuccessAt() {
        return lastSuccessAt;
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Returns how the last failed request failed, or null if none has failed. */
    FailureKind lastFailure() {
        return lastFailure;
    }

    /** Returns the suspicion level (phi) of the silence, which is reduced by this process's own event-loop lag. */
    double suspicionLevel(long now, long eventLoopLagMs) {
        long silentSince = lastSuccessAt >= 0 ? lastSuccessAt : startedAt;
        return intervals.suspicionLevel(Math.max(0, now - silentSince - eventLoopLagMs));
    }

    /** Returns the condition of the link according to its suspicion level. */
    LinkCondition condition(long now, long eventLoopLagMs) {
        if (suspicionLevel(now, eventLoopLagMs) >= SUSPICION_THRESHOLD) {
            return LinkCondition.FAILING;
        }
        return lastSuccessAt < 0 ? LinkCondition.UNKNOWN : LinkCondition.GOOD;
    }
}
