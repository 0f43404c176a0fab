package stileferry.protocol;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The settings that the platform passes to a controller at its start, validated by {@link SettingsReader}.
 *
 * @param cores the share of a CPU core that this controller has; 1 if not specified
 * @param clockErrorMs the maximum deviation of the wall clock from the true time, in milliseconds; -1 if not specified
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

    /** Heartbeats are at most a quarter of their interval late. */
    private static final double MAX_HEARTBEAT_INTERVAL_FACTOR = 1.25;

    private static final long HEARTBEAT_SLACK_MS = 1000;

    /** The share of a core at which the service's own timeouts need no scaling. */
    private static final double SUFFICIENT_CORES = 0.3;

    /**
     * Returns by what factor this controller is slower than one with a sufficient share of a core; at least 1. The
     * controller scales its own timeouts by it: on a small share of a core, one garbage collection or the processing of
     * one page of records can take as long as a lease that a controller with a larger share renews easily.
     */
    public double slowdownFactor() {
        return Math.max(1, SUFFICIENT_CORES / cores);
    }

    /**
     * Another controller.
     *
     * @param address its address for messages between controllers, as host:port
     */
    public record Peer(String name, String zone, String address) {}

    /** A team's guaranteed and maximum use of CPUs and GPUs; 0 means no guarantee or no limit. */
    public record Team(String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {}

    /**
     * A service-level objective on the start or completion of jobs.
     *
     * @param jobClass the class of jobs that it applies to; empty: any
     * @param withinS the time limit in seconds
     * @param share the share of jobs that must meet the time limit
     */
    public record ServiceLevelObjective(String kind, String jobClass, double withinS, double share) {}

    /**
     * Intervals and timeouts of workers, in seconds.
     *
     * @param leaseS how long a worker keeps its tasks without a response from the leader
     * @param cancelDeadlineS the time within which the tasks of a cancelled job must be gone
     * @param gangWaitTimeoutS how long a gang's task waits for the other tasks of the gang; 0 if not specified
     * @param gangStopDeadlineS the time within which all tasks of a gang must learn of a stop; 0 if not specified
     */
    public record WorkerTimings(
            double heartbeatIntervalS,
            double leaseS,
            double cancelDeadlineS,
            double gangWaitTimeoutS,
            double gangStopDeadlineS) {
        /** Returns the time in milliseconds within which every worker that can send heartbeats has sent one. */
        public long heartbeatRoundMs() {
            return Math.round(heartbeatIntervalS * MS_PER_S * MAX_HEARTBEAT_INTERVAL_FACTOR) + HEARTBEAT_SLACK_MS;
        }

        /** Creates the timings of a deployment without gangs. */
        public WorkerTimings(double heartbeatIntervalS, double leaseS, double cancelDeadlineS) {
            this(heartbeatIntervalS, leaseS, cancelDeadlineS, 0, 0);
        }
    }

    /**
     * The limits of the key-value store; if a change of limits has been announced, the lower of current and next limit.
     */
    public record KeyValueStoreLimits(
            double requestsPerS, double writesPerS, double maxValueKb, int maxTransactionOperations) {}

    /**
     * The limits of the cloud's API.
     *
     * @param listLagS by how many seconds the list of machines may be outdated
     */
    public record CloudLimits(double requestsPerS, double listLagS) {}

    /** Returns the division of the controller's sockets. */
    public SocketBudget socketBudget() {
        return SocketBudget.of(maxSockets);
    }

    /** Returns the team with this name, or null if there is none. */
    public Team team(String name) {
        for (Team team : teams) {
            if (team.name().equals(name)) {
                return team;
            }
        }
        return null;
    }
}
