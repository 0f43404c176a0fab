package stileferry.connectivity;

/**
 * Computes the silence after which a worker is suspect. The measured heartbeat intervals of all workers are pooled, as
 * all have the same nominal interval. So there is one timeout, and workers become suspect in the order of their last
 * heartbeats.
 */
final class WorkerSuspicionTimeout {
    private final ConnectivityConfig config;
    private final PhiAccrualEstimator estimator;
    private double timeoutMs;
    private long computedAt = -1;

    WorkerSuspicionTimeout(ConnectivityConfig config) {
        this.config = config;
        this.estimator = new PhiAccrualEstimator(config.heartbeatIntervalMs());
    }

    void addInterval(long intervalMs) {
        estimator.addInterval(intervalMs);
    }

    /**
     * Returns the timeout in milliseconds, at most half a worker lease; recomputed at most once per short exchange
     * interval.
     */
    double timeoutMs(long now) {
        if (computedAt < 0 || now - computedAt > config.exchangeIntervalMs(true)) {
            computedAt = now;
            timeoutMs = Math.min(
                    config.workerLeaseMs() / 2.0, estimator.timeoutMs(LinkFailureDetector.SUSPICION_THRESHOLD));
        }
        return timeoutMs;
    }
}
