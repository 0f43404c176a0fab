package stileferry.protocol;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What the platform hands over at the start; every figure has been checked by {@link SettingsReader}.
 *
 * @param cores the share of a core that this controller has; 1: nothing is said of it
 * @param clockErrorMs how far the time of day may be from the true time; -1: nothing is said of it
 */
public record Settings(
        String controllerName,
        String zone,
        InetSocketAddress clientListen,
        InetSocketAddress peerListen,
        List<Peer> peers,
        String cloudAddress,
        String keyValueStoreAddress,
        List<String> zones,
        List<Team> teams,
        List<ServiceLevelObjective> objectives,
        WorkerTimings workers,
        KeyValueStoreLimits keyValueStore,
        CloudLimits cloud,
        double cores,
        int maxSockets,
        double clockErrorMs) {

    private static final int MS_PER_S = 1000;

    /** Heartbeats come a quarter of their interval late at most. */
    private static final double MAX_HEARTBEAT_INTERVAL_FACTOR = 1.25;

    private static final long HEARTBEAT_SLACK_MS = 1000;

    /** The share of a core that leaves room for the times which this service sets itself. */
    private static final double SUFFICIENT_CORES = 0.3;

    /**
     * How many times as long this controller takes for its work as one with an ample share of a core; 1 at least. Times
     * that it allows itself grow with it: on a small share one collection of garbage or one page of records can take as
     * long as a lease that a larger share renews with ease.
     */
    public double slowdownFactor() {
        return Math.max(1, SUFFICIENT_CORES / cores);
    }

    /** Another controller. */
    public record Peer(String name, String zone, String address) {}

    /** A team's guaranteed and greatest use; 0 means none. */
    public record Team(String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {}

    /** A service-level objective on starting or finishing, for one class of jobs (empty: any). */
    public record ServiceLevelObjective(String kind, String jobClass, double withinS, double share) {}

    /**
     * The workers' times in seconds.
     *
     * @param leaseS how long a worker keeps its tasks without an answer
     * @param cancelDeadlineS within what time the tasks of a cancelled job are gone
     * @param gangWaitTimeoutS how long a gang's task waits for the others; 0: nothing is said of it
     * @param gangStopDeadlineS within what time all tasks of a gang must hear a stop; 0: nothing is said of it
     */
    public record WorkerTimings(
            double heartbeatIntervalS,
            double leaseS,
            double cancelDeadlineS,
            double gangWaitTimeoutS,
            double gangStopDeadlineS) {
        /** Milliseconds after which every worker that can send a heartbeat has sent one. */
        public long heartbeatRoundMs() {
            return Math.round(heartbeatIntervalS * MS_PER_S * MAX_HEARTBEAT_INTERVAL_FACTOR) + HEARTBEAT_SLACK_MS;
        }

        /** The times of a deployment without gangs. */
        public WorkerTimings(double heartbeatIntervalS, double leaseS, double cancelS) {
            this(heartbeatIntervalS, leaseS, cancelS, 0, 0);
        }
    }

    /** The key-value store's limits; where others are announced for some time to come, the lower of both. */
    public record KeyValueStoreLimits(
            double requestsPerS, double writesPerS, double maxValueKb, int maxTransactionOperations) {}

    /** The cloud's limits. */
    public record CloudLimits(double requestsPerS, double listLagS) {}

    /** How the sockets are divided. */
    public SocketBudget socketBudget() {
        return SocketBudget.of(maxSockets);
    }

    /** Finds a team by its name, or null. */
    public Team team(String name) {
        for (Team team : teams) {
            if (team.name().equals(name)) {
                return team;
            }
        }
        return null;
    }
}
