package stileferry.heartbeat;

import stileferry.protocol.Environment;

/**
 * Measures by how much the timers of this process are late. A process that is given less processor time than it needs
 * runs them late; an overloaded controller then does what it can in cheaper, if somewhat later, ways.
 */
public final class EventLoopLag {
    private static final int SAMPLES_PER_HEARTBEAT = 10;

    /** Lag as a part of the heartbeat interval above which the process is overloaded. */
    private static final double OVERLOAD_LAG_SHARE = 0.2;

    /** Part of the overload limit above which the process is saturated: the first sign of overload. */
    private static final double SATURATION_LAG_SHARE = 0.25;

    /** Part of a sample that still counts at the next one, so that one good moment ends nothing. */
    private static final double DECAY_PER_SAMPLE = 0.8;

    private final Environment environment;
    private final long sampleIntervalMs;
    private final double overloadThresholdMs;
    private double lagMs;
    private long maxLagMs;

    /** Measures against the workers' heartbeat interval, in seconds. */
    public EventLoopLag(Environment environment, double heartbeatIntervalS) {
        this.environment = environment;
        this.sampleIntervalMs = Math.max(1, Math.round(1000 * heartbeatIntervalS / SAMPLES_PER_HEARTBEAT));
        this.overloadThresholdMs = 1000 * heartbeatIntervalS * OVERLOAD_LAG_SHARE;
    }

    /** Begins to measure. */
    public void start() {
        long due = environment.now() + sampleIntervalMs;
        environment.schedule(sampleIntervalMs, () -> {
            long sample = Math.max(0, environment.now() - due);
            lagMs = Math.max(sample, DECAY_PER_SAMPLE * lagMs);
            maxLagMs = Math.max(maxLagMs, sample);
            start();
        });
    }

    /** Whether there is more to do than this process can do in time. */
    public boolean overloaded() {
        return lagMs > overloadThresholdMs;
    }

    /** Whether there is about as much to do as this process can do in time. */
    public boolean saturated() {
        return lagMs > overloadThresholdMs * SATURATION_LAG_SHARE;
    }

    /** By how much the last timers were late, in milliseconds. */
    public long lagMs() {
        return Math.round(lagMs);
    }

    /** By how much any timer was late since the start, in milliseconds. */
    public long maxLagMs() {
        return maxLagMs;
    }
}
