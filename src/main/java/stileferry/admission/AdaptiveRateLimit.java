package stileferry.admission;

/**
 * The total admission rate, adapted to back-pressure: additive increase without it, multiplicative decrease under it
 * (AIMD). Bounded by what the key-value store takes at most, and from below by a part of that and of the rate it took
 * lately. Without back-pressure of the store the rate also stays high enough for waiting clients to be admitted before
 * they give up.
 */
final class AdaptiveRateLimit {
    private static final double DECREASE_FACTOR = 0.8;

    /** Additive steps from nothing to the maximum; one of them is also the minimum. */
    private static final double INCREASE_STEPS = 16;

    /** Longest wait for an admission window: a third of the clients' timeout, as some are refused once more. */
    private static final double MAX_ROUND_S = AdmissionConfig.CLIENT_RETRY_TIMEOUT_S / 3;

    private final double maxRatePerS;
    private double ratePerS;

    AdaptiveRateLimit(double maxPerS) {
        this.maxRatePerS = maxPerS;
        this.ratePerS = maxPerS;
    }

    /**
     * Adapts the rate for the next interval and returns it, in admissions a second.
     *
     * @param backPressure what limited the leader in the last interval
     * @param waitingJobs jobs that wait for admission
     * @param admittedPerS rate of admissions over the clients' timeout, which the store has proved to take
     */
    double adjust(BackPressure backPressure, double waitingJobs, double admittedPerS) {
        double adjusted = backPressure == BackPressure.NONE
                ? ratePerS + maxRatePerS / INCREASE_STEPS
                : ratePerS * DECREASE_FACTOR;
        ratePerS = Math.min(maxRatePerS, Math.max(minRatePerS(backPressure, waitingJobs, admittedPerS), adjusted));
        return ratePerS;
    }

    private double minRatePerS(BackPressure backPressure, double waitingJobs, double admittedPerS) {
        double minimum = Math.max(maxRatePerS / INCREASE_STEPS, admittedPerS * DECREASE_FACTOR);
        if (backPressure == BackPressure.KEY_VALUE_STORE) {
            return minimum;
        }
        return Math.max(minimum, waitingJobs / MAX_ROUND_S);
    }

    /** The current rate, in admissions a second. */
    double ratePerS() {
        return ratePerS;
    }
}
