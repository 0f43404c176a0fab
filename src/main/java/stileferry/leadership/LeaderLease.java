package stileferry.leadership;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.Environment;
import stileferry.protocol.KeyValueStoreProtocol.LeaseRenewal;
import stileferry.protocol.Settings;
import stileferry.storage.KeyValueStoreClient;

/**
 * Renews the lease of the leader key while this controller leads and determines until when the lease certainly has not
 * ended. That time counts from when a renewal was sent, since the time at which the store applied it is not known.
 */
final class LeaderLease {
    private static final Logger LOG = LoggerFactory.getLogger("leadership");

    /** Assumed clock drift between two machines: twice the actual maximum of 0.05%. */
    private static final double MAX_CLOCK_DRIFT_RATIO = 0.001;

    /** Subtracted from the lease, so that a timer that fires late does not make an ended lease look held. */
    private static final long TIMER_SLACK_MS = 50;

    private static final long MIN_DURATION_MS = 1000;
    private static final long MAX_UNSCALED_DURATION_MS = 1500;

    /** Lease duration in heartbeat intervals; users wait that long after a leader crashes. */
    private static final double DURATION_IN_HEARTBEAT_INTERVALS = 0.6;

    /**
     * Upper limit, as a share of a worker's lease, of a duration scaled up for a slow controller: after a crash there
     * must be time for a failover before workers' leases end and tasks are lost.
     */
    private static final double MAX_DURATION_IN_WORKER_LEASES = 1 / 3.0;

    private static final int RENEWALS_PER_LEASE = 5;

    /**
     * Heartbeats that arrive for each core in a second up to which the usual lease is long enough. Beyond, stalls grow
     * with both the number of events and the time that each of them takes.
     */
    private static final double HEARTBEATS_PER_CORE_SECOND = 1100;

    /** Length of a lease in slow renewals, so that another one may be as slow and the next still arrives in time. */
    private static final double DURATION_IN_SLOW_RENEWALS = 3;

    /** Share of the lease; a renewal that takes longer is slow. */
    private static final double SLOW_RENEWAL_SHARE = 0.5;

    /** Margin for a worker that notices late that its lease has ended and then has many tasks to stop. */
    private static final long WORKER_LEASE_SLACK_MS = 1000;

    private final Environment environment;
    private final KeyValueStoreClient store;
    private final Runnable onExpired;
    private final long shortestDurationMs;
    private final long longestDurationMs;
    private final long workerRenewalGraceMs;
    private final SlowRenewalHistory slowRenewals;
    private final double heartbeatIntervalS;
    private final double cores;

    /** Duration of the current lease. */
    private long durationMs;

    private int fleetSize;
    private boolean active;
    private String id;
    private long term;
    private long heldUntil;

    /**
     * The longest time that a renewal took since the last lapse of the current lease, from when it was due until its
     * response was processed; of one that got no response, until it was sent.
     */
    private long slowestRenewalMs;

    /** Incremented with each lease, so that renewals of an earlier lease stop. */
    private int generation;

    /**
     * Creates the holder of the lease, without a lease.
     *
     * @param onExpired runs when the store reports that the lease has ended
     */
    LeaderLease(Environment environment, KeyValueStoreClient store, Settings settings, Runnable onExpired) {
        this.environment = environment;
        this.store = store;
        this.onExpired = onExpired;
        this.shortestDurationMs = durationMs(settings);
        this.longestDurationMs = Math.max(shortestDurationMs, maxDurationMs(settings));
        this.heartbeatIntervalS = settings.workers().heartbeatIntervalS();
        this.cores = settings.cores() * settings.slowdownFactor(); // the usual duration is scaled for fewer cores
        this.slowRenewals = new SlowRenewalHistory(environment);
        this.workerRenewalGraceMs = workerRenewalGraceMs(settings);
    }

    /**
     * Returns the lease duration in milliseconds. It is longer on a controller with a small share of a core, where a
     * busy leader renews late.
     */
    static long durationMs(Settings settings) {
        double preferredMs = settings.workers().heartbeatIntervalS() * DURATION_IN_HEARTBEAT_INTERVALS * 1000;
        double unscaledMs = Math.max(MIN_DURATION_MS, Math.min(MAX_UNSCALED_DURATION_MS, preferredMs));
        double maxMs = Math.max(unscaledMs, maxDurationMs(settings));
        return Math.round(Math.min(maxMs, unscaledMs * settings.slowdownFactor()));
    }

    private static long maxDurationMs(Settings settings) {
        return Math.round(settings.workers().leaseS() * 1000 * MAX_DURATION_IN_WORKER_LEASES);
    }

    /**
     * Returns the duration of the next lease to request: longer if the last leader has recorded that leaders of this
     * fleet need that, or if renewals are slow repeatedly.
     */
    long nextDurationMs(long recordedMs) {
        return Math.min(longestDurationMs, Math.max(recordedMs, neededDurationMs()));
    }

    /** Sets the number of machines of the fleet; 0: not known. */
    void setFleetSize(int machines) {
        fleetSize = machines;
    }

    /** Returns the duration that leaders of this fleet need, as far as this controller knows. */
    long neededDurationMs() {
        double loadRatio = loadRatio();
        double forLoadMs = shortestDurationMs * loadRatio * loadRatio;
        double forRenewalsMs = DURATION_IN_SLOW_RENEWALS * slowRenewals.repeatedMs();
        double neededMs = Math.max(shortestDurationMs, Math.max(forLoadMs, forRenewalsMs));
        return Math.round(Math.min(longestDurationMs, neededMs));
    }

    /** Returns whether the usual duration is too short for the load of this fleet. */
    boolean largeFleet() {
        return loadRatio() > 1;
    }

    private double loadRatio() {
        return fleetSize / heartbeatIntervalS / cores / HEARTBEATS_PER_CORE_SECOND;
    }

    /** Returns the usual duration, which is long enough for most fleets. */
    long usualDurationMs() {
        return shortestDurationMs;
    }

    /**
     * Returns for how many milliseconds after a given time workers' leases may be renewed regardless of cancellations
     * after that time: even with the worst clock drift, a lease renewed within this period ends within {@code cancel_s}
     * of the given time.
     */
    private static long workerRenewalGraceMs(Settings settings) {
        double cancelMs = 1000 * settings.workers().cancelDeadlineS();
        double leaseMs = 1000 * settings.workers().leaseS();
        return Math.round(cancelMs - leaseMs - MAX_CLOCK_DRIFT_RATIO * (cancelMs + leaseMs)) - WORKER_LEASE_SLACK_MS;
    }

    /**
     * Starts to renew the lease with which the leader key was acquired.
     *
     * @param requestedAt when the lease was requested, in {@link Environment#now} time
     * @param grantedMs the duration with which it was requested
     */
    void begin(String leaseId, long wonTerm, long requestedAt, long grantedMs) {
        active = true;
        id = leaseId;
        term = wonTerm;
        durationMs = grantedMs;
        slowestRenewalMs = 0;
        heldUntil = 0;
        LOG.info("leader lease begun: term={} lease_ms={}", term, durationMs);
        extend(requestedAt);
        scheduleRenewal(++generation);
    }

    /** Stops renewals, because this controller no longer leads. */
    void end() {
        if (active && !held()) {
            recordLapse();
        }
        active = false;
        heldUntil = 0;
    }

    /** Records that the lease was not renewed in time, if that is because renewals are slow. */
    private void recordLapse() {
        if (slowestRenewalMs > SLOW_RENEWAL_SHARE * durationMs) {
            slowRenewals.record(slowestRenewalMs);
        }
        slowestRenewalMs = 0;
    }

    String id() {
        return id;
    }

    /** Returns true while the lease cannot have ended. */
    boolean held() {
        return active && environment.now() < heldUntil;
    }

    /** Returns true once the lease may have ended: {@link #held} ends a little earlier. */
    boolean mayHaveEnded() {
        return !active || environment.now() >= heldUntil + TIMER_SLACK_MS;
    }

    /**
     * Returns whether workers' leases may be renewed. They may while this lease is held and for a grace period after
     * it, or after {@code noOtherLeaderUntil} if that is later.
     */
    boolean permitsWorkerRenewal(long noOtherLeaderUntil) {
        return active && environment.now() < Math.max(heldUntil, noOtherLeaderUntil) + workerRenewalGraceMs;
    }

    private void extend(long sentAt) {
        heldUntil = Math.max(heldUntil, sentAt + Math.round(durationMs * (1 - MAX_CLOCK_DRIFT_RATIO)) - TIMER_SLACK_MS);
    }

    /** Renews even if the previous renewal has received no response: a store that is slow at times is not down. */
    private void renew(int leaseGeneration, long dueAt) {
        if (!isCurrent(leaseGeneration)) {
            return;
        }
        long sentAt = environment.now();
        slowestRenewalMs = Math.max(slowestRenewalMs, sentAt - dueAt);
        boolean heldBefore = held();
        store.renewLease(id, durationMs, renewal -> {
            if (isCurrent(leaseGeneration)) {
                handleRenewalResult(renewal, dueAt, sentAt, heldBefore);
            }
        });
        scheduleRenewal(leaseGeneration);
    }

    private void scheduleRenewal(int leaseGeneration) {
        long delayMs = durationMs / RENEWALS_PER_LEASE;
        long dueAt = environment.now() + delayMs;
        environment.schedule(delayMs, () -> renew(leaseGeneration, dueAt));
    }

    private boolean isCurrent(int leaseGeneration) {
        return active && generation == leaseGeneration;
    }

    private void noteAnswered(long dueAt) {
        slowestRenewalMs = Math.max(slowestRenewalMs, environment.now() - dueAt);
    }

    private void handleRenewalResult(LeaseRenewal renewal, long dueAt, long sentAt, boolean heldBefore) {
        switch (renewal.outcome()) {
            case RENEWED -> {
                noteAnswered(dueAt);
                if (!held()) {
                    LOG.info(
                            "leader lease renewed after a gap, still leading: term={} lease_ms={} slowest_ms={}",
                            term,
                            durationMs,
                            slowestRenewalMs);
                    recordLapse();
                }
                extend(sentAt);
            }
            case EXPIRED -> {
                noteAnswered(dueAt);
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
