package stileferry.heartbeat;

import stileferry.protocol.Environment;

/**
 * How far a controller is behind with its work, as its own timers tell: a process that is given less processor time
 * than it asks for carries them out late. What can be done in a cheaper way, if somewhat later, then is.
 */
public final class EventLoopLag {
    /** Beats in a report interval. */
    private static final int BEATS = 10;

    /**
     * Share of a report interval by which timers are late when there is too much to do. At 0.04 a quiet day counted as
     * such, and machines were paid for while they waited for their next reports.
     */
    private static final double BEHIND_SHARE = 0.2;

    /** The part of what counts as behind from which on a controller is strained: the first sign of overload. */
    private static final double STRAINED_PART = 0.25;

    /** How much of what was seen counts again at the next beat, so that one good moment ends nothing. */
    private static final double REMEMBERED = 0.8;

    private final Environment environment;
    private final long beatMs;
    private final double behindMs;
    private double lagMs;
    private long most;

    public EventLoopLag(Environment environment, double reportS) {
        this.environment = environment;
        this.beatMs = Math.max(1, Math.round(1000 * reportS / BEATS));
        this.behindMs = 1000 * reportS * BEHIND_SHARE;
    }

    /** Begins to measure. */
    public void start() {
        long due = environment.now() + beatMs;
        environment.schedule(beatMs, () -> {
            long late = Math.max(0, environment.now() - due);
            lagMs = Math.max(late, REMEMBERED * lagMs);
            most = Math.max(most, late);
            start();
        });
    }

    /** Whether there is more to do than this process can do in time. */
    public boolean overloaded() {
        return lagMs > behindMs;
    }

    /** Whether there is about as much to do as this process can do in time. */
    public boolean saturated() {
        return lagMs > behindMs * STRAINED_PART;
    }

    /** By how much the last timers were late, in milliseconds. */
    public long lagMs() {
        return Math.round(lagMs);
    }

    /** By how much any timer was late since the start, in milliseconds. */
    public long maxLagMs() {
        return most;
    }
}
