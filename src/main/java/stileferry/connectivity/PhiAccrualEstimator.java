package stileferry.connectivity;

/**
 * Computes the suspicion level phi of a silence from moving averages of the mean and variance of the intervals between
 * messages. It follows Hayashibara et al., "The phi accrual failure detector": phi is the negative decimal logarithm of
 * the probability that an interval is at least as long as the silence has lasted.
 */
final class PhiAccrualEstimator {
    /** The weight of the newest interval in the exponential moving averages. */
    private static final double SMOOTHING_FACTOR = 1 / 64.0;

    /** The minimum standard deviation, as a share of the expected interval. */
    private static final double MIN_DEVIATION_SHARE = 1 / 8.0;

    /** Intervals longer than this multiple of the expected interval count as outages and are not added. */
    private static final double MAX_INTERVAL_FACTOR = 3;

    private static final int BISECTION_STEPS = 50;

    // coefficients of the logistic approximation of the cumulative normal distribution
    private static final double LOGISTIC_LINEAR = 1.5976;
    private static final double LOGISTIC_CUBIC = 0.070566;

    private final double expectedIntervalMs;
    private double meanMs;
    private double variance;

    /** Starts with the expected interval as the mean and a quarter of it as the standard deviation. */
    PhiAccrualEstimator(double expectedIntervalMs) {
        this.expectedIntervalMs = expectedIntervalMs;
        this.meanMs = expectedIntervalMs;
        this.variance = expectedIntervalMs * expectedIntervalMs / 16;
    }

    /** Adds a measured interval, unless it is so long that it counts as an outage. */
    void addInterval(double intervalMs) {
        if (intervalMs > MAX_INTERVAL_FACTOR * expectedIntervalMs) {
            return;
        }
        double difference = intervalMs - meanMs;
        meanMs += SMOOTHING_FACTOR * difference;
        variance = (1 - SMOOTHING_FACTOR) * (variance + SMOOTHING_FACTOR * difference * difference);
    }

    double meanMs() {
        return meanMs;
    }

    private double deviationMs() {
        return Math.max(Math.sqrt(variance), MIN_DEVIATION_SHARE * expectedIntervalMs);
    }

    /** Returns the suspicion level (phi) after a silence; it never falls while the silence lasts. */
    double suspicionLevel(double silentMs) {
        double deviations = (silentMs - meanMs) / deviationMs();
        double exponent = deviations * (LOGISTIC_LINEAR + LOGISTIC_CUBIC * deviations * deviations);
        // -log10 of e^-x / (1 + e^-x), rearranged so that it neither overflows nor becomes infinite by rounding
        return exponent > 0
                ? (exponent + Math.log1p(Math.exp(-exponent))) / Math.log(10)
                : Math.log1p(Math.exp(exponent)) / Math.log(10);
    }

    /** Returns the silence in milliseconds at which the suspicion level reaches a threshold, found by bisection. */
    double timeoutMs(double threshold) {
        double low = 0;
        double high = meanMs + 100 * deviationMs();
        for (int step = 0; step < BISECTION_STEPS; step++) {
            double middle = (low + high) / 2;
            if (suspicionLevel(middle) < threshold) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }
}
