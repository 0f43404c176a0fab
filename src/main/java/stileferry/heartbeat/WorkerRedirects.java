package stileferry.heartbeat;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.protocol.Settings;

/**
 * Decides whether a worker that sends its heartbeat to a follower is redirected to the leader, or has its heartbeat
 * forwarded. A worker that returns after a redirect can't reach the leader; neither can one that the leader has
 * heard from before. Such a worker is redirected again from time to time, as the fault may have passed.
 */
final class WorkerRedirects {
    /** Lease durations for which heartbeats are forwarded before the worker is redirected again. */
    private static final int FORWARD_LEASES = 2;

    /** Workers to remember per socket: far more than a controller talks to at the same time. */
    private static final int TRACKED_WORKERS_PER_SOCKET = 8;

    private final Environment environment;
    private final LinkHealth links;
    private final long leaseMs;
    private final Cache<String, RedirectState> redirectStates;

    /**
     * The state of a worker that sends heartbeats here though another controller leads.
     *
     * @param leader the leader when this state began
     * @param since when the worker first sent a heartbeat here, or was last redirected
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

    /** Returns whether to redirect a worker to the leader; if not, its heartbeat is to be forwarded. */
    boolean shouldRedirect(String machine, String leader) {
        long now = environment.now();
        RedirectState state = redirectStates.getIfPresent(machine);
        RedirectState updated;
        if (state == null || !state.leader.equals(leader) || absentForALease(state, now)) {
            updated = new RedirectState(leader, now, now, !links.leaderKnowsWorker(leader, machine));
        } else if (shouldRedirectAgain(state, machine, now)) {
            updated = new RedirectState(leader, now, now, true);
        } else {
            redirectStates.put(machine, new RedirectState(leader, state.since, now, state.redirected));
            return false;
        }
        redirectStates.put(machine, updated);
        return updated.redirected;
    }

    /**
     * Returns whether the worker has sent nothing here for a lease, so that its state is started again. That holds only
     * where links are monitored, because it is then known which workers the leader has heard from in the meantime;
     * elsewhere a worker that sent heartbeats here may just have moved to another controller.
     */
    private boolean absentForALease(RedirectState state, long now) {
        return links.enabled() && now - state.lastHeartbeatAt > leaseMs;
    }

    private boolean shouldRedirectAgain(RedirectState state, String machine, long now) {
        boolean neverTried = !state.redirected && !links.leaderCannotReachWorker(state.leader, machine);
        return neverTried || now - state.since > FORWARD_LEASES * leaseMs;
    }
}
