package stileferry.storage;

import stileferry.protocol.Environment;

/** A token bucket that keeps this client under a service's published rate. */
public final class RateLimiter {
    private final Environment environment;
    private final double perMs;
    private final double most;
    private double tokens;
    private long filledAt;

    /** A bucket for so many a second with a burst worth so many seconds. */
    public RateLimiter(Environment environment, double perSecond, double burstS) {
        this.environment = environment;
        this.perMs = perSecond / 1000;
        this.most = Math.max(1, perSecond * burstS);
        this.tokens = most;
        this.filledAt = environment.now();
    }

    /** Takes tokens if that leaves the reserve (a share of the burst) untouched. */
    public boolean tryAcquire(double count, double reserveShare) {
        if (!canAcquire(count, reserveShare)) {
            return false;
        }
        tokens -= count;
        return true;
    }

    /** Whether tokens could be taken now. */
    public boolean canAcquire(double count, double reserveShare) {
        fill();
        return tokens >= Math.min(count, most) + most * reserveShare || tokens >= most;
    }

    /** Whole tokens that are there now. */
    public int availablePermits() {
        fill();
        return (int) Math.max(0, Math.floor(tokens));
    }

    private void fill() {
        long now = environment.now();
        tokens = Math.min(most, tokens + (now - filledAt) * perMs);
        filledAt = now;
    }
}
