package stileferry.admission;

/**
 * The leader's rate limiter for one flow: a token bucket that refills at the flow's fair share and, while the demand
 * exceeds that share, an admission window. Times are in milliseconds.
 */
final class FlowRateLimiter {
    private static final double MS_PER_S = 1000;

    /** The slowest speed of an admission window: one round per hour. */
    private static final double MIN_ROUNDS_PER_S = 1 / 3600.0;

    /** Keeps rounding errors from making the window of an almost unlimited flow invalid. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final TokenBucket bucket;
    private double position;

    /** The speed of the admission window, or 0 while the flow is not limited. */
    private double roundsPerS;

    private long updatedAt;
    private long admittedCount;
    private long rejectedCount;

    /**
     * Creates a limiter for a flow that is not limited yet.
     *
     * @param position the ring position at which the admission window starts
     */
    FlowRateLimiter(double position, long now) {
        this.bucket = new TokenBucket(0, 1, now);
        this.position = position;
        this.updatedAt = now;
    }

    /** Returns whether jobs outside the admission window are rejected. */
    boolean isLimiting() {
        return roundsPerS > 0;
    }

    /**
     * Sets the flow's fair share in admissions per second; with the number of waiting jobs it gives the window's speed.
     */
    void updateShare(double sharePerS, double waitingJobs, long now) {
        position = isLimiting() ? window().positionAfter(ageS(now)) : position;
        updatedAt = now;
        roundsPerS = windowSpeed(sharePerS, waitingJobs);
        bucket.reconfigure(sharePerS, Math.max(1, sharePerS * AdmissionConfig.WINDOW_S), now);
    }

    private static double windowSpeed(double sharePerS, double waitingJobs) {
        double speed = waitingJobs > 0 ? sharePerS / waitingJobs : AdmissionWindow.MIN_OPEN_ROUNDS_PER_S;
        if (speed >= AdmissionWindow.MIN_OPEN_ROUNDS_PER_S * (1 - ROUNDING_TOLERANCE)) {
            return 0;
        }
        return Math.max(MIN_ROUNDS_PER_S, speed);
    }

    private double ageS(long now) {
        return (now - updatedAt) / MS_PER_S;
    }

    /** Returns the admission window as of the last {@link #updateShare}; call only while {@link #isLimiting}. */
    AdmissionWindow window() {
        return new AdmissionWindow(position, roundsPerS);
    }

    /** Returns the seconds until a job is in the admission window, or 0 if it is now or if the flow is not limited. */
    double waitS(double jobPosition, long now) {
        return isLimiting() ? window().waitS(jobPosition, ageS(now)) : 0;
    }

    /** Takes a token from the flow's share; jobs outside the window get only surplus tokens. */
    boolean tryTake(boolean inWindow, long now) {
        return inWindow ? bucket.tryTake(now) : bucket.tryTakeSurplus(now);
    }

    void countAdmitted() {
        admittedCount++;
    }

    void countRejected() {
        rejectedCount++;
    }

    long admittedCount() {
        return admittedCount;
    }

    long rejectedCount() {
        return rejectedCount;
    }
}
