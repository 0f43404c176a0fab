package stileferry.heartbeat;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.Environment;

/**
 * Measures how late the timers of this process fire. A process that is given less processor time than it needs runs its
 * timers late; an overloaded controller then works in cheaper, somewhat slower ways.
 */
public final class EventLoopLag {
    private static final Logger LOG = LoggerFactory.getLogger("coordinator");

    private static final int SAMPLES_PER_HEARTBEAT = 10;

    /** Share of the heartbeat interval; with a lag above it the process is overloaded. */
    private static final double OVERLOAD_LAG_SHARE = 0.2;

    /** Share of the overload threshold; with a lag above it the process is saturated, the first sign of overload. */
    private static final double SATURATION_LAG_SHARE = 0.25;

    /** Share of the lag that still counts at the next sample, so that a single timely one does not end an overload. */
    private static final double DECAY_PER_SAMPLE = 0.8;

    private final Environment environment;
    private final long sampleIntervalMs;
    private final double overloadThresholdMs;
    private double lagMs;
    private long maxLagMs;

    /**
     * Creates a meter that has not started.
     *
     * @param heartbeatIntervalS the workers' heartbeat interval, which determines the sampling interval and the
     *     thresholds
     */
    public EventLoopLag(Environment environment, double heartbeatIntervalS) {
        this.environment = environment;
        this.sampleIntervalMs = Math.max(1, Math.round(1000 * heartbeatIntervalS / SAMPLES_PER_HEARTBEAT));
        this.overloadThresholdMs = 1000 * heartbeatIntervalS * OVERLOAD_LAG_SHARE;
    }

    /** Starts sampling the lag. */
    public void start() {
        long due = environment.now() + sampleIntervalMs;
        environment.schedule(sampleIntervalMs, () -> {
            long sample = Math.max(0, environment.now() - due);
            lagMs = Math.max(sample, DECAY_PER_SAMPLE * lagMs);
            maxLagMs = Math.max(maxLagMs, sample);
            if (sample > overloadThresholdMs) {
                LOG.info("event loop late: late_ms={} heap_used_mb={}", sample, environment.usedHeapMb());
            }
            start();
        });
    }

    /** Returns whether the process has more work than it can do in time. */
    public boolean overloaded() {
        return lagMs > overloadThresholdMs;
    }

    /** Returns whether the process has about as much work as it can do in time. */
    public boolean saturated() {
        return lagMs > overloadThresholdMs * SATURATION_LAG_SHARE;
    }

    /** Returns the recent timer lag in milliseconds: the maximum of the samples, each decaying over time. */
    public long lagMs() {
        return Math.round(lagMs);
    }

    /** Returns the largest timer lag since the start in milliseconds. */
    public long maxLagMs() {
        return maxLagMs;
    }
}
