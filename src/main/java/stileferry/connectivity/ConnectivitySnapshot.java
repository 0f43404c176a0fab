package stileferry.connectivity;

import java.util.List;

/**
 * The state of all links of one controller at one point in time, for operators.
 *
 * @param controller the controller whose links these are
 * @param leading whether it leads
 * @param store its link to the key-value store
 * @param peers its links to the other controllers
 * @param workers its links to workers
 * @param advice the advice on its leadership
 * @param counters numbers of events since its process started
 */
public record ConnectivitySnapshot(
        String controller,
        boolean leading,
        Link store,
        List<Peer> peers,
        Workers workers,
        LeadershipAdvice advice,
        Counters counters) {

    /**
     * One direction of a link.
     *
     * @param condition its condition according to its failure detector
     * @param suspicionLevel the suspicion level (phi) of the current silence
     * @param silentMs milliseconds since the last message or response, or -1 if there has never been one
     * @param consecutiveFailures number of requests that have failed since then
     * @param lastFailure how the last failed request failed, or null if none has failed
     */
    public record Link(
            LinkCondition condition,
            double suspicionLevel,
            long silentMs,
            int consecutiveFailures,
            FailureKind lastFailure) {}

    /**
     * The links to another controller and what its last view reports.
     *
     * @param controller its name
     * @param inbound the direction in which its requests arrive
     * @param outbound the direction in which it is sent requests, judged by its responses
     * @param viewAgeMs the greatest possible age of its view in milliseconds, or -1 if it is unknown
     * @param reachedWorkers number of workers that its requests reach, of those with a known recent outcome
     * @param reachableShare estimated share of all workers that it reaches, from 0 to 1, or -1 if it is unknown
     */
    public record Peer(
            String controller,
            Link inbound,
            Link outbound,
            long viewAgeMs,
            int reachedWorkers,
            double reachableShare) {}

    /**
     * The links to workers.
     *
     * @param known number of known workers
     * @param direct number of workers whose heartbeats arrive directly at this controller
     * @param suspect number of workers with a suspect link
     * @param reachableShare estimated share of all workers that the controller reaches, from 0 to 1, or -1 if it does
     *     not lead
     * @param suspicionTimeoutMs milliseconds of silence after which a worker is suspect
     */
    public record Workers(int known, int direct, int suspect, double reachableShare, double suspicionTimeoutMs) {}

    /**
     * Numbers of events since the controller's process started.
     *
     * @param handoversBegun handovers that were started
     * @param released deliberate releases of the leadership
     * @param aborted handovers aborted before the release
     * @param suspicions how often a worker became suspect because its heartbeats stopped
     * @param withheld decisions that were withheld
     * @param staleViews received views that were duplicates or older than a view received before
     */
    public record Counters(
            long handoversBegun, long released, long aborted, long suspicions, long withheld, long staleViews) {}
}
