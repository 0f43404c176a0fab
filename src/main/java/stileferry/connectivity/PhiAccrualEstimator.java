package stileferry.connectivity;

/**
 * How long the intervals between signs of life are, measured in memory of a fixed size, and how unusual a silence is.
 * After Hayashibara et al., "The phi accrual failure detector": the suspicion is the negative decimal logarithm of the
 * probability that an interval lasts as long as the silence has lasted.
 */
final class PhiAccrualEstimator {
    /** The share of the newest interval in the running figures. */
    private static final double SMOOTHING_FACTOR = 1 / 64.0;

    /** Intervals are taken to vary by this share of the expected one at least. */
    private static final double MIN_DEVIATION_SHARE = 1 / 8.0;

    /** What lasts longer than so many expected intervals was a silence and no interval. */
    private static final double MAX_INTERVAL_FACTOR = 3;

    // the logistic approximation of the normal distribution
    private static final double LOGISTIC_LINEAR = 1.5976;
    private static final double LOGISTIC_CUBIC = 0.070566;

    private final double expectedIntervalMs;
    private double meanMs;
    private double variance;

    /** Intervals that are expected to last so long; until more is measured they vary by a quarter of that. */
    PhiAccrualEstimator(double expectedMs) {
        this.expectedIntervalMs = expectedMs;
        this.meanMs = expectedMs;
        this.variance = expectedMs * expectedMs / 16;
    }

    /** Takes in one more interval. */
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

    /** The suspicion after a silence of this length; it never falls while the silence lasts. */
    double suspicionLevel(double silentMs) {
        double deviations = (silentMs - meanMs) / deviationMs();
        double exponent = deviations * (LOGISTIC_LINEAR + LOGISTIC_CUBIC * deviations * deviations);
        // -log10 of e^-x / (1 + e^-x), written so that it neither overflows nor rounds to infinity
        return exponent > 0
                ? (exponent + Math.log1p(Math.exp(-exponent))) / Math.log(10)
                : Math.log1p(Math.exp(exponent)) / Math.log(10);
    }

    /** The length of silence at which the suspicion reaches a level. */
    double timeoutMs(double suspicion) {
        double low = 0;
        double high = meanMs + 100 * deviationMs();
        for (int i = 0; i < 50; i++) {
            double middle = (low + high) / 2;
            if (suspicionLevel(middle) < suspicion) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }
}
