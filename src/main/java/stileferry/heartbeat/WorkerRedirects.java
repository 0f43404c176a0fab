package stileferry.heartbeat;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.protocol.Settings;

/**
 * Decides whether a worker that reports to a follower is sent to the leader, or its report passed on. A worker that
 * comes back after it was sent away can't reach the leader; neither can one that the leader has heard before. Now and
 * then it is sent there again, as it may have been a passing trouble.
 */
final class WorkerRedirects {
    /** Leases for which reports are passed on before their worker is sent to the leader again. */
    private static final int PASSED_ON_LEASES = 2;

    /** Machines for each socket: no controller talks to more of them at the same time. */
    private static final int REMEMBERED_EACH_SOCKET = 8;

    private final Environment environment;
    private final LinkHealth links;
    private final long leaseMs;
    private final Cache<String, Visit> visits;

    /**
     * A worker that reports here though another controller leads.
     *
     * @param leader who led when it came
     * @param since when it came, or was last sent away
     * @param last when it last reported here
     * @param sentAway whether it was sent to the leader
     */
    private record Visit(String leader, long since, long last, boolean sentAway) {}

    WorkerRedirects(Settings settings, Environment environment, LinkHealth links) {
        this.environment = environment;
        this.links = links;
        this.leaseMs = Math.round(settings.workers().leaseS() * 1000);
        this.visits = CacheBuilder.newBuilder()
                .maximumSize((long) REMEMBERED_EACH_SOCKET * settings.maxSockets())
                .concurrencyLevel(1)
                .build();
    }

    /** Whether to send a worker to the leader; else its report is to be passed on. */
    boolean sendsAway(String machine, String leader) {
        long now = environment.now();
        Visit visit = visits.getIfPresent(machine);
        Visit next;
        if (visit == null || !visit.leader.equals(leader) || goneSince(visit, now)) {
            next = new Visit(leader, now, now, !links.leaderHearsWorker(leader, machine));
        } else if (triesAgain(visit, machine, now)) {
            next = new Visit(leader, now, now, true);
        } else {
            visits.put(machine, new Visit(leader, visit.since, now, visit.sentAway));
            return false;
        }
        visits.put(machine, next);
        return next.sentAway;
    }

    /** With links watched it is known who has been with the leader meanwhile; without, whoever came once may have. */
    private boolean goneSince(Visit visit, long now) {
        return links.enabled() && now - visit.last > leaseMs;
    }

    private boolean triesAgain(Visit visit, String machine, long now) {
        boolean neverTried = !visit.sentAway && !links.leaderCannotReachWorker(visit.leader, machine);
        return neverTried || now - visit.since > PASSED_ON_LEASES * leaseMs;
    }
}
