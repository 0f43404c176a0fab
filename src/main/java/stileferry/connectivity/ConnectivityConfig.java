package stileferry.connectivity;

import static stileferry.validation.InvalidInputException.require;
import static stileferry.validation.InvalidInputException.requireName;

import java.util.HashSet;
import java.util.List;

/**
 * The names and times of one deployment. All other times of this package are multiples of these.
 *
 * @param self the name of this controller
 * @param peers the names of the other controllers
 * @param heartbeatIntervalMs milliseconds between two heartbeats of a worker
 * @param workerLeaseMs milliseconds after which a worker whose heartbeats are not answered stops its tasks
 * @param leaderLeaseMs milliseconds of the leader key's lease
 */
public record ConnectivityConfig(
        String self, List<String> peers, long heartbeatIntervalMs, long workerLeaseMs, long leaderLeaseMs) {
    /** Exchanges of views in a heartbeat interval while links are suspect. */
    private static final int SHORT_EXCHANGES_PER_HEARTBEAT_INTERVAL = 3;

    /** Exchange intervals after which a view, or what was observed of a worker, is stale. */
    private static final int MAX_AGE_HEARTBEAT_INTERVALS = 3;

    /** Throws for names that are missing or repeated, and for times that are not positive. */
    public ConnectivityConfig {
        requireName(self, "self");
        require(peers != null, "peers", "missing");
        peers = List.copyOf(peers);
        require(!peers.contains(self), "peers", "names this controller, " + self);
        require(new HashSet<>(peers).size() == peers.size(), "peers", "a name stands twice");
        require(heartbeatIntervalMs > 0, "heartbeatIntervalMs", "must be above 0");
        require(workerLeaseMs > heartbeatIntervalMs, "workerLeaseMs", "must be above heartbeatIntervalMs");
        require(leaderLeaseMs > 0, "leaderLeaseMs", "must be above 0");
    }

    /** Milliseconds between two exchanges of views with the same controller; {@code alert}: while links are suspect. */
    public long exchangeIntervalMs(boolean alert) {
        return alert ? Math.max(1, heartbeatIntervalMs / SHORT_EXCHANGES_PER_HEARTBEAT_INTERVAL) : heartbeatIntervalMs;
    }

    /** Milliseconds after which an idle link to the state service is probed. */
    public long storeProbeIntervalMs() {
        return 2 * exchangeIntervalMs(true);
    }

    /** The age in milliseconds above which a view of another controller is stale. */
    public long viewMaxAgeMs() {
        return MAX_AGE_HEARTBEAT_INTERVALS * heartbeatIntervalMs + leaderLeaseMs;
    }

    /** The age in milliseconds above which a follower forgets what it observed of a worker. */
    public long workerEvidenceMaxAgeMs() {
        return MAX_AGE_HEARTBEAT_INTERVALS * heartbeatIntervalMs;
    }

    /**
     * The age in milliseconds above which a probe's result is stale. It is less than the silence after which a worker
     * is suspect, so that a result from before a cut is not taken for one from after it.
     */
    public long probeResultMaxAgeMs() {
        return heartbeatIntervalMs;
    }

    /** The age in milliseconds of the state service's last answer above which no decision is made. */
    public long storeAnswerMaxAgeMs() {
        return leaderLeaseMs;
    }
}
