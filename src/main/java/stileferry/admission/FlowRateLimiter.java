package stileferry.admission;

/**
 * The leader's rate limit of one flow: a token bucket that refills at the flow's fair share and, while more is asked
 * than that, an admission window. Times are in milliseconds.
 */
final class FlowRateLimiter {
    private static final double MS_PER_S = 1000;

    /** The slowest admission window: one round in an hour. */
    private static final double MIN_ROUNDS_PER_S = 1 / 3600.0;

    /** Keeps rounding errors from making an almost unlimited flow's window invalid. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final TokenBucket bucket;
    private double position;

    /** Speed of the admission window; 0: the flow is not limited. */
    private double roundsPerS;

    private long updatedAt;
    private long admittedCount;
    private long rejectedCount;

    /**
     * A flow that is not limited yet.
     *
     * @param position ring position from which the admission window starts
     */
    FlowRateLimiter(double position, long now) {
        this.bucket = new TokenBucket(0, 1, now);
        this.position = position;
        this.updatedAt = now;
    }

    /** Whether jobs outside the admission window are refused. */
    boolean isLimiting() {
        return roundsPerS > 0;
    }

    /** Sets the flow's fair share in admissions a second; the window's speed follows from the jobs that wait. */
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

    /** The admission window as of the last {@link #updateShare}; only while {@link #isLimiting}. */
    AdmissionWindow window() {
        return new AdmissionWindow(position, roundsPerS);
    }

    /** Seconds until a job is in the admission window; 0 if it is or if the flow is not limited. */
    double waitS(double jobPosition, long now) {
        return isLimiting() ? window().waitS(jobPosition, ageS(now)) : 0;
    }

    /** Takes a token of the flow's share; jobs outside the window only get surplus ones. */
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
