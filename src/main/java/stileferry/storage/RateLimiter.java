package stileferry.storage;

import stileferry.protocol.Environment;

/** A token bucket that keeps a client below a service's published rate limit. */
public final class RateLimiter {
    private final Environment environment;
    private final double permitsPerMs;
    private final double maxPermits;
    private double permits;
    private long refilledAt;

    /**
     * Creates a full bucket.
     *
     * @param burstS the capacity, as seconds of the rate; the bucket holds at least one permit
     */
    public RateLimiter(Environment environment, double permitsPerSecond, double burstS) {
        this.environment = environment;
        this.permitsPerMs = permitsPerSecond / 1000;
        this.maxPermits = Math.max(1, permitsPerSecond * burstS);
        this.permits = maxPermits;
        this.refilledAt = environment.now();
    }

    /**
     * Takes permits if the reserve remains untouched; returns whether they were taken.
     *
     * @param reserveShare the reserve as a share of the capacity; if negative, the bucket may be overdrawn by that
     *     share
     */
    public boolean tryAcquire(double count, double reserveShare) {
        if (!canAcquire(count, reserveShare)) {
            return false;
        }
        permits -= count;
        return true;
    }

    /** Returns whether permits could be taken now; a full bucket grants any number, even more than it holds. */
    public boolean canAcquire(double count, double reserveShare) {
        refill();
        return permits >= Math.min(count, maxPermits) + maxPermits * reserveShare || permits >= maxPermits;
    }

    /** Returns the number of whole permits available now, or 0 if the bucket is overdrawn. */
    public int availablePermits() {
        refill();
        return (int) Math.max(0, Math.floor(permits));
    }

    private void refill() {
        long now = environment.now();
        permits = Math.min(maxPermits, permits + (now - refilledAt) * permitsPerMs);
        refilledAt = now;
    }
}
