package stileferry.connectivity;

/**
 * Bounds how often leadership is released on purpose: twice at once, and once more in each rest. In any time T a
 * controller releases it {@code 2 + T / rest} times at most, whatever its links do.
 */
final class HandoverBudget {
    private static final double MOST = 2;

    private final long restMs;
    private double left = MOST;
    private long countedAt;

    HandoverBudget(long restMs, long now) {
        this.restMs = restMs;
        this.countedAt = now;
    }

    private void refill(long now) {
        left = Math.min(MOST, left + Math.max(0, now - countedAt) / (double) restMs);
        countedAt = Math.max(countedAt, now);
    }

    /** Whether one more is within the bound. */
    boolean allows(long now) {
        refill(now);
        return left >= 1;
    }

    /** Counts one, also one of another controller. */
    void spend(long now) {
        refill(now);
        left = Math.max(0, left - 1);
    }
}
