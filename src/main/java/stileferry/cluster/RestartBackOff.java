package stileferry.cluster;

/** Exponential back-off between the starts of a failing task. */
public final class RestartBackOff {
    private static final long MAX_DELAY_MS = 60_000;

    private int failures;
    private long notBefore;

    /**
     * Records a failure and delays the next start. The delay doubles with each failure and is at most one minute.
     *
     * @param now the controller's steady clock in milliseconds
     * @param initialDelayMs the delay after the first failure
     * @param maxDoublings the maximum number of times the delay is doubled
     */
    public void backOff(long now, long initialDelayMs, int maxDoublings) {
        notBefore = now + Math.min(MAX_DELAY_MS, initialDelayMs << Math.min(maxDoublings, failures++));
    }

    /** Returns the earliest time of the next start, in milliseconds on the controller's steady clock. */
    long notBefore() {
        return notBefore;
    }
}
