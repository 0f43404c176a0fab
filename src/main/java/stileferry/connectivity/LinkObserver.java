package stileferry.connectivity;

/**
 * One link in one direction: signs of life from the real traffic, and how suspect their absence is. Signs that follow
 * each other closely count once, so that a burst does not make an ordinary pause look like a lost link.
 */
final class LinkObserver {
    /**
     * The suspicion from which on a link counts as failing: one false alarm in a hundred thousand intervals, of which
     * nothing follows alone.
     */
    static final double FAILING_SUSPICION = 5;

    private final long expectedMs;
    private final IntervalStatistics intervals;
    private final long beganAt;
    private long confirmedAt = -1;
    private long countedAt = -1;
    private int failuresInRow;
    private FailureKind lastFailure;

    /** A link that is expected to show a sign of life once in so many milliseconds. */
    LinkObserver(long expectedMs, long now) {
        this.expectedMs = expectedMs;
        this.intervals = new IntervalStatistics(expectedMs);
        this.beganAt = now;
    }

    /** The link has worked. */
    void confirmed(long now) {
        confirmedAt = Math.max(confirmedAt, now);
        failuresInRow = 0;
        if (countedAt >= 0 && now - countedAt < expectedMs / 2) {
            return;
        }
        if (countedAt >= 0) {
            intervals.add(now - countedAt);
        }
        countedAt = now;
    }

    /** The link did not work for one request. */
    void failed(FailureKind kind) {
        failuresInRow++;
        lastFailure = kind;
    }

    /** When the link last worked; -1: never. */
    long confirmedAt() {
        return confirmedAt;
    }

    int failuresInRow() {
        return failuresInRow;
    }

    /** How the last request that failed did; null: none has. */
    FailureKind lastFailure() {
        return lastFailure;
    }

    /** How suspect the silence is; a process whose own timers are late makes up for it. */
    double suspicion(long now, long lateMs) {
        long since = confirmedAt >= 0 ? confirmedAt : beganAt;
        return intervals.suspicion(Math.max(0, now - since - lateMs));
    }

    /** What is known of the link. */
    LinkCondition condition(long now, long lateMs) {
        if (suspicion(now, lateMs) >= FAILING_SUSPICION) {
            return LinkCondition.FAILING;
        }
        return confirmedAt < 0 ? LinkCondition.UNKNOWN : LinkCondition.GOOD;
    }
}
