package stileferry.connectivity;

import java.util.HashSet;
import java.util.List;
import stileferry.validation.InvalidInputException;

/**
 * What the times of one deployment are. Everything else in this package is a ratio to them.
 *
 * @param self the name of this controller
 * @param peers the names of the other controllers
 * @param heartbeatIntervalMs milliseconds between two reports of a worker
 * @param workerLeaseMs milliseconds after which a worker that was not answered drops its tasks
 * @param leaderLeaseMs milliseconds for which the leader key is leased
 */
public record ConnectivityConfig(
        String self, List<String> peers, long heartbeatIntervalMs, long workerLeaseMs, long leaderLeaseMs) {
    /** Exchanges of views in a report interval while something is suspect. */
    private static final int ALERT_EXCHANGES = 3;

    /** A view is used for so many exchange intervals after the moment that it certainly describes. */
    private static final int MAX_AGE_EXCHANGES = 3;

    /** Checks every figure. */
    public ConnectivityConfig {
        InvalidInputException.requireName(self, "self");
        InvalidInputException.require(peers != null, "peers", "missing");
        peers = List.copyOf(peers);
        InvalidInputException.require(!peers.contains(self), "peers", "names this controller, " + self);
        InvalidInputException.require(new HashSet<>(peers).size() == peers.size(), "peers", "a name stands twice");
        InvalidInputException.require(heartbeatIntervalMs > 0, "heartbeatIntervalMs", "must be above 0");
        InvalidInputException.require(
                workerLeaseMs > heartbeatIntervalMs, "workerLeaseMs", "must be above heartbeatIntervalMs");
        InvalidInputException.require(leaderLeaseMs > 0, "leaderLeaseMs", "must be above 0");
    }

    /** Milliseconds between two exchanges of views with the same controller. */
    public long exchangeIntervalMs(boolean alert) {
        return alert ? Math.max(1, heartbeatIntervalMs / ALERT_EXCHANGES) : heartbeatIntervalMs;
    }

    /** Milliseconds between two signs of life of the state service, which is asked where nothing else is. */
    public long storeProbeIntervalMs() {
        return 2 * exchangeIntervalMs(true);
    }

    /** The age from which on a view of another controller says nothing any more. */
    public long viewMaxAgeMs() {
        return MAX_AGE_EXCHANGES * heartbeatIntervalMs + leaderLeaseMs;
    }

    /** The age from which on what was seen of a worker says nothing any more. */
    public long workerEvidenceMaxAgeMs() {
        return MAX_AGE_EXCHANGES * heartbeatIntervalMs;
    }

    /**
     * The age from which on the outcome of a probe says nothing any more. It is less than the silence after which a
     * worker is suspect, so that no outcome from before a cut is taken for one from after it.
     */
    public long probeResultMaxAgeMs() {
        return heartbeatIntervalMs;
    }

    /** The age of the state service's last answer from which on no decision is made. */
    public long storeAnswerMaxAgeMs() {
        return leaderLeaseMs;
    }
}
