package stileferry.connectivity;

import static stileferry.validation.InvalidInputException.require;
import static stileferry.validation.InvalidInputException.requireNonEmptyName;

import java.util.HashSet;
import java.util.List;

/**
 * The controller names and the base intervals of one deployment. All other times in this package are multiples of these
 * intervals.
 *
 * @param self the name of this controller
 * @param peers the names of the other controllers
 * @param heartbeatIntervalMs nominal milliseconds between two heartbeats of a worker
 * @param workerLeaseMs milliseconds after which a worker whose heartbeats receive no response stops its tasks
 * @param leaderLeaseMs duration of the leader key's lease in milliseconds
 */
public record ConnectivityConfig(
        String self, List<String> peers, long heartbeatIntervalMs, long workerLeaseMs, long leaderLeaseMs) {
    /** Number of view exchanges per heartbeat interval while links are suspect. */
    private static final int SHORT_EXCHANGES_PER_HEARTBEAT_INTERVAL = 3;

    /**
     * Heartbeat intervals, which are also the regular exchange intervals, in the maximum age of a view or of an
     * observation of a worker.
     */
    private static final int MAX_AGE_HEARTBEAT_INTERVALS = 3;

    /**
     * Validates the names and intervals; throws for missing, empty or duplicate names, for times that are not positive,
     * and for a worker lease that is not longer than the heartbeat interval.
     */
    public ConnectivityConfig {
        requireNonEmptyName(self, "self");
        require(peers != null, "peers", "missing");
        peers = List.copyOf(peers);
        require(!peers.contains(self), "peers", "contains this controller, " + self);
        require(new HashSet<>(peers).size() == peers.size(), "peers", "contains a duplicate name");
        require(heartbeatIntervalMs > 0, "heartbeatIntervalMs", "must be above 0");
        require(workerLeaseMs > heartbeatIntervalMs, "workerLeaseMs", "must be above heartbeatIntervalMs");
        require(leaderLeaseMs > 0, "leaderLeaseMs", "must be above 0");
    }

    /**
     * Returns the milliseconds between two exchanges of views with the same controller.
     *
     * @param linksSuspect whether links are suspect, so that the short exchange interval applies
     */
    public long exchangeIntervalMs(boolean linksSuspect) {
        return linksSuspect
                ? Math.max(1, heartbeatIntervalMs / SHORT_EXCHANGES_PER_HEARTBEAT_INTERVAL)
                : heartbeatIntervalMs;
    }

    /** Returns the milliseconds after which an idle link to the key-value store is probed. */
    public long storeProbeIntervalMs() {
        return 2 * exchangeIntervalMs(true);
    }

    /** Returns the age in milliseconds above which a view from another controller is stale. */
    public long viewMaxAgeMs() {
        return MAX_AGE_HEARTBEAT_INTERVALS * heartbeatIntervalMs + leaderLeaseMs;
    }

    /**
     * Returns the age in milliseconds of its last observation of a worker above which a follower forgets the worker.
     */
    public long workerEvidenceMaxAgeMs() {
        return MAX_AGE_HEARTBEAT_INTERVALS * heartbeatIntervalMs;
    }

    /**
     * Returns the age in milliseconds above which the outcome of a probe is stale. It is shorter than the silence after
     * which a worker becomes suspect, so that an outcome from before a partition is not mistaken for one from after it.
     */
    public long probeResultMaxAgeMs() {
        return heartbeatIntervalMs;
    }

    /**
     * Returns the age in milliseconds of the key-value store's last response above which all decisions are withheld.
     */
    public long storeAnswerMaxAgeMs() {
        return leaderLeaseMs;
    }
}
