package stileferry.connectivity;

/**
 * A token bucket that limits deliberate releases of the leadership: at most {@code 2 + T / refillIntervalMs} in any
 * time T, regardless of the state of the links.
 */
final class HandoverRateLimiter {
    private static final double CAPACITY_TOKENS = 2;

    private final long refillIntervalMs;
    private double tokens = CAPACITY_TOKENS;
    private long refilledAt;

    /** Starts with a full bucket, to which one token is added every {@code refillIntervalMs}. */
    HandoverRateLimiter(long refillIntervalMs, long now) {
        this.refillIntervalMs = refillIntervalMs;
        this.refilledAt = now;
    }

    private void refill(long now) {
        tokens = Math.min(CAPACITY_TOKENS, tokens + Math.max(0, now - refilledAt) / (double) refillIntervalMs);
        refilledAt = Math.max(refilledAt, now);
    }

    /** Returns whether the limit permits one more handover. */
    boolean allows(long now) {
        refill(now);
        return tokens >= 1;
    }

    /** Takes a token for a handover; handovers of other controllers count too and may exceed the limit. */
    void consume(long now) {
        refill(now);
        tokens = Math.max(0, tokens - 1);
    }
}
