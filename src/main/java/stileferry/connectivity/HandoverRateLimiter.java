package stileferry.connectivity;

/**
 * A token bucket that bounds deliberate releases of the leadership: in any time T at most {@code 2 + T / refillMs},
 * whatever the links do.
 */
final class HandoverRateLimiter {
    private static final double CAPACITY_TOKENS = 2;

    private final long refillIntervalMs;
    private double tokens = CAPACITY_TOKENS;
    private long refilledAt;

    /** One token is added every {@code refillMs}. */
    HandoverRateLimiter(long refillMs, long now) {
        this.refillIntervalMs = refillMs;
        this.refilledAt = now;
    }

    private void refill(long now) {
        tokens = Math.min(CAPACITY_TOKENS, tokens + Math.max(0, now - refilledAt) / (double) refillIntervalMs);
        refilledAt = Math.max(refilledAt, now);
    }

    /** Whether one more handover is within the bound. */
    boolean allows(long now) {
        refill(now);
        return tokens >= 1;
    }

    /** Counts a handover, also one of another controller, which may exceed the bound. */
    void consume(long now) {
        refill(now);
        tokens = Math.max(0, tokens - 1);
    }
}
