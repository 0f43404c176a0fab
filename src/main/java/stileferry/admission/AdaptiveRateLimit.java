package stileferry.admission;

/**
 * Admissions a second: additive increase while the leader keeps up, multiplicative decrease while it does not,
 * between a part of what the state service could take and all of it. While only the leader's own time is short, never
 * so low that users would give up before their turn: what it does not accept now it is asked for again.
 */
final class AdaptiveRateLimit {
    private static final double DECREASE = 0.8;
    private static final double STEPS = 16;

    /** A round is to take no longer than a third of the users' patience: some are refused once more on the way. */
    private static final double LONGEST_ROUND_S = AdmissionConfig.CLIENT_RETRY_TIMEOUT_S / 3;

    private final double mostPerS;
    private double perS;

    AdaptiveRateLimit(double mostPerS) {
        this.mostPerS = mostPerS;
        this.perS = mostPerS;
    }

    /**
     * The capacity for the next interval.
     *
     * @param pressure how the leader fared in the last one
     * @param waiting jobs that wait for their turns
     * @param measuredPerS what was admitted a second over the users' patience: the state service has taken that
     */
    double step(BackPressure pressure, double waiting, double measuredPerS) {
        perS = pressure == BackPressure.NONE ? perS + mostPerS / STEPS : perS * DECREASE;
        double least = Math.max(mostPerS / STEPS, measuredPerS * DECREASE);
        if (pressure != BackPressure.KEY_VALUE_STORE) {
            least = Math.max(least, waiting / LONGEST_ROUND_S);
        }
        perS = Math.min(mostPerS, Math.max(least, perS));
        return perS;
    }

    double perS() {
        return perS;
    }
}
