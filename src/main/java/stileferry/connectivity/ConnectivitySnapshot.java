package stileferry.connectivity;

import java.util.List;

/**
 * What is known of all links at a moment, for people.
 *
 * @param controller the controller that sees them so
 * @param leading whether it leads
 * @param store its link to the state service
 * @param peers its links to the other controllers
 * @param workers its links to workers
 * @param advice what it should do about the leadership
 * @param counters what has happened since it began
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
     * @param suspicionLevel how suspect its silence is
     * @param silentMs milliseconds since it last worked; -1: it never has
     * @param consecutiveFailures requests that failed since
     * @param lastFailure how the last of all that failed did; null: none has
     */
    public record Link(
            LinkCondition condition,
            double suspicionLevel,
            long silentMs,
            int consecutiveFailures,
            FailureKind lastFailure) {}

    /**
     * The links to another controller, and what it says.
     *
     * @param controller its name
     * @param inbound what comes from it
     * @param outbound what goes to it and is answered
     * @param viewAgeMs how old its view is at most; -1: not known
     * @param reachedWorkers workers that it reaches, of those it was asked about
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
     * @param direct workers that report straight to this controller
     * @param suspect workers with a link that does not work
     * @param reachableShare the share of all workers that it is estimated to reach; -1: it does not lead
     * @param suspicionTimeoutMs the silence after which a worker is suspect, from measured intervals
     */
    public record Workers(int known, int direct, int suspect, double reachableShare, double suspicionTimeoutMs) {}

    /**
     * What has happened since the controller began.
     *
     * @param handoversBegun handovers for which a nominee was asked
     * @param released leaderships released on purpose
     * @param aborted handovers given up before the release
     * @param suspicions times at which a worker fell silent for longer than is usual
     * @param withheld decisions that were not made for want of a link
     * @param staleViews views that were older than what was known
     */
    public record Counters(
            long handoversBegun, long released, long aborted, long suspicions, long withheld, long staleViews) {}
}
