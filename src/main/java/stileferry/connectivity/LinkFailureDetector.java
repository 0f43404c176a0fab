package stileferry.connectivity;

/**
 * One link in one direction: signs of life from the real traffic, and how suspect their absence is. Signs that follow
 * each other closely count once, so that a burst does not make an ordinary pause look like a lost link.
 */
final class LinkFailureDetector {
    /**
     * The suspicion from which on a link counts as failing: one false alarm in a hundred thousand intervals, of which
     * nothing follows alone.
     */
    static final double SUSPICION_THRESHOLD = 5;

    private final long expectedIntervalMs;
    private final PhiAccrualEstimator intervals;
    private final long startedAt;
    private long lastSuccessAt = -1;
    private long lastSampleAt = -1;
    private int consecutiveFailures;
    private FailureKind lastFailure;

    /** A link that is expected to show a sign of life once in so many milliseconds. */
    LinkFailureDetector(long expectedMs, long now) {
        this.expectedIntervalMs = expectedMs;
        this.intervals = new PhiAccrualEstimator(expectedMs);
        this.startedAt = now;
    }

    /** The link has worked. */
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

    /** The link did not work for one request. */
    void failed(FailureKind kind) {
        consecutiveFailures++;
        lastFailure = kind;
    }

    /** When the link last worked; -1: never. */
    long lastSuccessAt() {
        return lastSuccessAt;
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** How the last request that failed did; null: none has. */
    FailureKind lastFailure() {
        return lastFailure;
    }

    /** How suspect the silence is; a process whose own timers are late makes up for it. */
    double suspicionLevel(long now, long lateMs) {
        long since = lastSuccessAt >= 0 ? lastSuccessAt : startedAt;
        return intervals.suspicionLevel(Math.max(0, now - since - lateMs));
    }

    /** What is known of the link. */
    LinkCondition condition(long now, long lateMs) {
        if (suspicionLevel(now, lateMs) >= SUSPICION_THRESHOLD) {
            return LinkCondition.FAILING;
        }
        return lastSuccessAt < 0 ? LinkCondition.UNKNOWN : LinkCondition.GOOD;
    }
}
