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
    private static final int TRACKED_WORKERS_PER_SOCKET = 8;

    private final Environment environment;
    private final LinkHealth links;
    private final long leaseMs;
    private final Cache<String, RedirectState> redirectStates;

    /**
     * A worker that sends heartbeats here though another controller leads.
     *
     * @param leader who led when it came
     * @param since when it came, or was last redirected
     * @param lastHeartbeatAt when it last sent a heartbeat here
     * @param redirected whether it was redirected to the leader
     */
    private record RedirectState(String leader, long since, long lastHeartbeatAt, boolean redirected) {}

    WorkerRedirects(Settings settings, Environment environment, LinkHealth links) {
        this.environment = environment;
        this.links = links;
        this.leaseMs = Math.round(settings.workers().leaseS() * 1000);
        this.redirectStates = CacheBuilder.newBuilder()
                .maximumSize((long) TRACKED_WORKERS_PER_SOCKET * settings.maxSockets())
                .concurrencyLevel(1)
                .build();
    }

    /** Whether to redirect a worker to the leader; else its heartbeat is to be forwarded. */
    boolean shouldRedirect(String machine, String leader) {
        long now = environment.now();
        RedirectState current = redirectStates.getIfPresent(machine);
        RedirectState updated;
        if (current == null || !current.leader.equals(leader) || absentForALease(current, now)) {
            updated = new RedirectState(leader, now, now, !links.leaderHearsWorker(leader, machine));
        } else if (shouldRedirectAgain(current, machine, now)) {
            updated = new RedirectState(leader, now, now, true);
        } else {
            redirectStates.put(machine, new RedirectState(leader, current.since, now, current.redirected));
            return false;
        }
        redirectStates.put(machine, updated);
        return updated.redirected;
    }

    /** Where links are watched it is known whom the leader has heard meanwhile; else whoever came may have left. */
    private boolean absentForALease(RedirectState state, long now) {
        return links.enabled() && now - state.lastHeartbeatAt > leaseMs;
    }

    private boolean shouldRedirectAgain(RedirectState state, String machine, long now) {
        boolean neverTried = !state.redirected && !links.leaderCannotReachWorker(state.leader, machine);
        return neverTried || now - state.since > FORWARD_LEASES * leaseMs;
    }
}
