package stileferry.coordination;

import stileferry.scheduling.Placement;

/**
 * The number of starts after which a scheduling pass ends. It follows how long passes take, so that users would still
 * wait for the answers that a pass holds up; the rest follows in the next passes.
 */
final class PassSize {
    private static final int MIN_STARTS = 200;

    /** Half of the time that users wait for an answer. */
    private static final double MAX_PASS_MS = 1000;

    private final double maxPassMs;
    private int starts = Placement.MAX_STARTS;

    /**
     * Creates the size of the first pass, which is the usual one.
     *
     * @param slowdownFactor by what factor this controller is slower than one with a sufficient share of a core
     */
    PassSize(double slowdownFactor) {
        maxPassMs = MAX_PASS_MS * slowdownFactor;
    }

    /** Returns the number of starts after which the next pass ends. */
    int maxStarts() {
        return starts;
    }

    /** Returns whether passes start less than they usually may. */
    boolean isReduced() {
        return starts < Placement.MAX_STARTS;
    }

    /**
     * Records a pass.
     *
     * @param stoppedEarly whether there was more to start
     */
    void passEnded(long tookMs, boolean stoppedEarly) {
        if (tookMs > maxPassMs) {
            starts = Math.max(MIN_STARTS, starts / 2);
        } else if (stoppedEarly) {
            starts = Math.min(Placement.MAX_STARTS, starts * 2);
        }
    }
}
