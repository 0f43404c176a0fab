package stileferry.connectivity;

import java.util.List;

/**
 * What is known of all links at a moment, for operators.
 *
 * @param controller the controller whose links these are
 * @param leading whether it leads
 * @param store its link to the state service
 * @param peers its links to the other controllers
 * @param workers its links to workers
 * @param advice the advice on its leadership
 * @param counters events since its process started
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
     * @param condition what is known of it
     * @param suspicionLevel phi of its silence
     * @param silentMs milliseconds since it last succeeded; -1: never
     * @param consecutiveFailures requests that have failed since
     * @param lastFailure how the last failed request failed; null: none has
     */
    public record Link(
            LinkCondition condition,
            double suspicionLevel,
            long silentMs,
            int consecutiveFailures,
            FailureKind lastFailure) {}

    /**
     * The links to another controller, and its view.
     *
     * @param controller its name
     * @param inbound requests from it
     * @param outbound requests to it that are answered
     * @param viewAgeMs the greatest possible age of its view in milliseconds; -1: not known
     * @param reachedWorkers workers that it reaches, of those that it probed
     * @param reachableShare the share of all workers that it is estimated to reach; -1: not known
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
     * @param known workers that are known
     * @param direct workers whose heartbeats come straight to this controller
     * @param suspect workers with a suspect link
     * @param reachableShare the share of all workers that it is estimated to reach; -1: it does not lead
     * @param suspicionTimeoutMs milliseconds of silence after which a worker is suspect
     */
    public record Workers(int known, int direct, int suspect, double reachableShare, double suspicionTimeoutMs) {}

    /**
     * Events since the controller's process started.
     *
     * @param handoversBegun handovers that were started
     * @param released deliberate releases of the leadership
     * @param aborted handovers aborted before the release
     * @param suspicions times at which a worker became suspect by its silence
     * @param withheld decisions that were withheld
     * @param staleViews views that were older than a view received before
     */
    public record Counters(
            long handoversBegun, long released, long aborted, long suspicions, long withheld, long staleViews) {}
}
