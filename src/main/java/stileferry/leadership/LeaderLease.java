package stileferry.leadership;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.Environment;
import stileferry.protocol.KeyValueStoreProtocol.LeaseRenewal;
import stileferry.protocol.Settings;
import stileferry.storage.KeyValueStoreClient;

/**
 * The lease of the leader key, while this node leads: renews it, and says for how long it certainly has not ended.
 * That time counts from when a renewal was sent, since nobody knows when the store carried it out.
 */
final class LeaderLease {
    private static final Logger LOG = LoggerFactory.getLogger("leadership");

    /** Clocks drift apart by 0.05% at most; this is twice that. */
    private static final double CLOCK_DRIFT = 0.001;

    /** A timer that fires late must not make an ended lease look held. */
    private static final long TIMER_SLACK_MS = 50;

    private static final long SHORTEST_MS = 1000;
    private static final long LONGEST_UNSCALED_MS = 1500;

    /** The lease in heartbeat intervals: users wait that long after a crash. */
    private static final double DURATION_IN_HEARTBEATS = 0.6;

    /** At most this share of a worker's lease: a crash must leave time for a failover before tasks are lost. */
    private static final double DURATION_IN_WORKER_LEASES = 1 / 3.0;

    private static final int RENEWALS_PER_LEASE = 5;

    /** For a worker that notices its lease's end late, and has many tasks to end. */
    private static final long WORKER_LEASE_SLACK_MS = 1000;

    private final Environment environment;
    private final KeyValueStoreClient store;
    private final Runnable onExpired;
    private final long durationMs;
    private final long workerRenewalGraceMs;

    private boolean active;
    private String id;
    private long term;
    private long heldUntil;

    /** Counts begun leases, so that renewals of an earlier one stop. */
    private int generation;

    /** {@code onExpired} runs when the store says that the lease has ended. */
    LeaderLease(Environment environment, KeyValueStoreClient store, Settings settings, Runnable onExpired) {
        this.environment = environment;
        this.store = store;
        this.onExpired = onExpired;
        this.durationMs = durationMs(settings);
        this.workerRenewalGraceMs = workerRenewalGraceMs(settings);
    }

    /** The lease's duration in milliseconds; longer on a small share of a core, where a busy leader renews late. */
    static long durationMs(Settings settings) {
        double heartbeats = settings.workers().heartbeatIntervalS() * DURATION_IN_HEARTBEATS * 1000;
        double ample = Math.max(SHORTEST_MS, Math.min(LONGEST_UNSCALED_MS, heartbeats));
        double longest = Math.max(ample, settings.workers().leaseS() * 1000 * DURATION_IN_WORKER_LEASES);
        return Math.round(Math.min(longest, ample * settings.slowdownFactor()));
    }

    /**
     * For how long after a moment workers' leases may be renewed, whatever was cancelled later: a lease renewed then
     * ends, with all clocks against us, within {@code cancel_s} after that moment.
     */
    private static long workerRenewalGraceMs(Settings settings) {
        double cancelMs = 1000 * settings.workers().cancelDeadlineS();
        double leaseMs = 1000 * settings.workers().leaseS();
        return Math.round(cancelMs - leaseMs - CLOCK_DRIFT * (cancelMs + leaseMs)) - WORKER_LEASE_SLACK_MS;
    }

    /** The leader key was won with this lease, which was asked for at {@code requestedAt}. */
    void begin(String leaseId, long wonTerm, long requestedAt) {
        active = true;
        id = leaseId;
        term = wonTerm;
        heldUntil = 0;
        extend(requestedAt);
        int begun = ++generation;
        environment.schedule(durationMs / RENEWALS_PER_LEASE, () -> renew(begun));
    }

    /** This node no longer leads. */
    void end() {
        active = false;
        heldUntil = 0;
    }

    long durationMs() {
        return durationMs;
    }

    String id() {
        return id;
    }

    /** True while the lease cannot have ended. */
    boolean held() {
        return active && environment.now() < heldUntil;
    }

    /**
     * Whether workers' leases may be renewed: while the lease is held, and for a grace period after it, or after
     * {@code noOtherLeaderUntil} if that is later.
     */
    boolean permitsWorkerRenewal(long noOtherLeaderUntil) {
        return active && environment.now() < Math.max(heldUntil, noOtherLeaderUntil) + workerRenewalGraceMs;
    }

    private void extend(long sentAt) {
        heldUntil = Math.max(heldUntil, sentAt + Math.round(durationMs * (1 - CLOCK_DRIFT)) - TIMER_SLACK_MS);
    }

    /** Renews again whether or not the last renewal was answered: a store that is slow now and then is not down. */
    private void renew(int begun) {
        if (!renews(begun)) {
            return;
        }
        long sentAt = environment.now();
        boolean heldBefore = held();
        store.renewLease(id, durationMs, renewal -> {
            if (renews(begun)) {
                renewed(renewal, sentAt, heldBefore);
            }
        });
        environment.schedule(durationMs / RENEWALS_PER_LEASE, () -> renew(begun));
    }

    private boolean renews(int begun) {
        return active && generation == begun;
    }

    private void renewed(LeaseRenewal renewal, long sentAt, boolean heldBefore) {
        switch (renewal.outcome()) {
            case RENEWED -> {
                if (!held()) {
                    LOG.info("leader lease renewed after a gap, still leading: term={}", term);
                }
                extend(sentAt);
            }
            case EXPIRED -> {
                LOG.info("leader lease expired: term={}", term);
                onExpired.run();
            }
            case UNKNOWN -> {
                if (heldBefore && !held()) {
                    LOG.info(
                            "leader lease not renewed in time, no longer certain: term={} status={}",
                            term,
                            renewal.status());
                }
            }
        }
    }
}
