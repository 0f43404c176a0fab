package stileferry.admission;

/**
 * The total admission rate, adapted to back-pressure by additive increase and multiplicative decrease (AIMD). Its upper
 * bound is the maximum rate of the key-value store; its lower bound is a fraction of that maximum or of the recent rate
 * of admissions, whichever is higher. Unless the store causes back-pressure, the rate also stays high enough for
 * waiting clients to be admitted before they give up.
 */
final class AdaptiveRateLimit {
    private static final double DECREASE_FACTOR = 0.8;

    /** Additive steps from zero to the maximum rate; one step is also the minimum rate. */
    private static final double INCREASE_STEPS = 16;

    /** Longest wait for an admission window: a third of the clients' timeout, as some jobs are rejected once more. */
    private static final double MAX_ROUND_S = AdmissionConfig.CLIENT_RETRY_TIMEOUT_S / 3;

    private final double maxRatePerS;
    private double ratePerS;

    AdaptiveRateLimit(double maxRatePerS) {
        this.maxRatePerS = maxRatePerS;
        this.ratePerS = maxRatePerS;
    }

    /**
     * Adapts the rate for the next interval and returns it, in admissions per second.
     *
     * @param backPressure what limited the leader in the last interval
     * @param waitingJobs number of jobs that wait for admission
     * @param admittedPerS rate of admissions over the clients' timeout, which the store has proved to sustain
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

    /** Returns the current rate, in admissions per second. */
    double ratePerS() {
        return ratePerS;
    }
}
