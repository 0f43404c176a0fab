package stileferry.admission;

/** A token bucket whose refill rate and capacity can be changed at any time. Times are in milliseconds. */
final class TokenBucket {
    private static final double MS_PER_S = 1000;

    private double refillPerS;
    private double capacity;
    private double tokens;
    private long refilledAt;

    /** Creates a full bucket. */
    TokenBucket(double refillPerS, double capacity, long now) {
        this.refillPerS = refillPerS;
        this.capacity = capacity;
        this.tokens = capacity;
        this.refilledAt = now;
    }

    private void refill(long now) {
        tokens = Math.min(capacity, tokens + Math.max(0, now - refilledAt) / MS_PER_S * refillPerS);
        refilledAt = Math.max(refilledAt, now);
    }

    /** Changes rate and capacity from now on; tokens beyond the new capacity are dropped. */
    void reconfigure(double newRefillPerS, double newCapacity, long now) {
        refill(now);
        refillPerS = newRefillPerS;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /** Takes a token; returns false if there is none. */
    boolean tryTake(long now) {
        refill(now);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Takes a token if the bucket is at least half full, which reserves the other half for jobs in the window. */
    boolean tryTakeSurplus(long now) {
        refill(now);
        return tokens >= capacity / 2 && tryTake(now);
    }
}
