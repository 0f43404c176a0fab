package stileferry.connectivity;

/**
 * How long the intervals between signs of life are, measured in memory of a fixed size, and how unusual a silence is.
 * After Hayashibara et al., "The phi accrual failure detector": the suspicion is the negative decimal logarithm of the
 * probability that an interval lasts as long as the silence has lasted.
 */
final class IntervalStatistics {
    /** The share of the newest interval in the running figures. */
    private static final double NEWEST = 1 / 64.0;

    /** Intervals are taken to vary by this share of the expected one at least. */
    private static final double LEAST_DEVIATION = 1 / 8.0;

    /** What lasts longer than so many expected intervals was a silence and no interval. */
    private static final double LONGEST = 3;

    // the logistic approximation of the normal distribution
    private static final double LINEAR = 1.5976;
    private static final double CUBIC = 0.070566;

    private final double expectedMs;
    private double meanMs;
    private double variance;

    /** Intervals that are expected to last so long; until more is measured they vary by a quarter of that. */
    IntervalStatistics(double expectedMs) {
        this.expectedMs = expectedMs;
        this.meanMs = expectedMs;
        this.variance = expectedMs * expectedMs / 16;
    }

    /** Takes in one more interval. */
    void add(double intervalMs) {
        if (intervalMs > LONGEST * expectedMs) {
            return;
        }
        double difference = intervalMs - meanMs;
        meanMs += NEWEST * difference;
        variance = (1 - NEWEST) * (variance + NEWEST * difference * difference);
    }

    double meanMs() {
        return meanMs;
    }

    private double deviationMs() {
        return Math.max(Math.sqrt(variance), LEAST_DEVIATION * expectedMs);
    }

    /** The suspicion after a silence of this length; it never falls while the silence lasts. */
    double suspicion(double silentMs) {
        double deviations = (silentMs - meanMs) / deviationMs();
        double exponent = deviations * (LINEAR + CUBIC * deviations * deviations);
        // -log10 of e^-x / (1 + e^-x), written so that it neither overflows nor rounds to infinity
        return exponent > 0
                ? (exponent + Math.log1p(Math.exp(-exponent))) / Math.log(10)
                : Math.log1p(Math.exp(exponent)) / Math.log(10);
    }

    /** The length of silence at which the suspicion reaches a level. */
    double silenceMs(double suspicion) {
        double low = 0;
        double high = meanMs + 100 * deviationMs();
        for (int i = 0; i < 50; i++) {
            double middle = (low + high) / 2;
            if (suspicion(middle) < suspicion) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }
}
