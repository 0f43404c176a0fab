package stileferry.heartbeat;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.protocol.Settings;

/**
 * Decides whether a worker that sends its heartbeat to a follower is redirected to the leader, or its heartbeat
 * forwarded. A worker that comes back after it was redirected can't reach the leader; neither can one that the leader
 * has heard before. It is redirected again now and then, as the trouble may have passed.
 */
final class WorkerRedirects {
    /** Leases for which heartbeats are forwarded before their worker is redirected again. */
    private static final int FORWARD_LEASES = 2;

    /** Remembered workers for each socket: far more than a controller talks to at the same time. */
    private static final int VISITS_PER_SOCKET = 8;

    private final Environment environment;
    private final LinkHealth links;
    private final long leaseMs;
    private final Cache<String, Visit> visits;

    /**
     * A worker that sends heartbeats here though another controller leads.
     *
     * @param leader who led when it came
     * @param since when it came, or was last redirected
     * @param lastSeenAt when it last sent a heartbeat here
     * @param redirected whether it was redirected to the leader
     */
    private record Visit(String leader, long since, long lastSeenAt, boolean redirected) {}

    WorkerRedirects(Settings settings, Environment environment, LinkHealth links) {
        this.environment = environment;
        this.links = links;
        this.leaseMs = Math.round(settings.workers().leaseS() * 1000);
        this.visits = CacheBuilder.newBuilder()
                .maximumSize((long) VISITS_PER_SOCKET * settings.maxSockets())
                .concurrencyLevel(1)
                .build();
    }

    /** Whether to redirect a worker to the leader; else its heartbeat is to be forwarded. */
    boolean shouldRedirect(String machine, String leader) {
        long now = environment.now();
        Visit visit = visits.getIfPresent(machine);
        Visit next;
        if (visit == null || !visit.leader.equals(leader) || wasElsewhere(visit, now)) {
            next = new Visit(leader, now, now, !links.leaderKnowsWorker(leader, machine));
        } else if (shouldRetry(visit, machine, now)) {
            next = new Visit(leader, now, now, true);
        } else {
            visits.put(machine, new Visit(leader, visit.since, now, visit.redirected));
            return false;
        }
        visits.put(machine, next);
        return next.redirected;
    }

    /** Where links are watched it is known whom the leader has heard meanwhile; else whoever came may have left. */
    private boolean wasElsewhere(Visit visit, long now) {
        return links.enabled() && now - visit.lastSeenAt > leaseMs;
    }

    private boolean shouldRetry(Visit visit, String machine, long now) {
        boolean neverTried = !visit.redirected && !links.leaderCannotReachWorker(visit.leader, machine);
        return neverTried || now - visit.since > FORWARD_LEASES * leaseMs;
    }
}
