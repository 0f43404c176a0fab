package stileferry.connectivity;

/**
 * An accrual failure detector for one direction of a link, fed by the regular traffic. Successes that follow each other
 * closely count as one interval, so that a burst does not make an ordinary pause suspect.
 */
final class LinkFailureDetector {
    /** The suspicion level (phi) from which on a link counts as failing: one false alarm in 100,000 intervals. */
    static final double SUSPICION_THRESHOLD = 5;

    private final long expectedIntervalMs;
    private final PhiAccrualEstimator intervals;
    private final long startedAt;
    private long lastSuccessAt = -1;
    private long lastSampleAt = -1;
    private int consecutiveFailures;
    private FailureKind lastFailure;

    /** A link that is expected to succeed once every {@code expectedIntervalMs}. */
    LinkFailureDetector(long expectedIntervalMs, long now) {
        this.expectedIntervalMs = expectedIntervalMs;
        this.intervals = new PhiAccrualEstimator(expectedIntervalMs);
        this.startedAt = now;
    }

    /** A message or an answer has arrived. */
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

    /** A request has failed. */
    void failed(FailureKind kind) {
        consecutiveFailures++;
        lastFailure = kind;
    }

    /** When the link last succeeded; -1: never. */
    long lastSuccessAt() {
        return lastSuccessAt;
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** How the last failed request failed; null: none has. */
    FailureKind lastFailure() {
        return lastFailure;
    }

    /** The suspicion level (phi) of the silence, less this process's own event-loop lag. */
    double suspicionLevel(long now, long eventLoopLagMs) {
        long silentSince = lastSuccessAt >= 0 ? lastSuccessAt : startedAt;
        return intervals.suspicionLevel(Math.max(0, now - silentSince - eventLoopLagMs));
    }

    /** The condition of the link, by its suspicion level. */
    LinkCondition condition(long now, long eventLoopLagMs) {
        if (suspicionLevel(now, eventLoopLagMs) >= SUSPICION_THRESHOLD) {
            return LinkCondition.FAILING;
        }
        return lastSuccessAt < 0 ? LinkCondition.UNKNOWN : LinkCondition.GOOD;
    }
}
