package stileferry.leadership;

import stileferry.protocol.Environment;

/**
 * How long this process has lately stalled while it led and lost its lease over it. A large fleet keeps the event loop
 * of a leader busy for longer than a short lease, again and again; the next term of such a controller begins with a
 * longer one. A single stall counts for nothing: the process may have been suspended.
 */
final class StallHistory {
    /** How long a stall counts. */
    private static final long MEMORY_MS = 120_000;

    private final Environment environment;
    private Stall latest = Stall.NONE;
    private Stall previous = Stall.NONE;

    private record Stall(long lengthMs, long endedAt) {
        static final Stall NONE = new Stall(0, 0);
    }

    StallHistory(Environment environment) {
        this.environment = environment;
    }

    /** Records a stall that has just ended and over which the lease lapsed. */
    void record(long lengthMs) {
        previous = latest;
        latest = new Stall(lengthMs, environment.now());
    }

    /** Returns how long this process has repeatedly stalled, in milliseconds; 0 if it has not. */
    long repeatedMs() {
        boolean recent = environment.now() - previous.endedAt < MEMORY_MS;
        return recent ? Math.min(previous.lengthMs, latest.lengthMs) : 0;
    }
}
