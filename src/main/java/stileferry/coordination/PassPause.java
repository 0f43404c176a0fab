package stileferry.coordination;

import stileferry.heartbeat.EventLoopLag;

/**
 * The pause between scheduling passes, in which heartbeats, users' requests and lease renewals are processed. Requested
 * passes always keep it; regular ones only while the event loop is late.
 */
final class PassPause {
    /** Minimum pause between passes, as a multiple of the duration of the last pass. */
    private static final long FACTOR = 5;

    /** The same after a pass that was cut short and has left tasks to start. */
    private static final long FACTOR_AFTER_SHORTENED_PASS = 2;

    private final EventLoopLag eventLoopLag;
    private long factor = FACTOR;
    private long lastPassTookMs;
    private long lastPassEndedAt;

    PassPause(EventLoopLag eventLoopLag) {
        this.eventLoopLag = eventLoopLag;
    }

    /**
     * Records a pass.
     *
     * @param shortened whether the pass started less than passes usually may, and there is more to start
     */
    void passEnded(long now, long tookMs, boolean shortened) {
        factor = shortened ? FACTOR_AFTER_SHORTENED_PASS : FACTOR;
        lastPassEndedAt = now;
        lastPassTookMs = tookMs;
    }

    /** Returns the length of the pause after the last pass in milliseconds. */
    long lengthMs() {
        return factor * lastPassTookMs;
    }

    /**
     * Returns whether a regular pass must wait.
     *
     * @param whenSaturated whether it waits already while the event loop is saturated, and not only while it is
     *     overloaded
     */
    boolean holdsRegularPass(long now, boolean whenSaturated) {
        boolean late = whenSaturated ? eventLoopLag.saturated() : eventLoopLag.overloaded();
        return late && now - lastPassEndedAt < lengthMs();
    }
}
