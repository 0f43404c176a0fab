package stileferry.storage;

import stileferry.protocol.Environment;

/** A token bucket that keeps a client under a service's published rate. */
public final class RateLimiter {
    private final Environment environment;
    private final double permitsPerMs;
    private final double maxPermits;
    private double permits;
    private long refilledAt;

    /** A full bucket that refills at a rate and holds a burst of so many seconds, but one permit at least. */
    public RateLimiter(Environment environment, double permitsPerSecond, double burstS) {
        this.environment = environment;
        this.permitsPerMs = permitsPerSecond / 1000;
        this.maxPermits = Math.max(1, permitsPerSecond * burstS);
        this.permits = maxPermits;
        this.refilledAt = environment.now();
    }

    /**
     * Takes permits if that leaves a reserve untouched.
     *
     * @param reserveShare of the burst; negative: as much may be overdrawn
     */
    public boolean tryAcquire(double count, double reserveShare) {
        if (!canAcquire(count, reserveShare)) {
            return false;
        }
        permits -= count;
        return true;
    }

    /** Whether permits could be taken now; a full bucket grants more than it holds. */
    public boolean canAcquire(double count, double reserveShare) {
        refill();
        return permits >= Math.min(count, maxPermits) + maxPermits * reserveShare || permits >= maxPermits;
    }

    /** Whole permits that are there now. */
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
