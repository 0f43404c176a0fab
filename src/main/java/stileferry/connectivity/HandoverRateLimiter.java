package stileferry.connectivity;

/**
 * Bounds how often leadership is released on purpose: twice at once, and once more in each rest. In any time T a
 * controller releases it {@code 2 + T / rest} times at most, whatever its links do.
 */
final class HandoverRateLimiter {
    private static final double CAPACITY = 2;

    private final long refillMs;
    private double tokens = CAPACITY;
    private long refilledAt;

    HandoverRateLimiter(long restMs, long now) {
        this.refillMs = restMs;
        this.refilledAt = now;
    }

    private void refill(long now) {
        tokens = Math.min(CAPACITY, tokens + Math.max(0, now - refilledAt) / (double) refillMs);
        refilledAt = Math.max(refilledAt, now);
    }

    /** Whether one more is within the bound. */
    boolean allows(long now) {
        refill(now);
        return tokens >= 1;
    }

    /** Counts one, also one of another controller. */
    void consume(long now) {
        refill(now);
        tokens = Math.max(0, tokens - 1);
    }
}
