package stileferry.leadership;

import stileferry.protocol.Environment;

/**
 * How long renewals have lately taken when the leader's lease lapsed over them. A large fleet keeps the event loop of a
 * leader busy for longer than a short lease, again and again; its next term then begins with a longer one. A single
 * slow renewal counts for nothing: the process may have been suspended.
 */
final class SlowRenewalHistory {
    /** How long a slow renewal counts. */
    private static final long MEMORY_MS = 120_000;

    private final Environment environment;
    private SlowRenewal latest = SlowRenewal.NONE;
    private SlowRenewal previous = SlowRenewal.NONE;

    private record SlowRenewal(long tookMs, long endedAt) {
        static final SlowRenewal NONE = new SlowRenewal(0, 0);
    }

    SlowRenewalHistory(Environment environment) {
        this.environment = environment;
    }

    /** Records a renewal over which the lease has just lapsed. */
    void record(long tookMs) {
        previous = latest;
        latest = new SlowRenewal(tookMs, environment.now());
    }

    /** Returns how long renewals have repeatedly taken, in milliseconds; 0 if the lease has not lapsed twice. */
    long repeatedMs() {
        boolean recent = environment.now() - previous.endedAt < MEMORY_MS;
        return recent ? Math.min(previous.tookMs, latest.tookMs) : 0;
    }
}
