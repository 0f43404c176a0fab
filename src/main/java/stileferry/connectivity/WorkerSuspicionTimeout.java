package stileferry.connectivity;

/**
 * The silence after which a worker is suspect. The heartbeat intervals of all workers are pooled, as they have the same
 * nominal interval; so the order of last heartbeats is the order of suspicion.
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

    /** The timeout in milliseconds; it is computed anew at most once in a short exchange interval. */
    double timeoutMs(long now) {
        if (computedAt < 0 || now - computedAt > config.exchangeIntervalMs(true)) {
            computedAt = now;
            timeoutMs = Math.min(
                    config.workerLeaseMs() / 2.0, estimator.timeoutMs(LinkFailureDetector.SUSPICION_THRESHOLD));
        }
        return timeoutMs;
    }
}
