package stileferry.admission;

/** The leader's gate of one flow: the tokens of its share, and its pointer while it is closed. */
final class FlowRateLimiter {
    private static final double MS_PER_S = 1000;

    /** The slowest pointer: one round in an hour. */
    private static final double SLOWEST = 1 / 3600.0;

    private final TokenBucket bucket;
    private double position;
    private double roundsPerS;
    private long setAt;
    private long admitted;
    private long refused;

    FlowRateLimiter(double position, long now) {
        this.bucket = new TokenBucket(0, 1, now);
        this.position = position;
        this.setAt = now;
    }

    /** Whether requests out of turn are refused. */
    boolean closed() {
        return roundsPerS > 0;
    }

    /** Takes a new share; so many jobs wait for it. */
    void set(double sharePerS, double waiting, long now) {
        position = closed() ? turn().positionAfter((now - setAt) / MS_PER_S) : position;
        setAt = now;
        double rounds = waiting > 0 ? sharePerS / waiting : AdmissionWindow.MIN_OPEN_ROUNDS_PER_S;
        roundsPerS = rounds >= AdmissionWindow.MIN_OPEN_ROUNDS_PER_S * (1 - 1e-6) ? 0 : Math.max(SLOWEST, rounds);
        bucket.set(sharePerS, Math.max(1, sharePerS * AdmissionConfig.WINDOW_S), now);
    }

    /** Whose turn it is, as of the last {@link #set}; only while closed. */
    AdmissionWindow turn() {
        return new AdmissionWindow(position, roundsPerS);
    }

    /** Seconds until a job's turn. */
    double waitS(double place, long now) {
        return closed() ? turn().waitS(place, (now - setAt) / MS_PER_S) : 0;
    }

    /** Takes a token of the flow's share: all that are there in turn, or what lies idle. */
    boolean take(boolean inTurn, long now) {
        return inTurn ? bucket.take(now) : bucket.takeIdle(now);
    }

    /** Counts what became of a request. */
    void count(boolean wasAdmitted) {
        if (wasAdmitted) {
            admitted++;
        } else {
            refused++;
        }
    }

    long admitted() {
        return admitted;
    }

    long refused() {
        return refused;
    }
}
